#include "route_common_p.h"

namespace endivespan {

namespace {

class ImportRouter : public Router
{
public:
    Decision route(const RouteRequest &request, const RouteView &view, TimePoint now) override
    {
        Decision decision;
        const PromptHolders holders(request, view.directory);
        const ServerHandle server = leastLoaded(request, view, now);
        if (!server.isValid()) {
            return decision;
        }
        const Duration wait = view.loads.expectedWait(server, now);
        const std::uint16_t hit = holders.hitPieces(server);
        StoreHandle source;
        std::uint16_t most = 0;
        for (const StoreHandle store : holders.stores()) {
            const std::uint16_t pieces = holders.copiesFrom(store, hit);
            if (pieces > most && view.loads.link(store).usable) {
                source = store;
                most = pieces;
            }
        }
        offerCandidate(decision, weigh(request, view, holders, server, wait, source, most, true, now));
        choose(decision, 0, holders);
        return decision;
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
