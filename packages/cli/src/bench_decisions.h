#pragma once

#include <cstdint>
#include <string>

/// `endivespan bench decisions`: time and memory that one host needs for its decisions, at systems of growing size.
namespace endivespan::cli {

/// Options of `bench decisions`.
struct BenchDecisionsOptions {
    std::uint64_t seed = 1;
    std::uint32_t rounds = 100'000; ///< Number of decisions of each kind at each size.
    std::string jsonPath; ///< Empty: no JSON is written.
};

/// Runs the benchmark and prints a table.
/// @returns the exit code of the process.
int benchDecisions(const BenchDecisionsOptions &options);

} // namespace endivespan::cli
