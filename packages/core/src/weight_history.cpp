#include <endivespan/weight_history.h>

#include <algorithm>

namespace endivespan {

bool WeightHistory::recordVersion(const std::string &model, std::uint64_t version, std::optional<TimePoint> at)
{
    return this->versions[model].emplace(version, at).second;
}

std::map<std::string, std::uint64_t> WeightHistory::newest() const
{
    std::map<std::string, std::uint64_t> all;
    for (const auto &[model, named] : this->versions) {
        all[model] = named.rbegin()->first;
    }
    return all;
}

std::optional<std::uint64_t> WeightHistory::newest(const std::string &model) const
{
    const auto found = this->versions.find(model);
    return found == this->versions.end() ? std::nullopt : std::optional(found->second.rbegin()->first);
}

bool WeightHistory::lacksTimes() const
{
    return std::any_of(this->versions.begin(), this->versions.end(), [](const auto &model) {
        return std::any_of(
            model.second.begin(), model.second.end(), [](const auto &named) { return !named.second.has_value(); });
    });
}

std::vector<WeightNaming> WeightHistory::namings(TimePoint now) const
{
    std::vector<WeightNaming> all;
    for (const auto &[model, named] : this->versions) {
        for (const auto &[version, at] : named) {
            all.push_back({model, version, at ? std::optional(std::max(now - *at, Duration::zero())) : std::nullopt});
        }
    }
    return all;
}

// A time holds for all versions back to the next older one that its host has on record. So that older one is taken over
// too, even if its own time is unknown: without it, a version replaced long ago would count as replaced only now.
std::vector<WeightNaming> WeightHistory::adoptNamings(const std::vector<WeightNaming> &statement, TimePoint askedAt)
{
    std::map<std::string, std::uint64_t> newestUnknown;
    for (const auto &[model, named] : this->versions) {
        for (const auto &[version, at] : named) {
            if (!at) {
                newestUnknown[model] = version;
            }
        }
    }
    std::vector<WeightNaming> learned;
    for (const WeightNaming &naming : statement) {
        const auto upTo = newestUnknown.find(naming.model);
        if (upTo == newestUnknown.end() || naming.version > upTo->second) {
            continue;
        }
        std::optional<TimePoint> &at = this->versions[naming.model][naming.version];
        if (!at && naming.age) {
            at = askedAt - *naming.age;
            learned.push_back(naming);
        }
    }
    return learned;
}

std::optional<TimePoint> WeightHistory::replacedAt(const std::string &model, std::uint64_t version) const
{
    const auto found = this->versions.find(model);
    if (found == this->versions.end()) {
        return std::nullopt;
    }
    std::optional<TimePoint> first;
    for (auto later = found->second.upper_bound(version); later != found->second.end(); ++later) {
        const TimePoint at = later->second.value_or(TimePoint::min());
        first = std::min(first.value_or(at), at);
    }
    return first;
}

std::uint64_t WeightHistory::oldestUsable(const std::string &model, Duration bound, TimePoint now) const
{
    std::uint64_t oldest = 0;
    if (const auto found = this->versions.find(model); found != this->versions.end()) {
        for (const auto &[version, at] : found->second) {
            oldest = !at || now - *at > bound ? version : oldest;
        }
    }
    return oldest;
}

} // namespace endivespan
