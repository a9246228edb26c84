#include "callers.h"

#include "../standins/answer_text.h"

#include <endivespan/config.h>

#include <nlohmann/json.hpp>

#include <utility>

namespace endivespan::soak {

namespace {

using nlohmann::json;

constexpr std::size_t Catalogues = 40;
constexpr std::size_t MaxCataloguePieces = 6;
constexpr std::uint32_t MaxAnswerTokens = 40;
constexpr std::chrono::seconds GiveUpAfter {60};
constexpr std::chrono::milliseconds RetryPause {200};

std::string catalogueText(std::size_t catalogue)
{
    const std::size_t pieces = 1 + catalogue % MaxCataloguePieces;
    const std::string line = "pattern " + std::to_string(catalogue) + " ";
    std::string text;
    while (text.size() < pieces * config::PieceBytes) {
        text += line;
    }
    return text;
}

HttpHeaders callerHeaders(std::size_t organisation)
{
    return {{"Authorization", "Bearer " + Cluster::apiKey(organisation)}, {"Content-Type", "application/json"}};
}

} // namespace

PromptCaller::PromptCaller(Loop &loop, Cluster &cluster, std::mt19937_64 &random, Verdict &verdict)
    : loop(loop)
    , cluster(cluster)
    , random(random)
    , verdict(verdict)
    , organisation(random() % Cluster::Organisations)
    , prompt(catalogueText(random() % Catalogues) + "question " + std::to_string(random()))
    , tokens(1 + static_cast<std::uint32_t>(random() % MaxAnswerTokens))
    , startedAt(loop.now())
{
}

void PromptCaller::start()
{
    this->attempt();
}

bool PromptCaller::isDone() const
{
    return this->done;
}

void PromptCaller::attempt()
{
    const std::string host = this->cluster.pickHost(this->random);
    if (host.empty()) {
        this->retryLater();
        return;
    }
    ++this->attempts;
    this->parser = {};
    this->refusal.clear();
    HttpCall call;
    call.address = host;
    call.method = "POST";
    call.target = "/v1/completions";
    call.headers = callerHeaders(this->organisation);
    if (!this->lastId.empty()) {
        call.headers["Last-Event-ID"] = this->lastId;
        this->verdict.count("prompts_resumed");
    }
    call.body
        = json {{"model", "puhuja"}, {"prompt", this->prompt}, {"max_tokens", this->tokens}, {"stream", true}}.dump();
    HttpCallbacks callbacks;
    callbacks.onChunk = [this](int status, std::string_view bytes) { this->onChunk(status, bytes); };
    callbacks.onDone = [this](const HttpAnswer &) { this->onEnd(); };
    callbacks.onFailure = [this](const HttpFailure &) { this->onFailure(); };
    call.silenceTimeout = std::chrono::seconds(10);
    this->pending = startHttpCall(this->loop, call, std::move(callbacks));
}

void PromptCaller::onChunk(int status, std::string_view bytes)
{
    if (status != 200) {
        this->refusal += bytes;
        return;
    }
    for (const EventParser::Event &event : this->parser.feed(bytes)) {
        this->onEvent(event);
    }
}

void PromptCaller::onEvent(const EventParser::Event &event)
{
    if (event.data == "[DONE]") {
        this->sawEnd = true;
        return;
    }
    const json body = json::parse(event.data, nullptr, false);
    if (event.name == "error" || !body.is_object() || event.id.empty()) {
        return;
    }
    if (this->text.empty()) {
        this->firstTokenAt = this->loop.now();
    }
    this->text += body["choices"][0]["text"].get<std::string>();
    this->lastId = event.id;
}

void PromptCaller::onEnd()
{
    if (this->sawEnd) {
        this->check();
        return;
    }
    if (!this->refusal.empty()) {
        const json body = json::parse(this->refusal, nullptr, false);
        const std::string kind = body.is_object() ? body["error"].value("kind", "unreadable") : "unreadable";
        this->verdict.count("prompt_refused_" + kind);
    } else {
        this->verdict.count("prompt_stream_errors");
    }
    this->retryLater();
}

void PromptCaller::onFailure()
{
    this->verdict.count("prompt_connections_lost");
    this->retryLater();
}

void PromptCaller::retryLater()
{
    if (this->loop.now() - this->startedAt > GiveUpAfter) {
        this->verdict.count("prompts_given_up");
        this->done = true;
        return;
    }
    this->retryTimer = this->loop.after(RetryPause, [this] { this->attempt(); });
}

void PromptCaller::check()
{
    this->done = true;
    const std::string expected = standins::AnswerText("puhuja", "v1", this->prompt).tokens(0, this->tokens);
    if (this->text != expected) {
        this->verdict.find("answer of " + this->lastId + " is wrong: " + std::to_string(this->text.size())
                           + " bytes of " + std::to_string(expected.size()));
    }
    this->verdict.count("prompts_answered");
    if (this->attempts == 1) {
        this->verdict.count("prompts_answered_at_once");
    }
    if (this->firstTokenAt - this->startedAt < std::chrono::milliseconds(1600)) {
        this->verdict.count("prompts_first_token_in_1600_ms");
    }
}

OrderCaller::OrderCaller(Loop &loop, Cluster &cluster, std::mt19937_64 &random, Verdict &verdict, std::string key)
    : loop(loop)
    , cluster(cluster)
    , random(random)
    , verdict(verdict)
    , key(std::move(key))
    , organisation(random() % Cluster::Organisations)
    , startedAt(loop.now())
{
}

void OrderCaller::start()
{
    const std::size_t lanes = 1 + this->random() % Lanes;
    this->open = lanes;
    for (std::size_t lane = 0; lane < lanes; ++lane) {
        this->send(lane);
    }
}

bool OrderCaller::isDone() const
{
    return this->open == 0;
}

const OrderFate &OrderCaller::fate() const
{
    return this->known;
}

void OrderCaller::send(std::size_t lane)
{
    const std::string host = this->cluster.pickHost(this->random);
    if (host.empty()) {
        this->again(lane);
        return;
    }
    HttpCall call;
    call.address = host;
    call.method = "POST";
    call.target = "/services/verstas/orders";
    call.headers = callerHeaders(this->organisation);
    call.headers["Idempotency-Key"] = this->key;
    call.body = json {{"order", this->key}}.dump();
    call.silenceTimeout = std::chrono::seconds(20);
    HttpCallbacks callbacks;
    callbacks.onDone = [this, lane](const HttpAnswer &answer) { this->onAnswer(lane, answer); };
    callbacks.onFailure = [this, lane](const HttpFailure &failure) {
        // Without an answer nobody told this caller whether it ran.
        this->known.maybeRan = this->known.maybeRan || failure.requestSent;
        this->onFailure(lane);
    };
    this->pending.at(lane) = startHttpCall(this->loop, call, std::move(callbacks));
}

void OrderCaller::onAnswer(std::size_t lane, const HttpAnswer &answer)
{
    const json body = json::parse(answer.body, nullptr, false);
    if (answer.status == 200 && body.is_object() && body.value("key", "") == this->key) {
        if (this->known.answered && this->known.answer != answer.body) {
            this->verdict.find("order " + this->key + " has two different answers");
        }
        if (body.value("run", 0) != 1) {
            this->verdict.find("order " + this->key + " was run twice, says its answer");
        }
        this->known = {true, true, answer.body};
        this->settle(lane);
        return;
    }
    const bool isError = body.is_object() && body.contains("error") && body["error"].is_object();
    if (!isError) {
        this->verdict.find("order " + this->key + " got an unreadable answer with status "
                           + std::to_string(answer.status));
        this->settle(lane);
        return;
    }
    const std::string kind = body["error"].value("kind", "");
    this->verdict.count("order_refused_" + kind);
    this->known.maybeRan = this->known.maybeRan || body["error"].value("run", "") != "not-run";
    const bool final = kind == "outcome_unknown" || !body["error"].value("retryable", false);
    if (final) {
        this->settle(lane);
    } else {
        this->again(lane);
    }
}

void OrderCaller::onFailure(std::size_t lane)
{
    this->verdict.count("order_connections_lost");
    this->again(lane);
}

void OrderCaller::settle(std::size_t lane)
{
    static_cast<void>(lane);
    --this->open;
    if (this->open == 0) {
        this->verdict.count(this->known.answered       ? "orders_answered"
                                : this->known.maybeRan ? "orders_unknown"
                                                       : "orders_not_run");
    }
}

void OrderCaller::again(std::size_t lane)
{
    if (this->loop.now() - this->startedAt > GiveUpAfter) {
        this->settle(lane);
        return;
    }
    this->timers.at(lane) = this->loop.after(RetryPause, [this, lane] { this->send(lane); });
}

} // namespace endivespan::soak
