#include "engine_run.h"

#include <endivespan/config.h>

#include <utility>

namespace endivespan::standins {

namespace {

constexpr std::string_view PoisonMarker = "POISON";

std::string eventOf(const json &data)
{
    return "data: " + data.dump() + "\n\n";
}

void parseImports(const json &list, CompletionRequest &request)
{
    for (const json &item : list) {
        request.imports.push_back({PieceKey::fromHex(item.at("piece").get<std::string>()),
                                   item.at("store").get<std::string>(),
                                   item.at("generation").get<std::uint64_t>()});
    }
}

void parseScope(const json &body, CompletionRequest &request)
{
    const json scope = body.value("cache_scope", json::object());
    request.scope.organisation = scope.value("organisation", "");
    request.scope.adapter = scope.value("adapter", "");
    request.scope.model = body.at("model").get<std::string>();
    request.scope.version = body.at("version").get<std::string>();
}

} // namespace

std::string parseCompletion(const json &body, CompletionRequest &request)
{
    if (!body.is_object()) {
        return "the body is no JSON object";
    }
    try {
        parseScope(body, request);
        request.prompt = body.at("prompt").get<std::string>();
        request.requestId = body.at("request_id").get<std::string>();
        request.maxTokens = body.value("max_tokens", request.maxTokens);
        request.resumeFrom = body.value("resume_from", request.resumeFrom);
        request.priority = body.value("priority", request.priority);
        request.deadline = std::chrono::milliseconds(body.value("deadline_ms", 0));
        request.hasPieces = body.contains("pieces");
        for (const json &piece : body.value("pieces", json::array())) {
            request.pieces.push_back(PieceKey::fromHex(piece.get<std::string>()));
        }
        parseImports(body.value("import", json::array()), request);
    } catch (const json::exception &problem) {
        return problem.what();
    }
    return {};
}

Run::Run(std::uint64_t number, CompletionRequest completion, ExchangePtr caller, TimePoint now)
    : number(number)
    , request(std::move(completion))
    , exchange(std::move(caller))
    , text(this->request.scope.model, this->request.scope.version, this->request.prompt)
    , chain(pieceChain(this->request.scope, this->request.prompt))
    , promptTokens((this->request.prompt.size() + config::BytesPerToken - 1) / config::BytesPerToken)
    , poison(this->request.prompt.find(PoisonMarker) != std::string::npos)
    , arrived(now)
    , expires(this->request.deadline > Duration::zero() ? now + this->request.deadline : TimePoint::max())
    , lastSent(now)
    , nextToken(this->request.resumeFrom)
{
    // Prompts are large, and runs can be held long.
    this->request.prompt = {};
}

void Run::sendTokens(std::uint64_t due, TimePoint now)
{
    std::string events;
    for (; this->nextToken < due; ++this->nextToken) {
        const std::string &id = this->request.requestId;
        const json data {{"request_id", id}, {"index", this->nextToken}, {"text", this->text.token(this->nextToken)}};
        events += "id: " + id + ":" + std::to_string(this->nextToken) + "\n" + eventOf(data);
    }
    if (!events.empty() && !this->silent) {
        this->exchange->sendChunk(events);
        this->lastSent = now;
    }
}

void Run::sendHeartbeat(TimePoint now)
{
    if (!this->silent) {
        this->exchange->sendChunk(": hb\n\n");
        this->lastSent = now;
    }
}

void Run::finish(TimePoint now, const std::string &incarnation)
{
    if (this->silent) {
        return;
    }
    const auto queued = std::chrono::duration_cast<std::chrono::milliseconds>(this->started - this->arrived);
    const json data {{"request_id", this->request.requestId},
                     {"done", true},
                     {"count", this->request.maxTokens},
                     {"cached_tokens", this->cachedTokens},
                     {"imported_tokens", this->importedTokens},
                     {"recomputed_tokens", this->recomputedTokens},
                     {"queue_ms", queued.count()},
                     {"version", this->request.scope.version},
                     {"incarnation", incarnation}};
    this->exchange->sendChunk(eventOf(data) + "data: [DONE]\n\n");
    this->exchange->endStream();
    this->lastSent = now;
}

void Run::fail(const std::string &error)
{
    if (!this->silent) {
        this->exchange->sendChunk(eventOf({{"request_id", this->request.requestId}, {"error", error}}));
        this->exchange->endStream();
    }
}

} // namespace endivespan::standins
