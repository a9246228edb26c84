#include "server_picker.h"

#include <algorithm>
#include <random>

namespace endivespan {

namespace {

class LeastInFlightPicker : public ServerPicker
{
public:
    LeastInFlightPicker(const Backends &backends, std::mt19937_64 &random)
        : backends(backends)
        , random(random)
    {
    }

    ServerHandle pick(const std::string &service, const std::vector<ServerHandle> &excluded) override
    {
        std::vector<ServerHandle> best;
        std::uint32_t least = 0;
        const auto &servers = this->backends.servers();
        for (std::uint32_t i = 0; i < servers.size(); ++i) {
            const bool tried = std::find(excluded.begin(), excluded.end(), ServerHandle {i}) != excluded.end();
            if (tried || !this->mayTake(servers[i], service)) {
                continue;
            }
            if (best.empty() || servers[i].inFlight < least) {
                best.clear();
                least = servers[i].inFlight;
            }
            if (servers[i].inFlight == least) {
                best.push_back({i});
            }
        }
        return best.empty() ? ServerHandle {} : best[this->random() % best.size()];
    }

private:
    [[nodiscard]] bool mayTake(const Backend &server, const std::string &service) const
    {
        const bool serves = server.kind == ServerKind::Plain && server.pool == service;
        return serves && this->backends.mayDispatch(server) && server.inFlight < server.warmConcurrency;
    }

    const Backends &backends;
    std::mt19937_64 &random;
};

} // namespace

std::unique_ptr<ServerPicker> makeLeastInFlightPicker(const Backends &backends, std::mt19937_64 &random)
{
    return std::make_unique<LeastInFlightPicker>(backends, random);
}

} // namespace endivespan
