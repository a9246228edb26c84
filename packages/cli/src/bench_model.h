#pragma once

#include "bench_workload.h"
#include "percentiles.h"

#include <endivespan/admit.h>
#include <endivespan/directory.h>
#include <endivespan/keep.h>
#include <endivespan/route.h>

#include <functional>
#include <memory>
#include <string>

/// Discrete-event model of runners, stores and their links, driven by the real decisions of several hosts.
namespace endivespan::cli {

/// The machines of the model.
struct ModelOptions {
    std::uint32_t runners = 20;
    std::uint32_t stores = 2;
    std::uint32_t capacity = 8; ///< Runs at a time on one runner.
    std::uint32_t memoryPieces = 160; ///< Accelerator memory of one runner.
    std::uint32_t storePieces = 15'000;
    std::uint32_t pieceBytes = 128'000'000;
    double prefillTokensPerSecond = 20'000;
    double secondsPerToken = 0.02;
    Duration hop = std::chrono::milliseconds(1);
    Duration reportPeriod = std::chrono::milliseconds(200);
    Duration reportLag = std::chrono::milliseconds(150);
    Duration eventPeriod = std::chrono::milliseconds(500);
    Duration eventLag = std::chrono::milliseconds(1000);
    double eventLoss = 0.02;
    Duration firstTokenBound = std::chrono::seconds(5); ///< A later first token is no good answer.
    Duration deadline = std::chrono::seconds(10); ///< For the first token.
};

/// How prompts are admitted.
enum class AdmissionRule {
    None, ///< Everything starts at once.
    Fifo,
    Fair,
};

/// The policies under test.
struct PolicySet {
    std::string name;
    std::function<std::unique_ptr<Router>()> makeRouter;
    std::function<std::unique_ptr<KeepPolicy>()> makeKeepPolicy; ///< Empty: nothing is exported.
    AdmissionRule admission = AdmissionRule::Fair;
    GapRule gapRule = GapRule::Keep;
    bool cacheEvents = true; ///< Off: hosts learn only from their own runs and from listings.
    bool ownDispatches = true; ///< Off: load reports are taken as they are.
};

/// What came out of one run of the model, counted after the warm-up.
struct ModelResult {
    Percentiles firstToken; ///< Seconds from arrival at the host.
    Percentiles lightFirstToken; ///< Of all organisations but the first.
    std::uint64_t offered = 0;
    std::uint64_t offeredLight = 0;
    std::uint64_t answered = 0;
    std::uint64_t answeredLight = 0;
    std::uint64_t good = 0; ///< First token within the bound.
    std::uint64_t refused = 0;
    std::uint64_t promptTokens = 0;
    std::uint64_t recomputedTokens = 0;
    std::uint64_t importedBytes = 0;
    std::uint64_t exportedBytes = 0;
    std::uint64_t wrongHints = 0; ///< Runs that found less in memory than planned.
};

/// Runs @p workload under @p policies.
ModelResult runModel(const ModelOptions &options, const PolicySet &policies, const Workload &workload);

} // namespace endivespan::cli
