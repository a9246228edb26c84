#include "route_common_p.h"

namespace endivespan {

namespace {

class ImportRouter : public Router
{
public:
    RouteDecision route(const RouteRequest &request, const RouteView &view, TimePoint now) override
    {
        const PromptHolders holders(request, view, now);
        return decideFor({request, view, holders, now}, leastLoaded(request, view, now), ImportRule::All);
    }

    [[nodiscard]] std::string_view name() const override
    {
        return "always_import";
    }
};

} // namespace

std::unique_ptr<Router> makeImportRouter()
{
    return std::make_unique<ImportRouter>();
}

} // namespace endivespan
