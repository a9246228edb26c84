#include "bench.h"

#include "bench_decisions.h"
#include "bench_policies.h"

#include <memory>

namespace endivespan::cli {

namespace {

void addDecisions(CLI::App &bench, int &exitCode)
{
    CLI::App *command = bench.add_subcommand("decisions", "Times routing, directory and admission at four sizes.");
    const auto options = std::make_shared<BenchDecisionsOptions>();
    command->add_option("--seed", options->seed, "Seed of everything that is drawn.");
    command->add_option("--rounds", options->rounds, "Decisions of each kind at each size.");
    command->add_option("--json", options->jsonPath, "File for the results as JSON.");
    command->callback([options, &exitCode] { exitCode = benchDecisions(*options); });
}

void addPolicies(CLI::App &bench, int &exitCode)
{
    CLI::App *command = bench.add_subcommand("policies", "Compares policies on a model of runners, stores and links.");
    const auto options = std::make_shared<BenchPoliciesOptions>();
    const auto seconds = std::make_shared<std::uint32_t>(static_cast<std::uint32_t>(options->counted.count()));
    command->add_option("--seed", options->seed, "Seed of the workloads.");
    command->add_option("--workload", options->workload, "Name of one workload, or all.");
    command->add_option("--policy", options->policy, "Name of one policy, all, or ablation.");
    command->add_option("--seconds", *seconds, "Model time that is counted.");
    command->add_option("--json", options->jsonPath, "File for the results as JSON.");
    command->callback([options, seconds, &exitCode] {
        options->counted = std::chrono::seconds(*seconds);
        exitCode = benchPolicies(*options);
    });
}

} // namespace

void addBench(CLI::App &app, int &exitCode)
{
    CLI::App *bench = app.add_subcommand("bench", "Measures decisions and policies.");
    bench->require_subcommand(1);
    addDecisions(*bench, exitCode);
    addPolicies(*bench, exitCode);
}

} // namespace endivespan::cli
