#pragma once

#include <endivespan/problem.h>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

/// Settings of one host, in YAML. docs/OPERATIONS.md describes every key.
namespace endivespan {

/// How a prompt whose prefix may be cached is routed to an engine.
enum class RoutingPolicy {
    Expected, ///< Shortest expected time to the first token.
    RoundRobin,
    LeastLoaded,
    Affinity,
    AlwaysRecompute,
    AlwaysImport,
};

/// How the cache pieces to be kept are chosen.
enum class KeepingPolicy {
    Saving, ///< Pieces with the largest expected saving per byte and per second of link time.
    Lru,
};

/// Addresses that a host listens on.
struct ListenSettings {
    std::string callers; ///< "a.b.c.d:port"; port 0 selects a free port.
    std::string peers; ///< "a.b.c.d:port"; port 0 selects a free port.

    bool operator==(const ListenSettings &) const = default;
};

/// Limits on the work that a host accepts.
struct LimitSettings {
    std::uint32_t requestsInFlight;
    std::size_t maxBodyBytes;
    std::chrono::milliseconds defaultDeadline; ///< Applies to requests that state no deadline.
    std::chrono::milliseconds claimSnapshotPeriod; ///< Must be at most a third of the log's retention time.

    LimitSettings();
    bool operator==(const LimitSettings &) const = default;
};

/// Settings that a host reads at startup.
struct Settings {
    std::string host;
    std::string region;
    std::string failureDomain;
    ListenSettings listen;
    std::string logAddress; ///< "a.b.c.d:port", like the next two addresses.
    std::string hostListAddress;
    std::string weightStoreAddress;
    std::vector<std::string> peers; ///< Peer addresses of the hosts to contact first.
    RoutingPolicy routing = RoutingPolicy::Expected;
    KeepingPolicy keeping = KeepingPolicy::Saving;
    LimitSettings limits;

    bool operator==(const Settings &) const = default;
};

/// @returns the name of @p policy in the settings file.
std::string_view routingPolicyName(RoutingPolicy policy);

/// @returns the name of @p policy in the settings file.
std::string_view keepingPolicyName(KeepingPolicy policy);

/// Parses settings from @p yaml.
/// @param file File name, used only in problems.
/// @returns the settings, or all problems found.
Checked<Settings> parseSettings(std::string_view yaml, const std::string &file);

} // namespace endivespan
