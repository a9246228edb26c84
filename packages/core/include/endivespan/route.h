#pragma once

#include <endivespan/clock.h>
#include <endivespan/config.h>
#include <endivespan/directory.h>
#include <endivespan/handle.h>
#include <endivespan/load.h>
#include <endivespan/prefix.h>

#include <array>
#include <cstdint>
#include <memory>
#include <span>
#include <string_view>

/// Choice of the runner for a prompt, and of how it gets the prompt's prefix.
namespace endivespan {

/// One prompt to place.
struct RouteRequest {
    OrganisationHandle organisation;
    ModelHandle model;
    VersionHandle version;
    std::span<const PieceKey> pieces; ///< Full pieces in order; at most config::MaxPieces.
    std::uint32_t promptTokens = 0;
    std::uint32_t maxTokens = 0;
    std::span<const ServerHandle> excluded; ///< Already tried.
    std::uint64_t random = 0; ///< Fresh random bits; spread among equals is drawn from them.
};

/// What a router may look at.
struct RouteView {
    const LoadTable &loads;
    const Directory &directory;
};

/// How the runner gets the prompt: first pieces from its memory, then imported ones, then recomputed tokens.
struct RoutePlan {
    std::uint16_t hitPieces = 0;
    std::uint16_t importPieces = 0;
    std::uint32_t recomputeTokens = 0;
    std::uint64_t importBytes = 0;
    std::array<LinkUse, MaxLinksPerRun> links {}; ///< Where the bytes come from.
};

/// One weighed way to run the prompt.
struct RouteCandidate {
    ServerHandle server;
    RoutePlan plan;
    Duration wait {};
    Duration transfer {}; ///< With the queue of the link.
    Duration prefill {};
    Duration expected {}; ///< Time to first token.
};

/// Where a prompt goes and why.
struct Decision {
    ServerHandle server; ///< Invalid when no runner may take it.
    RoutePlan plan;
    /// A copy of each of the first sourceCount pieces, for the runner to import those that it does not hold. That
    /// covers pieces believed in memory too; one of them without a copy has generation 0 in the store of the first
    /// import.
    std::array<StoreCopy, config::MaxPieces> sources;
    std::uint16_t sourceCount = 0;
    Duration expected {};
    std::array<RouteCandidate, config::RouteListedCandidates> candidates; ///< Best first.
    std::uint8_t candidateCount = 0;

    /// @returns true when there is a runner to send the prompt to.
    [[nodiscard]] bool isValid() const
    {
        return this->server.isValid();
    }
};

/// @returns what the load table has to know of @p decision.
Dispatch dispatchOf(const Decision &decision);

/// A routing policy.
class Router
{
public:
    virtual ~Router() = default;

    /// Places one prompt. Never returns a runner that may not take work, has no credit or serves another version.
    virtual Decision route(const RouteRequest &request, const RouteView &view, TimePoint now) = 0;

    /// @returns the name of the policy for logs and tables.
    [[nodiscard]] virtual std::string_view name() const = 0;
};

/// Parts of the expected-time policy that can be turned off one by one.
struct ExpectedRouterOptions {
    bool imports = true;
    bool memoryHits = true;
    bool linkQueue = true; ///< Count the queue of the link.
    bool spread = true; ///< Draw among near-best candidates.
};

/// Least expected time to first token.
std::unique_ptr<Router> makeExpectedRouter(const ExpectedRouterOptions &options = {});

/// Each runner in turn; uses what it happens to hold, imports nothing.
std::unique_ptr<Router> makeRoundRobinRouter();

/// The runner with the shortest expected wait; imports nothing.
std::unique_ptr<Router> makeLeastLoadedRouter();

/// The runner that holds most of the prompt, or least loaded when none does; imports nothing.
std::unique_ptr<Router> makeAffinityRouter();

/// The least loaded runner, everything recomputed.
std::unique_ptr<Router> makeRecomputeRouter();

/// The least loaded runner, everything imported that a store holds.
std::unique_ptr<Router> makeImportRouter();

} // namespace endivespan
