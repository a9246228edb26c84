#include "json_call_p.h"

#include <endivespan/config.h>
#include <endivespan/engine_client.h>

#include <utility>

namespace endivespan {

namespace {

using nlohmann::json;

json requestBody(const EngineRequest &request)
{
    json pieces = json::array();
    for (const PieceKey &piece : request.pieces) {
        pieces.push_back(piece.hex());
    }
    json imports = json::array();
    for (const PieceImport &import : request.imports) {
        imports.push_back({{"piece", import.piece.hex()}, {"store", import.store}, {"generation", import.generation}});
    }
    return {
        {"model", request.scope.model},
        {"version", request.scope.version},
        {"prompt", request.prompt},
        {"max_tokens", request.maxTokens},
        {"stream", true},
        {"request_id", request.attemptId},
        {"cache_scope", {{"organisation", request.scope.organisation}, {"adapter", request.scope.adapter}}},
        {"pieces", std::move(pieces)},
        {"import", std::move(imports)},
        {"priority", request.priority},
        {"resume_from", request.resumeFrom},
        {"deadline_ms", request.deadline.count()},
    };
}

EngineRefusal refusalOf(const std::string &name)
{
    if (name == "queue_full") {
        return EngineRefusal::QueueFull;
    }
    if (name == "cold") {
        return EngineRefusal::Cold;
    }
    if (name == "wrong_version") {
        return EngineRefusal::WrongVersion;
    }
    return name == "stopping" ? EngineRefusal::Stopping : EngineRefusal::Other;
}

EngineSummary parseSummary(const json &event)
{
    EngineSummary summary;
    summary.count = event.at("count").get<std::uint32_t>();
    summary.cachedTokens = event.value("cached_tokens", 0U);
    summary.importedTokens = event.value("imported_tokens", 0U);
    summary.recomputedTokens = event.value("recomputed_tokens", 0U);
    summary.queueTime = std::chrono::milliseconds(event.value("queue_ms", 0));
    summary.version = event.value("version", "");
    summary.incarnation = event.value("incarnation", "");
    return summary;
}

EngineLoad parseLoad(const json &body)
{
    EngineLoad load;
    load.incarnation = body.at("incarnation").get<std::string>();
    load.running = body.value("running", 0U);
    load.queued = body.value("queued", 0U);
    load.capacity = body.value("capacity", 0U);
    load.versions = body.value("versions", std::vector<std::string> {});
    load.prefillTokensPerSecond = body.value("prefill_tokens_per_s", 0.0);
    load.decodeMillisecondsPerToken = body.value("decode_ms_per_token", 0.0);
    load.importBytesPerSecond = body.value("import_bytes_per_s", 0.0);
    load.queuedPrefillTokens = body.value("queued_prefill_tokens", std::uint64_t {0});
    load.freePieces = body.value("free_pieces", 0U);
    return load;
}

EngineCacheEvents parseEvents(const json &body)
{
    EngineCacheEvents events;
    events.incarnation = body.at("incarnation").get<std::string>();
    events.next = body.at("next").get<std::uint64_t>();
    for (const json &entry : body.at("events")) {
        const bool stored = entry.at("type").get<std::string>() == "stored";
        const PieceKey piece = PieceKey::fromHex(entry.at("piece").get_ref<const std::string &>());
        events.events.push_back({entry.at("seq").get<std::uint64_t>(), stored, piece});
    }
    return events;
}

class HttpEngineRun : public EngineRun
{
public:
    HttpEngineRun(Loop &loop, const EngineRequest &request, EngineCallbacks callbacks)
        : attemptId(request.attemptId)
        , callbacks(std::move(callbacks))
    {
        HttpCall call;
        call.address = request.address;
        call.method = "POST";
        call.target = "/v1/completions";
        call.headers = {{"Content-Type", "application/json"}};
        // A prompt may contain invalid UTF-8, which JSON cannot represent; such bytes are replaced by U+FFFD.
        call.body = requestBody(request).dump(-1, ' ', false, json::error_handler_t::replace);
        call.connectTimeout = config::ConnectTimeout;
        call.silenceTimeout = config::StreamSilenceTimeout;
        HttpCallbacks http;
        http.onChunk = [this](int status, std::string_view bytes) { this->received(status, bytes); };
        http.onDone = [this](const HttpAnswer &answer) { this->ended(answer.status); };
        http.onFailure = [this](const HttpFailure &failure) { this->settle(failure.error, failure.requestSent); };
        this->pending = startHttpCall(loop, call, std::move(http));
    }

private:
    void received(int status, std::string_view bytes)
    {
        if (status != 200) {
            this->refusalBody += bytes;
            return;
        }
        const std::weak_ptr<int> alive = this->life;
        for (const EventParser::Event &event : this->parser.feed(bytes)) {
            if (this->settled || event.data.empty() || event.data == "[DONE]") {
                continue;
            }
            this->take(event);
            // The owner may have destroyed this run from inside a callback.
            if (alive.expired()) {
                return;
            }
        }
    }

    void take(const EventParser::Event &event)
    {
        const json body = json::parse(event.data, nullptr, false);
        if (!body.is_object() || body.value("request_id", "") != this->attemptId) {
            this->settle(
                {ErrorKind::ProtocolError, "received an event that is unreadable or belongs to another request"}, true);
            return;
        }
        try {
            if (body.value("done", false)) {
                this->settled = true;
                const auto callback = this->callbacks.onDone;
                callback(parseSummary(body));
                return;
            }
            const auto callback = this->callbacks.onToken;
            callback({body.at("index").get<std::uint32_t>(), body.at("text").get<std::string>()});
        } catch (const json::exception &problem) {
            this->settle({ErrorKind::ProtocolError, problem.what()}, true);
        }
    }

    void ended(int status)
    {
        if (this->settled) {
            return;
        }
        const json body = json::parse(this->refusalBody, nullptr, false);
        if (status != 200 && body.is_object() && !body.value("ran", true)) {
            this->settled = true;
            const std::string name = body.value("error", "");
            const auto callback = this->callbacks.onRefused;
            callback(refusalOf(name), name);
            return;
        }
        this->settle({ErrorKind::StreamCut,
                      "stream ended before the answer was complete, HTTP status " + std::to_string(status)},
                     true);
    }

    void settle(const Error &error, bool requestSent)
    {
        if (this->settled) {
            return;
        }
        this->settled = true;
        const auto callback = this->callbacks.onFailure;
        callback(error, requestSent);
    }

    std::string attemptId;
    EngineCallbacks callbacks;
    EventParser parser;
    std::string refusalBody;
    bool settled = false;
    std::shared_ptr<int> life = std::make_shared<int>(0);
    std::unique_ptr<HttpPending> pending;
};

class HttpEngineClient : public EngineClient
{
public:
    explicit HttpEngineClient(Loop &loop)
        : loop(loop)
        , calls(loop)
    {
    }

    std::unique_ptr<EngineRun> run(const EngineRequest &request, EngineCallbacks callbacks) override
    {
        return std::make_unique<HttpEngineRun>(this->loop, request, std::move(callbacks));
    }

    void cancel(const std::string &address, const std::string &attemptId) override
    {
        askJson(this->calls, address, "POST", "/cancel", {{"request_id", attemptId}}, [](const Result<json> &) {});
    }

    void load(const std::string &address, std::function<void(Result<EngineLoad>)> done) override
    {
        askJson(this->calls, address, "GET", "/load", {}, [done](const Result<json> &body) {
            passParsed(body, &parseLoad, done);
        });
    }

    void events(const std::string &address,
                std::uint64_t after,
                std::function<void(Result<EngineCacheEvents>)> done) override
    {
        askJson(this->calls,
                address,
                "GET",
                "/events?after=" + std::to_string(after),
                {},
                [done](const Result<json> &body) { passParsed(body, &parseEvents, done); });
    }

    void exportPiece(const std::string &address,
                     const PieceKey &piece,
                     const std::string &store,
                     std::uint64_t fence,
                     std::function<void(Result<std::uint64_t>)> done) override
    {
        const json order {{"piece", piece.hex()}, {"store", store}, {"fence", fence}};
        askJson(this->calls, address, "POST", "/export", order, [done](const Result<json> &body) {
            passParsed(
                body, [](const json &fields) { return fields.at("generation").get<std::uint64_t>(); }, done);
        });
    }

    void loadVersion(const std::string &address,
                     const std::string &version,
                     std::uint64_t fence,
                     std::function<void(Result<void>)> done) override
    {
        const json order {{"kind", "load_version"}, {"version", version}, {"fence", fence}};
        askJson(
            this->calls, address, "POST", "/orders", order, [done](const Result<json> &body) { passVoid(body, done); });
    }

private:
    Loop &loop;
    CallGroup calls;
};

} // namespace

std::unique_ptr<EngineClient> EngineClient::create(Loop &loop)
{
    return std::make_unique<HttpEngineClient>(loop);
}

} // namespace endivespan
