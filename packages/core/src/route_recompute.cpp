#include "route_common_p.h"

namespace endivespan {

namespace {

class RecomputeRouter : public Router
{
public:
    RouteDecision route(const RouteRequest &request, const RouteView &view, TimePoint now) override
    {
        RouteRequest bare = request;
        bare.pieces = {};
        const PromptHolders holders(bare, view, now);
        return decideFor({bare, view, holders, now}, leastLoaded(bare, view, now), ImportRule::None);
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
