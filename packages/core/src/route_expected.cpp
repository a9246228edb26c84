#include "route_common_p.h"

#include <algorithm>

namespace endivespan {

namespace {

class ExpectedRouter : public Router
{
public:
    explicit ExpectedRouter(const ExpectedRouterOptions &options)
        : options(options)
    {
    }

    Decision route(const RouteRequest &request, const RouteView &view, TimePoint now) override
    {
        Decision decision;
        const PromptHolders holders(request, view.directory);
        if (this->options.memoryHits) {
            for (const PromptHolders::Hit &hit : holders.hits()) {
                this->weighServer(decision, request, view, holders, hit.server, now);
            }
        }
        this->weighSample(decision, request, view, holders, now);
        if (decision.candidateCount > 0) {
            choose(decision, this->pick(decision, request.random), holders);
        }
        return decision;
    }

    [[nodiscard]] std::string_view name() const override
    {
        return "expected";
    }

private:
    void weighSample(Decision &decision,
                     const RouteRequest &request,
                     const RouteView &view,
                     const PromptHolders &holders,
                     TimePoint now) const
    {
        const std::span<const ServerHandle> pool = view.loads.pool(request.model);
        if (pool.empty()) {
            return;
        }
        std::uint64_t random = request.random;
        const std::size_t first = nextRandom(random) % pool.size();
        std::size_t weighed = 0;
        for (std::size_t i = 0; i < pool.size() && weighed < config::RouteSampledServers; ++i) {
            const ServerHandle server = pool[(first + i) % pool.size()];
            if (this->options.memoryHits && holders.hitPieces(server) > 0) {
                continue;
            }
            weighed += this->weighServer(decision, request, view, holders, server, now) ? 1 : 0;
        }
    }

    // Transfer and prefill both grow in step with their pieces, so for one store either nothing or all it holds is
    // best.
    bool weighServer(Decision &decision,
                     const RouteRequest &request,
                     const RouteView &view,
                     const PromptHolders &holders,
                     ServerHandle server,
                     TimePoint now) const
    {
        if (!isEligible(request, view.loads.server(server), server)) {
            return false;
        }
        const Duration wait = view.loads.expectedWait(server, now);
        const bool linkQueue = this->options.linkQueue;
        RouteCandidate best = weigh(request, view, holders, server, wait, {}, 0, linkQueue, now);
        if (this->options.imports) {
            for (const StoreHandle store : holders.stores()) {
                const std::uint16_t pieces = holders.copiesFrom(store, best.plan.hitPieces);
                if (pieces == 0 || !view.loads.link(store).usable) {
                    continue;
                }
                const RouteCandidate other = weigh(request, view, holders, server, wait, store, pieces, linkQueue, now);
                best = other.expected < best.expected ? other : best;
            }
        }
        offerCandidate(decision, best);
        return true;
    }

    // Hosts that read the same reports would all pick the same best; a draw among equals spreads them.
    [[nodiscard]] std::size_t pick(const Decision &decision, std::uint64_t random) const
    {
        if (!this->options.spread) {
            return 0;
        }
        const Duration best = decision.candidates.front().expected;
        const auto share = std::chrono::duration<double>(best) * config::RouteNearBestShare;
        const Duration bound = best + std::chrono::duration_cast<Duration>(share) + config::RouteNearBestSlack;
        std::size_t near = 1;
        while (near < decision.candidateCount && decision.candidates.at(near).expected <= bound) {
            ++near;
        }
        // The first draw decided where the sample starts; drawing again from the same bits would undo the spread.
        nextRandom(random);
        return nextRandom(random) % near;
    }

    ExpectedRouterOptions options;
};

} // namespace

std::unique_ptr<Router> makeExpectedRouter(const ExpectedRouterOptions &options)
{
    return std::make_unique<ExpectedRouter>(options);
}

} // namespace endivespan
