#pragma once

#include <chrono>
#include <cstdint>
#include <string>

/// `endivespan bench policies`: compares policies of routing, keeping and admission in a simulation of the machines.
namespace endivespan::cli {

/// Options of `bench policies`.
struct BenchPoliciesOptions {
    std::uint64_t seed = 1;
    std::string workload = "all"; ///< Name of a workload, or "all".
    /// Name of a set of policies, "all", or "ablation" for the full set with one feature off at a time.
    std::string policy = "all";
    std::chrono::seconds counted {1500}; ///< Simulated time that counts in the results, after the warm-up.
    std::string jsonPath; ///< Empty: no JSON is written.
};

/// Simulates each selected workload with each selected set of policies and prints a table.
/// @returns the exit code of the process.
int benchPolicies(const BenchPoliciesOptions &options);

} // namespace endivespan::cli
