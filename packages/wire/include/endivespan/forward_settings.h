#pragma once

#include <endivespan/problem.h>

#include <chrono>
#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

/// Settings of a host that forwards requests, in YAML. docs/OPERATIONS.md describes every key.
namespace endivespan {

/// Time bounds and rate limits of a deployment. They apply to all hosts together.
struct ForwardBounds {
    /// From SIGTERM until the process is killed.
    std::chrono::milliseconds stopTime {8000};
    /// Longest time from an operator's change until it is in force.
    std::chrono::milliseconds changes {2000};
    /// Longest time from a server's report that it is leaving until it receives no more requests.
    std::chrono::milliseconds draining {2000};
    /// Longest time from the withdrawal of a key until requests with it are rejected.
    std::chrono::milliseconds revocation {5000};
    /// Whether revocation also holds while no host reaches the log, so that keys are refused then.
    bool strictRevocation = true;
    /// Longest time from naming a version of the weights until older ones are no longer used.
    std::chrono::milliseconds weights {10000};
    /// Shortest time between orders of two hosts to the same engine.
    std::chrono::milliseconds leaseGap {3000};
    /// Longest time from the log's recovery until expired list entries have been renewed.
    std::chrono::milliseconds listLapse {2000};
    double retryRatio = 0.2; ///< Retries allowed per request, within the window.
    double retrySlack = 0; ///< Retries allowed in addition, within the window.
    std::chrono::milliseconds retryWindow {10000};
    double coldFactor = 1.0; ///< Multiplies the request rate that a cold server states.
    double coldSlack = 0; ///< Requests per second allowed in addition.

    bool operator==(const ForwardBounds &) const = default;
};

/// For which services requests wait in a queue with a forecast, see ForwardQueue.
enum class LoadControl {
    Auto, ///< For those whose servers report a pace.
    Always,
    Never,
};

/// Settings that a host reads at startup.
struct ForwardSettings {
    std::string host;
    std::string region;
    std::string failureDomain;
    std::string listenCallers; ///< "a.b.c.d:port", like all addresses here.
    std::string listenReadiness;
    std::string listenPeers;
    std::string listenMetrics;
    std::string logAddress;
    bool firstStart = false; ///< True when no host of the system has served before.
    ForwardBounds bounds;
    std::optional<std::size_t> memory; ///< Of the machine, in bytes; limits what is held for callers.
    LoadControl loadControl = LoadControl::Auto;

    bool operator==(const ForwardSettings &) const = default;
};

/// Parses settings from @p yaml.
/// @param file File name, used only in problems.
/// @returns the settings, or all problems found.
Checked<ForwardSettings> parseForwardSettings(std::string_view yaml, const std::string &file);

} // namespace endivespan
