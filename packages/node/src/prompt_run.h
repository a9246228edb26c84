#pragma once

#include "context.h"
#include "export_task.h"
#include "prompt_request.h"
#include "prompt_writer.h"

#include <endivespan/route.h>

#include <memory>
#include <optional>
#include <string>
#include <vector>

/// One prompt from its admission to the end of its answer.
namespace endivespan {

/// What a run needs beside the context.
struct PromptJob {
    std::shared_ptr<HttpExchange> exchange;
    Caller caller;
    PromptRequest request;
    Model model;
    std::uint32_t firstIndex = 0; ///< First token that the caller wants.
};

/// How a run ended.
enum class PromptEnd {
    Answered,
    Failed,
    CallerGone,
};

/// Is told what becomes of a run, by the id that it was made with.
class PromptObserver
{
public:
    virtual ~PromptObserver() = default;

    /// An attempt was placed and @p recomputeTokens of its prompt must be recomputed.
    virtual void onPlanned(std::uint64_t id, std::uint32_t recomputeTokens) = 0;

    /// The first token of the run came.
    virtual void onFirstToken(std::uint64_t id) = 0;

    /// The runner had no room; @returns true when the run may try another one at once.
    virtual bool mayRetryRefusal() = 0;

    /// The answer is complete, has failed, or the caller has gone. Called once, never inside a call of the run.
    virtual void onEnd(std::uint64_t id, PromptEnd how) = 0;
};

/// Routes a prompt, follows its stream, and resumes it elsewhere when a server fails.
class PromptRun
{
public:
    /// The run waits for start(); while it does, it ends by itself when its caller goes or its deadline passes.
    /// @param id Identifies the run to @p observer, which must outlive it.
    PromptRun(NodeContext &context,
              Router &router,
              ExportTask &exports,
              PromptJob job,
              std::uint64_t id,
              PromptObserver &observer);
    ~PromptRun();
    PromptRun(const PromptRun &) = delete;
    PromptRun &operator=(const PromptRun &) = delete;

    /// Starts the first attempt.
    /// @param fairness Added to the caller's priority; 0 while the organisation is within its share.
    void start(std::uint32_t fairness);

    /// Ends a run that was never started with a refusal.
    void refuse(ErrorKind kind, std::chrono::milliseconds retryAfter);

    [[nodiscard]] const PromptJob &request() const;
    [[nodiscard]] bool isStarted() const;
    [[nodiscard]] TimePoint deadlineAt() const;

    /// @returns the prompt's size in tokens, less the leading pieces that some runner or store is believed to hold.
    [[nodiscard]] std::uint32_t expectedPrefillTokens() const;

private:
    void attempt();
    bool takeCredit(const Decision &choice);
    bool waitForCredit();
    void dispatch(const Decision &decision);
    void explain(const Decision &decision);
    void onToken(const EngineToken &token);
    void onDone(const EngineSummary &summary);
    void onRefused(EngineRefusal refusal);
    void onFailure(const Error &error, bool requestSent);
    void noteFirstToken();
    void learn(const EngineSummary &summary);
    void endAttempt(bool completed);
    void retry(const Error &error);
    void fail(const Error &error);
    void failWith(const Error &error, std::chrono::milliseconds retryAfter);
    void end(PromptEnd how);

    NodeContext &context;
    Router &router;
    ExportTask &exports;
    PromptJob job;
    std::uint64_t id;
    PromptObserver &observer;
    PromptWriter writer;
    std::vector<PieceKey> pieces;
    std::vector<ServerHandle> excluded;
    TimePoint arrivedAt;
    TimePoint deadline;
    TimePoint dispatchedAt;
    Duration firstTokenAfter {}; ///< Of the attempt under way; zero until its first token.
    std::uint32_t attempts = 0;
    std::uint32_t nextIndex;
    bool firstTokenSeen = false;
    bool started = false;
    bool waitedForCredit = false;
    bool ended = false;
    int fairness = 0;
    std::string attemptId;
    ServerHandle server;
    Decision decision;
    DispatchHandle load;
    std::optional<CreditUse> credit; ///< The right that the attempt under way was sent with.
    std::unique_ptr<EngineRun> run;
    std::unique_ptr<Timer> deadlineTimer;
    std::unique_ptr<Timer> heartbeatTimer;
    std::unique_ptr<Timer> retryTimer;
};

} // namespace endivespan
