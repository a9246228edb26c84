#include <endivespan/weight_history.h>

#include <algorithm>

namespace endivespan {

bool WeightHistory::recordVersion(const std::string &model, std::uint64_t version, TimePoint at)
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

std::optional<TimePoint> WeightHistory::replacedAt(const std::string &model, std::uint64_t version) const
{
    const auto found = this->versions.find(model);
    if (found == this->versions.end()) {
        return std::nullopt;
    }
    std::optional<TimePoint> first;
    for (auto later = found->second.upper_bound(version); later != found->second.end(); ++later) {
        first = std::min(first.value_or(later->second), later->second);
    }
    return first;
}

std::uint64_t WeightHistory::oldestUsable(const std::string &model, Duration bound, TimePoint now) const
{
    std::uint64_t oldest = 0;
    if (const auto found = this->versions.find(model); found != this->versions.end()) {
        for (const auto &[version, at] : found->second) {
            oldest = now - at > bound ? version : oldest;
        }
    }
    return oldest;
}

} // namespace endivespan
