#include <endivespan/config.h>
#include <endivespan/placement.h>
#include <endivespan/weight_progress.h>

#include <algorithm>

namespace endivespan {

namespace {

constexpr std::uint64_t OldPartSeed = 1; // Not 0, with which stores are chosen, so that the orders are independent.

} // namespace

double oldPartRank(const std::string &id)
{
    return static_cast<double>(hashPrefix(OldPartSeed, id) >> 11U) * 0x1.0p-53;
}

void WeightProgress::observe(const ServerTable &servers,
                             const std::map<std::string, std::uint64_t> &named,
                             TimePoint now)
{
    this->firstSeen = this->firstSeen.value_or(now);
    this->newest = named;
    std::map<std::pair<std::string, std::uint64_t>, double> engines;
    std::map<std::string, double> all;
    for (const auto &[id, view] : servers.servers()) {
        for (const auto &[model, version] : view.entry.weights) {
            engines[{model, version}] += 1;
            all[model] += 1;
        }
    }
    for (const auto &[key, count] : engines) {
        if (const auto target = named.find(key.first); target != named.end() && key.second < target->second) {
            this->tracks.try_emplace(key);
        }
    }
    for (auto &[key, track] : this->tracks) {
        const double known = all[key.first];
        const double left = known > 0 ? 1 - engines[key] / known : 0;
        // The share never falls when engines start or stop: other hosts may already free the parts given up.
        if (left > track.left) {
            track.left = left;
            track.history.emplace_back(now, left);
        }
        while (track.history.size() > 1 && now - track.history[1].first > config::OldPartsFreeDelay) {
            track.history.pop_front();
        }
    }
}

bool WeightProgress::isUnderWay() const
{
    return !this->tracks.empty();
}

bool WeightProgress::mayUse(const std::string &model, std::uint64_t version, const std::string &id) const
{
    const auto named = this->newest.find(model);
    if (named == this->newest.end() || version >= named->second) {
        return true;
    }
    const auto track = this->tracks.find({model, version});
    return track != this->tracks.end() && oldPartRank(id) >= track->second.left;
}

double WeightProgress::leftAt(const std::string &model, std::uint64_t version, TimePoint at) const
{
    const auto track = this->tracks.find({model, version});
    if (track == this->tracks.end()) {
        // No engine has run this version since the first observe().
        return 1;
    }
    double left = 0;
    for (const auto &[since, share] : track->second.history) {
        left = since <= at ? share : left;
    }
    return left;
}

bool WeightProgress::mayFree(const std::string &model,
                             std::uint64_t version,
                             const std::string &id,
                             TimePoint now) const
{
    const auto named = this->newest.find(model);
    const TimePoint before = now - config::OldPartsFreeDelay;
    if (named == this->newest.end() || version >= named->second || !this->firstSeen || before < *this->firstSeen) {
        return false;
    }
    const double left = this->leftAt(model, version, before);
    return left >= 1 || oldPartRank(id) + config::OldPartsMargin < left;
}

} // namespace endivespan
