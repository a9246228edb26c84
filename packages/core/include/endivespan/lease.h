#pragma once

#include <endivespan/clock.h>
#include <endivespan/log_record.h>

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

/// Leases of resources. The order of the records in one log stream decides which process holds each lease.
namespace endivespan {

/// One process of a host: the host's name and the incarnation number of the process.
struct LeaseOwner {
    std::string host;
    std::uint64_t incarnation = 0;

    auto operator<=>(const LeaseOwner &) const = default; // NOLINT(modernize-use-nullptr): false positive
};

/// What a lease record asks for.
enum class LeaseAction {
    Acquire, ///< Acquires those of the named resources that are not held.
    Renew, ///< Extends all leases of the owner. Some renewals list them, for readers that began after the Acquire.
    Release, ///< Ends the owner's leases of the named resources.
};

/// One resource and the fencing number of its lease.
struct LeasedResource {
    std::string resource;
    std::uint64_t fence = 0;

    bool operator==(const LeasedResource &) const = default;
};

/// One record of the stream `leases`.
struct LeaseRecord {
    LeaseAction action = LeaseAction::Acquire;
    LeaseOwner owner;
    std::uint64_t number = 0; ///< Counts up with each record of the owner, from 1.
    std::chrono::milliseconds ttl {}; ///< Duration of the lease from this record's log time.
    std::vector<LeasedResource> resources; ///< The fences are set in Renew only.

    bool operator==(const LeaseRecord &) const = default;
};

/// State of one lease in the fold.
struct Lease {
    LeaseOwner owner;
    std::uint64_t fence = 0; ///< Offset of the Acquire record that won, plus one.
    LogTime expiresAt; ///< In log time.
    TimePoint foldedAt; ///< When this host folded the record that last extended the lease.
    std::chrono::milliseconds ttl {}; ///< Of that record.
    bool isFirst = false; ///< The resource is certain never to have been leased before.
};

/// Folds the stream `leases`. All readers that start early enough reach the same leases.
class LeaseFold
{
public:
    /// @param startedAt When reading began. Leases granted before are unknown here until a renewal lists them, or they
    ///     expire.
    /// @param complete True when reading began with the first record of the stream, so that no lease is unknown.
    explicit LeaseFold(TimePoint startedAt, bool complete = false);

    /// Folds one record. Records must come in order of their offsets.
    /// @param record Offset and log time of the record; its bytes are ignored.
    /// @param body Decoded content of the record.
    /// @param now When the record was read.
    void apply(const LogRecord &record, const LeaseRecord &body, TimePoint now);

    /// @returns the lease of @p resource, which may have expired, or null when there is none.
    [[nodiscard]] const Lease *find(const std::string &resource) const;

    /// @returns true when an Acquire of @p resource that is appended now may win, because no lease of it can still be
    ///     valid.
    [[nodiscard]] bool isFree(const std::string &resource, TimePoint now) const;

    /// @returns the fencing numbers of the leases of @p owner, which may have expired, by resource.
    [[nodiscard]] std::map<std::string, std::uint64_t> ownedBy(const LeaseOwner &owner) const;

private:
    void acquire(const LogRecord &record, const LeaseRecord &body, TimePoint now);
    void renew(const LogRecord &record, const LeaseRecord &body, TimePoint now);
    void release(const LeaseRecord &body);

    TimePoint startedAt;
    bool complete;
    std::map<std::string, Lease> leases;
    std::map<std::string, std::uint64_t> greatestFences; ///< By resource; kept after the lease has ended.
};

/// Acquires, renews and releases the leases of this process. It treats a lease as ended before the log can grant it to
/// another process, by a clock that also counts the time the machine was suspended.
class LeaseHolder
{
public:
    LeaseHolder(LeaseOwner owner, TimePoint now);

    /// Sets the resources that this process is to lease. Others are released.
    void setWanted(std::set<std::string> resources);

    /// @returns the record to append now, or nothing. The result of each append must be reported to appended(), and no
    ///     further record is returned before.
    [[nodiscard]] std::optional<LeaseRecord> next(const LeaseFold &fold, TimePoint now);

    /// Handles the result of an append.
    /// @param applied False only when the record was certainly not appended.
    void appended(bool applied, TimePoint now);

    /// Updates the leases held. Must be called for each record of the stream after the fold has applied it.
    void onFolded(const LeaseFold &fold, const LogRecord &record, const LeaseRecord &body);

    /// @returns the fencing number of @p resource, or nothing when its lease is not held at @p now.
    [[nodiscard]] std::optional<std::uint64_t> fence(const std::string &resource, TimePoint now) const;

    /// Checks that the lease of @p resource is held under the fencing number @p fence, and reports a violated invariant
    /// if not. To be called immediately before and after each use of the lease.
    /// @returns false when the use must not begin or, after the use, its result must not be relied on.
    [[nodiscard]] bool checkUse(const std::string &resource, std::uint64_t fence, TimePoint now) const;

    /// @param checksOrders Whether the server checks the fences of its orders. If it does not, it may still execute
    ///     orders of an earlier owner until the longest order deadline has passed.
    /// @returns from when on this holder may give orders under the lease, or nothing when it has no lease of
    ///     @p resource.
    [[nodiscard]] std::optional<TimePoint> ordersAllowedFrom(const std::string &resource, bool checksOrders) const;

    /// @returns the fencing numbers of all leases held at @p now, by resource.
    [[nodiscard]] std::map<std::string, std::uint64_t> held(TimePoint now) const;

private:
    struct Held {
        std::uint64_t fence = 0;
        TimePoint acquiredAt; ///< When the record that won the lease was handed out.
        TimePoint validUntil; ///< On this process's clock.
    };

    [[nodiscard]] LeaseRecord makeRecord(LeaseAction action, std::vector<LeasedResource> resources);
    [[nodiscard]] std::vector<LeasedResource> takeResourcesToRelease(const LeaseFold &fold);
    [[nodiscard]] std::vector<LeasedResource> resourcesToList(TimePoint now);
    [[nodiscard]] std::vector<LeasedResource> resourcesToAcquire(const LeaseFold &fold, TimePoint now) const;
    [[nodiscard]] std::optional<LeaseRecord> chooseRecord(const LeaseFold &fold, TimePoint now);
    void eraseLostLeases(const LeaseFold &fold);

    LeaseOwner owner;
    std::set<std::string> wanted;
    std::map<std::string, Held> leases;
    std::map<std::string, std::uint64_t> releasedFences; ///< Fences of released leases, by resource; never held again.
    std::map<std::uint64_t, TimePoint> sentTimes; ///< When next() returned each record not folded yet, by number.
    std::uint64_t lastNumber = 0;
    std::uint64_t renewals = 0; ///< Renew records so far; decides which of them list the leases.
    bool appending = false; ///< An append has not been reported to appended() yet.
    TimePoint renewAt;
    TimePoint acquireAt;
};

} // namespace endivespan
