#include "route_common_p.h"

namespace endivespan {

namespace {

class RecomputeRouter : public Router
{
public:
    Decision route(const RouteRequest &request, const RouteView &view, TimePoint now) override
    {
        Decision decision;
        RouteRequest bare = request;
        bare.pieces = {};
        const PromptHolders holders(bare, view.directory);
        if (const ServerHandle server = leastLoaded(request, view, now); server.isValid()) {
            const Duration wait = view.loads.expectedWait(server, now);
            offerCandidate(decision, weigh(request, view, holders, server, wait, {}, 0, false, now));
            choose(decision, 0, holders);
        }
        return decision;
    }

    [[nodiscard]] std::string_view name() const override
    {
        return "always_recompute";
    }
};

} // namespace

std::unique_ptr<Router> makeRecomputeRouter()
{
    return std::make_unique<RecomputeRouter>();
}

} // namespace endivespan
