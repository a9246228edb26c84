#pragma once

#include <endivespan/clock.h>
#include <endivespan/handle.h>
#include <endivespan/prefix.h>

#include <cstdint>
#include <string>
#include <vector>

/// Workloads of the policy experiment, drawn from a seed before any policy runs.
namespace endivespan::cli {

/// A long text that prompts start with.
struct Catalogue {
    OrganisationHandle organisation;
    std::vector<PieceKey> pieces;
};

/// One prompt.
struct Arrival {
    TimePoint at;
    std::uint32_t catalogue = 0;
    std::uint32_t tailTokens = 0;
    std::uint32_t maxTokens = 0;
    std::uint32_t host = 0;
    std::uint64_t random = 0;
};

/// What shapes a workload.
struct WorkloadOptions {
    std::string name;
    double requestsPerSecond = 6;
    double coldShare = 0.05; ///< Prompts whose catalogue is never used again.
    double linkBytesPerSecond = 5e9; ///< Of each store.
    double crowdRequestsPerSecond = 0; ///< Extra prompts on one catalogue for crowdTime, once a period.
    Duration crowdTime = std::chrono::seconds(10);
    Duration crowdPeriod = std::chrono::seconds(300);
    double floodRequestsPerSecond = 0; ///< Extra prompts of organisation 0, each with a catalogue of its own.
    Duration warmup = std::chrono::seconds(1500); ///< Not counted in the results.
    Duration counted = std::chrono::seconds(1500);
    std::uint32_t organisations = 10;
    std::uint32_t hosts = 12;
    std::uint64_t seed = 1;
};

/// Everything that comes from outside, in order of time.
struct Workload {
    WorkloadOptions options;
    std::vector<Catalogue> catalogues;
    std::vector<Arrival> arrivals;
};

/// @returns the same workload for the same options.
Workload makeWorkload(const WorkloadOptions &options);

} // namespace endivespan::cli
