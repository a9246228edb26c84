#pragma once

#include "event_splitter.h"
#include "forward_task.h"

#include <endivespan/log_cause.h>

#include <cstdint>
#include <memory>
#include <optional>
#include <set>
#include <string>

/// Handles one forwarded request from its arrival until the last byte of the answer.
namespace endivespan {

/// The request of a run and what was resolved for it on arrival; constant during the run.
struct ForwardJob {
    std::shared_ptr<HttpExchange> exchange;
    ForwardRequest request;
    std::shared_ptr<const ForwardConfig> config; ///< Owns the route and the organisation.
    const ForwardRoute *route = nullptr;
    const ForwardOrganisation *organisation = nullptr; ///< Null on public routes.
    std::string service;
    SuspectKeys keys; ///< Of the request and the shared parts of its prompt.
    TimePoint arrivedAt;
    TimePoint deadline; ///< The earlier one of the caller's and the route's.
};

/// One attempt of a run, at one server.
struct ForwardAttempt {
    std::uint32_t number = 0; ///< Counts the attempts of a run from 1.
    std::unique_ptr<HttpPending> call;
    std::string server; ///< Empty once the attempt has ended.
    std::string address;
    ServerIncarnation life; ///< Server and start time of the server; kept when the attempt has ended.
    std::uint64_t tokens = 0; ///< Prompt tokens that the engine must process before the answer begins.
    std::uint64_t work = 0; ///< Those of them that are expected not to be cached or fetched.
    std::uint64_t weights = 0; ///< Version of the weights that the attempt requires; 0 for none.
    std::string fetchedFrom; ///< Store that the last fetched part comes from; empty for none.
    bool savesParts = false; ///< Its engine saves shared parts to a store.
    TimePoint startedAt;
    TimePoint lastByteAt; ///< When the latest byte of the answer arrived; the start before.
    TimePoint headAt; ///< When the header of the answer arrived; epoch before.
    bool prefilled = false; ///< The prompt tokens no longer count as queued at the server.
    bool requestSent = false; ///< The request was sent completely, or certainly never will be.
    bool streamBegan = false; ///< The stream has begun.
    bool eventReceived = false; ///< The stream had a complete event.
    EventSplitter events;
    int status = 0;
    HttpHeaders headers;
    std::string body; ///< Of an answer that is not streamed.

    [[nodiscard]] bool isUnderWay() const
    {
        return !this->server.empty();
    }
};

/// A complete answer of a server.
struct ForwardAnswer {
    int status = 0;
    HttpHeaders headers;
    std::string body;
};

/// Sends a request to one server after another until an attempt succeeds or no further one is allowed. While a server
/// sends nothing, a second attempt stands by at another one; the first goes on until the second has been accepted.
class ForwardRun
{
public:
    ForwardRun(ForwardTask &task, ForwardJob job);
    ~ForwardRun();
    ForwardRun(const ForwardRun &) = delete;
    ForwardRun &operator=(const ForwardRun &) = delete;

    void start();

    /// Tries again to find a server with room, for a run that waits.
    /// @returns whether the run no longer waits: it has sent an attempt or has ended.
    bool retryPlace(TimePoint now);

    /// Refuses a run that waited in the queue.
    void refuseQueued(const QueueRefusal &refusal);

    /// @returns the time until a server is expected to have room, by the latest search.
    [[nodiscard]] std::optional<Duration> roomIn() const;

    /// Ends the run because this host stops.
    void stop();

    [[nodiscard]] const ForwardJob &job() const;

    /// @returns the tokens that its attempt may occupy in an engine's memory; 0 when no attempt is under way.
    [[nodiscard]] std::uint64_t tokensHeld() const;

    /// @returns the engine memory that the request is expected to use, in tokens.
    [[nodiscard]] double tokensExpected() const;

private:
    /// Sends the request to a server, as a trial if it is refused otherwise and a trial is due, or refuses it.
    void admit();
    void refuseForCrashes(const CrashRefusal &refusal);
    void returnTrials();
    void attempt();
    void attemptInTurn(TimePoint now);
    [[nodiscard]] QueuedRequest queuedRequest() const;
    bool tryPlace(TimePoint now);

    void onHead(std::uint32_t number, int status, const HttpHeaders &headers);
    void onActiveHead(const ServerAnswer &answer, TimePoint now);
    /// Records what the header of an answer says of its server.
    [[nodiscard]] ServerAnswer readHead(ForwardAttempt &attempt, int status, const HttpHeaders &headers, TimePoint now);
    void onBody(std::uint32_t number, std::string_view bytes);
    void onActiveEvents(const std::string &complete, TimePoint now);
    void onDone(std::uint32_t number);
    void onStreamEnd();
    /// Sends another attempt after a complete failure of the server, if one is allowed.
    /// @returns whether one was sent, or the run has ended.
    [[nodiscard]] bool repeatFailed(std::string_view why);
    void replyAnswer(int status, const HttpHeaders &headers, std::string_view body);
    void recordAnswer(TimePoint now);
    void recordTrialEnd(TimePoint now);
    void recordAnswerTimes(TimePoint now);
    void recordRouteTime(TimePoint now);
    void onFailure(std::uint32_t number, const HttpFailure &failure);
    void onActiveFailure(const HttpFailure &failure);
    void onServerSilent();
    void onDeadline();
    void onCallerGone(CallerLoss loss);
    void onInputEnded();
    /// Ends a run whose caller has closed its sending direction and may have left.
    void giveUpCaller();

    void onNotRun(const ServerAnswer &answer);
    /// Ends an attempt that may have run, and sends another one or ends the request.
    void attemptFailed(AttemptOutcome outcome, std::string_view why);
    [[nodiscard]] bool mayRepeat(TimePoint now);
    void endAttempt(ForwardAttempt &attempt, AttemptOutcome outcome);
    void logFailedAttempt(const ForwardAttempt &attempt, std::string_view why);
    void logRefusedAttempt(const ForwardAttempt &attempt);
    void reportLostAttempt(const ForwardAttempt &attempt, LossKind kind, TimePoint now);
    void abandonAttempt(ForwardAttempt &attempt, AttemptOutcome outcome);
    [[nodiscard]] Duration hedgeDelay() const;
    void markSent(ForwardAttempt &attempt);
    void markPrefilled(ForwardAttempt &attempt);
    void watchAnswer();
    /// Records the time until the answer of the active attempt began.
    void observeFirstEvent(TimePoint now);
    void watchSilence();
    [[nodiscard]] ForwardAttempt &attemptOf(std::uint32_t number);

    // In forward_send.cpp.

    /// @returns whether an attempt that is sent now is expected to be answered before a stop of this host ends it.
    /// @param firstByte Expected time to the first byte of the answer.
    [[nodiscard]] bool endsBeforeStop(Duration firstByte, TimePoint now) const;
    void send(const PlacementChoice &choice, ForwardAttempt &attempt, TimePoint now);
    void sendActive(const PlacementChoice &choice, TimePoint now);
    [[nodiscard]] PlacementNeed need() const;
    /// @returns the servers that a further attempt may be sent to when the route allows no other ones; nothing while it
    ///     does.
    [[nodiscard]] std::optional<std::set<std::string>> allowedServers() const;
    [[nodiscard]] bool isFurtherAttemptAllowed() const;
    void prepareEngine(ForwardDispatch &dispatch,
                       ForwardAttempt &attempt,
                       const ServerView &view,
                       const std::string &likelyHolder,
                       TimePoint now);

    /// @returns the prompt tokens that the server of @p choice is expected to process itself.
    [[nodiscard]] std::uint64_t expectedWork(const ForwardDispatch &dispatch, const PlacementChoice &choice) const;
    void logColdSend(const ServerView &view, TimePoint now);

    // In forward_standby.cpp.

    /// @returns a server that is expected to answer an attempt standing by for the silent one.
    [[nodiscard]] PlacementChoice placeStandby(TimePoint now);
    /// @returns true, with the timer set, when requests such as this one usually take longer than the latest attempt
    /// has
    ///     taken until its answer begins, so that it is too early for another one.
    [[nodiscard]] bool awaitUsualTime(TimePoint now);
    /// @returns whether the server of @p attempt sends nothing to any request.
    [[nodiscard]] bool isServerGone(const ForwardAttempt &attempt, TimePoint now) const;
    /// @returns whether @p other is expected to answer soon enough to be worth a second attempt.
    [[nodiscard]] bool isWorthStandby(const PlacementChoice &other, TimePoint now) const;
    [[nodiscard]] FirstEventKind kindOf(const ForwardAttempt &attempt) const;
    /// Sends an attempt that stands by, if a server has room for it, in the place of an earlier one that is silent too.
    void startStandby(TimePoint now);
    /// Ends the attempt that stands by, since the active one goes on or the run ends.
    void cancelStandby();
    void onStandbyHead(int status, const HttpHeaders &headers);
    void onStandbyBody(std::string_view bytes);
    /// @returns whether the end of its stream completes the answer.
    [[nodiscard]] bool standbyCompletes() const;
    /// Ends the silent attempt, and makes the one that stands by the active one.
    void takeOver();
    void onStandbyRefused(const ServerAnswer &answer, TimePoint now);
    void onStandbyFailure(const HttpFailure &failure);
    void onStandbyFailed(AttemptOutcome outcome, std::string_view why);
    /// Makes the attempt that stands by the active one, which has ended.
    void promoteStandby();

    /// @param roomIn Time until a server is expected to have room, if known.
    void refuse(RefusalCause cause, std::optional<Duration> roomIn = std::nullopt);
    /// Ends the answer to the caller with what is known, in the place of an answer of a server.
    void cut(std::string_view why);
    void cut(ErrorKind kind, std::string_view why);
    /// Answers with the complete failure of a server, if there was one, otherwise with an error of this host.
    void replyFailure(ErrorKind kind, std::string_view result, std::string_view why, LogRank rank);
    void finish(int status, std::string_view result, std::string_view why, LogRank rank);

    ForwardTask &task;
    ForwardJob work;
    std::unique_ptr<Timer> deadlineTimer;
    std::unique_ptr<Timer> waitTimer;
    std::unique_ptr<Timer> callerTimer; ///< Runs while a caller whose input has ended may have left.

    ForwardAttempt active; ///< The current attempt, whose answer the caller receives.
    ForwardAttempt standby; ///< At another server, while the current one sends nothing.

    std::set<std::string> tried;
    std::uint32_t attemptsSent = 0; ///< All attempts of this run.
    std::set<std::string> ranAt; ///< Servers whose ended attempts may have run.
    std::uint32_t notRunAnswers = 0; ///< Attempts that servers refused as not run.
    std::uint32_t standbyRefusals = 0; ///< Of these the ones that stood by, in the current silence.
    std::uint32_t partsFetched = 0; ///< Parts that engines were told to fetch from stores, over all attempts.
    std::uint32_t partsSaved = 0; ///< Parts that engines were told to save to stores, over all attempts.
    std::uint64_t partsSought = 0; ///< Parts that engines were told to fetch from another engine, over all attempts.
    std::optional<ForwardAnswer> failedAnswer; ///< The latest complete failure of a server, unless a success follows.
    PlacementChoice lastChoice; ///< Result of the latest search for a server.
    bool isQueued = false; ///< It waits in the queue of services under load control.
    bool streaming = false; ///< The header of a streamed answer was sent to the caller.
    std::uint64_t bytesInsideEvent = 0; ///< Bytes after the last complete event of a stream that ended.
    std::optional<std::uint64_t> lastEvent; ///< Last event that was sent to the caller completely.
    TimePoint firstByteAt;
    Duration waited {};
    std::optional<Fingerprint> trialAsked; ///< The request or part for which a permit of a trial is awaited.
    std::set<Fingerprint> trials; ///< The request and parts for which there is one.
    std::set<Fingerprint> trialsSent; ///< Those of them under which a server may have run the request.
    RefusalCause refusal = RefusalCause::None;
    bool ended = false;
};

} // namespace endivespan
