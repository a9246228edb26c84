#pragma once

#include "event_splitter.h"
#include "forward_task.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <set>
#include <string>

/// One forwarded request from its arrival to its last byte.
namespace endivespan {

/// Who asks for what; fixed for the life of a run.
struct ForwardJob {
    std::shared_ptr<HttpExchange> exchange;
    ForwardRequest request;
    std::shared_ptr<const ForwardConfig> config; ///< Keeps the route alive.
    const ForwardRoute *route = nullptr;
    const ForwardOrganisation *organisation = nullptr; ///< Null on public routes.
    std::string service;
    Fingerprint fingerprint;
    TimePoint arrivedAt;
    TimePoint deadline; ///< Of the caller or the route, whichever is sooner.
};

/// Makes attempts one after the other until one succeeds or none may follow.
class ForwardRun
{
public:
    ForwardRun(ForwardTask &task, ForwardJob job);
    ~ForwardRun();
    ForwardRun(const ForwardRun &) = delete;
    ForwardRun &operator=(const ForwardRun &) = delete;

    void start();

    /// Tries again to get a place. @returns whether the run no longer waits.
    bool retryPlace(TimePoint now);

    [[nodiscard]] const ForwardJob &job() const;

    /// @returns the tokens that its attempt may hold of an engine's memory; 0 when none is under way there.
    [[nodiscard]] std::uint64_t tokensHeld() const;

private:
    void attempt();
    bool tryPlace(TimePoint now);
    void send(const PlacementChoice &choice, TimePoint now);
    [[nodiscard]] PlacementNeed need() const;
    void
    prepareEngine(ForwardDispatch &dispatch, const ServerView &view, const std::string &likelyHolder, TimePoint now);

    void logColdSend(const ServerView &view, TimePoint now);

    void onHead(int status, const HttpHeaders &headers);
    void onBody(std::string_view bytes);
    void onDone();
    void onFailure(const HttpFailure &failure);
    void onImpatient();
    void onDeadline();
    void onCallerGone();

    void answerNotRun(const ServerAnswer &answer);
    /// @param repeatGranted Whether the budget has already granted another attempt.
    void attemptFailed(AttemptOutcome outcome, std::string_view why, bool repeatGranted = false);
    [[nodiscard]] bool mayRepeat(TimePoint now);
    void endAttempt(AttemptOutcome outcome);
    void lostAttempt(TimePoint now);
    void giveUp(AttemptOutcome outcome);
    [[nodiscard]] Duration patience() const;
    void markSent();
    void markPrefilled();
    void watchSilence();

    void refuse(ErrorKind kind, std::string_view why);
    void cut(std::string_view why);
    void finish(int status, std::string_view outcome, std::string_view why, LogRank rank);

    ForwardTask &task;
    ForwardJob work;
    std::unique_ptr<HttpPending> call;
    std::unique_ptr<Timer> deadlineTimer;
    std::unique_ptr<Timer> patienceTimer;

    std::string server; ///< Of the current attempt, empty between attempts.
    std::string address;
    std::uint64_t attemptTokens = 0; ///< To be read before the answer begins.
    std::string fetchedFrom; ///< Store of the longest shared part, empty for none.
    ServerLife life; ///< Of the server of the latest attempt.
    TimePoint attemptAt;
    TimePoint heardAt; ///< The attempt's latest byte, or its start.
    TimePoint headAt; ///< When the answer of the attempt began; epoch before.
    bool prefilled = false;
    bool requestSent = false; ///< Or it is settled that it never will be.
    int status = 0;
    HttpHeaders headers;
    std::string body;

    std::set<std::string> tried;
    std::uint32_t sends = 0;
    std::uint32_t ran = 0; ///< Attempts that may have run.
    std::uint32_t notRun = 0;
    std::uint32_t partsFetched = 0; ///< Over all attempts, as is the next.
    std::uint32_t partsSaved = 0;
    std::uint64_t partsSought = 0; ///< In the memory of another engine.
    std::uint64_t weights = 0; ///< Version that the last attempt counted on.
    PlacementChoice lastChoice; ///< Of the latest try to find a server.
    bool streamBegan = false; ///< Of the attempt under way.
    bool streaming = false; ///< The caller has the head of the answer.
    EventSplitter events;
    std::optional<std::uint64_t> lastEvent; ///< Last one that the caller has whole.
    TimePoint firstByteAt;
    Duration waited {};
    bool ended = false;
};

} // namespace endivespan
