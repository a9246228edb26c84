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

/// One prompt, from its admission to the end of its answer.
namespace endivespan {

/// Input of one run.
struct PromptJob {
    std::shared_ptr<HttpExchange> exchange;
    Caller caller;
    PromptRequest request;
    Model model;
    std::uint32_t firstIndex = 0; ///< Index of the first token to send; above 0 when the caller resumes an answer.
};

/// How a run ended.
enum class PromptEnd {
    Answered,
    Failed,
    CallerGone,
};

/// Receives the events of runs. Each run is identified by the id that it was created with.
class PromptObserver
{
public:
    virtual ~PromptObserver() = default;

    /// An attempt was dispatched; the runner must recompute @p recomputeTokens tokens of the prompt.
    virtual void onPlanned(std::uint64_t id, std::uint32_t recomputeTokens) = 0;

    /// The first token of the run was received.
    virtual void onFirstToken(std::uint64_t id) = 0;

    /// A runner refused the run because it is full or cold.
    /// @returns true when the run may try another runner.
    virtual bool mayRetryRefusal() = 0;

    /// The run has ended as @p how states: it was answered, has failed, or its caller has disconnected. Called once,
    /// possibly from within a method of the run, so that the observer must not destroy the run there.
    virtual void onEnd(std::uint64_t id, PromptEnd how) = 0;
};

/// Routes a prompt to a runner, forwards its token stream, and resumes it on another runner when one fails.
class PromptRun
{
public:
    /// Creates a run that waits for start() or refuse(). A waiting run ends by itself when its caller disconnects or
    /// its deadline passes.
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
    /// @param fairness Added to the priority of the request; 0 while the organisation is within its share.
    void start(std::uint32_t fairness);

    /// Ends a run that was never started, with an error answer.
    void refuse(ErrorKind kind, std::chrono::milliseconds retryAfter);

    [[nodiscard]] const PromptJob &request() const;
    [[nodiscard]] bool isStarted() const;
    [[nodiscard]] TimePoint deadlineAt() const;

    /// @returns the size of the prompt in tokens, less the leading pieces that a runner or store holds according to the
    /// directory.
    [[nodiscard]] std::uint32_t expectedPrefillTokens() const;

private:
    void onInputEnded();
    void attempt();
    bool takeCredit(const RouteDecision &choice);
    bool waitForCredit();
    void dispatch(const RouteDecision &decision);
    void explain(const RouteDecision &decision);
    void onToken(const EngineToken &token);
    void onDone(const EngineSummary &summary);
    void onRefused(EngineRefusal refusal);
    void onFailure(const Error &error, bool requestSent);
    void noteFirstToken();
    void recordSummary(const EngineSummary &summary);
    void endAttempt(bool completed);
    void retry(const Error &error);
    void fail(const Error &cause);
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
    Duration firstTokenAfter {}; ///< Time to first token of the attempt under way; zero before that.
    std::uint32_t attempts = 0;
    std::uint32_t nextIndex;
    bool firstTokenSeen = false;
    bool mayHaveRun = false; ///< Whether an attempt failed after it was sent and was not refused as not run.
    bool started = false;
    bool waitedForCredit = false;
    bool ended = false;
    int fairness = 0;
    std::string attemptId;
    ServerHandle server;
    RouteDecision decision;
    DispatchHandle load;
    std::optional<CreditUse> credit; ///< Credit that the attempt under way uses.
    std::unique_ptr<EngineRun> run;
    std::unique_ptr<Timer> deadlineTimer;
    std::unique_ptr<Timer> callerTimer; ///< Set once the caller of an answer that is not streamed has ended its input.
    std::unique_ptr<Timer> heartbeatTimer;
    std::unique_ptr<Timer> retryTimer;
};

} // namespace endivespan
