#pragma once

#include <endivespan/clock.h>
#include <endivespan/config.h>
#include <endivespan/directory.h>
#include <endivespan/handle.h>
#include <endivespan/load_table.h>
#include <endivespan/prefix.h>

#include <array>
#include <cstdint>
#include <memory>
#include <span>
#include <string_view>

/// Chooses the runner for a prompt, and how that runner gets the prompt's prefix.
namespace endivespan {

/// One prompt to route.
struct RouteRequest {
    OrganisationHandle organisation;
    ModelHandle model;
    VersionHandle version;
    std::span<const PieceKey> pieces; ///< The prompt's full pieces in order; at most config::MaxPieces.
    std::uint32_t promptTokens = 0;
    std::uint32_t maxTokens = 0;
    std::span<const ServerHandle> excluded; ///< Runners that have already been tried.
    std::uint64_t random = 0; ///< Fresh random bits, which spread prompts over equally good runners.
};

/// The state that a routing decision is based on.
struct RouteView {
    const LoadTable &loads;
    const Directory &directory;
};

/// How the runner gets the prompt: pieces from its memory first, then pieces imported from stores; the rest is
/// recomputed.
struct RoutePlan {
    std::uint16_t hitPieces = 0; ///< Leading pieces that the runner holds in memory.
    std::uint16_t importPieces = 0; ///< Pieces after those that the runner imports.
    std::uint32_t recomputeTokens = 0; ///< Remaining tokens.
    std::uint64_t importBytes = 0; ///< Size of the imported pieces.
    std::array<LinkUse, MaxLinksPerRun> links {}; ///< The stores that the bytes come from.
};

/// A runner with the plan for running the prompt there, and estimated times.
struct RouteCandidate {
    ServerHandle server;
    RoutePlan plan;
    Duration wait {}; ///< Before the import or prefill starts.
    Duration transfer {}; ///< Import, including the queue of the link.
    Duration prefill {};
    Duration expected {}; ///< Time to first token: the sum of the others.
};

/// The result of routing a prompt, and the candidates that were compared.
struct RouteDecision {
    ServerHandle server; ///< Invalid when no runner may run the prompt.
    RoutePlan plan;
    /// For each of the first sourceCount pieces a copy from which the runner can import it if it does not hold it. The
    /// list includes the pieces that the plan expects in memory, which may turn out to be missing. Such a piece without
    /// a known copy is listed with generation 0 and the store of the first import.
    std::array<StoreCopy, config::MaxPieces> sources;
    std::uint16_t sourceCount = 0;
    Duration expected {};
    std::array<RouteCandidate, config::RouteListedCandidates> candidates; ///< Best first.
    std::uint8_t candidateCount = 0;

    /// @returns true when a runner has been chosen.
    [[nodiscard]] bool isValid() const
    {
        return this->server.isValid();
    }
};

/// @returns the dispatch to record in the load table for @p decision.
Dispatch dispatchOf(const RouteDecision &decision);

/// A routing policy.
class Router
{
public:
    virtual ~Router() = default;

    /// Routes one prompt. Never chooses a runner that may not take work, has no credit left or serves another version.
    virtual RouteDecision route(const RouteRequest &request, const RouteView &view, TimePoint now) = 0;

    /// @returns the name of the policy for logs and tables.
    [[nodiscard]] virtual std::string_view name() const = 0;
};

/// Parts of the expected-time policy, each of which can be disabled for ablation runs.
struct ExpectedRouterOptions {
    bool imports = true; ///< Consider imports from stores.
    bool memoryHits = true; ///< Consider which runners hold the prefix in memory.
    bool linkQueue = true; ///< Include the queue of the link in the time of an import.
    bool spread = true; ///< Choose at random among candidates that are nearly as good as the best one.
};

/// Makes the policy that chooses the runner and plan with the least expected time to first token.
std::unique_ptr<Router> makeExpectedRouter(const ExpectedRouterOptions &options = {});

/// Makes the policy that chooses the runners in turn; it uses the pieces that the runner holds and imports nothing.
std::unique_ptr<Router> makeRoundRobinRouter();

/// Makes the policy that chooses the runner with the shortest expected wait; it imports nothing.
std::unique_ptr<Router> makeLeastLoadedRouter();

/// Makes the policy that chooses the runner that holds the longest prefix of the prompt, or the least loaded one when
/// none holds any; it imports nothing.
std::unique_ptr<Router> makeAffinityRouter();

/// Makes the policy that chooses the least loaded runner and recomputes the whole prompt.
std::unique_ptr<Router> makeRecomputeRouter();

/// Makes the policy that chooses the least loaded runner and imports every piece that a store holds.
std::unique_ptr<Router> makeImportRouter();

} // namespace endivespan
