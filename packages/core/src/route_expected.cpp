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

    RouteDecision route(const RouteRequest &request, const RouteView &view, TimePoint now) override
    {
        RouteDecision decision;
        const PromptHolders holders(request, view, now);
        const CandidateContext context {request, view, holders, now, this->options.linkQueue};
        if (this->options.memoryHits) {
            for (const PromptHolders::Hit &hit : holders.hits()) {
                this->evaluateServer(decision, context, hit.server);
            }
        }
        this->evaluateSample(decision, context);
        if (decision.candidateCount > 0) {
            selectCandidate(decision, this->pick(decision, request.random), holders);
        }
        return decision;
    }

    [[nodiscard]] std::string_view name() const override
    {
        return "expected";
    }

private:
    void evaluateSample(RouteDecision &decision, const CandidateContext &context) const
    {
        const std::span<const ServerHandle> pool = context.view.loads.pool(context.request.model);
        if (pool.empty()) {
            return;
        }
        std::uint64_t random = context.request.random;
        const std::size_t first = nextRandom(random) % pool.size();
        std::size_t evaluated = 0;
        for (std::size_t i = 0; i < pool.size() && evaluated < config::RouteSampledServers; ++i) {
            const ServerHandle server = pool[(first + i) % pool.size()];
            if (this->options.memoryHits && context.holders.hitPieces(server) > 0) {
                continue;
            }
            evaluated += this->evaluateServer(decision, context, server) ? 1 : 0;
        }
    }

    bool evaluateServer(RouteDecision &decision, const CandidateContext &context, ServerHandle server) const
    {
        if (!isEligible(context.request, context.view.loads.server(server), server)) {
            return false;
        }
        const ImportRule rule = this->options.imports ? ImportRule::Fastest : ImportRule::None;
        insertCandidate(decision, evaluateCandidate(context, server, rule));
        return true;
    }

    // Hosts that have received the same reports would all choose the same runner; a random choice among the candidates
    // that are nearly as good as the best one spreads them.
    [[nodiscard]] std::size_t pick(const RouteDecision &decision, std::uint64_t random) const
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
