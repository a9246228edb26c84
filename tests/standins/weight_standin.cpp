#include "weight_standin.h"

#include <algorithm>

namespace endivespan::standins {

namespace {

constexpr std::string_view WeightsPrefix = "/weights/";
constexpr std::uint64_t WeightBytes = 4'000'000'000;

} // namespace

WeightStandIn::WeightStandIn(Loop &loop, const std::string &name)
    : StandIn(loop, "weights", name)
{
    this->setting("load_ms", this->loadTime);
    this->setting("free_loads", this->freeLoads);
    this->action("add", [this](const json &value) { this->bytesByPath[value.get<std::string>()] = WeightBytes; });
}

void WeightStandIn::addVersion(const std::string &model, const std::string &version)
{
    this->bytesByPath[model + "/" + version] = WeightBytes;
}

json WeightStandIn::counts() const
{
    return {{"loads", this->loads}, {"loading", this->loading}, {"most_loading", this->mostLoading}};
}

void WeightStandIn::handle(const ExchangePtr &exchange)
{
    const std::string &path = exchange->request().path;
    if (path == "/versions") {
        json versions = json::array();
        for (const auto &[place, bytes] : this->bytesByPath) {
            const auto slash = place.find('/');
            versions.push_back(
                {{"model", place.substr(0, slash)}, {"version", place.substr(slash + 1)}, {"bytes", bytes}});
        }
        replyJson(exchange, 200, {{"versions", versions}});
    } else if (path.starts_with(WeightsPrefix) && this->bytesByPath.contains(path.substr(WeightsPrefix.size()))) {
        this->sendWeights(exchange);
    } else {
        replyJson(exchange, 404, {{"error", "no such version"}});
    }
}

void WeightStandIn::sendWeights(const ExchangePtr &exchange)
{
    ++this->loading;
    this->mostLoading = std::max(this->mostLoading, this->loading);
    const double slowdown = std::max(
        1.0, static_cast<double>(this->loading) / static_cast<double>(std::max<std::uint64_t>(this->freeLoads, 1)));
    this->later(std::chrono::duration_cast<Duration>(this->loadTime * slowdown), [this, exchange] {
        --this->loading;
        ++this->loads;
        replyJson(exchange, 200, {{"loaded", exchange->request().path}});
    });
}

void WeightStandIn::dropWork()
{
    this->loading = 0;
}

} // namespace endivespan::standins
