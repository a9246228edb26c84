#pragma once

#include "answer.h"
#include "prompt_request.h"

#include <endivespan/engine_client.h>

#include <memory>
#include <string>

/// Writes the answer to a prompt in the format that the caller requested.
namespace endivespan {

/// Sends one answer, either as a stream or as a single body. Nothing is sent before the first token, so that an earlier
/// error can still be answered with its own HTTP status.
class PromptWriter
{
public:
    /// @param requestId Sent in headers and event ids.
    /// @param version Version of the weights that generate the answer.
    PromptWriter(std::shared_ptr<HttpExchange> exchange,
                 const PromptRequest &request,
                 std::string requestId,
                 std::string version);

    /// Sends one token, or collects it for an answer that is not streamed.
    void token(const EngineToken &token);

    /// Sends an SSE comment on a started stream, so that the connection does not idle.
    void heartbeat();

    /// Completes the answer.
    void done(const EngineSummary &summary);

    /// Ends the answer with an error: with the HTTP status of the error when nothing was sent yet, else with an error
    /// event.
    void fail(const Error &error, const ErrorContext &context);

    /// @returns true once the stream has started, so that bytes of the answer may have been sent.
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
