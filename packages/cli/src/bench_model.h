#pragma once

#include "bench_workload.h"
#include "percentiles.h"

#include <endivespan/admission.h>
#include <endivespan/directory.h>
#include <endivespan/keep.h>
#include <endivespan/route.h>

#include <functional>
#include <memory>
#include <string>

/// Discrete-event simulation of runners, stores and their links. Several hosts make their decisions with the same code
/// as in production.
namespace endivespan::cli {

/// Sizes, speeds and delays of the simulated machines.
struct ModelOptions {
    std::uint32_t runners = 20;
    std::uint32_t stores = 2;
    std::uint32_t capacity = 8; ///< Concurrent runs on one runner.
    std::uint32_t memoryPieces = 160; ///< Accelerator memory of one runner, in pieces.
    std::uint32_t storePieces = 15'000; ///< Capacity of one store, in pieces.
    std::uint32_t pieceBytes = 128'000'000;
    double prefillTokensPerSecond = 20'000;
    double secondsPerToken = 0.02; ///< Time to generate one token of the answer.
    Duration hop = std::chrono::milliseconds(1); ///< Network latency between host and runner.
    Duration reportPeriod = std::chrono::milliseconds(200); ///< Between load reports.
    Duration reportLag = std::chrono::milliseconds(150); ///< From making a load report to its arrival.
    Duration eventPeriod = std::chrono::milliseconds(500); ///< Between batches of cache events and listings.
    Duration eventLag = std::chrono::milliseconds(1000); ///< From sending a batch to its arrival.
    double eventLoss = 0.02; ///< Probability that a cache event is lost.
    Duration firstTokenBound = std::chrono::seconds(5); ///< Answers with a later first token do not count as good.
    Duration deadline = std::chrono::seconds(10); ///< For the first token, from the arrival of the prompt.
};

/// How prompts are admitted.
enum class AdmissionRule {
    None, ///< Every prompt starts at once.
    Fifo, ///< In order of arrival.
    Fair, ///< By fair shares between organisations.
};

/// A named combination of policies to compare.
struct PolicySet {
    std::string name;
    std::function<std::unique_ptr<Router>()> makeRouter;
    std::function<std::unique_ptr<KeepPolicy>()> makeKeepPolicy; ///< Empty: nothing is exported to stores.
    AdmissionRule admission = AdmissionRule::Fair;
    GapRule gapRule = GapRule::Keep; ///< What happens to a server's hints after a gap in its cache events.
    bool cacheEvents = true; ///< Off: hosts track cached pieces only by their own runs and by listings.
    bool ownDispatches = true; ///< Off: load reports are used without adding the host's own later dispatches.
};

/// Results of one simulation, for prompts that arrive after the warm-up.
struct ModelResult {
    Percentiles firstToken; ///< Seconds from arrival at the host.
    /// Of all organisations but organisation 0, which is the largest and the one that floods.
    Percentiles lightFirstToken;
    std::uint64_t offered = 0;
    std::uint64_t offeredLight = 0; ///< Of the same organisations as lightFirstToken.
    std::uint64_t answered = 0;
    std::uint64_t answeredLight = 0;
    std::uint64_t good = 0; ///< First token within the bound.
    std::uint64_t refused = 0;
    std::uint64_t promptTokens = 0;
    std::uint64_t recomputedTokens = 0;
    std::uint64_t importedBytes = 0;
    std::uint64_t exportedBytes = 0;
    std::uint64_t wrongHints = 0; ///< Runs whose runner held fewer pieces in memory than the router expected.
};

/// Simulates @p workload with @p policies.
ModelResult runModel(const ModelOptions &options, const PolicySet &policies, const Workload &workload);

} // namespace endivespan::cli
