#pragma once

#include "answer.h"
#include "prompt_request.h"

#include <endivespan/engine_client.h>

#include <memory>
#include <string>

/// Writes the answer to a prompt in the shape that its caller asked for.
namespace endivespan {

/// Sends one answer, streamed or whole. Nothing is sent before the first token, so that a refusal has its own status.
class PromptWriter
{
public:
    /// @param requestId Goes into headers and event ids.
    /// @param version Weight version that answers.
    PromptWriter(std::shared_ptr<HttpExchange> exchange,
                 const PromptRequest &request,
                 std::string requestId,
                 std::string version);

    /// Sends or collects one token.
    void token(const EngineToken &token);

    /// Keeps a started stream alive with a comment.
    void heartbeat();

    /// Completes the answer.
    void done(const EngineSummary &summary);

    /// Ends with an error: its own status when nothing was sent yet, else an explicit error event.
    void fail(const Error &error, const ErrorContext &context);

    /// @returns true once a byte of the answer has been sent.
    [[nodiscard]] bool isStarted() const;

private:
    void start();
    [[nodiscard]] std::string chunkJson(const std::string &text, bool last) const;
    [[nodiscard]] std::string wholeJson(const EngineSummary &summary) const;

    std::shared_ptr<HttpExchange> exchange;
    PromptApi api;
    bool stream;
    std::string model;
    std::string requestId;
    std::string version;
    std::string text;
    bool started = false;
};

} // namespace endivespan
