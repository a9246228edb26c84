#pragma once

#include <endivespan/problem.h>

#include <chrono>
#include <string>
#include <string_view>

/// Settings of a host that forwards requests, written in YAML. docs/OPERATIONS.md describes every key.
namespace endivespan {

/// Bounds that the deployment sets, over all hosts together.
struct ForwardBounds {
    std::chrono::milliseconds stopTime {8000}; ///< From SIGTERM until the process is killed.
    std::chrono::milliseconds changes {2000}; ///< From an operator's change until it is in force.
    std::chrono::milliseconds draining {2000}; ///< From a server's word that it leaves until it gets no more requests.
    std::chrono::milliseconds revocation {5000}; ///< From the withdrawal of a key until it may no longer be served.
    std::chrono::milliseconds weights {10000}; ///< From the naming of weights until older ones may no longer be used.
    std::chrono::milliseconds leaseGap {3000}; ///< Least time between orders of two hosts to one engine.
    std::chrono::milliseconds listLapse {2000}; ///< After the log's return, until lapsed entries are back.
    double retryRatio = 0.2; ///< Repeats for each request, within the window.
    double retrySlack = 0; ///< Repeats beyond that.
    std::chrono::milliseconds retryWindow {10000};
    double coldFactor = 1.0; ///< Times the rate that a cold server names.
    double coldSlack = 0; ///< Requests a second beyond that.

    bool operator==(const ForwardBounds &) const = default;
};

/// Everything that one host is told at its start.
struct ForwardSettings {
    std::string host;
    std::string region;
    std::string failureDomain;
    std::string listenCallers; ///< "a.b.c.d:port", as are all addresses.
    std::string listenReadiness;
    std::string listenPeers;
    std::string listenMetrics;
    std::string logAddress;
    bool firstStart = false; ///< The whole system starts for the first time: no host has served before.
    ForwardBounds bounds;

    bool operator==(const ForwardSettings &) const = default;
};

/// Reads settings from @p yaml.
/// @param file Name of the file, for problems only.
/// @returns the settings, or all problems.
Checked<ForwardSettings> parseForwardSettings(std::string_view yaml, const std::string &file);

} // namespace endivespan
