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

/// Claims of idempotency keys: a deterministic fold of one claim stream decides which attempt may run a request.
namespace endivespan {

/// Names one attempt at one request, or one record. Never used again: the writer number is drawn at each process start.
struct AttemptId {
    std::uint64_t writer = 0; ///< Incarnation of the host that made the attempt.
    std::uint64_t sequence = 0; ///< Counts within the incarnation.

    bool operator==(const AttemptId &) const = default;

    /// Orders by writer, then by sequence.
    bool operator<(const AttemptId &other) const
    {
        return std::tie(this->writer, this->sequence) < std::tie(other.writer, other.sequence);
    }
};

/// Cryptographic digest that stands for a claimed key or for the content of a request.
using ClaimDigest = std::array<std::uint8_t, 16>;

/// @returns the digest that stands for @p key of @p organisation.
ClaimDigest claimName(std::string_view organisation, std::string_view key);

/// @returns the digest by which two requests with one key are compared.
ClaimDigest requestFingerprint(std::string_view method, std::string_view path, std::string_view body);

/// @returns the claim stream, from 0 to config::ClaimShards - 1, that holds @p name.
std::uint32_t claimShard(const ClaimDigest &name);

/// @returns the name of the log stream of @p shard.
std::string claimStream(std::uint32_t shard);

/// A host asks to run one request. The first claim of a free name in log order wins.
struct Claim {
    AttemptId attempt;
    std::string organisation;
    std::string key;
    ClaimDigest fingerprint {};
    std::string host; ///< Host that will run the request.
    std::chrono::milliseconds runLimit {0}; ///< The host has finished or given up this long after the claim.

    bool operator==(const Claim &) const = default;
};

/// The attempt has not run and never will; it is void wherever its claim stands in the log.
struct ClaimAbandon {
    AttemptId attempt;
    ClaimDigest name {};

    bool operator==(const ClaimAbandon &) const = default;
};

/// What is known of a run.
enum class OutcomeKind {
    Answered, ///< The answer is kept whole.
    NotKept, ///< It ran; the answer was too large to keep.
    Unknown, ///< It may have run.
};

/// The answer of a backend server.
struct ClaimAnswer {
    std::int32_t status = 0;
    std::map<std::string, std::string> headers;
    std::string body;

    bool operator==(const ClaimAnswer &) const = default;

    /// @returns the bytes that count towards ClaimLimits::maxAnswerBytes.
    [[nodiscard]] std::size_t bytes() const;
};

/// How the run of a winning attempt ended.
struct ClaimOutcome {
    AttemptId attempt;
    ClaimDigest name {};
    OutcomeKind kind = OutcomeKind::Unknown;
    ClaimAnswer answer; ///< Empty unless kind is Answered.

    bool operator==(const ClaimOutcome &) const = default;
};

/// A claimed name in a snapshot.
struct ClaimEntry {
    ClaimDigest name {};
    ClaimDigest fingerprint {};
    AttemptId attempt;
    std::string host;
    LogTime at; ///< When the claim was logged.
    std::chrono::milliseconds runLimit {0};
    std::uint64_t offset = 0; ///< Of the claim.
    std::optional<OutcomeKind> outcome; ///< Empty while no outcome is logged.
    std::uint64_t outcomeOffset = 0;
    std::shared_ptr<const ClaimAnswer> answer; ///< Set when the outcome is Answered.
};

/// An attempt that may never win.
struct VoidAttempt {
    AttemptId attempt;
    LogTime at; ///< Of the last record that named it; it is forgotten a window later.
    std::uint64_t offset = 0; ///< Of that record.

    bool operator==(const VoidAttempt &) const = default;
};

/// Part of the state before one offset, logged again so that it outlives the retention of the log.
struct ClaimSnapshotChunk {
    AttemptId snapshot;
    std::uint64_t through = 0; ///< The snapshot holds the state after all records below this offset.
    LogTime at; ///< Log time of the state.
    std::uint32_t index = 0;
    std::uint32_t count = 0; ///< Chunks of the whole snapshot.
    std::vector<ClaimEntry> entries; ///< By offset.
    std::vector<VoidAttempt> voids; ///< By offset.
};

/// A record of a claim stream; monostate stands for one that cannot be read and changes nothing.
using ClaimRecord = std::variant<std::monostate, Claim, ClaimAbandon, ClaimOutcome, ClaimSnapshotChunk>;

/// A record with its place in the stream.
struct ClaimLogRecord {
    std::uint64_t offset = 0;
    LogTime at;
    AttemptId written; ///< Writer and sequence of the record itself, by which a writer finds it again.
    ClaimRecord record;
};

/// Bounds of one fold. They are part of the stream's format: all hosts must use the same.
struct ClaimLimits {
    std::chrono::milliseconds window; ///< A name stays claimed for this long in log time.
    std::size_t maxClaims; ///< Claimed names and void attempts together; claims beyond are refused.
    std::size_t maxAnswerBytes; ///< Answers kept; the oldest are dropped first.
};

/// @returns the limits from config.h.
ClaimLimits defaultClaimLimits();

/// What one record did to the attempt it names.
enum class ClaimEffect {
    None,
    Won, ///< The claim holds its name from here on.
    PassedOver, ///< Another attempt holds the name; this one is void for good.
    Void, ///< The attempt was void already.
    Full, ///< No room for another claim.
    Repeated, ///< A second record of an attempt that holds its name.
    Freed, ///< An abandonment freed the name.
    Settled, ///< An outcome was recorded.
};

/// What a name looks like to a new request.
enum class ClaimState {
    Free,
    InProgress, ///< Claimed, and the run limit has not passed.
    Recorded, ///< The answer is kept.
    AnswerNotKept, ///< It ran and the answer is not kept.
    OutcomeUnknown, ///< It may have run.
    KeyReused, ///< Claimed by a request with another fingerprint.
};

/// What ClaimFold::look() found.
struct ClaimView {
    ClaimState state = ClaimState::Free;
    std::string host; ///< Holder, unless free.
    std::chrono::milliseconds remaining {0}; ///< Until the run limit, when in progress.
    std::shared_ptr<const ClaimAnswer> answer; ///< Set when recorded.
};

/// Counts of one fold.
struct ClaimFoldStats {
    std::size_t claims = 0;
    std::size_t voids = 0;
    std::size_t answerBytes = 0;
    std::uint64_t won = 0;
    std::uint64_t passedOver = 0;
    std::uint64_t full = 0;
};

/// Deterministic fold of one claim stream. Two complete folds at one position hold the same state.
class ClaimFold
{
public:
    explicit ClaimFold(const ClaimLimits &limits);
    virtual ~ClaimFold() = default;
    ClaimFold(const ClaimFold &) = delete;
    ClaimFold &operator=(const ClaimFold &) = delete;

    /// @returns the offset to read next. It falls back once when a snapshot has been read whole.
    [[nodiscard]] std::uint64_t position() const;

    /// @returns false while records before the first one read may still matter; no verdict may be given then.
    [[nodiscard]] bool isComplete() const;

    /// @returns the log time of the last record folded.
    [[nodiscard]] LogTime time() const;

    /// Forgets everything and starts at @p oldest, because records from position() on are no longer kept.
    void restart(std::uint64_t oldest);

    /// Folds the record at position(); any other offset is ignored.
    /// @returns what the record did; only Won lets an attempt run, and only the attempt of this very record.
    ClaimEffect apply(const ClaimLogRecord &record);

    /// @param now Estimate of the log time, for the run limit alone.
    /// @returns how @p name looks to a request with @p fingerprint.
    [[nodiscard]] ClaimView look(const ClaimDigest &name, const ClaimDigest &fingerprint, LogTime now) const;

    /// @returns true when @p attempt holds @p name.
    [[nodiscard]] bool holds(const ClaimDigest &name, const AttemptId &attempt) const;

    /// @returns true when @p attempt may never win.
    [[nodiscard]] bool isVoid(const AttemptId &attempt) const;

    /// @returns the state as chunks of at most about @p chunkBytes each, to be logged again; empty unless complete.
    [[nodiscard]] std::vector<ClaimSnapshotChunk> snapshot(const AttemptId &id, std::size_t chunkBytes) const;

    /// @returns the position and log time that the newest whole snapshot in the log stands for, if one was read.
    [[nodiscard]] std::optional<std::pair<std::uint64_t, LogTime>> lastSnapshot() const;

    /// @returns a digest of the whole state, equal on all complete folds at one position.
    [[nodiscard]] std::string digest() const;

    [[nodiscard]] ClaimFoldStats stats() const;

protected:
    /// Whether the holder of a name keeps it against a later claim. Tests override it to show that the checks bite.
    [[nodiscard]] virtual bool keepsName(const ClaimEntry &holder) const;

private:
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
    void load(const PendingSnapshot &whole);
    void clear();
    void expire(LogTime now);
    void addVoid(const VoidAttempt &attempt);
    void addEntry(ClaimEntry entry);
    void eraseEntry(std::map<ClaimDigest, ClaimEntry>::iterator entry);
    void dropAnswers();

    ClaimLimits limits;
    std::uint64_t next = 0;
    std::uint64_t start = 0; ///< Oldest offset that could be read when the fold began.
    LogTime lastAt;
    bool complete = true;
    std::map<ClaimDigest, ClaimEntry> entries;
    std::map<std::uint64_t, ClaimDigest> entryOrder; ///< By offset of the claim.
    std::map<std::uint64_t, ClaimDigest> answerOrder; ///< By offset of the outcome.
    std::map<AttemptId, VoidAttempt> voids;
    std::map<std::uint64_t, AttemptId> voidOrder; ///< By offset of the last record that named it.
    std::size_t answerBytes = 0;
    std::map<AttemptId, PendingSnapshot> pending;
    std::optional<std::pair<std::uint64_t, LogTime>> newestSnapshot;
    std::uint64_t wonCount = 0;
    std::uint64_t passedOverCount = 0;
    std::uint64_t fullCount = 0;
};

} // namespace endivespan
