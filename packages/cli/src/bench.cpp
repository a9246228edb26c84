#include "bench.h"

#include "bench_decisions.h"
#include "bench_policies.h"

#include <memory>

namespace endivespan::cli {

namespace {

void addDecisions(CLI::App &bench, int &exitCode)
{
    CLI::App *command = bench.add_subcommand(
        "decisions", "Measures time and memory of routing, directory, admission and placement at four sizes.");
    const auto options = std::make_shared<BenchDecisionsOptions>();
    command->add_option("--seed", options->seed, "Seed of the random numbers.");
    command->add_option("--rounds", options->rounds, "Number of decisions of each kind at each size.");
    command->add_option("--json", options->jsonPath, "File for the results as JSON.");
    command->callback([options, &exitCode] { exitCode = benchDecisions(*options); });
}

void addPolicies(CLI::App &bench, int &exitCode)
{
    CLI::App *command
        = bench.add_subcommand("policies", "Compares policies in a simulation of runners, stores and links.");
    const auto options = std::make_shared<BenchPoliciesOptions>();
    const auto seconds = std::make_shared<std::uint32_t>(static_cast<std::uint32_t>(options->counted.count()));
    command->add_option("--seed", options->seed, "Seed of the workloads.");
    command->add_option("--workload", options->workload, "Name of a workload, or all.");
    command->add_option("--policy", options->policy, "Name of a policy, all, or ablation (one feature off at a time).");
    command->add_option("--seconds", *seconds, "Simulated seconds that count in the results, after the warm-up.");
    command->add_option("--json", options->jsonPath, "File for the results as JSON.");
    command->callback([options, seconds, &exitCode] {
        options->counted = std::chrono::seconds(*seconds);
        exitCode = benchPolicies(*options);
    });
}

} // namespace

void addBench(CLI::App &app, int &exitCode)
{
    CLI::App *bench = app.add_subcommand("bench", "Measures the cost of decisions and compares policies.");
    bench->require_subcommand(1);
    addDecisions(*bench, exitCode);
    addPolicies(*bench, exitCode);
}

} // namespace endivespan::cli
