#pragma once

#include <endivespan/problem.h>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

/// Settings of one host, written in YAML. docs/OPERATIONS.md describes every key.
namespace endivespan {

/// How a returning prompt is routed.
enum class RoutingPolicy {
    Expected, ///< Least expected time to first token.
    RoundRobin,
    LeastLoaded,
    Affinity,
    AlwaysRecompute,
    AlwaysImport,
};

/// Which cache pieces are kept.
enum class KeepingPolicy {
    Saving, ///< Largest expected saving per byte and link second.
    Lru,
};

/// Addresses that a host listens on.
struct ListenSettings {
    std::string callers; ///< "a.b.c.d:port"; port 0 takes a free one.
    std::string peers; ///< "a.b.c.d:port"; port 0 takes a free one.

    bool operator==(const ListenSettings &) const = default;
};

/// Bounds on what a host takes on.
struct LimitSettings {
    std::uint32_t requestsInFlight;
    std::size_t maxBodyBytes;
    std::chrono::milliseconds defaultDeadline; ///< For requests that name none.
    std::chrono::milliseconds claimSnapshotPeriod; ///< At most a third of the log's retention.

    LimitSettings();
    bool operator==(const LimitSettings &) const = default;
};

/// Everything that one host is told at its start.
struct Settings {
    std::string host;
    std::string region;
    std::string failureDomain;
    ListenSettings listen;
    std::string logAddress; ///< "a.b.c.d:port", as are the next two.
    std::string hostListAddress;
    std::string weightStoreAddress;
    std::vector<std::string> peers; ///< Peer addresses of other hosts to contact first.
    RoutingPolicy routing = RoutingPolicy::Expected;
    KeepingPolicy keeping = KeepingPolicy::Saving;
    LimitSettings limits;

    bool operator==(const Settings &) const = default;
};

/// @returns the name of @p policy as written in settings.
std::string_view routingPolicyName(RoutingPolicy policy);

/// @returns the name of @p policy as written in settings.
std::string_view keepingPolicyName(KeepingPolicy policy);

/// Reads settings from @p yaml.
/// @param file Name of the file, for problems only.
/// @returns the settings, or all problems.
Checked<Settings> parseSettings(std::string_view yaml, const std::string &file);

} // namespace endivespan
