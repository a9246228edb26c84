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
        const PromptHolders holders(request, view, now);
        const Weighing weighing {request, view, holders, now, this->options.linkQueue};
        if (this->options.memoryHits) {
            for (const PromptHolders::Hit &hit : holders.hits()) {
                this->weighServer(decision, weighing, hit.server);
            }
        }
        this->weighSample(decision, weighing);
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
    void weighSample(Decision &decision, const Weighing &weighing) const
    {
        const std::span<const ServerHandle> pool = weighing.view.loads.pool(weighing.request.model);
        if (pool.empty()) {
            return;
        }
        std::uint64_t random = weighing.request.random;
        const std::size_t first = nextRandom(random) % pool.size();
        std::size_t weighed = 0;
        for (std::size_t i = 0; i < pool.size() && weighed < config::RouteSampledServers; ++i) {
            const ServerHandle server = pool[(first + i) % pool.size()];
            if (this->options.memoryHits && weighing.holders.hitPieces(server) > 0) {
                continue;
            }
            weighed += this->weighServer(decision, weighing, server) ? 1 : 0;
        }
    }

    bool weighServer(Decision &decision, const Weighing &weighing, ServerHandle server) const
    {
        if (!isEligible(weighing.request, weighing.view.loads.server(server), server)) {
            return false;
        }
        const ImportRule rule = this->options.imports ? ImportRule::Fastest : ImportRule::None;
        offerCandidate(decision, weigh(weighing, server, rule));
        return true;
    }

    // Hosts that have received the same reports would all choose the same runner; a random choice among the candidates
    // that are nearly as good as the best one spreads them.
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
        // The first random number was used for the start of the sample; using it again would correlate the two choices
        // and undo the spread.
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
