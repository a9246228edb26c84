#pragma once

#include "../process/harness.h"

#include <endivespan/http_client.h>

#include <memory>
#include <random>
#include <string>
#include <vector>

/// Hosts and stand-ins as processes, with a balancer in front that asks each host whether it is ready.
namespace endivespan::soak {

/// What to start.
struct ClusterOptions {
    std::size_t hosts = 12;
    std::size_t runners = 20;
    std::string extraSettings; ///< YAML lines added to the settings of each host.
};

/// One host process.
struct HostProcess {
    std::string name;
    std::string domain;
    std::unique_ptr<harness::Process> process;
    std::string callers; ///< Empty while it is down.
    std::string peers;
    bool ready = false;
    std::unique_ptr<HttpPending> probe;
};

/// The processes of one run; all end with it.
class Cluster
{
public:
    Cluster(Loop &loop, const ClusterOptions &options);

    /// Starts the stand-ins, publishes the first release note and starts the hosts.
    void start();

    /// Starts a host that is down.
    void startHost(std::size_t index);

    /// @returns the callers' address of a host that said it is ready, at random; empty when there is none.
    std::string pickHost(std::mt19937_64 &random) const;

    /// Publishes a release note that takes a failure domain out or returns it.
    /// @returns the exit status of the command.
    int publishDomain(const std::string &domain, bool inService) const;

    /// Publishes a release note.
    /// @returns the exit status of the command.
    int publish(const std::string &note) const;

    [[nodiscard]] std::uint64_t revision() const;

    harness::Standins &standins();
    std::vector<HostProcess> &hosts();

    static constexpr std::size_t Organisations = 5;

    /// @returns the API key of organisation @p index.
    static std::string apiKey(std::size_t index);

private:
    void probeAll();
    [[nodiscard]] std::string settingsOf(const HostProcess &host) const;

    Loop &loop;
    ClusterOptions options;
    harness::TempDir files;
    std::unique_ptr<harness::Standins> outside;
    std::vector<HostProcess> hostList;
    std::unique_ptr<Timer> prober;
};

} // namespace endivespan::soak
