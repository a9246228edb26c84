#pragma once

#include <endivespan/clock.h>

#include <cstdint>
#include <optional>
#include <string>

/// The lease under which one host gives orders to servers: records appended to a stream only at its expected end.
namespace endivespan {

/// Spans of an OrderLease.
struct OrderLeaseTimes {
    Duration term; ///< How long a record lets its writer give orders, from before it was sent.
    Duration gap; ///< Least time between the last order of one holder and the first of the next.
};

/// What to do next about the lease.
enum class OrderLeaseStep {
    Nothing,
    Read, ///< The end of the stream is not known.
    Append, ///< Append a record at end().
};

/// Decides when to append. Each record's offset is a fencing number; only the newest record counts. A holder goes by
/// the clock that counts suspended time, and needs no clock in common with others.
class OrderLease
{
public:
    OrderLease(std::string self, OrderLeaseTimes times);

    /// @returns what is due while there are orders to give. After Append, exactly one of appended(), refused() and
    ///     unknown() follows; after Read, seen() or unknown().
    [[nodiscard]] OrderLeaseStep next(TimePoint now) const;

    /// Takes what a read found: the newest record, if there is one, and the end.
    void seen(const std::string &holder, std::uint64_t end, TimePoint now);

    /// Takes that the own record was appended at @p offset by a call sent at @p sentAt.
    void appended(std::uint64_t offset, TimePoint sentAt);

    /// Takes that another record was there first.
    void refused();

    /// Takes that a call was not answered: whether its record was appended is not known.
    void unknown();

    /// @returns the fencing number while orders may be given, right before each one.
    [[nodiscard]] std::optional<std::uint64_t> fence(TimePoint now) const;

    /// @returns the offset to append at, or the last end known.
    [[nodiscard]] std::uint64_t end() const;

private:
    std::string self;
    OrderLeaseTimes times;
    std::optional<std::uint64_t> knownEnd;
    std::uint64_t lastEnd = 0;
    bool mine = false; ///< The newest record is of this process.
    bool anyRecord = false;
    TimePoint firstSeen; ///< When the newest record was first seen.
    std::uint64_t heldFence = 0;
    TimePoint heldSince;
    TimePoint heldUntil;
};

} // namespace endivespan
