#pragma once

#include <endivespan/log_record.h>

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <tuple>
#include <variant>
#include <vector>

/// Claims of idempotency keys. Hosts append claims to a log stream, and each host folds the stream with the same
/// deterministic rule, so that all hosts agree on the one attempt that may run a request.
namespace endivespan {

/// Identifies one attempt to run a request, or one record in the log. Never reused, because each process start uses a
/// new writer number.
struct AttemptId {
    std::uint64_t writer = 0; ///< Incarnation of the host that made the attempt or wrote the record.
    std::uint64_t sequence = 0; ///< Counts up within the incarnation.

    bool operator==(const AttemptId &) const = default;

    /// Orders by writer, then by sequence.
    bool operator<(const AttemptId &other) const
    {
        return std::tie(this->writer, this->sequence) < std::tie(other.writer, other.sequence);
    }
};

/// Cryptographic digest of a claimed key, which is then called the claim's name, or of the content of a request.
using ClaimDigest = std::array<std::uint8_t, 16>;

/// @returns the digest under which @p key of @p organisation is claimed.
ClaimDigest claimName(std::string_view organisation, std::string_view key);

/// @returns the digest that tells a repeated request from another request with the same idempotency key.
ClaimDigest requestFingerprint(std::string_view method, std::string_view path, std::string_view body);

/// @returns the number of the claim stream that @p name belongs to, from 0 to config::ClaimShards - 1.
std::uint32_t claimShard(const ClaimDigest &name);

/// @returns the name of the log stream of @p shard.
std::string claimStream(std::uint32_t shard);

/// Record: a host asks to run one request. The first claim in log order of a name that is not held wins.
struct Claim {
    AttemptId attempt;
    std::string organisation;
    std::string key;
    ClaimDigest fingerprint {};
    std::string host; ///< Host that will run the request.
    std::chrono::milliseconds runLimit {0}; ///< Time from the claim after which the host no longer runs the request.

    bool operator==(const Claim &) const = default;
};

/// Record: the attempt has not run and never will. It makes the attempt void whether its claim comes before or after
/// this record in the log.
struct ClaimAbandon {
    AttemptId attempt;
    ClaimDigest name {};

    bool operator==(const ClaimAbandon &) const = default;
};

/// How a run ended, as far as its host could tell.
enum class OutcomeKind {
    Answered, ///< It ran, and the complete answer is stored.
    NotKept, ///< It ran, but the answer was too large to store or has been evicted.
    Unknown, ///< It may or may not have run.
};

/// Answer of a backend server, as stored for later requests with the same key.
struct ClaimAnswer {
    std::int32_t status = 0;
    std::map<std::string, std::string> headers;
    std::string body;

    bool operator==(const ClaimAnswer &) const = default;

    /// @returns the size of body and headers in bytes, as counted towards ClaimLimits::maxAnswerBytes.
    [[nodiscard]] std::size_t bytes() const;
};

/// Record: how the run of a winning attempt ended.
struct ClaimOutcome {
    AttemptId attempt;
    ClaimDigest name {};
    OutcomeKind kind = OutcomeKind::Unknown;
    ClaimAnswer answer; ///< Empty unless kind is Answered.

    bool operator==(const ClaimOutcome &) const = default;
};

/// State of one claimed name, in the fold and in snapshots.
struct ClaimEntry {
    ClaimDigest name {};
    ClaimDigest fingerprint {};
    AttemptId attempt;
    std::string host;
    LogTime at; ///< When the claim was logged.
    std::chrono::milliseconds runLimit {0};
    std::uint64_t offset = 0; ///< Of the claim in the stream.
    std::optional<OutcomeKind> outcome; ///< Empty until an outcome has been logged.
    std::uint64_t outcomeOffset = 0; ///< Of the outcome in the stream.
    std::shared_ptr<const ClaimAnswer> answer; ///< Set when the outcome is Answered.
};

/// An attempt that lost or was abandoned: its claim can never win any more.
struct VoidAttempt {
    AttemptId attempt;
    LogTime at; ///< Log time of the last record that named it; the entry expires a window later.
    std::uint64_t offset = 0; ///< Of that record in the stream.

    bool operator==(const VoidAttempt &) const = default;
};

/// Record: one part of a snapshot of the fold's state. Snapshots are appended to the stream itself, so that the state
/// remains available after the log has dropped the records that it was folded from.
struct ClaimSnapshotChunk {
    AttemptId snapshot; ///< Identifies the snapshot that the chunk belongs to.
    std::uint64_t through = 0; ///< The snapshot is the state after all records below this offset.
    LogTime at; ///< Log time of the state.
    std::uint32_t index = 0; ///< Of this chunk, from 0.
    std::uint32_t count = 0; ///< Number of chunks in the snapshot.
    std::vector<ClaimEntry> entries; ///< In order of their offsets.
    std::vector<VoidAttempt> voids; ///< In order of their offsets.
};

/// A record of a claim stream. A record that cannot be decoded is a monostate and does not change the state.
using ClaimRecord = std::variant<std::monostate, Claim, ClaimAbandon, ClaimOutcome, ClaimSnapshotChunk>;

/// A record with its position in the stream.
struct ClaimLogRecord {
    std::uint64_t offset = 0;
    LogTime at; ///< When the log accepted the record.
    AttemptId recordId; ///< Identifies the record itself, so that its writer recognises it when it reads it back.
    ClaimRecord record;
};

/// Bounds of one fold. They are part of the stream's format: hosts with different values would reach different states.
struct ClaimLimits {
    std::chrono::milliseconds window; ///< A claim expires this long after it was logged, in log time.
    std::size_t maxClaims; ///< Claimed names and void attempts together; further claims are refused.
    std::size_t maxAnswerBytes; ///< Total size of the stored answers; beyond it the oldest are evicted.
};

/// @returns the limits that config.h sets.
ClaimLimits defaultClaimLimits();

/// Effect of one record on the attempt that it names.
enum class ClaimEffect {
    None,
    Won, ///< The claim holds its name from this record on.
    Lost, ///< Another attempt holds the name; this one is permanently void.
    Void, ///< The attempt was already void.
    Full, ///< The claim was refused because ClaimLimits::maxClaims is reached.
    Repeated, ///< The attempt already holds the name: the same claim was logged twice.
    Freed, ///< The holder's attempt was abandoned, and its name can be claimed again.
    OutcomeRecorded, ///< The outcome of the holder's run was recorded.
};

/// State of a name from the point of view of a new request.
enum class ClaimState {
    Free,
    InProgress, ///< Claimed, without an outcome yet, and within the run limit.
    Recorded, ///< It ran, and the answer is stored.
    AnswerNotKept, ///< It ran, but the answer is not stored.
    OutcomeUnknown, ///< It may or may not have run.
    KeyReused, ///< Claimed by a different request: the fingerprints differ.
};

/// Result of ClaimFold::lookUp().
struct ClaimView {
    ClaimState state = ClaimState::Free;
    std::string host; ///< Host that holds the name; empty when the name is free.
    std::chrono::milliseconds remaining {0}; ///< Time left until the run limit; set when in progress.
    std::shared_ptr<const ClaimAnswer> answer; ///< Set when recorded.
};

/// Current sizes and running totals of one fold.
struct ClaimFoldStats {
    std::size_t claims = 0; ///< Names claimed now.
    std::size_t voids = 0; ///< Void attempts remembered now.
    std::size_t answerBytes = 0; ///< Size of the answers stored now.
    std::uint64_t won = 0;
    std::uint64_t lost = 0; ///< Claims that lost to the holder of the name.
    std::uint64_t full = 0; ///< Claims refused at ClaimLimits::maxClaims.
};

/// Deterministic fold of one claim stream: the state that follows from its records. Two complete folds at the same
/// position are in the same state.
///
/// A fold that starts after the stream's first record does not have the earlier claims. It is incomplete, and decides
/// nothing, until it has read a whole snapshot.
class ClaimFold
{
public:
    explicit ClaimFold(const ClaimLimits &limits);
    virtual ~ClaimFold() = default;
    ClaimFold(const ClaimFold &) = delete;
    ClaimFold &operator=(const ClaimFold &) = delete;

    /// @returns the offset to read next. Loading a snapshot sets it back to the snapshot's offset, since the records
    ///     logged after that offset have to be folded again.
    [[nodiscard]] std::uint64_t position() const;

    /// @returns false while claims from before the first record read may be missing. No request may be decided then.
    [[nodiscard]] bool isComplete() const;

    /// @returns the greatest log time of the records folded so far.
    [[nodiscard]] LogTime time() const;

    /// Discards the state and continues at @p oldest, the oldest offset the log still has. For use when the log no
    /// longer has the record at position().
    void restart(std::uint64_t oldest);

    /// Folds the record at position(); any other offset is ignored.
    /// @returns the effect of the record. Only the attempt of a claim for which this is Won may run.
    ClaimEffect apply(const ClaimLogRecord &record);

    /// @param now Estimate of the present log time; used only to tell whether the run limit has passed.
    /// @returns the state of @p name for a request with @p fingerprint.
    [[nodiscard]] ClaimView lookUp(const ClaimDigest &name, const ClaimDigest &fingerprint, LogTime now) const;

    /// @returns true when @p attempt holds @p name.
    [[nodiscard]] bool holds(const ClaimDigest &name, const AttemptId &attempt) const;

    /// @returns true when @p attempt is recorded as void, so that its claim cannot win.
    [[nodiscard]] bool isVoid(const AttemptId &attempt) const;

    /// @param id Identifies the snapshot.
    /// @returns the state in chunks of about @p chunkBytes or less, to be appended to the stream. Empty while the fold
    ///     is incomplete.
    [[nodiscard]] std::vector<ClaimSnapshotChunk> snapshot(const AttemptId &id, std::size_t chunkBytes) const;

    /// @returns the position and log time of the state in the newest snapshot that was read whole, if there is one.
    [[nodiscard]] std::optional<std::pair<std::uint64_t, LogTime>> lastSnapshot() const;

    /// @returns a digest of the whole state, equal for all complete folds at the same position.
    [[nodiscard]] std::string digest() const;

    [[nodiscard]] ClaimFoldStats stats() const;

protected:
    /// @returns whether the holder of a name keeps it when another attempt claims it, which is always so. Tests
    ///     override it to show that the invariant checks detect a fold that lets two claims win.
    [[nodiscard]] virtual bool keepsName(const ClaimEntry &holder) const;

private:
    /// A snapshot of which some chunks have not been read yet.
    struct PendingSnapshot {
        std::uint64_t through = 0;
        LogTime at;
        std::map<std::uint32_t, ClaimSnapshotChunk> chunks;
        std::uint32_t count = 0;
    };

    ClaimEffect fold(const ClaimLogRecord &at, const Claim &claim);
    ClaimEffect fold(const ClaimLogRecord &at, const ClaimAbandon &abandon);
    ClaimEffect fold(const ClaimLogRecord &at, const ClaimOutcome &outcome);
    ClaimEffect fold(const ClaimLogRecord &at, const ClaimSnapshotChunk &chunk);
    void loadSnapshot(const PendingSnapshot &whole);
    void clear();
    void expire(LogTime now);
    void addVoid(const VoidAttempt &attempt);
    void addEntry(ClaimEntry entry);
    void eraseEntry(std::map<ClaimDigest, ClaimEntry>::iterator entry);
    void evictAnswers();

    ClaimLimits limits;
    std::uint64_t nextOffset = 0;
    std::uint64_t startOffset = 0; ///< Offset at which the fold began to read. Older snapshots cannot be used.
    LogTime lastAt;
    bool complete = true;
    std::map<ClaimDigest, ClaimEntry> entries;
    std::map<std::uint64_t, ClaimDigest> entriesByOffset; ///< Names by the offset of their claim.
    std::map<std::uint64_t, ClaimDigest> answersByOffset; ///< Names with a stored answer, by offset of the outcome.
    std::map<AttemptId, VoidAttempt> voids;
    std::map<std::uint64_t, AttemptId> voidsByOffset; ///< Void attempts by offset of the last record that named them.
    std::size_t answerBytes = 0;
    std::map<AttemptId, PendingSnapshot> pendingSnapshots; ///< By ClaimSnapshotChunk::snapshot.
    std::optional<std::pair<std::uint64_t, LogTime>> newestSnapshot;
    std::uint64_t wonCount = 0;
    std::uint64_t lostCount = 0;
    std::uint64_t fullCount = 0;
};

} // namespace endivespan
