#include "prompt_writer.h"

#include <nlohmann/json.hpp>

#include <utility>

namespace endivespan {

namespace {

using nlohmann::json;

} // namespace

PromptWriter::PromptWriter(std::shared_ptr<HttpExchange> exchange,
                           const PromptRequest &request,
                           std::string requestId,
                           std::string version)
    : exchange(std::move(exchange))
    , api(request.api)
    , stream(request.stream)
    , model(request.model)
    , requestId(std::move(requestId))
    , version(std::move(version))
{
}

void PromptWriter::start()
{
    if (this->started) {
        return;
    }
    this->started = true;
    this->exchange->startStream(200,
                                {{"Content-Type", "text/event-stream"},
                                 {"Cache-Control", "no-store"},
                                 {"X-Endivespan-Request", this->requestId}});
}

std::string PromptWriter::chunkJson(const std::string &piece, bool last) const
{
    json choice {{"index", 0}, {"finish_reason", last ? json("stop") : json(nullptr)}};
    if (this->api == PromptApi::Chat) {
        choice["delta"] = last ? json::object() : json {{"content", piece}};
    } else {
        choice["text"] = piece;
    }
    const char *object = this->api == PromptApi::Chat ? "chat.completion.chunk" : "text_completion";
    return json {{"id", this->requestId}, {"object", object}, {"model", this->model}, {"choices", {choice}}}.dump();
}

std::string PromptWriter::wholeJson(const EngineSummary &summary) const
{
    json choice {{"index", 0}, {"finish_reason", "stop"}};
    if (this->api == PromptApi::Chat) {
        choice["message"] = {{"role", "assistant"}, {"content", this->text}};
    } else {
        choice["text"] = this->text;
    }
    const char *object = this->api == PromptApi::Chat ? "chat.completion" : "text_completion";
    const json usage {{"completion_tokens", summary.count},
                      {"cached_tokens", summary.cachedTokens},
                      {"imported_tokens", summary.importedTokens},
                      {"recomputed_tokens", summary.recomputedTokens}};
    return json {{"id", this->requestId},
                 {"object", object},
                 {"model", this->model},
                 {"version", this->version},
                 {"choices", {choice}},
                 {"usage", usage}}
        .dump();
}

void PromptWriter::token(const EngineToken &token)
{
    if (!this->stream) {
        this->text += token.text;
        return;
    }
    this->start();
    this->exchange->sendChunk("id: " + eventId(this->requestId, this->version, token.index)
                              + "\ndata: " + this->chunkJson(token.text, false) + "\n\n");
}

void PromptWriter::heartbeat()
{
    if (this->started) {
        this->exchange->sendChunk(": hb\n\n");
    }
}

void PromptWriter::done(const EngineSummary &summary)
{
    if (!this->stream) {
        this->exchange->reply(200,
                              {{"Content-Type", "application/json"}, {"X-Endivespan-Request", this->requestId}},
                              this->wholeJson(summary));
        return;
    }
    this->start();
    this->exchange->sendChunk("data: " + this->chunkJson("", true) + "\n\ndata: [DONE]\n\n");
    this->exchange->endStream();
}

void PromptWriter::fail(const Error &error, const ErrorContext &context)
{
    if (!this->started) {
        replyError(*this->exchange, error, context);
        return;
    }
    // [DONE] is not sent, so that the caller does not take an incomplete answer for a complete one.
    this->exchange->sendChunk("event: error\ndata: " + errorBody(error, context) + "\n\n");
    this->exchange->endStream();
}

bool PromptWriter::isStarted() const
{
    return this->started;
}

} // namespace endivespan
