#pragma once

#include <chrono>
#include <cstdint>
#include <string>

/// `endivespan bench policies`: routing, keeping and admission policies side by side on a model of the machines.
namespace endivespan::cli {

/// What to run.
struct BenchPoliciesOptions {
    std::uint64_t seed = 1;
    std::string workload = "all"; ///< Name of one workload, or "all".
    std::string policy = "all"; ///< Name of one set of policies, "all", or "ablation".
    std::chrono::seconds counted {1500}; ///< Model time that is counted.
    std::string jsonPath; ///< Empty: no JSON is written.
};

/// Runs the experiment and prints a table.
/// @returns the exit code of the process.
int benchPolicies(const BenchPoliciesOptions &options);

} // namespace endivespan::cli
