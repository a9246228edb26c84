#pragma once

#include <endivespan/claim.h>
#include <endivespan/clock.h>
#include <endivespan/error.h>

#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

/// Obtains for one host the right to run non-idempotent requests, through one claim stream of the log.
namespace endivespan {

/// A request that must run at most once.
struct ClaimRequest {
    std::string organisation;
    std::string key; ///< Idempotency key.
    ClaimDigest fingerprint {};
    std::chrono::milliseconds runLimit {0}; ///< The caller has been answered this long after begin(), in any case.
};

/// Identifies one request between the keeper and the code that drives it. The caller of begin() chooses it and never
/// reuses it.
using ClaimTicket = std::uint64_t;

/// Whether a request may be run and, if not, how to answer it.
enum class ClaimDecision {
    Granted, ///< It may run: call startRun() and send it, or call release().
    Recorded, ///< It has already run; the answer is in the verdict.
    AnswerNotKept, ///< It has already run, but its answer is not stored.
    InProgress, ///< Another attempt may be running it.
    OutcomeUnknown, ///< Another attempt may have run it.
    KeyReused, ///< The idempotency key has been used by a different request.
    Refused, ///< This attempt has not run and will not: the log could not decide, or a limit is reached.
};

/// The decision about one request. Each ticket that is not released gets exactly one.
struct ClaimVerdict {
    ClaimTicket ticket = 0;
    ClaimDecision decision = ClaimDecision::Refused;
    std::string host; ///< The host whose attempt holds the key.
    Duration retryAfter = Duration::zero(); ///< When the caller should try again; zero if a retry is of no use.
    std::shared_ptr<const ClaimAnswer> answer; ///< Set when recorded.
    Error error; ///< Set when refused.
};

/// Action: append all records to the stream in one call and report the result to ClaimKeeper::onAppended().
struct ClaimAppend {
    std::uint64_t id = 0;
    std::vector<std::pair<AttemptId, ClaimRecord>> records;
};

/// Action: read the stream from an offset and report the result to ClaimKeeper::onRead().
struct ClaimRead {
    std::uint64_t from = 0;
    std::chrono::milliseconds wait {0}; ///< How long the log may wait for a record when there is none (long poll).
};

/// What the code that drives a keeper has to do.
using ClaimAction = std::variant<ClaimAppend, ClaimRead, ClaimVerdict>;
using ClaimActions = std::vector<ClaimAction>;

/// What one read of the stream returned.
struct ClaimBatch {
    std::vector<ClaimLogRecord> records;
    std::uint64_t end = 0; ///< Offset of the next record to be appended.
    std::uint64_t oldest = 0; ///< Offset of the oldest record still in the log.
    bool trimmed = false; ///< The log has dropped the record at the requested offset; there are no records then.
};

/// Answer to a successful append.
struct ClaimAck {
    std::uint64_t first = 0; ///< Offset of the first record.
    LogTime at; ///< Log time of the records.
};

/// Bounds and periods of one ClaimKeeper.
struct ClaimKeeperLimits {
    Duration appendGap; ///< Minimum time between two appends.
    std::size_t maxBatchRecords;
    std::size_t maxBatchBytes;
    std::size_t maxOpenRequests; ///< Requests begun and not ended yet; more are refused.
    std::size_t maxQueuedRecords; ///< Queued outcomes and abandonments; beyond it the oldest are dropped.
    std::size_t maxQueuedBytes; ///< Total size of these records; beyond it outcomes are logged without their answers.
    Duration waitLimit; ///< A request is refused when it has waited this long for its verdict.
    Duration grantLimit; ///< A grant expires when startRun() has not been called within this time.
    Duration retryDelay; ///< Pause after a failed append or read.
    Duration readPeriod; ///< Time between reads while no record is awaited.
    Duration snapshotPeriod; ///< Time between snapshots; must be well below the retention time of the log.
    std::size_t maxAnswerBytes; ///< Larger answers are not stored.
};

/// @returns the limits that config.h sets.
ClaimKeeperLimits defaultClaimKeeperLimits();

/// Current sizes and running totals of one ClaimKeeper.
struct ClaimKeeperStats {
    ClaimFoldStats fold;
    std::size_t openRequests = 0; ///< Requests begun and not ended yet.
    std::size_t queuedRecords = 0; ///< Outcomes and abandonments waiting to be appended.
    std::uint64_t appends = 0;
    std::uint64_t readBacks = 0; ///< Appends of unknown result, which were looked for in the stream.
    std::uint64_t abandoned = 0; ///< Attempts abandoned.
    std::uint64_t snapshots = 0; ///< Snapshots written.
};

/// Claims idempotency keys for the requests of one host. It appends claims in batches, reads the stream to find which
/// claims won, and appends the outcomes of runs and the abandonments of attempts that will not run.
///
/// Does no I/O: each call returns the actions to carry out. Any number of managers may use one stream, because only the
/// fold decides which claim wins.
class ClaimKeeper
{
public:
    /// @param host Name of this host.
    /// @param writer Number of this incarnation of the host; must never have been used before.
    /// @param fold Empty fold of the stream.
    ClaimKeeper(std::string host,
                std::uint64_t writer,
                const ClaimKeeperLimits &limits,
                std::unique_ptr<ClaimFold> fold);

    /// Requests a verdict. It is among the returned actions or among those of a later call.
    ClaimActions begin(ClaimTicket ticket, const ClaimRequest &ask, TimePoint now);

    /// Must be called before the first byte of a granted request is sent.
    /// @returns false when the grant is no longer valid: the request has not run and must not be sent.
    [[nodiscard]] bool startRun(ClaimTicket ticket, TimePoint now);

    /// Records how a started run ended. Large answers are not stored; see ClaimKeeperLimits.
    ClaimActions finish(ClaimTicket ticket, OutcomeKind kind, const ClaimAnswer &answer, TimePoint now);

    /// Ends a request that certainly has not run: before startRun(), or after the backend server refused it. Its key
    /// can then be claimed again.
    ClaimActions release(ClaimTicket ticket, TimePoint now);

    /// Handles the result of a ClaimAppend.
    /// @param result LogUnavailable when the append was certainly not applied; any other error when it may have been.
    ClaimActions onAppended(std::uint64_t id, const Result<ClaimAck> &result, TimePoint now);

    /// Handles the result of a ClaimRead.
    ClaimActions onRead(const Result<ClaimBatch> &result, TimePoint now);

    /// Expires requests and starts periodic work. Must be called every config::TickPeriod.
    ClaimActions tick(TimePoint now);

    /// @returns true when no request is open, no outcome or abandonment is left to append and no append is in flight.
    ///     The host may stop then.
    [[nodiscard]] bool isIdle() const;

    /// @returns true once the stream has been read to its end and the fold is complete.
    [[nodiscard]] bool isLoaded() const;

    [[nodiscard]] const ClaimFold &fold() const;
    [[nodiscard]] ClaimKeeperStats stats() const;

private:
    /// Progress of one request.
    enum class State {
        AwaitingRead, ///< Waits until the stream has been read to its end; no claim is queued before.
        Queued, ///< The claim waits to be appended.
        Sent, ///< The claim is part of an append that may have been applied.
        Granted, ///< The claim won; startRun() has not been called yet.
        Running, ///< startRun() has been called.
    };

    /// One request, from begin() until it is ended.
    struct Pending {
        ClaimRequest ask;
        ClaimDigest name {};
        State state = State::AwaitingRead;
        AttemptId attempt;
        TimePoint begunAt; ///< When begin() was called.
        TimePoint grantedAt;
    };

    /// The records of the one append that may be in flight.
    struct Batch {
        std::uint64_t id = 0;
        std::vector<std::pair<AttemptId, ClaimRecord>> records;
        TimePoint sentAt;
        bool seenInStream = false; ///< Its first record has been read back from the stream.
        std::optional<TimePoint> lostAt; ///< When the append failed without showing whether it was applied.
    };

    /// Outcome of a run on this host that has not been read back from the log yet.
    struct UnconfirmedOutcome {
        ClaimDigest fingerprint {};
        OutcomeKind kind = OutcomeKind::Unknown;
        std::shared_ptr<const ClaimAnswer> answer;
    };

    using PendingMap = std::map<ClaimTicket, Pending>;

    AttemptId nextId();
    LogTime estimateLogTime(TimePoint now) const;
    void updateLogOffset(LogTime at, TimePoint now);
    bool isLogDown(TimePoint now) const;
    ClaimActions flush(TimePoint now);

    void queueClaim(ClaimTicket ticket, Pending &request);
    void decideAwaitingRead(TimePoint now);
    void recordOutcome(const Pending &request, const ClaimOutcome &outcome);
    bool answerFromOwnOutcomes(ClaimTicket ticket, const Pending &request);
    bool answerFromFold(ClaimTicket ticket, const Pending &request, TimePoint now);
    void giveVerdict(ClaimVerdict verdict);
    void refuse(ClaimTicket ticket, ErrorKind kind, const std::string &detail);
    void refuseAll(State state, ErrorKind kind, const std::string &detail);
    void eraseRequest(ClaimTicket ticket);
    void queueRecord(ClaimRecord record);
    void abandon(const AttemptId &attempt, const ClaimDigest &name);

    void logFailed(std::uint32_t &failures, TimePoint now);
    void sendAppend(TimePoint now);
    void takeQueuedRecords(Batch &batch, std::size_t &bytes);
    void takeQueuedClaims(Batch &batch, std::size_t &bytes);
    void takeSnapshotChunk(Batch &batch);
    void requeueBatch();
    void reissueBatch();
    void requeueRecords();
    void resolveLostBatch(TimePoint readStarted, bool caughtUp);

    void sendRead(TimePoint now);
    bool isReadDue(TimePoint now) const;
    void applyRecord(const ClaimLogRecord &record, TimePoint now);
    void handleOwnClaim(const Claim &claim, ClaimEffect effect, TimePoint now);
    void restartFold(std::uint64_t oldest);
    void abandonWinnersAgain();
    void expireRequests(TimePoint now);
    void planSnapshot(TimePoint now);

    std::string host;
    std::uint64_t writer;
    ClaimKeeperLimits limits;
    std::unique_ptr<ClaimFold> claimFold;
    std::uint64_t sequence = 0;
    ClaimActions actions;

    PendingMap pending;
    std::map<AttemptId, ClaimTicket> byAttempt;
    std::map<ClaimDigest, ClaimTicket> byName;
    std::map<ClaimDigest, UnconfirmedOutcome> unconfirmedOutcomes; ///< By name.
    std::deque<ClaimTicket> claimQueue; ///< Requests whose claims wait to be appended.
    std::deque<ClaimRecord> recordQueue; ///< Outcomes and abandonments that wait to be appended.
    std::size_t recordQueueBytes = 0;
    std::deque<ClaimSnapshotChunk> snapshotQueue;
    std::map<AttemptId, ClaimDigest> abandonedAttempts; ///< Their claims may yet appear in the stream.
    std::map<AttemptId, ClaimDigest> abandonedWinners; ///< Those whose claims have won since; to be abandoned again.

    std::optional<Batch> inFlight;
    std::uint64_t nextBatch = 0;
    TimePoint appendAllowedAt;
    std::uint32_t appendFailures = 0;
    std::uint64_t awaitedOffset = 0; ///< End offset of the newest confirmed append; the stream must be read up to it.

    std::optional<TimePoint> readStarted; ///< Set while a read is in flight.
    TimePoint lastRead; ///< When the last read was started.
    std::uint32_t readFailures = 0;
    TimePoint retryAt; ///< No append or read is retried before.
    bool loaded = false; ///< See isLoaded().
    bool behind = true; ///< The last read did not reach the end of the stream.
    std::uint64_t oldestKept = 0; ///< Oldest offset still in the log, as of the last read.
    std::optional<LogTime> firstRecordAt; ///< Log time of the first record read.
    TimePoint lastSnapshot; ///< When this host last began to write one.
    std::optional<Duration> logOffset; ///< Lower bound of log time minus monotonic time.

    std::uint64_t appendCount = 0;
    std::uint64_t readBackCount = 0;
    std::uint64_t abandonCount = 0;
    std::uint64_t snapshotCount = 0;
};

} // namespace endivespan
