#include "route_common_p.h"

namespace endivespan {

namespace {

class AffinityRouter : public Router
{
public:
    Decision route(const RouteRequest &request, const RouteView &view, TimePoint now) override
    {
        Decision decision;
        const PromptHolders holders(request, view.directory);
        ServerHandle server;
        std::uint16_t most = 0;
        for (const PromptHolders::Hit &hit : holders.hits()) {
            if (hit.pieces > most && isEligible(request, view.loads.server(hit.server), hit.server)) {
                server = hit.server;
                most = hit.pieces;
            }
        }
        server = server.isValid() ? server : leastLoaded(request, view, now);
        if (server.isValid()) {
            const Duration wait = view.loads.expectedWait(server, now);
            offerCandidate(decision, weigh(request, view, holders, server, wait, {}, 0, false, now));
            choose(decision, 0, holders);
        }
        return decision;
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
