#include <endivespan/config.h>
#include <endivespan/invariant.h>
#include <endivespan/lease.h>

#include <algorithm>
#include <utility>

namespace endivespan {

LeaseHolder::LeaseHolder(LeaseOwner owner, TimePoint now)
    : owner(std::move(owner))
    , renewAt(now)
    , acquireAt(now)
{
}

void LeaseHolder::setWanted(std::set<std::string> resources)
{
    this->wanted = std::move(resources);
}

LeaseRecord LeaseHolder::makeRecord(LeaseAction action, std::vector<LeasedResource> resources)
{
    return {action, this->owner, ++this->lastNumber, config::LeaseTtl, std::move(resources)};
}

std::vector<LeasedResource> LeaseHolder::takeResourcesToRelease(const LeaseFold &fold)
{
    std::vector<LeasedResource> resources;
    for (const auto &[resource, fence] : fold.ownedBy(this->owner)) {
        const auto released = this->releasedFences.find(resource);
        const bool wasReleased = released != this->releasedFences.end() && released->second == fence;
        if (wasReleased || !this->wanted.contains(resource)) {
            resources.push_back({resource, 0});
            // Ended here before the record is sent, since another host may acquire the lease from then on.
            this->releasedFences[resource] = fence;
            this->leases.erase(resource);
        }
    }
    return resources;
}

std::vector<LeasedResource> LeaseHolder::resourcesToList(TimePoint now)
{
    std::vector<LeasedResource> resources;
    if (this->renewals++ % config::LeaseRenewalsPerListing == 0) {
        for (const auto &[resource, fence] : this->held(now)) {
            resources.push_back({resource, fence});
        }
    }
    return resources;
}

std::vector<LeasedResource> LeaseHolder::resourcesToAcquire(const LeaseFold &fold, TimePoint now) const
{
    std::vector<LeasedResource> resources;
    for (const std::string &resource : this->wanted) {
        if (!this->fence(resource, now) && fold.isFree(resource, now)) {
            resources.push_back({resource, 0});
        }
    }
    return resources;
}

std::optional<LeaseRecord> LeaseHolder::chooseRecord(const LeaseFold &fold, TimePoint now)
{
    if (now >= this->renewAt && !this->held(now).empty()) {
        this->renewAt = now + config::LeaseRenewPeriod;
        return this->makeRecord(LeaseAction::Renew, this->resourcesToList(now));
    }
    if (now < this->acquireAt) {
        return {};
    }
    this->acquireAt = now + config::LeaseAcquirePeriod;
    if (auto resources = this->takeResourcesToRelease(fold); !resources.empty()) {
        return this->makeRecord(LeaseAction::Release, std::move(resources));
    }
    if (auto resources = this->resourcesToAcquire(fold, now); !resources.empty()) {
        return this->makeRecord(LeaseAction::Acquire, std::move(resources));
    }
    return {};
}

std::optional<LeaseRecord> LeaseHolder::next(const LeaseFold &fold, TimePoint now)
{
    if (this->appending) {
        return {};
    }
    auto record = this->chooseRecord(fold, now);
    if (record) {
        this->appending = true;
        std::erase_if(this->sentTimes, [now](const auto &item) { return now - item.second >= config::LeaseTtl; });
        this->sentTimes[record->number] = now;
    }
    return record;
}

void LeaseHolder::appended(bool applied, TimePoint now)
{
    this->appending = false;
    if (!applied) {
        this->sentTimes.erase(this->lastNumber);
        this->renewAt = std::min(this->renewAt, now + config::LeaseRetryPeriod);
    }
}

void LeaseHolder::eraseLostLeases(const LeaseFold &fold)
{
    std::erase_if(this->leases, [this, &fold](const auto &item) {
        const Lease *lease = fold.find(item.first);
        return lease == nullptr || lease->owner != this->owner || lease->fence != item.second.fence;
    });
}

void LeaseHolder::onFolded(const LeaseFold &fold, const LogRecord &record, const LeaseRecord &body)
{
    this->eraseLostLeases(fold);
    const auto sent = this->sentTimes.extract(body.owner == this->owner ? body.number : 0);
    if (sent.empty() || body.action == LeaseAction::Release) {
        return;
    }
    // Counted from before the append, so that the lease ends here before the log can grant it to another process.
    const TimePoint validUntil = sent.mapped() + config::LeaseTtl - config::LeaseClockMargin;
    for (const auto &[resource, fence] : fold.ownedBy(this->owner)) {
        const auto released = this->releasedFences.find(resource);
        const bool isReleased = released != this->releasedFences.end() && released->second == fence;
        // A record that the log accepted after the lease had expired did not extend it.
        const bool extended = fold.find(resource)->expiresAt == record.at + body.ttl;
        if (isReleased || !extended) {
            continue;
        }
        const auto [place, isNew] = this->leases.try_emplace(resource, Held {fence, sent.mapped(), validUntil});
        place->second.validUntil = std::max(place->second.validUntil, validUntil);
    }
}

std::optional<std::uint64_t> LeaseHolder::fence(const std::string &resource, TimePoint now) const
{
    const auto found = this->leases.find(resource);
    if (found == this->leases.end() || now >= found->second.validUntil) {
        return {};
    }
    return found->second.fence;
}

bool LeaseHolder::checkUse(const std::string &resource, std::uint64_t fence, TimePoint now) const
{
    return checkInvariant(Invariant::LeaseHeldWhenUsed, this->fence(resource, now) == fence, resource);
}

std::optional<TimePoint> LeaseHolder::ordersAllowedFrom(const std::string &resource, bool checksOrders) const
{
    const auto found = this->leases.find(resource);
    if (found == this->leases.end()) {
        return {};
    }
    const TimePoint since = found->second.acquiredAt;
    return checksOrders ? since : since + config::LongestOrderDeadline;
}

std::map<std::string, std::uint64_t> LeaseHolder::held(TimePoint now) const
{
    std::map<std::string, std::uint64_t> resources;
    for (const auto &[resource, held] : this->leases) {
        if (now < held.validUntil) {
            resources[resource] = held.fence;
        }
    }
    return resources;
}

} // namespace endivespan
