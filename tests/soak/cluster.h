#pragma once

#include "../process/host_process.h"

#include <endivespan/http_client.h>

#include <functional>
#include <memory>
#include <random>
#include <string>
#include <vector>

/// Hosts and stand-ins as processes, with a balancer in front that asks each host whether it is ready.
namespace endivespan::soak {

/// What to start.
struct ClusterOptions {
    std::size_t hosts = 12;
    std::vector<std::string> standins; ///< Arguments for the stand-ins.
};

/// One host of the cluster.
struct ClusterHost {
    std::string name;
    std::string domain;
    std::unique_ptr<harness::ReservedPort> peerPort;
    std::unique_ptr<harness::HostProcess> process; ///< Empty while it is down.
    bool ready = false;
    std::unique_ptr<HttpPending> probe;
};

/// The processes of one run; all end with it.
class Cluster
{
public:
    Cluster(Loop &loop, const ClusterOptions &options);

    /// Publishes the first release note, starts the hosts and waits until each is ready.
    void start();

    /// Starts a host that is down.
    void startHost(std::size_t index);

    /// @returns the callers' address of a host that said it is ready, at random; empty when there is none.
    std::string pickHost(std::mt19937_64 &random) const;

    /// Publishes a release note that takes a failure domain out or returns it, again and again until a host has it.
    /// @param done Called once it is in force somewhere.
    void publishDomain(const std::string &domain, ServiceState service, std::function<void()> done);

    harness::Standins &standins();
    std::vector<ClusterHost> &hosts();

    static constexpr std::size_t Organisations = 10;

    /// @returns the API key of organisation @p index.
    static std::string apiKey(std::size_t index);

private:
    struct Publication {
        std::string domain;
        ServiceState service = ServiceState::InService;
        std::function<void()> done;
        std::unique_ptr<HttpPending> append;
        std::unique_ptr<Timer> check;
    };

    void probeAll();
    void probe(ClusterHost &host);
    void append(const std::shared_ptr<Publication> &publication);
    void checkPublication(const std::shared_ptr<Publication> &publication);

    Loop &loop;
    harness::Standins outside;
    std::vector<ClusterHost> hostList;
    std::uint64_t revision = 0; ///< Highest one that a host told.
    std::uint64_t noteSequence = 0;
    std::unique_ptr<Timer> prober;
};

} // namespace endivespan::soak
