#pragma once

#include <endivespan/clock.h>
#include <endivespan/shared_store.h>

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

/// Configuration of forwarded requests, which are passed on to a server with method, path and body unchanged.
namespace endivespan {

/// Whether a request may be sent again when the outcome of an attempt is unknown.
enum class RepeatRule {
    Once, ///< Never: each request runs at most once.
    Repeatable, ///< The whole request may run again.
    Resumable, ///< A stream, which may continue at another server after the last event received.
};

/// One of the services that a route may send requests to.
struct ForwardTarget {
    std::string service;
    double weight = 1; ///< Share of the requests, relative to the other targets of the route.
};

/// Where requests to one host name and path prefix go, and how they are handled.
struct ForwardRoute {
    std::string name;
    std::string host; ///< Value of the Host header that the route applies to.
    std::string pathPrefix; ///< Begins and ends with a slash.
    RepeatRule repeat = RepeatRule::Once;
    bool isStream = false;
    bool isPublic = false; ///< Needs no API key.
    std::chrono::milliseconds timeout {}; ///< Maximum time that a caller waits for the answer.
    std::chrono::milliseconds aim {}; ///< Target time to the answer or, for a stream, to the first event.
    int priority = 0; ///< 0 is the most urgent.
    std::uint32_t maxAttempts = 1; ///< Maximum number of servers that one request may run on.
    std::vector<ForwardTarget> targets;
};

/// A service: a set of servers that run the same program.
struct ForwardService {
    std::string name;
    double coldRate = 0; ///< Limit for one cold server, in requests per second from all hosts together; 0 for none.
    std::chrono::milliseconds coldTime {}; ///< How long a server is cold after its start.
    std::uint32_t slots = 0; ///< Requests that one engine runs at the same time; 0 for services that are no engines.
    std::uint64_t memoryTokens = 0; ///< Memory of one engine in tokens; 0 for services that are no engines.
};

/// An organisation whose API keys callers use.
struct ForwardOrganisation {
    std::string name;
    std::optional<int> priority; ///< Overrides the priority of the route.
    bool isolated = false; ///< When true, it shares no cached prefix with any other organisation.
};

/// Limits for the connections and requests of callers.
struct ForwardLimits {
    std::size_t maxHeaderBytes;
    std::size_t maxBodyBytes;
    std::chrono::milliseconds headerTimeout;
    std::chrono::milliseconds idleTimeout;

    ForwardLimits();
};

/// One version of the configuration.
struct ForwardConfig {
    std::uint64_t version = 0;
    std::vector<ForwardRoute> routes;
    std::unordered_map<std::string, ForwardService> services;
    std::vector<ForwardStore> stores;
    std::vector<ForwardOrganisation> organisations;
    std::unordered_map<std::string, std::size_t> keys; ///< Maps API keys to indices into organisations.
    ForwardLimits limits;

    /// @returns the route of @p host with the longest matching prefix of @p path, or null.
    [[nodiscard]] const ForwardRoute *route(std::string_view host, std::string_view path) const;

    /// @returns the organisation that the API key @p key belongs to, or null.
    [[nodiscard]] const ForwardOrganisation *organisationOfKey(const std::string &key) const;

    /// @returns the service named @p name, or null.
    [[nodiscard]] const ForwardService *service(const std::string &name) const;
};

/// Chooses one of the services of @p route by weight.
/// @param random Random number; equal numbers choose the same service.
/// @returns the name of the service.
const std::string &chooseTarget(const ForwardRoute &route, std::uint64_t random);

} // namespace endivespan
