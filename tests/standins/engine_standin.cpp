#include "engine_standin.h"

#include <endivespan/config.h>

#include <algorithm>
#include <utility>

namespace endivespan::standins {

namespace {

constexpr std::chrono::milliseconds LoadSamplePeriod {20};

} // namespace

EngineStandIn::EngineStandIn(Loop &loop, const std::string &name, std::string model, const std::string &version)
    : StandIn(loop, "engine", name)
    , model(std::move(model))
    , versions {version}
{
    this->addSettings();
    this->beatTimer = loop.every(std::chrono::milliseconds(100), [this] { this->beat(); });
    this->loadTimer = loop.every(LoadSamplePeriod, [this] { this->sampleLoad(); });
}

void EngineStandIn::addSettings()
{
    this->setting("capacity", this->capacity);
    this->setting("queue_limit", this->queueLimit);
    this->setting("prefill_tokens_per_s", this->prefillTokensPerSecond);
    this->setting("decode_ms", this->decodeTime);
    this->setting("cache_pieces", this->cache.limit);
    this->setting("event_gap_percent", this->cache.eventGapPercent);
    this->setting("event_delay_ms", this->eventDelay);
    this->setting("load_lag_ms", this->loadLag);
    this->setting("heartbeat_ms", this->heartbeatPeriod);
    this->setting("piece_bytes", this->pieceBytes);
    this->setting("import_bytes_per_s", this->link.bytesPerSecond);
    this->setting("cold_concurrency", this->gate.coldConcurrency);
    this->setting("warm_concurrency", this->gate.warmConcurrency);
    this->setting("refuse_cold", this->refuseCold);
    this->setting("check_fences", this->checksFences);
    this->setting("poison", this->poisonCrashes);
    this->setting("stopping", this->stopping);
    this->setting("lose_answers", this->loseAnswers);
    this->action("cold", [this](const json &value) { value.get<bool>() ? this->gate.chill() : this->gate.heat(); });
    this->action("silent_streams", [this](const json &) { this->silenceStreams(); });
}

json EngineStandIn::counts() const
{
    const Counts &c = this->counted;
    return {{"incarnation", this->incarnation()},
            {"running", this->count(false)},
            {"queued", this->count(true)},
            {"accepted", c.accepted},
            {"completed", c.completed},
            {"refused", c.refused},
            {"cancelled", c.cancelled},
            {"disconnected", c.disconnected},
            {"expired", c.expired},
            {"fell_over", c.fellOver},
            {"poisoned", c.poisoned},
            {"bad_pieces", c.badPieces},
            {"bad_import", c.badImport},
            {"import_failed", c.importFailed},
            {"import_rejected", c.importRejected},
            {"imported_pieces", c.importedPieces},
            {"exported_pieces", c.exportedPieces},
            {"old_fence", c.oldFence},
            {"orders", c.orders},
            {"loads_started", c.loadsStarted},
            {"loads_failed", c.loadsFailed},
            {"prompt_tokens", c.promptTokens},
            {"cached_tokens", c.cachedTokens},
            {"imported_tokens", c.importedTokens},
            {"recomputed_tokens", c.recomputedTokens},
            {"link_bytes", this->link.totalBytes()}};
}

void EngineStandIn::handle(const ExchangePtr &exchange)
{
    const std::string what = exchange->request().method + " " + exchange->request().path;
    if (what == "POST /v1/completions") {
        this->complete(exchange);
    } else if (what == "GET /load") {
        this->answerLoad(exchange);
    } else if (what == "GET /events") {
        this->answerEvents(exchange);
    } else if (what == "POST /cancel") {
        this->cancel(exchange);
    } else if (what == "POST /export") {
        this->exportPiece(exchange);
    } else if (what == "POST /orders") {
        this->takeOrder(exchange);
    } else {
        replyJson(exchange, 404, {{"error", "no such path"}, {"ran", false}});
    }
}

void EngineStandIn::complete(const ExchangePtr &exchange)
{
    CompletionRequest request;
    if (const std::string problem = parseCompletion(bodyOf(exchange), request); !problem.empty()) {
        replyJson(exchange, 400, {{"error", "bad_request"}, {"detail", problem}, {"ran", false}});
    } else if (!this->refuse(exchange, request)) {
        this->enqueue(std::move(request), exchange);
    }
}

bool EngineStandIn::refuse(const ExchangePtr &exchange, const CompletionRequest &request)
{
    const std::size_t held = this->runs.size();
    int status = 503;
    std::string error;
    if (request.scope.model != this->model
        || std::find(this->versions.begin(), this->versions.end(), request.scope.version) == this->versions.end()) {
        status = 409;
        error = "wrong_version";
    } else if (!this->matchesPrompt(request, pieceChain(request.scope, request.prompt))) {
        status = 400;
        error = "bad_pieces";
    } else if (this->stopping) {
        error = "stopping";
    } else if (held >= this->capacity + this->queueLimit) {
        error = "queue_full";
    } else if (this->refuseCold && !this->gate.bears(held + 1)) {
        error = "cold";
    }
    if (error.empty()) {
        return false;
    }
    ++this->counted.refused;
    replyJson(exchange, status, {{"error", error}, {"ran", false}});
    return true;
}

bool EngineStandIn::matchesPrompt(const CompletionRequest &request, const std::vector<PieceKey> &chain)
{
    if (request.hasPieces && request.pieces != chain) {
        ++this->counted.badPieces;
        return false;
    }
    for (std::size_t i = 0; i < request.imports.size(); ++i) {
        if (i >= chain.size() || request.imports[i].piece != chain[i]) {
            ++this->counted.badImport;
            return false;
        }
    }
    return true;
}

void EngineStandIn::cancel(const ExchangePtr &exchange)
{
    const json body = bodyOf(exchange);
    const std::string id = body.is_object() ? body.value("request_id", "") : "";
    std::vector<RunPtr> found;
    for (const auto &[number, run] : this->runs) {
        if (run->request.requestId == id) {
            found.push_back(run);
        }
    }
    for (const RunPtr &run : found) {
        ++this->counted.cancelled;
        this->forget(run);
        run->exchange->abort();
    }
    replyJson(exchange, 200, {{"cancelled", found.size()}});
    this->startRuns();
}

void EngineStandIn::answerLoad(const ExchangePtr &exchange)
{
    if (this->loadLag == Duration::zero() || this->loadSamples.empty()) {
        replyJson(exchange, 200, this->loadNow());
        return;
    }
    const TimePoint shown = this->now() - this->loadLag;
    const json *latest = &this->loadSamples.front().second;
    for (const auto &[at, sample] : this->loadSamples) {
        if (at <= shown) {
            latest = &sample;
        }
    }
    replyJson(exchange, 200, *latest);
}

void EngineStandIn::sampleLoad()
{
    if (this->loadLag == Duration::zero()) {
        return;
    }
    const TimePoint time = this->now();
    this->loadSamples.emplace_back(time, this->loadNow());
    // One sample older than the lag stays, for it is the one that is shown.
    while (this->loadSamples.size() > 1 && this->loadSamples[1].first + this->loadLag <= time) {
        this->loadSamples.pop_front();
    }
}

json EngineStandIn::loadNow() const
{
    return {{"incarnation", this->incarnation()},
            {"running", this->count(false)},
            {"queued", this->count(true)},
            {"capacity", this->capacity},
            {"versions", this->versions},
            {"prefill_tokens_per_s", this->prefillTokensPerSecond},
            {"decode_ms_per_token", std::chrono::duration<double, std::milli>(this->decodeTime).count()},
            {"import_bytes_per_s", this->link.bytesPerSecond},
            {"queued_prefill_tokens", this->queuedPrefillTokens()},
            {"free_pieces", this->cache.limit - std::min<std::uint64_t>(this->cache.limit, this->cache.size())}};
}

void EngineStandIn::answerEvents(const ExchangePtr &exchange)
{
    const auto query = exchange->request().query.find("after");
    const std::uint64_t after
        = query == exchange->request().query.end() ? 0 : std::strtoull(query->second.c_str(), nullptr, 10);
    json events = json::array();
    std::uint64_t next = after;
    for (const CacheEvent &event : this->cache.events(after, this->now(), this->eventDelay)) {
        next = event.seq;
        events.push_back(
            {{"seq", event.seq}, {"type", event.stored ? "stored" : "evicted"}, {"piece", event.piece.hex()}});
    }
    replyJson(exchange, 200, {{"incarnation", this->incarnation()}, {"next", next}, {"events", events}});
}

} // namespace endivespan::standins
