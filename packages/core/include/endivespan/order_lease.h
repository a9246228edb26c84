#pragma once

#include <endivespan/clock.h>

#include <cstdint>
#include <optional>
#include <string>

/// Lease that lets one host at a time give orders to servers. A host acquires or renews it by appending a record to a
/// stream, on the condition that the stream still ends where the host expects.
namespace endivespan {

/// Durations of an OrderLease.
struct OrderLeaseTimes {
    Duration term; ///< How long a record lets its writer give orders, counted from when the append was sent.
    Duration gap; ///< Minimum time between the last order of one holder and the first order of the next.
};

/// The next step to acquire or keep an OrderLease.
enum class OrderLeaseStep {
    Nothing,
    Read, ///< Read the newest record and the end of the stream, as the end is not known.
    Append, ///< Append a record, on the condition that the stream ends at end().
};

/// Decides when to read and append, and whether this host holds the lease. The writer of the newest record holds it,
/// and the fencing number is that record's offset plus one. Hosts need no common clock: each measures the term on its
/// own clock, which also counts the time the machine was suspended.
class OrderLease
{
public:
    OrderLease(std::string self, OrderLeaseTimes times);

    /// @returns the next step; to be called while there are orders to give. Exactly one of appended(), onRefused() and
    ///     onNoAnswer() must be called after Append, and one of onRead() and onNoAnswer() after Read.
    [[nodiscard]] OrderLeaseStep next(TimePoint now) const;

    /// Records the era of the log, see log_position.h. To be called before each other call.
    void onEra(std::uint64_t era, TimePoint now);

    /// Handles the result of a read.
    /// @param newest The newest record; empty when there is none.
    /// @param end Position of the end of the stream.
    void onRead(const std::string &newest, std::uint64_t end, TimePoint now);

    /// Handles the success of an append that was sent at @p sentAt: this host's record is at @p offset.
    void appended(std::uint64_t offset, TimePoint sentAt);

    /// Handles the refusal of an append: the stream did not end at end(), since another record has been appended.
    void onRefused();

    /// Handles a call that was not answered. If it was an append, it may or may not have been applied.
    void onNoAnswer();

    /// @returns the fencing number while orders may be given, otherwise nothing. To be called immediately before each
    ///     order.
    [[nodiscard]] std::optional<std::uint64_t> fence(TimePoint now) const;

    /// @returns the record to append: the holder and the era that it knows.
    [[nodiscard]] std::string record() const;

    /// @returns the position to append at, or the last known end of the stream while the present one is not known.
    [[nodiscard]] std::uint64_t end() const;

private:
    std::string self;
    OrderLeaseTimes times;
    std::optional<std::uint64_t> era; ///< Latest one of the log.
    TimePoint eraSince; ///< When this host first saw it.
    std::optional<std::uint64_t> knownEnd; ///< End of the stream; empty when a read is needed.
    std::uint64_t lastEnd = 0; ///< Latest value of knownEnd.
    bool newestIsOwn = false; ///< The newest record was written by this process.
    bool hasRecord = false; ///< The stream has at least one record.
    TimePoint firstSeen; ///< When the newest record was first seen.
    std::uint64_t heldFence = 0; ///< Of the last own record whose append was confirmed.
    TimePoint heldSince; ///< When that append was sent.
    TimePoint heldUntil; ///< End of that record's term.
};

} // namespace endivespan
