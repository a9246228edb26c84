#pragma once

#include <cstdint>
#include <string>

/// `endivespan bench decisions`: time and memory of the decisions at growing sizes.
namespace endivespan::cli {

/// What to run.
struct BenchDecisionsOptions {
    std::uint64_t seed = 1;
    std::uint32_t rounds = 100'000; ///< Decisions of each kind at each size.
    std::string jsonPath; ///< Empty: no JSON is written.
};

/// Runs the benchmark and prints a table.
/// @returns the exit code of the process.
int benchDecisions(const BenchDecisionsOptions &options);

} // namespace endivespan::cli
