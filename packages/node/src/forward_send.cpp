#include "forward_answer_p.h"
#include "forward_run.h"
#include "store_task.h"

#include <endivespan/config.h>

#include <algorithm>
#include <utility>

// The part of ForwardRun that says what an attempt requires of its server, and sends it.
namespace endivespan {

PlacementNeed ForwardRun::need() const
{
    PlacementNeed need;
    need.service = this->work.service;
    need.model = this->work.request.model;
    need.tried = this->tried;
    need.only = this->allowedServers();
    need.answerTokens = this->work.request.answerTokens;
    need.loadControl = this->task.hasLoadControl(need.service);
    need.urgency = static_cast<std::size_t>(std::max(this->work.route->priority, 0));
    const auto &parts = this->work.request.parts;
    for (std::size_t i = 0; i < parts.size(); ++i) {
        // The last part is specific to this request or session, so that no other request shares it.
        if (i + 1 < parts.size()) {
            need.prefixHash = hashPrefix(need.prefixHash, parts[i].id);
            need.sharedTokens += parts[i].tokens;
        } else {
            need.ownTokens = parts[i].tokens;
        }
    }
    if (need.loadControl) {
        const auto own = this->work.organisation == nullptr ? std::nullopt : this->work.organisation->priority;
        need.urgency = static_cast<std::size_t>(std::max(own.value_or(this->work.route->priority), 0));
        need.requestTokens = this->tokensExpected();
    }
    return need;
}

double ForwardRun::tokensExpected() const
{
    std::uint64_t prompt = 0;
    for (const PromptPart &part : this->work.request.parts) {
        prompt += part.tokens;
    }
    return this->task.engines.requestTokens(this->work.route->name, prompt, this->work.request.answerTokens);
}

// A route limits the number of servers. One whose attempt stood by and was cancelled counts as one of them, and may be
// sent the request again.
std::optional<std::set<std::string>> ForwardRun::allowedServers() const
{
    std::set<std::string> used = this->ranAt;
    for (const ForwardAttempt *attempt : {&this->active, &this->standby}) {
        if (attempt->isUnderWay()) {
            used.insert(attempt->server);
        }
    }
    if (used.size() < this->work.route->maxAttempts) {
        return std::nullopt;
    }
    std::erase_if(used, [this](const std::string &server) { return this->tried.contains(server); });
    return used;
}

bool ForwardRun::isFurtherAttemptAllowed() const
{
    const auto allowed = this->allowedServers();
    return !allowed || !allowed->empty();
}

// The aim of the route stands for the time that plain servers take, since it is not measured.
bool ForwardRun::endsBeforeStop(Duration firstByte, TimePoint now) const
{
    const std::optional<TimePoint> stop = this->task.endOfStop();
    if (!stop) {
        return true;
    }
    Duration time = this->work.route->aim;
    if (!this->work.request.model.empty()) {
        const Duration answer = this->task.engines.rates().answerTokenTime * this->work.request.answerTokens;
        time = std::chrono::duration_cast<Duration>((firstByte + answer) * config::StopRunTimes);
    }
    return std::min(now + time, this->work.deadline) <= *stop;
}

// Adds the fields that only engines use. Cached prefixes are valid for one version of the weights only, so that the
// attempt names the version and an engine with another one refuses.
void ForwardRun::prepareEngine(ForwardDispatch &dispatch,
                               ForwardAttempt &attempt,
                               const ServerView &view,
                               const std::string &likelyHolder,
                               TimePoint now)
{
    const auto own = this->work.organisation == nullptr ? std::nullopt : this->work.organisation->priority;
    dispatch.priority = own.value_or(this->work.route->priority);
    const std::string &model = this->work.request.model;
    const auto weights = view.entry.weights.find(model);
    if (weights == view.entry.weights.end()) {
        return;
    }
    dispatch.weights = weights->second;
    // By the configuration in force now: the organisation may have been isolated while the request waited.
    const OperatorState &state = this->task.parts.operators.state();
    dispatch.cacheScope = CacheScope {model, weights->second, state.scopes.sharers(dispatch.organisation)}.text();
    const auto replacedAt = state.weights.replacedAt(model, weights->second);
    if (!this->task.mayTransfer(now) || !state.scopes.mayTransfer(now)) {
        return;
    }
    std::vector<PlannedPart> shared;
    const auto &parts = this->work.request.parts;
    for (std::size_t i = 0; i + 1 < parts.size(); ++i) {
        shared.push_back({parts[i].id, parts[i].tokens});
    }
    std::function<bool(const std::string &)> mayUse;
    if (replacedAt) {
        mayUse = [this, at = *replacedAt, now](const std::string &part) {
            return this->task.parts.oldParts.mayUse(at, part, now);
        };
    }
    dispatch.transfers = this->task.parts.stores.plan(dispatch.cacheScope, shared, view.entry.domain, mayUse, now);
    for (const std::string &store : dispatch.transfers.fetch) {
        attempt.fetchedFrom = store.empty() ? attempt.fetchedFrom : store;
        this->partsFetched += store.empty() ? 0 : 1;
    }
    for (const std::string &store : dispatch.transfers.save) {
        this->partsSaved += store.empty() ? 0 : 1;
        attempt.savesParts = attempt.savesParts || !store.empty();
    }
    // A part that no store holds may be in another engine's memory. A fetch that does not find it there costs 1 ms.
    for (std::size_t i = 0; i < shared.size(); ++i) {
        if (dispatch.transfers.fetch[i].empty() && !likelyHolder.empty()) {
            dispatch.transfers.fetch[i] = likelyHolder;
            ++this->partsSought;
        }
    }
}

// Shared parts are expected in the memory of the first engine in their rendezvous order, which has no likelier holder.
std::uint64_t ForwardRun::expectedWork(const ForwardDispatch &dispatch, const PlacementChoice &choice) const
{
    const auto &parts = this->work.request.parts;
    const std::vector<std::string> &fetch = dispatch.transfers.fetch;
    std::uint64_t tokens = parts.empty() ? 0 : parts.back().tokens;
    for (std::size_t i = 0; i + 1 < parts.size() && !choice.likelyHolder.empty(); ++i) {
        const bool isFetched = i < fetch.size() && !fetch[i].empty() && fetch[i] != choice.likelyHolder;
        tokens += isFetched ? 0 : parts[i].tokens;
    }
    return tokens;
}

void ForwardRun::sendActive(const PlacementChoice &choice, TimePoint now)
{
    this->waitTimer.reset();
    this->send(choice, this->active, now);
    if (!this->trials.empty()) {
        this->trialsSent.merge(this->trials);
        this->task.parts.events.line("trial_sent", LogRank::Failure)
            .with("request", this->work.request.id)
            .with("alike", fingerprintText(this->work.keys.request))
            .with("server", choice.server);
    }
    this->watchAnswer();
}

void ForwardRun::send(const PlacementChoice &choice, ForwardAttempt &attempt, TimePoint now)
{
    const ServerView &view = *this->task.parts.servers.find(choice.server);
    attempt = {};
    attempt.number = ++this->attemptsSent;
    attempt.server = choice.server;
    attempt.address = view.entry.address;
    attempt.life = {choice.server, view.entry.born};
    attempt.startedAt = now;
    attempt.lastByteAt = now;
    this->tried.insert(choice.server);
    if (this->attemptsSent == 1) {
        this->waited = now - this->work.arrivedAt;
    }
    for (const PromptPart &part : this->work.request.parts) {
        attempt.tokens += part.tokens;
    }
    ForwardDispatch dispatch;
    dispatch.server = choice.server;
    dispatch.organisation = this->work.organisation == nullptr ? "" : this->work.organisation->name;
    dispatch.timeLeft = toMilliseconds(this->work.deadline - now);
    if (!this->work.request.model.empty()) {
        this->prepareEngine(dispatch, attempt, view, choice.likelyHolder, now);
    }
    dispatch.lastEvent = this->lastEvent ? this->lastEvent : this->work.request.lastEvent;
    attempt.weights = dispatch.weights.value_or(0);
    attempt.work = this->expectedWork(dispatch, choice);

    const HttpRequest &received = this->work.exchange->request();
    PooledCall call;
    call.address = attempt.address;
    call.method = received.method;
    call.target = received.target;
    call.headers = this->task.parts.codec.encodeDispatch(this->work.request, dispatch);
    call.body = HttpBody(std::shared_ptr<const std::string>(this->work.exchange, &received.body));
    call.connectTimeout = config::ForwardConnectTimeout;
    call.belongs = [codec = &this->task.parts.codec, id = this->work.request.id](int, const HttpHeaders &fields) {
        return codec->belongs(id, fields);
    };
    if (ServerTable::isCold(view, now)) {
        this->logColdSend(view, now);
    }
    this->task.parts.servers.started(attempt.server, attempt.tokens, now);
    attempt.call = this->task.pool->start(
        std::move(call),
        {[this, number = attempt.number](int status, const HttpHeaders &fields) {
             this->onHead(number, status, fields);
         },
         [this, number = attempt.number](std::string_view bytes) { this->onBody(number, bytes); },
         [this, number = attempt.number] { this->onDone(number); },
         [this, number = attempt.number](const HttpFailure &failure) { this->onFailure(number, failure); },
         [this, number = attempt.number] { this->markSent(this->attemptOf(number)); }});
}

// The times of a repeated request say little of its server: a resumed stream has only the rest of its events.
void ForwardRun::recordAnswerTimes(TimePoint now)
{
    if (!this->ranAt.empty()) {
        return;
    }
    AnswerTimes times;
    times.firstEvent = this->active.headAt - this->active.startedAt;
    if (const std::uint32_t tokens = this->work.request.answerTokens; this->work.route->isStream && tokens > 0) {
        times.perToken = (now - this->active.headAt) / tokens;
        this->task.engines.observeAnswerLength(this->work.route->name, this->active.events.count());
    }
    this->task.parts.servers.answeredIn(
        this->active.life.server, this->active.life.born, this->work.route->name, times);
}

void ForwardRun::logColdSend(const ServerView &view, TimePoint now)
{
    const ForwardService *service = this->task.parts.operators.state().config->service(this->work.service);
    const ColdBound bound = service == nullptr ? ColdBound {} : this->task.coldBound(*service);
    this->task.parts.events.line("cold_server_used")
        .with("request", this->work.request.id)
        .with("attempt", this->attemptsSent)
        .with("server", view.entry.id)
        .with("born", view.entry.born)
        .with("cold_ms", std::max<Duration>(view.coldUntil - now, Duration::zero()))
        .with("confirmed", view.unconfirmedSince == TimePoint {} ? "yes" : "no")
        .with("rights", bound.isBounded() ? bound.hosts->rightsOf(view.idHash, bound.rights, now) : 0)
        .with("all_rights", bound.rights)
        .with("hosts", this->task.hosts());
}

} // namespace endivespan
