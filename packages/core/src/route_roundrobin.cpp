#include "route_common_p.h"

namespace endivespan {

namespace {

class RoundRobinRouter : public Router
{
public:
    RouteDecision route(const RouteRequest &request, const RouteView &view, TimePoint now) override
    {
        const PromptHolders holders(request, view, now);
        const std::span<const ServerHandle> pool = view.loads.pool(request.model);
        for (std::size_t i = 0; i < pool.size(); ++i) {
            const ServerHandle server = pool[this->next++ % pool.size()];
            if (isEligible(request, view.loads.server(server), server)) {
                return decideFor({request, view, holders, now}, server, ImportRule::None);
            }
        }
        return {};
    }

    [[nodiscard]] std::string_view name() const override
    {
        return "round_robin";
    }

private:
    std::size_t next = 0;
};

} // namespace

std::unique_ptr<Router> makeRoundRobinRouter()
{
    return std::make_unique<RoundRobinRouter>();
}

} // namespace endivespan
