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

/// Sends a request to one server after another until an attempt succeeds or no further one is allowed.
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

    /// Ends the run because this host stops.
    void stop();

    [[nodiscard]] const ForwardJob &job() const;

    /// @returns the tokens that its attempt may occupy in an engine's memory; 0 when no attempt is under way.
    [[nodiscard]] std::uint64_t tokensHeld() const;

private:
    void attempt();
    bool tryPlace(TimePoint now);
    /// @returns whether an attempt that is sent now is expected to be answered before a stop of this host ends it.
    /// @param firstByte Expected time to the first byte of the answer.
    [[nodiscard]] bool endsBeforeStop(Duration firstByte, TimePoint now) const;
    void send(const PlacementChoice &choice, TimePoint now);
    [[nodiscard]] PlacementNeed need() const;
    void
    prepareEngine(ForwardDispatch &dispatch, const ServerView &view, const std::string &likelyHolder, TimePoint now);

    void logColdSend(const ServerView &view, TimePoint now);

    void onHead(int status, const HttpHeaders &headers);
    void onBody(std::string_view bytes);
    void onDone();
    void onStreamEnd();
    void recordAnswer(TimePoint now);
    void onFailure(const HttpFailure &failure);
    void onServerSilent();
    void onDeadline();
    void onCallerGone();

    void onNotRun(const ServerAnswer &answer);
    /// Ends an attempt that may have run, and sends another one or ends the request.
    /// @param repeatGranted Whether mayRepeat() has already allowed another attempt.
    void attemptFailed(AttemptOutcome outcome, std::string_view why, bool repeatGranted = false);
    [[nodiscard]] bool mayRepeat(TimePoint now);
    void endAttempt(AttemptOutcome outcome);
    void reportLostAttempt(TimePoint now);
    void abandonAttempt(AttemptOutcome outcome);
    [[nodiscard]] Duration hedgeDelay() const;
    void markSent();
    void markPrefilled();
    void watchSilence();

    void refuse(RefusalCause cause);
    void cut(std::string_view why);
    void cut(ErrorKind kind, std::string_view why);
    void finish(int status, std::string_view result, std::string_view why, LogRank rank);

    ForwardTask &task;
    ForwardJob work;
    std::unique_ptr<HttpPending> call;
    std::unique_ptr<Timer> deadlineTimer;
    std::unique_ptr<Timer> waitTimer;

    std::string server; ///< Of the current attempt; empty between attempts.
    std::string address;
    std::uint64_t attemptTokens = 0; ///< Prompt tokens that the engine must process before the answer begins.
    std::string fetchedFrom; ///< Store that the last fetched part comes from; empty for none.
    ServerIncarnation life; ///< Server and start time of the server of the latest attempt.
    TimePoint attemptAt;
    TimePoint lastByteAt; ///< When the latest byte of the attempt's answer arrived; its start before.
    TimePoint headAt; ///< When the header of the attempt's answer arrived; epoch before.
    bool prefilled = false; ///< The prompt tokens of the attempt no longer count as queued at the server.
    bool requestSent = false; ///< The request was sent completely, or certainly never will be.
    int status = 0;
    HttpHeaders headers;
    std::string body;

    std::set<std::string> tried;
    std::uint32_t attemptsSent = 0; ///< All attempts of this run.
    std::uint32_t possibleRuns = 0; ///< Attempts that may have run.
    std::uint32_t notRunAnswers = 0; ///< Attempts that servers refused as not run.
    std::uint32_t partsFetched = 0; ///< Parts that engines were told to fetch from stores, over all attempts.
    std::uint32_t partsSaved = 0; ///< Parts that engines were told to save to stores, over all attempts.
    std::uint64_t partsSought = 0; ///< Parts that engines were told to fetch from another engine, over all attempts.
    std::uint64_t weights = 0; ///< Version of the weights that the last attempt required; 0 for none.
    PlacementChoice lastChoice; ///< Result of the latest search for a server.
    bool streamBegan = false; ///< The stream of the current attempt has begun.
    bool eventReceived = false; ///< The stream of the current attempt had a complete event.
    bool streaming = false; ///< The header of a streamed answer was sent to the caller.
    EventSplitter events;
    std::uint64_t bytesInsideEvent = 0; ///< Bytes after the last complete event of a stream that ended.
    std::optional<std::uint64_t> lastEvent; ///< Last event that was sent to the caller completely.
    TimePoint firstByteAt;
    Duration waited {};
    RefusalCause refusal = RefusalCause::None;
    bool ended = false;
};

} // namespace endivespan
