#pragma once

#include <endivespan/clock.h>
#include <endivespan/handle.h>
#include <endivespan/prefix.h>

#include <cstdint>
#include <string>
#include <vector>

/// Workloads for the comparison of policies. They are generated from a seed before the simulation starts, so that every
/// policy handles the same prompts.
namespace endivespan::cli {

/// A long text that several prompts of an organisation start with, as cacheable pieces.
struct Catalogue {
    OrganisationHandle organisation;
    std::vector<PieceKey> pieces;
};

/// One prompt that arrives at a host.
struct Arrival {
    TimePoint at;
    std::uint32_t catalogue = 0; ///< Index of the text that the prompt starts with.
    std::uint32_t tailTokens = 0; ///< Prompt tokens after that text.
    std::uint32_t maxTokens = 0; ///< Tokens of the answer.
    std::uint32_t host = 0;
    std::uint64_t random = 0; ///< Random number for the decisions about this prompt.
};

/// Parameters of a workload.
struct WorkloadOptions {
    std::string name;
    double requestsPerSecond = 6;
    double coldShare = 0.05; ///< Share of the prompts whose catalogue is used only once.
    double linkBytesPerSecond = 5e9; ///< Bandwidth of each store's link.
    double crowdRequestsPerSecond = 0; ///< Extra prompts with one catalogue, for crowdTime in each crowdPeriod.
    Duration crowdTime = std::chrono::seconds(10);
    Duration crowdPeriod = std::chrono::seconds(300);
    double floodRequestsPerSecond = 0; ///< Extra prompts of organisation 0, each with a catalogue of its own.
    Duration warmup = std::chrono::seconds(1500); ///< Not counted in the results.
    Duration counted = std::chrono::seconds(1500);
    std::uint32_t organisations = 10;
    std::uint32_t hosts = 12;
    std::uint64_t seed = 1;
};

/// The input of a simulation; arrivals are sorted by time.
struct Workload {
    WorkloadOptions options;
    std::vector<Catalogue> catalogues;
    std::vector<Arrival> arrivals;
};

/// Generates a workload; the same options always give the same one.
Workload makeWorkload(const WorkloadOptions &options);

} // namespace endivespan::cli
