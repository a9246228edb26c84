#include <endivespan/order_lease.h>

#include <utility>

namespace endivespan {

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
    // The last holder may have given orders until the end of its term, which began before its record was read here.
    const bool free = !this->hasRecord || now >= this->firstSeen + this->times.term + this->times.gap;
    return free ? OrderLeaseStep::Append : OrderLeaseStep::Nothing;
}

void OrderLease::onRead(const std::string &holder, std::uint64_t end, TimePoint now)
{
    const bool isNew = end != this->lastEnd || !this->hasRecord;
    this->knownEnd = end;
    this->lastEnd = end;
    this->hasRecord = end > 0;
    if (isNew) {
        this->firstSeen = now;
    }
    // The newest record may be from an own append whose answer was lost. heldUntil is not extended for it, since its
    // term began when it was sent and that time was not kept; next() renews instead.
    this->newestIsOwn = !holder.empty() && holder == this->self;
}

void OrderLease::appended(std::uint64_t offset, TimePoint sentAt)
{
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
