#include <endivespan/config.h>
#include <endivespan/old_parts.h>
#include <endivespan/placement.h>

#include <algorithm>

namespace endivespan {

namespace {

constexpr std::uint64_t OldPartSeed = 1; // Not 0, with which stores are chosen, so that the orders are independent.

// Returns the rank of a part in the order in which parts are given up, which is the same on all hosts: at least 0 and
// less than 1.
double rankOf(const std::string &id)
{
    return hashFraction(hashPrefix(OldPartSeed, id));
}

} // namespace

OldParts::OldParts(Duration time)
    : time(time)
{
}

void OldParts::observe(const std::map<std::string, std::uint64_t> &newest, TimePoint now)
{
    for (const auto &[model, version] : newest) {
        auto &versions = this->knownSince[model];
        versions.try_emplace(version, now);
        // Without the oldest ones, older parts are freed later.
        while (versions.size() > config::OldPartsVersions) {
            versions.erase(versions.begin());
        }
    }
}

Duration OldParts::timeOf(double rank) const
{
    const double share = config::OldPartsKeptShare + (1 - config::OldPartsKeptShare) * rank;
    return std::chrono::duration_cast<Duration>(share * this->time);
}

bool OldParts::mayUse(TimePoint replacedAt, const std::string &id, TimePoint now) const
{
    return replacedAt != TimePoint::min() && now < replacedAt + this->timeOf(rankOf(id));
}

// A host that has not read of the naming yet uses all parts, for as long as it may transfer by what it has read before.
bool OldParts::mayFree(const std::string &model, std::uint64_t version, const std::string &id, TimePoint now) const
{
    const auto found = this->knownSince.find(model);
    if (found == this->knownSince.end()) {
        return false;
    }
    const auto newer = found->second.upper_bound(version);
    if (newer == found->second.end()) {
        return false;
    }
    const Duration lastUse = std::max<Duration>(this->timeOf(rankOf(id)), config::TransferFreshness);
    return now >= newer->second + lastUse + config::FetchEndTime;
}

bool OldParts::isUnderWay(TimePoint now) const
{
    const Duration all = std::max<Duration>(this->time, config::TransferFreshness) + config::FetchEndTime;
    return std::any_of(this->knownSince.begin(), this->knownSince.end(), [now, all](const auto &model) {
        return !model.second.empty() && now < model.second.rbegin()->second + all + config::OwnershipPeriod;
    });
}

} // namespace endivespan
