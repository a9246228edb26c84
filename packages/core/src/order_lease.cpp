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
    if (this->mine) {
        // Renewed at half of the term, so that one lost call does not interrupt the orders.
        const bool due = now >= this->heldSince + this->times.term / 2;
        return due ? OrderLeaseStep::Append : OrderLeaseStep::Nothing;
    }
    // The last holder may have given an order until its term ended, which began before its record was seen.
    const bool free = !this->anyRecord || now >= this->firstSeen + this->times.term + this->times.gap;
    return free ? OrderLeaseStep::Append : OrderLeaseStep::Nothing;
}

void OrderLease::seen(const std::string &holder, std::uint64_t end, TimePoint now)
{
    const bool isNew = end != this->lastEnd || !this->anyRecord;
    this->knownEnd = end;
    this->lastEnd = end;
    this->anyRecord = end > 0;
    if (isNew) {
        this->firstSeen = now;
    }
    // An own record whose append was not answered took effect; its term began when it was sent, which is not known.
    this->mine = !holder.empty() && holder == this->self;
}

void OrderLease::appended(std::uint64_t offset, TimePoint sentAt)
{
    this->knownEnd = offset + 1;
    this->lastEnd = offset + 1;
    this->anyRecord = true;
    this->mine = true;
    this->firstSeen = sentAt;
    this->heldFence = offset + 1;
    this->heldSince = sentAt;
    this->heldUntil = sentAt + this->times.term;
}

void OrderLease::refused()
{
    this->knownEnd.reset();
    this->mine = false;
    this->heldUntil = {};
}

void OrderLease::unknown()
{
    this->knownEnd.reset();
}

std::optional<std::uint64_t> OrderLease::fence(TimePoint now) const
{
    if (!this->mine || now >= this->heldUntil) {
        return std::nullopt;
    }
    return this->heldFence;
}

std::uint64_t OrderLease::end() const
{
    return this->knownEnd.value_or(this->lastEnd);
}

} // namespace endivespan
