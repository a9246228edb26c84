#pragma once

#include "host_process.h"

#include <memory>
#include <string>
#include <vector>

/// Runs hosts in front of the stand-ins of one plain service, with a release note in force.
namespace endivespan::harness {

/// The stand-ins of the service and the hosts in front of them, for one test.
class ServiceCluster
{
public:
    /// @param hosts Hosts to start.
    /// @param limits YAML map of the settings' limits.
    explicit ServiceCluster(std::size_t hosts, std::string limits = "{}");

    /// Starts another host and waits until it serves calls of the service.
    /// @returns its index in hosts.
    std::size_t addHost();

    /// @returns POST /order with the idempotency key @p key through host @p host, which may run only once.
    [[nodiscard]] HttpCall order(std::size_t host, const std::string &key, const std::string &body = "{}") const;

    /// @returns a call of the service through host @p host.
    [[nodiscard]] HttpCall
    serviceCall(std::size_t host, const std::string &method, const std::string &path, const std::string &body) const;

    /// Repeats @p wanted until the answer has @p status, for at most WaitLimit.
    /// @returns the last answer.
    CallResult callUntil(const HttpCall &wanted, int status) const;

    /// @returns how many calls all servers of the service have run.
    [[nodiscard]] std::uint64_t runs() const;

    /// @returns whether any idempotency key ran more than once.
    [[nodiscard]] bool ranTwice() const;

    /// Applies @p settings to every server of the service.
    void controlServers(const json &settings) const;

    Standins standins;
    std::vector<std::unique_ptr<Process>> hosts;

private:
    void publishNote() const;
    [[nodiscard]] std::string settingsOf(std::size_t host) const;

    std::string limits;
    TempDir files;
    std::vector<std::string> addresses;
    std::vector<std::unique_ptr<ReservedPort>> peerPorts;
};

/// @returns the kind of an error answer, or an empty string.
std::string errorKind(const CallResult &result);

/// @returns the X-Endivespan-Run header of an answer, or an empty string.
std::string runHeader(const CallResult &result);

} // namespace endivespan::harness
