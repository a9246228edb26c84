#include "route_common_p.h"

namespace endivespan {

namespace {

class LeastLoadedRouter : public Router
{
public:
    RouteDecision route(const RouteRequest &request, const RouteView &view, TimePoint now) override
    {
        const PromptHolders holders(request, view, now);
        return decideFor({request, view, holders, now}, leastLoaded(request, view, now), ImportRule::None);
    }

    [[nodiscard]] std::string_view name() const override
    {
        return "least_loaded";
    }
};

} // namespace

std::unique_ptr<Router> makeLeastLoadedRouter()
{
    return std::make_unique<LeastLoadedRouter>();
}

} // namespace endivespan
