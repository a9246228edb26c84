#include <endivespan/log_position.h>
#include <endivespan/order_lease.h>

#include <utility>

namespace endivespan {

namespace {

std::string recordOf(const std::string &holder, std::uint64_t era)
{
    return holder + "@" + std::to_string(era);
}

} // namespace

OrderLease::OrderLease(std::string self, OrderLeaseTimes times)
    : self(std::move(self))
    , times(times)
{
}

OrderLeaseStep OrderLease::next(TimePoint now) const
{
    if (!this->knownEnd) {
        return OrderLeaseStep::Read;
    }
    if (this->newestIsOwn) {
        // Renewed at half the term, so that one lost call does not end the lease.
        const bool due = now >= this->heldSince + this->times.term / 2;
        return due ? OrderLeaseStep::Append : OrderLeaseStep::Nothing;
    }
    // The last holder may have given orders until the end of its term, which began before its record was read here, or
    // before the restore that removed its record.
    const TimePoint since = this->hasRecord ? this->firstSeen : this->eraSince;
    const bool mayBeHeld = this->hasRecord || this->era.value_or(0) > 0;
    const bool free = !mayBeHeld || now >= since + this->times.term + this->times.gap;
    return free ? OrderLeaseStep::Append : OrderLeaseStep::Nothing;
}

void OrderLease::onEra(std::uint64_t newEra, TimePoint now)
{
    if (this->era && newEra <= *this->era) {
        return;
    }
    const bool isRestored = this->era.has_value();
    this->era = newEra;
    this->eraSince = now;
    if (isRestored) {
        this->knownEnd.reset();
        this->newestIsOwn = false;
        this->heldUntil = {};
    }
}

void OrderLease::onRead(const std::string &newest, std::uint64_t end, TimePoint now)
{
    if (eraOf(end) < this->era.value_or(0)) {
        this->onNoAnswer();
        return;
    }
    const bool isNew = end != this->lastEnd || !this->hasRecord;
    this->knownEnd = end;
    this->lastEnd = end;
    this->hasRecord = offsetOf(end) > 0;
    if (isNew) {
        this->firstSeen = now;
    }
    // The newest record may be from an own append whose answer was lost. heldUntil is not extended for it, since its
    // term began when it was sent and that time was not kept; next() renews instead.
    // A record of an earlier era, from the copy or applied late, gives no right: another host may have taken the lease.
    this->newestIsOwn = newest == recordOf(this->self, eraOf(end));
}

std::string OrderLease::record() const
{
    return recordOf(this->self, eraOf(this->end()));
}

void OrderLease::appended(std::uint64_t offset, TimePoint sentAt)
{
    if (eraOf(offset) < this->era.value_or(0)) {
        this->onRefused();
        return;
    }
    this->knownEnd = offset + 1;
    this->lastEnd = offset + 1;
    this->hasRecord = true;
    this->newestIsOwn = true;
    this->firstSeen = sentAt;
    this->heldFence = offset + 1;
    this->heldSince = sentAt;
    this->heldUntil = sentAt + this->times.term;
}

void OrderLease::onRefused()
{
    this->knownEnd.reset();
    this->newestIsOwn = false;
    this->heldUntil = {};
}

void OrderLease::onNoAnswer()
{
    this->knownEnd.reset();
}

std::optional<std::uint64_t> OrderLease::fence(TimePoint now) const
{
    if (!this->newestIsOwn || now >= this->heldUntil) {
        return std::nullopt;
    }
    return this->heldFence;
}

std::uint64_t OrderLease::end() const
{
    return this->knownEnd.value_or(this->lastEnd);
}

} // namespace endivespan
