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

/// Configuration for forwarded requests: those that pass through with method, path and body unchanged.
namespace endivespan {

/// What may be done again when the outcome of an attempt is unknown.
enum class RepeatRule {
    Once, ///< Nothing: each request runs at most once.
    Repeatable,
    Resumable, ///< A stream, which may go on at another server after the last event that came.
};

/// One of the services that a route may send to.
struct ForwardTarget {
    std::string service;
    double weight = 1;
};

/// Where requests to a host and path go, and how they are treated.
struct ForwardRoute {
    std::string name;
    std::string host;
    std::string pathPrefix; ///< Begins and ends with a slash.
    RepeatRule repeat = RepeatRule::Once;
    bool isStream = false;
    bool isPublic = false; ///< Needs no API key.
    std::chrono::milliseconds timeout {}; ///< The longest that a caller is kept waiting.
    std::chrono::milliseconds aim {}; ///< An answer or first event within this time is on time.
    int priority = 0; ///< 0 is the most urgent.
    std::uint32_t maxAttempts = 1; ///< Servers that one request may run on.
    std::vector<ForwardTarget> targets;
};

/// Servers that run the same program.
struct ForwardService {
    std::string name;
    double coldRate = 0; ///< Requests a second that a cold server bears, from all hosts together; 0 for no bound.
    std::chrono::milliseconds coldTime {}; ///< How long a server is cold after its start.
    std::uint32_t slots = 0; ///< Of engines only.
    std::uint64_t memoryTokens = 0; ///< Of engines only.
};

/// Whose requests these are.
struct ForwardOrganisation {
    std::string name;
    std::optional<int> priority; ///< Goes before that of the route.
    bool isolated = false; ///< Shares no cached prefix with any other.
};

/// Bounds on what callers send.
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
    std::unordered_map<std::string, std::size_t> keys; ///< Index into organisations, by API key.
    ForwardLimits limits;

    /// @returns the route with the longest prefix of @p path among those of @p host, or null.
    [[nodiscard]] const ForwardRoute *route(std::string_view host, std::string_view path) const;

    /// @returns the organisation that holds @p key, or null.
    [[nodiscard]] const ForwardOrganisation *organisationOfKey(const std::string &key) const;

    /// @returns the service called @p name, or null.
    [[nodiscard]] const ForwardService *service(const std::string &name) const;
};

/// @param random Any number; equal numbers choose equal services.
/// @returns the service of @p route that a request goes to, by weight.
const std::string &chooseTarget(const ForwardRoute &route, std::uint64_t random);

} // namespace endivespan
