#include "bench_policies.h"

#include "bench_model.h"

#include <fmt/core.h>
#include <nlohmann/json.hpp>

#include <fstream>
#include <vector>

namespace endivespan::cli {

namespace {

using nlohmann::json;

PolicySet expectedSet(const std::string &name, const ExpectedRouterOptions &options = {})
{
    PolicySet set;
    set.name = name;
    set.makeRouter = [options] { return makeExpectedRouter(options); };
    set.makeKeepPolicy = makeSavingPolicy;
    return set;
}

PolicySet baseline(const std::string &name, std::unique_ptr<Router> (*makeRouter)())
{
    PolicySet set;
    set.name = name;
    set.makeRouter = makeRouter;
    return set;
}

std::vector<PolicySet> comparedSets()
{
    std::vector<PolicySet> sets;
    sets.push_back(expectedSet("expected"));
    sets.push_back(baseline("round_robin", makeRoundRobinRouter));
    sets.push_back(baseline("least_loaded", makeLeastLoadedRouter));
    sets.push_back(baseline("prefix_affinity", makeAffinityRouter));
    sets.push_back(baseline("always_recompute", makeRecomputeRouter));
    sets.push_back(baseline("always_import", makeImportRouter));
    sets.back().makeKeepPolicy = makeLruPolicy;
    return sets;
}

// The full set, and the full set with one feature turned off or replaced at a time.
std::vector<PolicySet> ablationSets()
{
    std::vector<PolicySet> sets;
    sets.push_back(expectedSet("expected"));
    sets.push_back(expectedSet("no_imports", {.imports = false}));
    sets.push_back(expectedSet("no_memory_hits", {.memoryHits = false}));
    sets.push_back(expectedSet("no_link_queue", {.linkQueue = false}));
    sets.push_back(expectedSet("no_spread", {.spread = false}));
    sets.push_back(expectedSet("keep_lru"));
    sets.back().makeKeepPolicy = makeLruPolicy;
    sets.push_back(expectedSet("gap_drops_hints"));
    sets.back().gapRule = GapRule::Drop;
    sets.push_back(expectedSet("no_cache_events"));
    sets.back().cacheEvents = false;
    sets.push_back(expectedSet("no_own_dispatches"));
    sets.back().ownDispatches = false;
    sets.push_back(expectedSet("fifo_admission"));
    sets.back().admission = AdmissionRule::Fifo;
    sets.push_back(expectedSet("no_admission"));
    sets.back().admission = AdmissionRule::None;
    return sets;
}

WorkloadOptions workloadNamed(const std::string &name)
{
    WorkloadOptions options;
    options.name = name;
    return options;
}

std::vector<WorkloadOptions> workloads()
{
    std::vector<WorkloadOptions> list;
    list.push_back(workloadNamed("returning"));
    list.push_back(workloadNamed("link_starved"));
    list.back().linkBytesPerSecond = 1e9;
    list.push_back(workloadNamed("cold_heavy"));
    list.back().coldShare = 0.7;
    list.push_back(workloadNamed("flash_crowd"));
    list.back().crowdRequestsPerSecond = 60;
    list.push_back(workloadNamed("unloaded"));
    list.back().requestsPerSecond = 3;
    for (const int flood : {9, 12, 24}) {
        list.push_back(workloadNamed(fmt::format("flood_{}", flood)));
        list.back().requestsPerSecond = 3;
        list.back().floodRequestsPerSecond = flood;
    }
    return list;
}

json toJson(const WorkloadOptions &workload, const PolicySet &set, const ModelResult &result)
{
    return {{"workload", workload.name},
            {"policy", set.name},
            {"seed", workload.seed},
            {"offered", result.offered},
            {"answered", result.answered},
            {"refused", result.refused},
            {"good", result.good},
            {"ttft_p50_s", result.firstToken.at(0.5)},
            {"ttft_p95_s", result.firstToken.at(0.95)},
            {"ttft_p99_s", result.firstToken.at(0.99)},
            {"light_ttft_p95_s", result.lightFirstToken.at(0.95)},
            {"light_answered", result.answeredLight},
            {"light_offered", result.offeredLight},
            {"prompt_tokens", result.promptTokens},
            {"recomputed_tokens", result.recomputedTokens},
            {"imported_bytes", result.importedBytes},
            {"exported_bytes", result.exportedBytes},
            {"wrong_hints", result.wrongHints}};
}

double share(std::uint64_t part, std::uint64_t whole)
{
    return whole > 0 ? 100.0 * static_cast<double>(part) / static_cast<double>(whole) : 0;
}

void printHead()
{
    fmt::print("{:<13} {:<18} {:>7} {:>7} {:>7} {:>8} {:>9} {:>9} {:>7} {:>8} {:>8} {:>7}\n",
               "workload",
               "policy",
               "p50 s",
               "p95 s",
               "p99 s",
               "light95",
               "answered%",
               "good/s",
               "recomp%",
               "import GB",
               "export GB",
               "wrong%");
}

void printRow(const WorkloadOptions &workload, const PolicySet &set, const ModelResult &result)
{
    const double seconds = std::chrono::duration<double>(workload.counted).count();
    fmt::print(
        "{:<13} {:<18} {:>7.3f} {:>7.3f} {:>7.3f} {:>8.3f} {:>9.1f} {:>9.2f} {:>7.1f} {:>8.0f} {:>8.0f} {:>7.1f}\n",
        workload.name,
        set.name,
        result.firstToken.at(0.5),
        result.firstToken.at(0.95),
        result.firstToken.at(0.99),
        result.lightFirstToken.at(0.95),
        share(result.answered, result.offered),
        static_cast<double>(result.good) / seconds,
        share(result.recomputedTokens, result.promptTokens),
        static_cast<double>(result.importedBytes) / 1e9,
        static_cast<double>(result.exportedBytes) / 1e9,
        share(result.wrongHints, result.answered));
    std::fflush(stdout);
}

bool isWanted(const std::string &wanted, const std::string &name)
{
    return wanted == "all" || wanted == "ablation" || wanted == name;
}

} // namespace

int benchPolicies(const BenchPoliciesOptions &options)
{
    const std::vector<PolicySet> sets = options.policy == "ablation" ? ablationSets() : comparedSets();
    json rows = json::array();
    printHead();
    for (WorkloadOptions shape : workloads()) {
        if (!isWanted(options.workload, shape.name)) {
            continue;
        }
        shape.seed = options.seed;
        shape.counted = options.counted;
        const Workload workload = makeWorkload(shape);
        for (const PolicySet &set : sets) {
            if (!isWanted(options.policy, set.name)) {
                continue;
            }
            const ModelResult result = runModel({}, set, workload);
            printRow(shape, set, result);
            rows.push_back(toJson(shape, set, result));
        }
    }
    if (!options.jsonPath.empty()) {
        std::ofstream(options.jsonPath) << rows.dump(2) << '\n';
    }
    return 0;
}

} // namespace endivespan::cli
