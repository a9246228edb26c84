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

/// Claims the right to run non-idempotent requests on behalf of one host, in one claim stream.
namespace endivespan {

/// A request that must run at most once.
struct ClaimAsk {
    std::string organisation;
    std::string key; ///< Idempotency key.
    ClaimDigest fingerprint {};
    std::chrono::milliseconds runLimit {0}; ///< The request has been answered this long after begin().
};

/// Number by which the shell knows one request; it chooses each once.
using ClaimTicket = std::uint64_t;

/// What may be done with a request.
enum class ClaimDecision {
    Granted, ///< Call startRun() and send it, or release() it.
    Recorded, ///< It ran before; the answer is in the verdict.
    AnswerNotKept, ///< It ran before; its answer is no longer kept.
    InProgress, ///< Another attempt may be running it.
    OutcomeUnknown, ///< Another attempt may have run it.
    KeyReused, ///< The key belongs to another request.
    Refused, ///< This attempt has not run and never will.
};

/// The decision about one request; given exactly once.
struct ClaimVerdict {
    ClaimTicket ticket = 0;
    ClaimDecision decision = ClaimDecision::Refused;
    std::string host; ///< The host whose attempt holds the key.
    Duration retryAfter = Duration::zero(); ///< When another try makes sense; zero if never.
    std::shared_ptr<const ClaimAnswer> answer; ///< Set when recorded.
    Error error; ///< Set when refused.
};

/// Append @p records as one unit and report with ClaimKeeper::appended().
struct ClaimAppend {
    std::uint64_t id = 0;
    std::vector<std::pair<AttemptId, ClaimRecord>> records;
};

/// Read and report with ClaimKeeper::wasRead().
struct ClaimRead {
    std::uint64_t from = 0;
    std::chrono::milliseconds wait {0}; ///< How long the log may hold the call while there is nothing to return.
};

using ClaimAction = std::variant<ClaimAppend, ClaimRead, ClaimVerdict>;
using ClaimActions = std::vector<ClaimAction>;

/// What one read of the stream returned.
struct ClaimBatch {
    std::vector<ClaimLogRecord> records;
    std::uint64_t end = 0;
    std::uint64_t oldest = 0;
    bool trimmed = false;
};

/// Where an append landed in log time.
struct ClaimAck {
    std::uint64_t first = 0;
    LogTime at;
};

/// Bounds and periods of one keeper.
struct ClaimKeeperLimits {
    Duration appendGap; ///< Least time between two appends.
    std::size_t maxBatchRecords;
    std::size_t maxBatchBytes;
    std::size_t maxWaiting; ///< Requests without a verdict; more are refused.
    std::size_t maxOwed; ///< Outcomes and abandonments waiting for the log; the oldest are dropped beyond.
    std::size_t maxOwedBytes; ///< Answers beyond are not kept.
    Duration waitLimit; ///< A request without a verdict for this long is refused.
    Duration grantLimit; ///< A grant not used for this long is void.
    Duration retryDelay; ///< Pause after the log failed.
    Duration readPeriod; ///< Reads while nothing is waited for.
    Duration snapshotPeriod; ///< Between snapshots; well under the retention of the log.
    std::size_t maxAnswerBytes; ///< Larger answers are not kept.
};

/// @returns the limits from config.h.
ClaimKeeperLimits defaultClaimKeeperLimits();

/// Counts of one keeper.
struct ClaimKeeperStats {
    ClaimFoldStats fold;
    std::size_t waiting = 0;
    std::size_t owed = 0;
    std::uint64_t appends = 0;
    std::uint64_t readBacks = 0; ///< Appends whose answer was lost.
    std::uint64_t abandoned = 0;
    std::uint64_t snapshots = 0;
};

/// Group-commits claims, learns by reading who won, and remembers what it owes the log.
///
/// Any number of keepers may work on one stream: safety rests on the fold alone.
class ClaimKeeper
{
public:
    /// @param host Name of this host.
    /// @param writer Number of this incarnation; never used before.
    /// @param fold Empty fold of the stream.
    ClaimKeeper(std::string host,
                std::uint64_t writer,
                const ClaimKeeperLimits &limits,
                std::unique_ptr<ClaimFold> fold);

    /// Asks for a verdict on a request. The verdict may be among the returned actions or come later.
    ClaimActions begin(ClaimTicket ticket, const ClaimAsk &ask, TimePoint now);

    /// To be called before the first byte of a granted request is sent.
    /// @returns false when the grant may not be used any more: the request has not run, and never will.
    [[nodiscard]] bool startRun(ClaimTicket ticket, TimePoint now);

    /// Records how a started run ended.
    ClaimActions finish(ClaimTicket ticket, OutcomeKind kind, const ClaimAnswer &answer, TimePoint now);

    /// Gives a request up that certainly has not run: before startRun(), or when the backend server refused it.
    ClaimActions release(ClaimTicket ticket, TimePoint now);

    /// @param result LogUnavailable when certainly not applied; any other error when it may have been.
    ClaimActions appended(std::uint64_t id, const Result<ClaimAck> &result, TimePoint now);

    ClaimActions wasRead(const Result<ClaimBatch> &result, TimePoint now);

    /// To be called each config::TickPeriod.
    ClaimActions tick(TimePoint now);

    /// @returns true when no request and no owed record is left, so that the host may stop.
    [[nodiscard]] bool isIdle() const;

    /// @returns true once the stream has been read to its end.
    [[nodiscard]] bool isLoaded() const;

    [[nodiscard]] const ClaimFold &fold() const;
    [[nodiscard]] ClaimKeeperStats stats() const;

private:
    enum class State {
        Looking, ///< Waits for a read to the end before anything is appended.
        Queued, ///< Not part of any append yet.
        Sent, ///< The append may have been applied.
        Granted,
        Running,
    };

    struct Pending {
        ClaimAsk ask;
        ClaimDigest name {};
        State state = State::Looking;
        AttemptId attempt;
        TimePoint since;
        TimePoint grantedAt;
    };

    struct Batch {
        std::uint64_t id = 0;
        std::vector<std::pair<AttemptId, ClaimRecord>> records;
        TimePoint sentAt;
        bool found = false; ///< Seen in the stream.
        std::optional<TimePoint> lostAt; ///< Set when the answer was lost.
    };

    /// A run of this host whose outcome has not been read back from the log yet.
    struct Settled {
        ClaimDigest fingerprint {};
        OutcomeKind kind = OutcomeKind::Unknown;
        std::shared_ptr<const ClaimAnswer> answer;
    };

    using PendingMap = std::map<ClaimTicket, Pending>;

    AttemptId nextId();
    LogTime logNow(TimePoint now) const;
    void noteLogTime(LogTime at, TimePoint now);
    bool isDown(TimePoint now) const;
    ClaimActions flush(TimePoint now);

    void queueClaim(ClaimTicket ticket, Pending &request);
    void settleLooking(TimePoint now);
    void remember(const Pending &request, const ClaimOutcome &outcome);
    bool answerFromMemory(ClaimTicket ticket, const Pending &request);
    bool answerFromFold(ClaimTicket ticket, const Pending &request, TimePoint now);
    void give(ClaimVerdict verdict);
    void refuse(ClaimTicket ticket, ErrorKind kind, const std::string &detail);
    void refuseAll(State state, ErrorKind kind, const std::string &detail);
    void forget(ClaimTicket ticket);
    void owe(ClaimRecord record);
    void abandon(const AttemptId &attempt, const ClaimDigest &name);

    void logFailed(std::uint32_t &failures, TimePoint now);
    void sendAppend(TimePoint now);
    void takeOwed(Batch &batch, std::size_t &bytes);
    void takeClaims(Batch &batch, std::size_t &bytes);
    void takeSnapshot(Batch &batch);
    void unsend();
    void reissue();
    void requeueOwed();
    void settleBatch(TimePoint readStarted, bool caughtUp);

    void sendRead(TimePoint now);
    bool wantsRead(TimePoint now) const;
    void applyRecord(const ClaimLogRecord &record, TimePoint now);
    void claimFolded(const Claim &claim, ClaimEffect effect, TimePoint now);
    void startOver(std::uint64_t oldest);
    void abandonStrays();
    void expireRequests(TimePoint now);
    void planSnapshot(TimePoint now);

    std::string host;
    std::uint64_t writer;
    ClaimKeeperLimits limits;
    std::unique_ptr<ClaimFold> state;
    std::uint64_t sequence = 0;
    ClaimActions actions;

    PendingMap pending;
    std::map<AttemptId, ClaimTicket> byAttempt;
    std::map<ClaimDigest, ClaimTicket> byName;
    std::map<ClaimDigest, Settled> settled; ///< By name.
    std::deque<ClaimTicket> claimQueue;
    std::deque<ClaimRecord> owed;
    std::size_t owedBytes = 0;
    std::deque<ClaimSnapshotChunk> snapshotQueue;
    std::map<AttemptId, ClaimDigest> givenUp; ///< Not run, but their claims may still turn up in the stream.
    std::map<AttemptId, ClaimDigest> strays; ///< Given-up claims that were seen to win.

    std::optional<Batch> inFlight;
    std::uint64_t nextBatch = 0;
    TimePoint appendAllowedAt;
    std::uint32_t appendFailures = 0;
    std::uint64_t awaited = 0; ///< Offset up to which the stream must be read for what was appended.

    std::optional<TimePoint> readStarted;
    TimePoint lastRead;
    std::uint32_t readFailures = 0;
    TimePoint retryAt;
    bool loaded = false;
    bool behind = true; ///< The last read did not reach the end.
    std::uint64_t oldestKept = 0;
    std::optional<LogTime> firstRecordAt;
    TimePoint lastSnapshot;
    std::optional<Duration> logOffset; ///< Log time minus monotonic time, at least.

    std::uint64_t appendCount = 0;
    std::uint64_t readBackCount = 0;
    std::uint64_t abandonCount = 0;
    std::uint64_t snapshotCount = 0;
};

} // namespace endivespan
