#pragma once

#include "context.h"
#include "export_task.h"
#include "prompt_request.h"
#include "prompt_writer.h"

#include <endivespan/route.h>

#include <functional>
#include <memory>
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

/// Routes a prompt, follows its stream, and resumes it elsewhere when a server fails.
class PromptRun
{
public:
    /// @param onEnd Called once, when the answer is complete, has failed, or the caller has gone; never inside start().
    PromptRun(
        NodeContext &context, Router &router, ExportTask &exports, PromptJob job, std::function<void(PromptEnd)> onEnd);
    ~PromptRun();
    PromptRun(const PromptRun &) = delete;
    PromptRun &operator=(const PromptRun &) = delete;

    /// Starts the first attempt.
    void start();

    /// @returns the model that answers.
    [[nodiscard]] const std::string &model() const;

private:
    void attempt();
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
    void end(PromptEnd how);

    NodeContext &context;
    Router &router;
    ExportTask &exports;
    PromptJob job;
    std::function<void(PromptEnd)> onEnd;
    PromptWriter writer;
    std::vector<PieceKey> pieces;
    std::vector<ServerHandle> excluded;
    TimePoint arrivedAt;
    TimePoint deadline;
    TimePoint dispatchedAt;
    std::uint32_t attempts = 0;
    std::uint32_t nextIndex;
    bool firstTokenSeen = false;
    bool firstTokenOfAttempt = false;
    bool ended = false;
    Error lastError;
    std::string attemptId;
    ServerHandle server;
    Decision decision;
    DispatchHandle load;
    std::unique_ptr<EngineRun> run;
    std::unique_ptr<Timer> deadlineTimer;
    std::unique_ptr<Timer> heartbeatTimer;
    std::unique_ptr<Timer> retryTimer;
};

} // namespace endivespan
