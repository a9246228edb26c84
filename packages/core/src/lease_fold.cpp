#include <endivespan/config.h>
#include <endivespan/invariant.h>
#include <endivespan/lease.h>

#include <algorithm>

namespace endivespan {

LeaseFold::LeaseFold(TimePoint startedAt, bool complete)
    : startedAt(startedAt)
    , complete(complete)
{
}

void LeaseFold::apply(const LogRecord &record, const LeaseRecord &body, TimePoint now)
{
    switch (body.action) {
    case LeaseAction::Acquire:
        return this->acquire(record, body, now);
    case LeaseAction::Renew:
        return this->renew(record, body, now);
    case LeaseAction::Release:
        return this->release(body);
    }
}

void LeaseFold::acquire(const LogRecord &record, const LeaseRecord &body, TimePoint now)
{
    const auto ttl = std::min<std::chrono::milliseconds>(body.ttl, config::LeaseTtl);
    for (const auto &[resource, unused] : body.resources) {
        const auto found = this->leases.find(resource);
        const bool taken = found != this->leases.end() && record.at < found->second.expiresAt;
        if (taken) {
            continue;
        }
        const std::uint64_t fence = record.offset + 1;
        std::uint64_t &greatest = this->greatestFences[resource];
        const std::string detail = resource + " at offset " + std::to_string(record.offset);
        if (checkInvariant(Invariant::FenceNeverFalls, fence > greatest, detail)) {
            const bool isFirst = this->complete && greatest == 0;
            greatest = fence;
            this->leases[resource] = {body.owner, fence, record.at + ttl, now, ttl, isFirst};
        }
    }
}

void LeaseFold::renew(const LogRecord &record, const LeaseRecord &body, TimePoint now)
{
    const auto ttl = std::min<std::chrono::milliseconds>(body.ttl, config::LeaseTtl);
    // A reader that began after the Acquire finds the lease in a renewal that lists it.
    for (const auto &[resource, fence] : body.resources) {
        std::uint64_t &greatest = this->greatestFences[resource];
        if (fence > greatest && !this->leases.contains(resource)) {
            greatest = fence;
            this->leases[resource] = {body.owner, fence, record.at + ttl, now, ttl};
        }
    }
    for (auto &[resource, lease] : this->leases) {
        // An expired lease is not extended: its holder already treats it as ended and must acquire it again.
        if (lease.owner == body.owner && record.at < lease.expiresAt) {
            lease.expiresAt = record.at + ttl;
            lease.foldedAt = now;
            lease.ttl = ttl;
        }
    }
}

void LeaseFold::release(const LeaseRecord &body)
{
    for (const auto &[resource, unused] : body.resources) {
        const auto found = this->leases.find(resource);
        if (found != this->leases.end() && found->second.owner == body.owner) {
            this->leases.erase(found);
        }
    }
}

const Lease *LeaseFold::find(const std::string &resource) const
{
    const auto found = this->leases.find(resource);
    return found == this->leases.end() ? nullptr : &found->second;
}

bool LeaseFold::isFree(const std::string &resource, TimePoint now) const
{
    if (const Lease *lease = this->find(resource)) {
        return now >= lease->foldedAt + lease->ttl + config::LeaseClockMargin;
    }
    return this->complete || now >= this->startedAt + config::LeaseTtl + config::LeaseClockMargin
        || this->greatestFences.contains(resource);
}

std::map<std::string, std::uint64_t> LeaseFold::ownedBy(const LeaseOwner &owner) const
{
    std::map<std::string, std::uint64_t> owned;
    for (const auto &[resource, lease] : this->leases) {
        if (lease.owner == owner) {
            owned[resource] = lease.fence;
        }
    }
    return owned;
}

} // namespace endivespan
