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

/// Leases of resources, decided by the order of records in one stream of the log.
namespace endivespan {

/// One process: a host name with the incarnation of its start.
struct LeaseOwner {
    std::string host;
    std::uint64_t incarnation = 0;

    auto operator<=>(const LeaseOwner &) const = default; // NOLINT(modernize-use-nullptr): false positive
};

enum class LeaseAction {
    Acquire, ///< Takes the named resources that nobody holds.
    Renew, ///< Extends all leases of the owner; names them now and then, for readers that start late.
    Release, ///< Gives the named resources back.
};

/// One resource with the fencing number of its lease.
struct LeasedResource {
    std::string resource;
    std::uint64_t fence = 0;

    bool operator==(const LeasedResource &) const = default;
};

/// One record of the stream `leases`.
struct LeaseRecord {
    LeaseAction action = LeaseAction::Acquire;
    LeaseOwner owner;
    std::uint64_t number = 0; ///< Counts the owner's records.
    std::chrono::milliseconds ttl {};
    std::vector<LeasedResource> resources; ///< With fences in Renew only.

    bool operator==(const LeaseRecord &) const = default;
};

/// One lease as folded.
struct Lease {
    LeaseOwner owner;
    std::uint64_t fence = 0; ///< One more than the offset of the Acquire that won.
    LogTime expiresAt; ///< On the log's clock.
    TimePoint foldedAt; ///< When this host read the record that last extended it.
    std::chrono::milliseconds ttl {};
    bool isFirst = false; ///< Nobody has held the resource before.
};

/// Folds the stream. Every reader that starts early enough comes to the same leases.
class LeaseFold
{
public:
    /// @param startedAt When reading began. What was granted before is unknown until it was renewed or has expired.
    /// @param complete True when reading began with the first record ever: then nothing is unknown.
    explicit LeaseFold(TimePoint startedAt, bool complete = false);

    /// Folds one record, in order of offsets.
    /// @param record Where and when the log has it; its bytes are not looked at.
    /// @param body Its content.
    /// @param now When it was read.
    void apply(const LogRecord &record, const LeaseRecord &body, TimePoint now);

    /// @returns the lease of @p resource, expired or not, or null.
    [[nodiscard]] const Lease *find(const std::string &resource) const;

    /// @returns true when an Acquire appended now may win.
    [[nodiscard]] bool isFree(const std::string &resource, TimePoint now) const;

    /// @returns the resources of @p owner by name.
    [[nodiscard]] std::map<std::string, std::uint64_t> ownedBy(const LeaseOwner &owner) const;

private:
    void acquire(const LogRecord &record, const LeaseRecord &body, TimePoint now);
    void renew(const LogRecord &record, const LeaseRecord &body, TimePoint now);
    void release(const LeaseRecord &body);

    TimePoint startedAt;
    bool complete;
    std::map<std::string, Lease> leases;
    std::map<std::string, std::uint64_t> greatestFences;
};

/// Keeps the leases of this process and fences itself by the clock that counts suspended time.
class LeaseHolder
{
public:
    LeaseHolder(LeaseOwner owner, TimePoint now);

    /// Sets what this process should own.
    void want(std::set<std::string> resources);

    /// @returns the record to append now, or nothing. Each one must be reported to appended().
    [[nodiscard]] std::optional<LeaseRecord> next(const LeaseFold &fold, TimePoint now);

    /// Takes the end of an append. @param applied False only when it was certainly not applied.
    void appended(bool applied, TimePoint now);

    /// Takes each record of the stream after the fold has applied it.
    void onFolded(const LeaseFold &fold, const LogRecord &record, const LeaseRecord &body);

    /// @returns the fencing number of @p resource while the lease is held, or nothing.
    [[nodiscard]] std::optional<std::uint64_t> fence(const std::string &resource, TimePoint now) const;

    /// Asserts, right before and right after a use, that the lease still is the one that the use began under.
    /// @returns false when the use must be abandoned or its outcome not be relied on.
    [[nodiscard]] bool checkUse(const std::string &resource, std::uint64_t fence, TimePoint now) const;

    /// @returns when this holder may give orders under the lease, or nothing while it holds none. A server that does
    /// not check fences may still carry out orders of an earlier owner until the longest order deadline has passed.
    [[nodiscard]] std::optional<TimePoint> mayOrderFrom(const std::string &resource, bool checksOrders) const;

    /// @returns everything held at @p now, with fences.
    [[nodiscard]] std::map<std::string, std::uint64_t> held(TimePoint now) const;

private:
    struct Held {
        std::uint64_t fence = 0;
        TimePoint since;
        TimePoint validUntil;
    };

    [[nodiscard]] LeaseRecord makeRecord(LeaseAction action, std::vector<LeasedResource> resources);
    [[nodiscard]] std::vector<LeasedResource> toRelease(const LeaseFold &fold);
    [[nodiscard]] std::vector<LeasedResource> toList(TimePoint now);
    [[nodiscard]] std::vector<LeasedResource> toAcquire(const LeaseFold &fold, TimePoint now) const;
    [[nodiscard]] std::optional<LeaseRecord> choose(const LeaseFold &fold, TimePoint now);
    void dropLost(const LeaseFold &fold);

    LeaseOwner owner;
    std::set<std::string> wanted;
    std::map<std::string, Held> leases;
    std::map<std::string, std::uint64_t> givenUp; ///< Fences whose Release may be on its way: never held again.
    std::map<std::uint64_t, TimePoint> sent; ///< When each unfolded record was handed out.
    std::uint64_t lastNumber = 0;
    std::uint64_t renewals = 0;
    bool appending = false;
    TimePoint renewAt;
    TimePoint acquireAt;
};

} // namespace endivespan
