#include "route_common_p.h"

namespace endivespan {

namespace {

class AffinityRouter : public Router
{
public:
    RouteDecision route(const RouteRequest &request, const RouteView &view, TimePoint now) override
    {
        const PromptHolders holders(request, view, now);
        ServerHandle server;
        std::uint16_t most = 0;
        for (const PromptHolders::Hit &hit : holders.hits()) {
            if (hit.pieces > most && isEligible(request, view.loads.server(hit.server), hit.server)) {
                server = hit.server;
                most = hit.pieces;
            }
        }
        server = server.isValid() ? server : leastLoaded(request, view, now);
        return decideFor({request, view, holders, now}, server, ImportRule::None);
    }

    [[nodiscard]] std::string_view name() const override
    {
        return "prefix_affinity";
    }
};

} // namespace

std::unique_ptr<Router> makeAffinityRouter()
{
    return std::make_unique<AffinityRouter>();
}

} // namespace endivespan
