#pragma once

#include "harness.h"

#include <memory>
#include <string>
#include <vector>

/// Hosts in front of the stand-ins of one plain service, with a release note in force.
namespace endivespan::harness {

/// The processes of one test.
class ServiceCluster
{
public:
    /// @param hosts Hosts to start.
    /// @param limits YAML map of the settings' limits.
    explicit ServiceCluster(std::size_t hosts, std::string limits = "{}");

    /// Starts another host and waits until it serves calls of the service.
    /// @returns its number.
    std::size_t addHost();

    /// @returns a call that changes something, as POST /order, through host @p host.
    [[nodiscard]] HttpCall order(std::size_t host, const std::string &key, const std::string &body = "{}") const;

    /// @returns a call of the service through host @p host.
    [[nodiscard]] HttpCall
    serviceCall(std::size_t host, const std::string &method, const std::string &path, const std::string &body) const;

    /// Sends @p wanted until the answer has @p status.
    CallResult callUntil(const HttpCall &wanted, int status) const;

    /// @returns how often the service has run anything.
    [[nodiscard]] std::uint64_t runs() const;

    /// @returns true when some key ran twice.
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
};

/// @returns the kind of an error answer, or an empty text.
std::string errorKind(const CallResult &result);

/// @returns the run header of an answer.
std::string runHeader(const CallResult &result);

} // namespace endivespan::harness
