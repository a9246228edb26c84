#include "forward_task.h"

#include "answer.h"
#include "forward_run.h"
#include "rollout_task.h"

#include <endivespan/config.h>

#include <algorithm>
#include <cmath>
#include <utility>

namespace endivespan {

namespace {

RetryBounds retryBounds(const ForwardBounds &bounds)
{
    return {bounds.retryRatio, bounds.retrySlack, bounds.retryWindow};
}

} // namespace

ForwardTask::ForwardTask(ForwardParts parts)
    : parts(parts)
    , pool(HttpPool::create(parts.loop, config::ForwardIdleTime))
    , retries(retryBounds(parts.settings.bounds))
    , random(std::random_device {}())
    , placement(makeExpectedStartPlacement())
{
}

ForwardTask::~ForwardTask() = default;

bool ForwardTask::isInForce(TimePoint now) const
{
    return this->parts.operators.state().config != nullptr
        && this->parts.confirmation.validity(this->parts.membership, now) != ConfigValidity::Stale;
}

bool ForwardTask::acceptsKeys(TimePoint now) const
{
    const auto &config = this->parts.operators.state().config;
    return !this->parts.settings.bounds.strictRevocation || this->parts.confirmation.isConfirmed(now)
        || (config != nullptr && config->organisations.empty());
}

bool ForwardTask::mayTransfer(TimePoint now) const
{
    const ConfigConfirmation &confirmation = this->parts.confirmation;
    const auto age = confirmation.statement(this->parts.membership, now).confirmedAge;
    const auto listAge = this->parts.serverFeed.age(now);
    return (age && *age <= config::TransferFreshness && listAge && *listAge <= config::TransferFreshness)
        || confirmation.validity(this->parts.membership, now) == ConfigValidity::LogDownForAll;
}

void ForwardTask::serve(const std::shared_ptr<HttpExchange> &exchange)
{
    const TimePoint now = this->parts.loop.now();
    auto decoded = this->parts.codec.decodeRequest(exchange->request());
    if (!decoded) {
        return this->refuse(*exchange, ForwardRequest {}, decoded.error());
    }
    ForwardJob job;
    job.exchange = exchange;
    job.request = std::move(decoded.value());
    job.arrivedAt = now;
    job.config = this->parts.operators.state().config;
    if (this->refusing) {
        return this->refuse(*exchange, job.request, {ErrorKind::HostStopping, "this host is stopping"});
    }
    if (!this->isInForce(now)) {
        return this->refuse(*exchange,
                            job.request,
                            {ErrorKind::ConfigurationStale, "the configuration has not been confirmed recently"});
    }
    job.route = job.config->route(job.request.host, job.request.path);
    if (job.route == nullptr) {
        return this->refuse(*exchange, job.request, {ErrorKind::NotFound, "no route matches the host and path"});
    }
    if (!job.route->isPublic && !job.config->organisations.empty()) {
        if (!this->acceptsKeys(now)) {
            return this->refuse(
                *exchange, job.request, {ErrorKind::ConfigurationStale, "no host could confirm the API keys recently"});
        }
        job.organisation = job.config->organisationOfKey(job.request.key);
        if (job.organisation == nullptr) {
            return this->refuse(*exchange, job.request, {ErrorKind::Unauthorized, "unknown API key"});
        }
    }
    job.service = chooseTarget(*job.route, this->random());
    const auto limit = std::min(job.request.deadline.value_or(config::ForwardDefaultDeadline), job.route->timeout);
    job.deadline = now + limit;
    job.keys.request = fingerprintOf(job.organisation == nullptr ? "" : job.organisation->name,
                                     exchange->request().target,
                                     exchange->request().body);
    const auto &parts = job.request.parts;
    for (std::size_t i = 0; i + 1 < parts.size() && i < config::SuspectPartsPerRequest; ++i) {
        job.keys.parts.push_back(partFingerprintOf(job.request.model, parts[i].id));
    }
    this->retries.countRequest(job.service, now);
    this->parts.metrics.count("requests_total");
    auto run = std::make_unique<ForwardRun>(*this, std::move(job));
    ForwardRun &started = *run;
    this->runs.emplace(&started, std::move(run));
    started.start();
}

std::chrono::milliseconds ForwardTask::replyRefusal(HttpExchange &exchange,
                                                    const std::string &requestId,
                                                    const Error &error,
                                                    const RefusalTimes &times)
{
    ErrorContext context {this->parts.settings.host, requestId, {}};
    if (errorAnswer(error.kind).retryable) {
        context.retryAfter = times.roomIn ? retryAfterRoom(*times.roomIn, times.left, this->random())
                                          : this->retryAfter(error.kind, times.left);
        if (times.restIn) {
            context.retryAfter += std::chrono::ceil<std::chrono::milliseconds>(*times.restIn);
        }
    }
    HttpHeaders headers = errorHeaders(error, context);
    if (context.retryAfter.count() > 0) {
        headers["Retry-After"] = this->parts.codec.encodeRetryAfter(context.retryAfter);
    }
    exchange.reply(errorAnswer(error.kind).httpStatus, headers, errorBody(error, context));
    return context.retryAfter;
}

void ForwardTask::refuse(HttpExchange &exchange, const ForwardRequest &request, const Error &error)
{
    const ErrorAnswer &answer = errorAnswer(error.kind);
    const auto retryAfter
        = this->replyRefusal(exchange, request.id, error, {request.deadline.value_or(config::ForwardDefaultDeadline)});
    const OperatorState &state = this->parts.operators.state();
    this->parts.events.line("request_refused", LogRank::Failure)
        .with("request", request.id)
        .with("kind", answer.name)
        .with("status", static_cast<std::uint64_t>(answer.httpStatus))
        .with("why", error.detail)
        .with("config", state.config ? state.config->version : 0)
        .with("retry_after_ms", retryAfter);
    this->parts.metrics.count("refusals_total", "kind=\"" + std::string(answer.name) + "\"");
}

void ForwardTask::recordLostAttempt(const ServerIncarnation &life, LossKind kind, const ForwardJob &job, TimePoint now)
{
    // A leaving server ends the requests that it still runs, so that a lost attempt there is no sign of a crash.
    const ServerView *view = this->parts.servers.find(life.server);
    if (view != nullptr && view->entry.born == life.born && view->isLeaving()) {
        return;
    }
    this->crashes.recordLoss(life, job.keys.request, kind, now);
    if (this->partNames.size() >= config::SuspectTableSize) {
        this->partNames.clear();
    }
    for (std::size_t i = 0; i < job.keys.parts.size(); ++i) {
        this->crashes.recordLoss(life, job.keys.parts[i], kind, now);
        this->partNames[job.keys.parts[i]] = job.request.parts[i].id;
    }
}

void ForwardTask::reportRefusedPart(const ForwardJob &job, std::size_t part)
{
    this->parts.metrics.count("refused_parts_total");
    this->parts.events.line("part_refused", LogRank::Failure)
        .with("request", job.request.id)
        .with("part", job.request.parts[part].id)
        .with("model", job.request.model)
        .with("alike", fingerprintText(job.keys.parts[part]))
        .with("deaths", this->parts.suspicions.openCrashes(job.keys.parts[part]));
}

void ForwardTask::recordLeaving(const ServerIncarnation &life, const std::string &address)
{
    if (this->parts.servers.reportedLeaving(life.server, life.born)) {
        this->pool->closeIdle(address);
        this->parts.metrics.count("servers_leaving_total");
        this->parts.events.line("server_leaving", LogRank::Failure).with("server", life.server).with("born", life.born);
    }
}

void ForwardTask::recordRest(const ServerIncarnation &life,
                             const ServerAnswer &answer,
                             const std::string &requestId,
                             TimePoint now)
{
    if (!answer.badRest.empty()) {
        this->parts.metrics.count("server_rests_total", "kind=\"unreadable\"");
        this->parts.events.line("server_rest_unreadable", LogRank::Failure)
            .with("request", requestId)
            .with("server", life.server)
            .with("text", answer.badRest);
    }
    if (!answer.rest || answer.rest->count() == 0) {
        return;
    }
    const auto backAt = this->parts.servers.askedForRest(life.server, life.born, *answer.rest, this->random(), now);
    this->parts.metrics.count("server_rests_total", "kind=\"taken\"");
    this->parts.events.line("server_rests", LogRank::Failure)
        .with("request", requestId)
        .with("server", life.server)
        .with("asked_ms", *answer.rest)
        .with("back_in_ms", backAt ? *backAt - now : Duration::zero());
}

std::size_t ForwardTask::crashesDuring(const Fingerprint &fingerprint, TimePoint now) const
{
    return this->parts.suspicions.openCrashes(fingerprint) + this->crashes.unsettled(fingerprint, now);
}

std::optional<CrashRefusal>
ForwardTask::findCrashRefusal(const ForwardJob &job, const std::set<Fingerprint> &trials, TimePoint now) const
{
    if (!trials.contains(job.keys.request)
        && this->crashesDuring(job.keys.request, now) >= config::ForwardCrashesUntilRefused) {
        return CrashRefusal {RefusalCause::IdenticalCrashes, job.keys.request};
    }
    if (const auto part = this->parts.suspicions.findRefusedPart(job.service, job.keys, now, trials)) {
        return CrashRefusal {RefusalCause::PartCrashes, job.keys.parts[*part], *part};
    }
    return std::nullopt;
}

void ForwardTask::recordTrialAnswer(const std::set<Fingerprint> &trials, TimePoint now)
{
    for (const Fingerprint &fingerprint : trials) {
        this->parts.suspicions.clear(fingerprint, now);
        this->parts.trials.answered(fingerprint);
        this->parts.suspectFeed.cleared(fingerprint);
    }
}

void ForwardTask::watchTrials(TimePoint now)
{
    for (const ServerIncarnation &life : this->survivals.watched()) {
        const ServerView *view = this->parts.servers.find(life.server);
        if (view == nullptr || view->entry.born > life.born) {
            this->survivals.onServerGone(life);
        } else {
            this->recordTrialAnswer(this->survivals.heartbeat(life, view->entry.heartbeat, now), now);
        }
    }
}

void ForwardTask::watchCrashes(TimePoint now)
{
    for (const ServerIncarnation &life : this->crashes.watched()) {
        const ServerView *view = this->parts.servers.find(life.server);
        if (view == nullptr || view->entry.born > life.born) {
            this->crashes.onServerGone(life);
        } else {
            this->crashes.heartbeat(life, view->entry.heartbeat, now);
        }
    }
    for (const ServerIncarnation &life : this->crashes.takeDue(now)) {
        this->pool->reach(this->parts.servers.find(life.server)->entry.address,
                          config::ForwardConnectTimeout,
                          [this, life](bool reached) {
                              this->parts.metrics.count("crash_checks_total",
                                                        reached ? "reached=\"yes\"" : "reached=\"no\"");
                              if (reached) {
                                  this->crashes.reachable(life);
                              } else {
                                  this->crashes.unreachable(life);
                              }
                          });
    }
    for (const CrashFinding &finding : this->crashes.takeFindings(now)) {
        this->applyFinding(finding, now);
    }
}

void ForwardTask::applyFinding(const CrashFinding &finding, TimePoint now)
{
    if (finding.retracted) {
        this->parts.suspicions.retractCrash(finding.death, finding.running, now);
    } else {
        this->parts.suspicions.recordCrash(finding.death, finding.running, finding.at);
    }
    for (const Fingerprint &fingerprint : finding.running) {
        const auto name = this->partNames.find(fingerprint);
        this->parts.suspectFeed.watch(fingerprint,
                                      name == this->partNames.end() ? config::CrashesUntilArchived
                                                                    : config::PartCrashesUntilRefused);
        LogLine line = name != this->partNames.end()
            ? this->parts.events.line(finding.retracted ? "part_excused" : "part_suspected", LogRank::Failure)
            : this->parts.events.line(finding.retracted ? "request_excused" : "request_suspected", LogRank::Failure);
        if (name != this->partNames.end()) {
            line.with("part", name->second);
        }
        line.with("alike", fingerprintText(fingerprint))
            .with("server", finding.life.server)
            .with("born", finding.life.born)
            .with("evidence", crashEvidenceName(finding.evidence))
            .with("deaths", this->parts.suspicions.openCrashes(fingerprint));
    }
}

void ForwardTask::refuseNew()
{
    this->refusing = true;
}

void ForwardTask::endAt(TimePoint time)
{
    this->end = time;
}

std::optional<TimePoint> ForwardTask::endOfStop() const
{
    return this->end;
}

std::size_t ForwardTask::endAll()
{
    this->refuseNew();
    std::vector<ForwardRun *> running;
    for (const auto &[key, run] : this->runs) {
        running.push_back(run.get());
    }
    for (ForwardRun *run : running) {
        run->stop();
    }
    return running.size();
}

std::size_t ForwardTask::inFlight() const
{
    return this->runs.size();
}

std::size_t ForwardTask::hosts() const
{
    return this->parts.roster.size();
}

ColdBound ForwardTask::coldBound(const ForwardService &service) const
{
    if (service.coldRate <= 0) {
        return {};
    }
    const ForwardBounds &bounds = this->parts.settings.bounds;
    return {coldRights(service.coldRate * bounds.coldFactor + bounds.coldSlack), &this->parts.roster};
}

void ForwardTask::completeNeed(PlacementNeed &need, TimePoint now) const
{
    const OperatorState &state = this->parts.operators.state();
    if (const auto newest = state.weights.newest(need.model)) {
        need.newestWeights = *newest;
        const auto places = this->weightLoadQueues.find(need.model);
        need.weightLoadQueue = places == this->weightLoadQueues.end() ? nullptr : places->second;
        const Duration bound = oldWeightsTime(this->parts.settings.bounds);
        need.oldestWeights = state.weights.oldestUsable(need.model, bound, now);
    }
    if (const ForwardService *service = state.config->service(need.service)) {
        need.coldBound = this->coldBound(*service);
        need.hosts = this->hosts();
        if (service->slots > 0) {
            const double share = std::max(config::EngineInFlightShare,
                                          config::EngineInFlightEqualShares / static_cast<double>(need.hosts));
            need.maxInFlight = static_cast<std::uint32_t>(std::ceil(share * service->slots));
            need.maxWaiting = service->slots
                * config::EngineWaitingShares[std::min(need.urgency, config::EngineWaitingShares.size() - 1)];
            need.rates = this->engines.rates();
            if (need.loadControl) {
                need.rates.tokensPerRun = need.rates.learnedTokensPerRun;
            }
            if (const auto mean = this->meanRequests.find(need.service); mean != this->meanRequests.end()) {
                need.meanRequests = mean->second;
            }
        }
        if (service->memoryTokens > 0) {
            const double share
                = config::EngineMemoryShares[std::min(need.urgency, config::EngineMemoryShares.size() - 1)];
            need.memoryTokens = share * static_cast<double>(service->memoryTokens);
        }
    }
    need.domain = this->parts.settings.failureDomain;
}

PlacementChoice ForwardTask::place(PlacementNeed need, TimePoint now)
{
    this->completeNeed(need, now);
    return this->placement->choose(this->parts.servers, need, this->random(), now);
}

void ForwardTask::observeFirstByte(Duration time)
{
    this->firstByte.add(std::chrono::duration<double, std::milli>(time).count());
}

// Samples the memory of all current runs at each tick. Samples per arrival would weight long runs too little.
void ForwardTask::sampleMemory()
{
    for (const auto &[run, owned] : this->runs) {
        if (const std::uint64_t tokens = run->tokensHeld(); tokens > 0) {
            this->engines.observeMemoryUse(tokens, run->tokensExpected());
        }
    }
}

Duration ForwardTask::firstByteTime() const
{
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double, std::milli>(this->firstByte.mean()));
}

bool ForwardTask::hasLoadControl(const std::string &service) const
{
    switch (this->parts.settings.loadControl) {
    case LoadControl::Always:
        return true;
    case LoadControl::Never:
        return false;
    case LoadControl::Auto:
        break;
    }
    return this->parts.servers.reportsPace(service);
}

bool ForwardTask::wait(ForwardRun &run)
{
    if (this->waiting.size() >= config::ForwardQueueBound) {
        return false;
    }
    this->waiting.push_back(&run);
    return true;
}

void ForwardTask::stopWaiting(const ForwardRun &run)
{
    std::erase(this->waiting, &run);
    const auto found
        = std::find_if(this->queued.begin(), this->queued.end(), [&run](auto &entry) { return entry.second == &run; });
    if (found != this->queued.end()) {
        this->queue.remove(found->first, this->parts.loop.now());
        this->queued.erase(found);
    }
}

void ForwardTask::startInTurn(ForwardRun &run, QueuedRequest request)
{
    this->queued[this->queue.add(std::move(request), this->parts.loop.now())] = &run;
    this->offerRoom();
}

void ForwardTask::retryQueued()
{
    if (!this->queued.empty() && this->queueWakeup == nullptr) {
        this->queueWakeup = this->parts.loop.after(Duration::zero(), [this] {
            this->queueWakeup.reset();
            this->offerRoom();
        });
    }
}

void ForwardTask::offerRoom()
{
    // The answer to a refused caller may bring its next request, which gets a round of its own.
    if (this->isOfferingRoom) {
        return this->retryQueued();
    }
    this->isOfferingRoom = true;
    const TimePoint now = this->parts.loop.now();
    this->queue.startRound(now);
    while (const auto key = this->queue.next()) {
        this->offerRoom(*key, now);
    }
    for (const QueueRefusal &refusal : this->queue.finishRound()) {
        this->parts.metrics.count("queue_refusals_total",
                                  "cause=\"" + std::string(refusalAnswer(refusal.cause).name) + "\"");
        if (const auto run = this->queued.find(refusal.key); run != this->queued.end()) {
            run->second->refuseQueued(refusal);
        }
    }
    this->isOfferingRoom = false;
}

void ForwardTask::offerRoom(QueueKey key, TimePoint now)
{
    ForwardRun &run = *this->queued.at(key);
    if (!run.retryPlace(now)) {
        this->queue.noRoom(key, run.roomIn());
    } else if (this->queued.erase(key) > 0) {
        this->parts.metrics.observe("queue_wait_seconds", this->queue.started(key));
    }
}

void ForwardTask::retryWaiting()
{
    this->retryQueued();
    if (!this->waiting.empty() && this->wakeup == nullptr) {
        this->wakeup = this->parts.loop.after(Duration::zero(), [this] {
            this->wakeup.reset();
            const TimePoint now = this->parts.loop.now();
            // Lowest priority number first, which is the most urgent; among equals the earliest deadline.
            std::stable_sort(this->waiting.begin(), this->waiting.end(), [](const ForwardRun *a, const ForwardRun *b) {
                return std::pair(a->job().route->priority, a->job().deadline)
                    < std::pair(b->job().route->priority, b->job().deadline);
            });
            for (ForwardRun *run : std::vector<ForwardRun *>(this->waiting)) {
                if (run->retryPlace(now)) {
                    this->stopWaiting(*run);
                }
            }
        });
    }
}

void ForwardTask::tick(TimePoint now)
{
    this->parts.servers.tick(now);
    this->watchCrashes(now);
    this->watchTrials(now);
    this->sampleMemory();
    this->parts.stores.setReadingRate(this->engines.rates().prefillTokensPerMillisecond);
    this->parts.oldParts.observe(this->parts.operators.state().weights.newest(), now);
    this->weightLoadQueues.clear();
    this->meanRequests.clear();
    if (const auto &config = this->parts.operators.state().config) {
        for (const auto &[name, service] : config->services) {
            if (service.slots > 0) {
                this->meanRequests[name] = this->parts.servers.meanRequests(name, now);
            }
        }
    }
    for (const auto &[model, newest] : this->parts.operators.state().weights.newest()) {
        this->weightLoadQueues[model]
            = rolloutQueue(this->parts.servers, model, newest, rolloutPace(this->parts.settings.bounds));
    }
    this->parts.metrics.gauge("queued_requests", "", static_cast<double>(this->queue.size()));
    this->retryWaiting();
}

void ForwardTask::finish(ForwardRun &run)
{
    this->stopWaiting(run);
    const auto found = this->runs.find(&run);
    if (found == this->runs.end()) {
        return;
    }
    this->ended.push_back(std::move(found->second));
    this->runs.erase(found);
    this->cleanup = this->parts.loop.after(Duration::zero(), [this] { this->ended.clear(); });
    this->retryWaiting();
}

// Under load, callers are told to retry at random times within a part of their remaining time, so that they do not
// return all at once. When the cause is this host and not the load, the times are short: another host can serve them at
// once.
std::chrono::milliseconds ForwardTask::retryAfter(ErrorKind kind, std::chrono::milliseconds timeLeft)
{
    const bool loaded = kind == ErrorKind::Overloaded || kind == ErrorKind::NoServer;
    const auto least = config::ForwardRetryAfterLeast;
    const auto most
        = loaded ? std::max<std::chrono::milliseconds>(timeLeft / config::ForwardRetryAfterPart, 2 * least) : 2 * least;
    const auto spread = static_cast<std::uint64_t>((most - least).count());
    return least + std::chrono::milliseconds(this->random() % (spread + 1));
}

} // namespace endivespan
