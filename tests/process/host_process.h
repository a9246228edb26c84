#pragma once

#include "harness.h"

#include <endivespan/fleet.h>

/// Starts hosts of the system against a deployment of stand-ins.
namespace endivespan::harness {

/// Reserves a free loopback port during its lifetime; one process at a time may listen on it.
class ReservedPort
{
public:
    ReservedPort();
    ~ReservedPort();
    ReservedPort(const ReservedPort &) = delete;
    ReservedPort &operator=(const ReservedPort &) = delete;

    /// @returns "127.0.0.1:port".
    [[nodiscard]] const std::string &address() const
    {
        return this->text;
    }

private:
    int socket;
    std::string text;
};

/// Settings of one host, besides the addresses of the stand-ins.
struct HostOptions {
    std::string name;
    std::string domain;
    std::string peerAddress; ///< Where this host listens for peers.
    std::vector<std::string> peers;
    std::string limits; ///< YAML flow map with limits, such as "{max_body: 64KiB}"; empty for the defaults.
    std::string logAddress; ///< Log to use instead of that of the stand-ins; empty for theirs.
};

/// One running endivespand.
class HostProcess
{
public:
    HostProcess(const Standins &standins, const HostOptions &options);

    /// @returns the address for callers.
    [[nodiscard]] const std::string &address() const
    {
        return this->callerAddress;
    }

    [[nodiscard]] Process &process()
    {
        return *this->child;
    }

    /// @returns the answer to GET /status.
    [[nodiscard]] json status() const;

    /// Waits until the host serves with at least @p revision of the configuration.
    void awaitReady(std::uint64_t revision) const;

private:
    TempDir directory;
    std::unique_ptr<Process> child;
    std::string callerAddress;
};

/// Three hosts, one in each failure domain of a deployment, each with the others as its peers.
class HostGroup
{
public:
    explicit HostGroup(const Standins &standins, const std::string &limits = {});

    /// @returns host @p index.
    [[nodiscard]] HostProcess &at(std::size_t index)
    {
        return *this->hosts.at(index);
    }

    /// @returns the address at which host @p index listens for peers.
    [[nodiscard]] const std::string &peerAddress(std::size_t index) const
    {
        return this->ports.at(index)->address();
    }

    /// Kills host @p index if it still runs, and starts it again with the same name and peer address.
    void restart(std::size_t index);

    /// Waits until all hosts serve with at least @p revision.
    void awaitReady(std::uint64_t revision) const;

    /// Waits until all hosts have a load report of each server.
    void awaitLoadReports() const;

    /// Checks that no host reports a violated invariant.
    void checkInvariants() const;

private:
    [[nodiscard]] std::unique_ptr<HostProcess> startHost(std::size_t index) const;

    const Standins &standins;
    std::string limits;
    std::vector<std::unique_ptr<ReservedPort>> ports;
    std::vector<std::unique_ptr<HostProcess>> hosts;
};

/// @returns the release note that adds everything in the deployment.
ReleaseNote deploymentNote(const Standins &standins);

/// Appends @p note to the stream of the configuration.
void publish(const Standins &standins, const ReleaseNote &note);

/// @returns the API key of organisation "workshop-N" in a deployment.
std::string keyOf(std::size_t number);

} // namespace endivespan::harness
