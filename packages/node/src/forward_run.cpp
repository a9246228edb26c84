#include "forward_run.h"

#include "answer.h"
#include "forward_answer_p.h"

#include <endivespan/config.h>

#include <algorithm>
#include <utility>

namespace endivespan {

namespace {

/// Returns the ids of the parts that other requests may have too, separated by commas.
std::string sharedPartNames(const std::vector<PromptPart> &parts)
{
    std::string names;
    for (std::size_t i = 0; i + 1 < parts.size(); ++i) {
        names += i == 0 ? "" : ",";
        names += parts[i].id;
    }
    return names;
}

} // namespace

ForwardRun::ForwardRun(ForwardTask &task, ForwardJob job)
    : task(task)
    , work(std::move(job))
{
}

ForwardRun::~ForwardRun() = default;

const ForwardJob &ForwardRun::job() const
{
    return this->work;
}

std::uint64_t ForwardRun::tokensHeld() const
{
    const bool atEngine = this->active.isUnderWay() && !this->work.request.model.empty();
    return atEngine ? this->active.tokens + this->work.request.answerTokens : 0;
}

void ForwardRun::start()
{
    this->work.exchange->onClosed([this](CallerLoss loss) { this->onCallerGone(loss); });
    this->work.exchange->onInputEnded([this] { this->onInputEnded(); });
    this->deadlineTimer
        = this->task.parts.loop.after(this->work.deadline - this->work.arrivedAt, [this] { this->onDeadline(); });
    this->admit();
}

void ForwardRun::admit()
{
    const TimePoint now = this->task.parts.loop.now();
    const auto refusal = this->task.findCrashRefusal(this->work, this->trials, now);
    if (!refusal) {
        return this->attempt();
    }
    const ServerView *server = this->task.parts.servers.find(this->task.place(this->need(), now).server);
    if (server == nullptr) {
        return this->refuseForCrashes(*refusal);
    }
    const auto reach = [this, address = server->entry.address](std::function<void(bool)> done) {
        this->task.pool->reach(address, config::ForwardConnectTimeout, std::move(done));
    };
    this->trialAsked = refusal->fingerprint;
    this->waitTimer = this->task.parts.loop.after(waitWithoutForecast(this->work.route->aim),
                                                  [this, refusal] { this->refuseForCrashes(*refusal); });
    this->task.parts.trials.request(refusal->fingerprint, reach, [this, refusal](bool permitted) {
        this->trialAsked.reset();
        this->waitTimer.reset();
        if (!permitted) {
            return this->refuseForCrashes(*refusal);
        }
        this->trials.insert(refusal->fingerprint);
        this->admit();
    });
}

void ForwardRun::refuseForCrashes(const CrashRefusal &refusal)
{
    if (refusal.cause == RefusalCause::PartCrashes) {
        this->task.reportRefusedPart(this->work, refusal.part);
    }
    this->refuse(refusal.cause);
}

// Sends the first attempt, or queues the run until a server has room. Repeats are never queued: they are sent at once
// or not at all.
void ForwardRun::attempt()
{
    const TimePoint now = this->task.parts.loop.now();
    if (this->task.hasLoadControl(this->work.service)) {
        return this->attemptInTurn(now);
    }
    if (this->tryPlace(now)) {
        return;
    }
    if (this->ended) {
        return;
    }
    if (this->task.parts.servers.restEndsAt(this->work.service, now)) {
        this->refuse(RefusalCause::ServersRest);
        return;
    }
    if (this->task.wait(*this)) {
        const Duration longest = waitWithoutForecast(this->work.route->aim);
        this->waitTimer = this->task.parts.loop.after(longest, [this] { this->refuse(RefusalCause::NoPlaceInTime); });
        return;
    }
    this->refuse(RefusalCause::QueueFull);
}

// Sends the first attempt in the order of the queue, also when a server has room: a more urgent request may wait for
// it.
void ForwardRun::attemptInTurn(TimePoint now)
{
    this->isQueued = true;
    this->task.startInTurn(*this, this->queuedRequest());
    if (this->ended || this->active.isUnderWay()) {
        return;
    }
    if (this->task.parts.servers.restEndsAt(this->work.service, now)) {
        return this->refuse(RefusalCause::ServersRest);
    }
    // The queue is reviewed at each tick, which is too late for the shorter wait without a forecast.
    this->waitTimer
        = this->task.parts.loop.after(waitWithoutForecast(this->work.route->aim), [this] { this->task.retryQueued(); });
}

QueuedRequest ForwardRun::queuedRequest() const
{
    QueuedRequest request;
    request.service = this->work.service;
    request.model = this->work.request.model;
    request.route = this->work.route->name;
    request.aim = this->work.route->aim;
    request.deadline = this->work.deadline;
    int priority = this->work.route->priority;
    if (this->work.organisation != nullptr) {
        request.organisation = this->work.organisation->name;
        priority = this->work.organisation->priority.value_or(priority);
    }
    request.urgency = static_cast<std::size_t>(std::max(priority, 0));
    if (!request.model.empty()) {
        request.tokens = this->work.request.answerTokens;
        for (const PromptPart &part : this->work.request.parts) {
            request.tokens += part.tokens;
        }
    }
    return request;
}

void ForwardRun::refuseQueued(const QueueRefusal &refusal)
{
    this->refuse(refusal.cause, refusal.roomIn);
}

std::optional<Duration> ForwardRun::roomIn() const
{
    return this->lastChoice.roomIn;
}

bool ForwardRun::retryPlace(TimePoint now)
{
    if (this->ended) {
        return true;
    }
    if (!this->tryPlace(now)) {
        return this->ended;
    }
    return true;
}

// Returns whether an attempt was sent. Refuses the request when it cannot be sent to any server.
bool ForwardRun::tryPlace(TimePoint now)
{
    if (this->work.deadline - now < config::ForwardLeastTime) {
        this->refuse(RefusalCause::TooLittleTime);
        return false;
    }
    if (!this->task.isInForce(now)) {
        this->refuse(RefusalCause::ConfigurationStale);
        return false;
    }
    if (const auto refusal = this->task.findCrashRefusal(this->work, this->trials, now)) {
        this->refuseForCrashes(*refusal);
        return false;
    }
    const PlacementChoice choice = this->task.place(this->need(), now);
    this->lastChoice = choice;
    if (!this->endsBeforeStop(choice.expected, now)) {
        this->refuse(RefusalCause::StopBeforeAnswer);
        return false;
    }
    // A queued request waits here rather than at a server that cannot start it soon. Repeats are not queued.
    if (!choice.server.empty() && (!this->isQueued || isRoomNear(choice.roomIn))) {
        this->isQueued = false;
        this->sendActive(choice, now);
        return true;
    }
    return false;
}

ForwardAttempt &ForwardRun::attemptOf(std::uint32_t number)
{
    return this->standby.isUnderWay() && this->standby.number == number ? this->standby : this->active;
}

// Times the answer of an attempt that may be repeated.
void ForwardRun::watchAnswer()
{
    if (this->work.route->repeat != RepeatRule::Once && this->isFurtherAttemptAllowed()) {
        this->waitTimer = this->task.parts.loop.after(this->hedgeDelay(), [this] { this->onServerSilent(); });
    }
}

// Returns how long to wait for the answer before trying another server. For engines the time is chosen so that a first
// byte after the usual time still meets the aim of the route.
Duration ForwardRun::hedgeDelay() const
{
    const Duration aim = this->work.route->aim;
    const auto longest = std::chrono::duration_cast<Duration>(aim * config::ForwardHedgeDelayShareMost);
    if (this->work.request.model.empty()) {
        return std::max<Duration>(longest, config::ForwardHedgeDelayLeast);
    }
    const auto least = std::chrono::duration_cast<Duration>(aim * config::HedgeDelayShareLeast);
    const auto lead = std::chrono::duration_cast<Duration>(this->task.firstByteTime() * config::HedgeLead);
    return std::max<Duration>(std::clamp(aim - lead, least, longest), config::ForwardHedgeDelayLeast);
}

void ForwardRun::markSent(ForwardAttempt &attempt)
{
    if (!attempt.requestSent) {
        attempt.requestSent = true;
        this->task.parts.servers.sent(attempt.server, this->task.parts.loop.now());
    }
}

void ForwardRun::markPrefilled(ForwardAttempt &attempt)
{
    if (!attempt.prefilled) {
        attempt.prefilled = true;
        this->task.parts.servers.prefilled(attempt.server, attempt.tokens);
    }
}

void ForwardRun::endAttempt(ForwardAttempt &attempt, AttemptOutcome outcome)
{
    this->markPrefilled(attempt);
    this->markSent(attempt);
    if (std::exchange(attempt.streamBegan, false)) {
        this->task.parts.servers.streamEnded(attempt.server);
    }
    this->task.parts.servers.ended(attempt.server, outcome, this->task.parts.loop.now());
    attempt.server.clear();
    attempt.call.reset();
    this->task.retryWaiting();
}

// Reports that the server may have crashed while it ran the request.
void ForwardRun::reportLostAttempt(const ForwardAttempt &attempt, LossKind kind, TimePoint now)
{
    this->task.recordLostAttempt(attempt.life, kind, this->work, now);
}

// Ends an attempt whose answer is incomplete. Counts it as lost when the server has sent nothing for
// ForwardStreamSilence, since it may have crashed.
void ForwardRun::abandonAttempt(ForwardAttempt &attempt, AttemptOutcome outcome)
{
    if (const TimePoint now = this->task.parts.loop.now(); now - attempt.lastByteAt >= config::ForwardStreamSilence) {
        this->reportLostAttempt(attempt, LossKind::Silent, now);
    }
    this->recordTrialEnd(this->task.parts.loop.now());
    this->endAttempt(attempt, outcome);
}

ServerAnswer ForwardRun::readHead(ForwardAttempt &attempt, int answerStatus, const HttpHeaders &fields, TimePoint now)
{
    ServerAnswer answer = this->task.parts.codec.decodeAnswer(answerStatus, fields);
    if (answer.load) {
        this->task.parts.servers.reportedLoad(attempt.server, *answer.load, now);
        this->task.retryQueued();
    }
    if (answer.weights && !this->work.request.model.empty()) {
        this->task.parts.servers.reportedWeights(attempt.server, this->work.request.model, *answer.weights);
    }
    attempt.status = answerStatus;
    attempt.headers = fields;
    attempt.lastByteAt = now;
    attempt.headAt = now;
    if (answer.isFromOther(attempt.life.server)) {
        this->task.crashes.onServerGone(attempt.life);
    } else {
        this->task.crashes.onAnswerBytes(attempt.life, now);
        if (answer.coldFor) {
            this->task.parts.servers.reportedCold(attempt.life.server, attempt.life.born, *answer.coldFor, now);
        }
        if (answer.leaving) {
            this->task.recordLeaving(attempt.life, attempt.address);
        }
        this->task.recordRest(attempt.life, answer, this->work.request.id, now);
    }
    return answer;
}

void ForwardRun::onHead(std::uint32_t number, int answerStatus, const HttpHeaders &fields)
{
    if (this->standby.isUnderWay() && this->standby.number == number) {
        return this->onStandbyHead(answerStatus, fields);
    }
    const TimePoint now = this->task.parts.loop.now();
    this->onActiveHead(this->readHead(this->active, answerStatus, fields, now), now);
}

void ForwardRun::onActiveHead(const ServerAnswer &answer, TimePoint now)
{
    const int answerStatus = this->active.status;
    if (answer.notRun) {
        this->onNotRun(answer);
        return;
    }
    if (isSuccess(answerStatus) && !answer.genuine) {
        this->attemptFailed(AttemptOutcome::Failed, "successful answer without the header field of a backend server");
        return;
    }
    if (this->streaming && !isSuccess(answerStatus)) {
        this->attemptFailed(AttemptOutcome::Failed, "the server that should resume the stream answered with an error");
        return;
    }
    if (answerStatus < StatusServerError) {
        this->callerTimer.reset();
        this->cancelStandby();
    }
    this->observeFirstEvent(now);
    if (!this->work.route->isStream || !isSuccess(answerStatus)) {
        return;
    }
    this->markPrefilled(this->active);
    if (!this->active.streamBegan) {
        this->active.streamBegan = true;
        this->task.parts.servers.streamBegan(this->active.server, now);
    }
    if (!this->work.request.model.empty()) {
        this->task.observeFirstByte(now - this->active.startedAt);
        const auto &parts = this->work.request.parts;
        this->task.engines.observeFirstToken(
            parts.empty() ? 0 : parts.back().tokens, this->active.tokens, now - this->active.startedAt);
    }
    if (this->active.savesParts) {
        this->task.parts.stores.observeSaveStart(now - this->active.startedAt, now);
    }
    if (!this->active.fetchedFrom.empty() && isStoreSample(answer.load)) {
        const std::uint64_t own = this->work.request.parts.back().tokens;
        const std::chrono::duration<double, std::milli> reading(
            static_cast<double>(own) / this->task.engines.rates().prefillTokensPerMillisecond);
        this->task.parts.stores.addSample(this->active.fetchedFrom,
                                          now - this->active.startedAt - std::chrono::duration_cast<Duration>(reading),
                                          now);
    }
    if (!this->streaming) {
        this->streaming = true;
        this->work.exchange->startStream(answerStatus, this->task.parts.codec.callerHeaders(this->active.headers));
    }
    this->watchSilence();
}

// The header stands for the first event: servers send it with that, and second attempts are timed up to it.
void ForwardRun::observeFirstEvent(TimePoint now)
{
    if (!this->streaming && isSuccess(this->active.status)) {
        const Duration time = this->active.headAt - this->active.startedAt;
        this->task.firstEvents.observe(this->kindOf(this->active), time, now);
    }
}

// Restarts the silence timer of a request that may be repeated.
void ForwardRun::watchSilence()
{
    this->waitTimer.reset();
    if (this->work.route->repeat != RepeatRule::Once) {
        this->waitTimer = this->task.parts.loop.after(config::ForwardStreamSilence, [this] { this->onServerSilent(); });
    }
}

void ForwardRun::onBody(std::uint32_t number, std::string_view bytes)
{
    if (this->standby.isUnderWay() && this->standby.number == number) {
        return this->onStandbyBody(bytes);
    }
    if (!this->streaming) {
        this->active.body += bytes;
        if (this->active.body.size() > config::ForwardAnswerBytes) {
            this->attemptFailed(AttemptOutcome::Failed, "the answer exceeds the size limit");
        }
        return;
    }
    const TimePoint now = this->task.parts.loop.now();
    this->active.lastByteAt = now;
    this->task.crashes.onAnswerBytes(this->active.life, now);
    this->task.parts.servers.receivedBytes(this->active.server, now);
    this->onActiveEvents(this->active.events.feed(bytes), now);
}

// Passes on the events that are complete.
void ForwardRun::onActiveEvents(const std::string &complete, TimePoint now)
{
    if (!complete.empty()) {
        const auto first = firstEventId(complete);
        if (!this->active.eventReceived && first && this->lastEvent && *first <= *this->lastEvent) {
            this->attemptFailed(AttemptOutcome::Failed, "the resumed stream repeats events");
            return;
        }
        this->active.eventReceived = true;
        // The attempt that stands by would repeat this event.
        this->cancelStandby();
        if (this->firstByteAt == TimePoint {}) {
            this->firstByteAt = now;
        }
        this->work.exchange->sendChunk(complete);
        if (const auto id = this->active.events.lastId()) {
            this->lastEvent = id;
        }
    }
    if (this->active.events.heldBytes() > config::ForwardEventBytes) {
        this->attemptFailed(AttemptOutcome::Failed, "an event of the stream exceeds the size limit");
        return;
    }
    if (this->work.exchange->backlogBytes() > config::ForwardStreamBacklog) {
        this->cut("the caller reads the stream too slowly");
        return;
    }
    if (this->work.route->repeat == RepeatRule::Resumable) {
        this->watchSilence();
    }
}

void ForwardRun::onDone(std::uint32_t number)
{
    if (this->standby.isUnderWay() && this->standby.number == number) {
        if (!this->standbyCompletes()) {
            return this->onStandbyFailed(AttemptOutcome::Failed, "the stream ended without an event");
        }
        this->takeOver();
    }
    if (this->streaming) {
        this->onStreamEnd();
        return;
    }
    const bool isFailure = this->active.status >= StatusServerError;
    if (isFailure) {
        const std::string why = "status " + std::to_string(this->active.status);
        this->failedAnswer = {this->active.status, this->active.headers, this->active.body};
        if (this->standby.isUnderWay()) {
            return this->attemptFailed(AttemptOutcome::Failed, why);
        }
        if (this->repeatFailed(why)) {
            return;
        }
    }
    if (this->active.isUnderWay()) {
        this->endAttempt(this->active, isFailure ? AttemptOutcome::Failed : AttemptOutcome::Answered);
    }
    if (isSuccess(this->active.status)) {
        this->recordAnswer(this->task.parts.loop.now());
        this->recordRouteTime(this->task.parts.loop.now());
    } else {
        this->recordTrialEnd(this->task.parts.loop.now());
    }
    this->replyAnswer(this->active.status, this->active.headers, this->active.body);
}

bool ForwardRun::repeatFailed(std::string_view why)
{
    const TimePoint now = this->task.parts.loop.now();
    if (this->work.route->repeat == RepeatRule::Once || !this->isFurtherAttemptAllowed() || !this->mayRepeat(now)) {
        return false;
    }
    const std::string failedServer = this->active.server;
    this->ranAt.insert(failedServer);
    this->waitTimer.reset();
    this->endAttempt(this->active, AttemptOutcome::Failed);
    this->task.parts.events.line("attempt_repeated")
        .with("request", this->work.request.id)
        .with("server", failedServer)
        .with("why", why);
    return this->tryPlace(now) || this->ended;
}

void ForwardRun::replyAnswer(int status, const HttpHeaders &headers, std::string_view body)
{
    const bool isFailure = status >= StatusServerError;
    this->firstByteAt = this->task.parts.loop.now();
    this->work.exchange->reply(status, this->task.parts.codec.callerHeaders(headers), body);
    this->finish(status,
                 isFailure ? outcome::ServerFailed : outcome::Answered,
                 "",
                 isFailure ? LogRank::Failure : LogRank::Routine);
}

// Records that a server has run the request without a crash. The end of a connection does not show that.
void ForwardRun::recordAnswer(TimePoint now)
{
    this->recordAnswerTimes(now);
    if (framingOf(this->active.headers) != FramedByClose) {
        this->task.parts.suspicions.recordAnswer(this->work.service, this->work.keys, this->active.headAt, now);
        this->task.recordTrialAnswer(this->trialsSent, now);
    } else {
        this->recordTrialEnd(now);
    }
}

// Records the end of a trial whose answer does not show by itself that its server goes on.
void ForwardRun::recordTrialEnd(TimePoint now)
{
    if (!this->trialsSent.empty() && this->active.headAt != TimePoint {}) {
        this->task.survivals.ended(this->active.life, this->trialsSent, now);
    }
}

void ForwardRun::recordRouteTime(TimePoint now)
{
    this->task.queue.routeTimes.observe(this->work.route->name,
                                        this->work.route->aim,
                                        this->active.headAt - this->active.startedAt,
                                        now - this->active.headAt);
}

void ForwardRun::onStreamEnd()
{
    const TimePoint now = this->task.parts.loop.now();
    // The end of a connection says little: a server that crashes may close it in order.
    const bool closed = framingOf(this->active.headers) == FramedByClose;
    const bool isInside = this->active.events.isInsideEvent();
    if (isInside || (closed && !this->active.eventReceived)) {
        this->bytesInsideEvent = this->active.events.heldBytes();
        this->reportLostAttempt(this->active, LossKind::Broken, now);
        this->attemptFailed(closed ? AttemptOutcome::Unreachable : AttemptOutcome::Failed,
                            isInside ? "the stream ended inside an event" : "the stream ended without an event");
        return;
    }
    this->work.exchange->sendChunk(this->active.events.takeRest());
    if (!this->work.request.model.empty()) {
        this->task.engines.observeRun(
            now - this->active.startedAt, now - this->active.headAt, this->work.request.answerTokens);
    }
    this->cancelStandby();
    this->endAttempt(this->active, AttemptOutcome::Answered);
    this->recordAnswer(now);
    this->recordRouteTime(now);
    this->work.exchange->endStream();
    this->finish(StatusOk, outcome::Answered, "", LogRank::Routine);
}

// Handles an answer by which the server guarantees that it did not run the request. It is safe to send the request to
// another server, whatever the route says of repeats.
void ForwardRun::onNotRun(const ServerAnswer &answer)
{
    const TimePoint now = this->task.parts.loop.now();
    this->logRefusedAttempt(this->active);
    this->trials.merge(this->trialsSent);
    this->waitTimer.reset();
    this->endAttempt(this->active,
                     answer.isFromOther(this->active.life.server) ? AttemptOutcome::Misdirected
                                                                  : AttemptOutcome::Refused);
    ++this->notRunAnswers;
    if (this->standby.isUnderWay()) {
        return this->promoteStandby();
    }
    const bool again = this->notRunAnswers < config::ForwardNotRunAttempts
        && this->task.retries.tryTake(this->work.service, this->task.hosts(), now);
    if (again && this->tryPlace(now)) {
        return;
    }
    if (this->ended) {
        return;
    }
    if (!this->ranAt.empty() || this->streaming) {
        this->cut("no server for another attempt");
        return;
    }
    this->refuse(RefusalCause::NotRunAnswers);
}

bool ForwardRun::mayRepeat(TimePoint now)
{
    return this->work.deadline - now > config::ForwardLeastTime && this->task.isInForce(now)
        && this->endsBeforeStop(Duration::zero(), now)
        && this->task.crashesDuring(this->work.keys.request, now) < config::ForwardCrashesUntilNotRepeated
        && this->task.retries.tryTake(this->work.service, this->task.hosts(), now);
}

void ForwardRun::logRefusedAttempt(const ForwardAttempt &attempt)
{
    this->task.parts.events.line("attempt_refused")
        .with("request", this->work.request.id)
        .with("server", attempt.server)
        .with("status", static_cast<std::uint64_t>(attempt.status));
}

void ForwardRun::onFailure(std::uint32_t number, const HttpFailure &failure)
{
    if (this->standby.isUnderWay() && this->standby.number == number) {
        this->onStandbyFailure(failure);
    } else {
        this->onActiveFailure(failure);
    }
}

void ForwardRun::onActiveFailure(const HttpFailure &failure)
{
    const TimePoint now = this->task.parts.loop.now();
    if (!failure.requestSent) {
        const std::string unreachable = this->active.server;
        this->active.requestSent = true;
        this->trials.merge(this->trialsSent);
        this->task.parts.servers.notSent(unreachable);
        this->waitTimer.reset();
        this->endAttempt(this->active, AttemptOutcome::Unreachable);
        this->task.pool->closeIdle(this->active.address);
        this->task.parts.events.line("server_unreachable", LogRank::Failure)
            .with("request", this->work.request.id)
            .with("server", unreachable)
            .with("why", failure.error.detail);
        if (this->standby.isUnderWay()) {
            return this->promoteStandby();
        }
        if (this->tryPlace(now) || this->ended) {
            return;
        }
        if (!this->ranAt.empty() || this->streaming) {
            this->cut("no server for another attempt");
        } else {
            this->refuse(RefusalCause::NoServer);
        }
        return;
    }
    this->reportLostAttempt(this->active, lossOf(failure), now);
    this->attemptFailed(attemptOutcomeOf(failure), failure.error.detail);
}

// Handles the failure of an attempt that may have run: only a route that allows repeats sends another one.
void ForwardRun::attemptFailed(AttemptOutcome outcome, std::string_view why)
{
    const TimePoint now = this->task.parts.loop.now();
    this->logFailedAttempt(this->active, why);
    this->waitTimer.reset();
    this->endAttempt(this->active, outcome);
    this->ranAt.insert(this->active.life.server);
    if (this->standby.isUnderWay()) {
        return this->promoteStandby();
    }
    const bool allowed = this->streaming ? this->work.route->repeat == RepeatRule::Resumable
                                         : this->work.route->repeat != RepeatRule::Once;
    if (allowed && this->isFurtherAttemptAllowed() && this->mayRepeat(now)) {
        if (this->tryPlace(now) || this->ended) {
            return;
        }
    }
    this->cut(why);
}

void ForwardRun::logFailedAttempt(const ForwardAttempt &attempt, std::string_view why)
{
    this->task.parts.events.line("attempt_failed", LogRank::Failure)
        .with("request", this->work.request.id)
        .with("alike", fingerprintText(this->work.keys.request))
        .with("server", attempt.server)
        .with("after_ms", this->task.parts.loop.now() - attempt.startedAt)
        .with("status", static_cast<std::uint64_t>(std::max(attempt.status, 0)))
        .with("why", why)
        .with("parts", sharedPartNames(this->work.request.parts))
        .with("last_event", this->lastEvent.value_or(0));
}

void ForwardRun::onDeadline()
{
    this->cancelStandby();
    if (this->active.isUnderWay()) {
        this->task.queue.routeTimes.observeIncomplete(
            this->work.route->name, this->work.route->aim, this->task.parts.loop.now() - this->active.startedAt);
        this->abandonAttempt(this->active, AttemptOutcome::Failed);
        this->ranAt.insert(this->active.life.server);
    }
    if (this->ranAt.empty()) {
        this->refuse(RefusalCause::NoPlaceInTime);
    } else {
        this->cut(ErrorKind::OutcomeUnknown, "the deadline expired");
    }
}

void ForwardRun::stop()
{
    if (this->active.isUnderWay() || !this->ranAt.empty() || this->streaming) {
        this->cut(ErrorKind::OutcomeUnknown, refusalAnswer(RefusalCause::HostStopping).why);
    } else {
        this->refuse(RefusalCause::HostStopping);
    }
}

void ForwardRun::onCallerGone(CallerLoss loss)
{
    this->cancelStandby();
    if (this->active.isUnderWay()) {
        this->abandonAttempt(this->active, AttemptOutcome::Cancelled);
    }
    this->finish(0,
                 outcome::CallerGone,
                 loss == CallerLoss::Stalled ? "the caller read nothing for too long" : "the caller disconnected",
                 LogRank::Routine);
}

// The end of a caller's input does not tell whether it has left. A request that must not be repeated is finished.
// Others would occupy servers for callers that have left, so that their answer has to begin soon. A part of a stream is
// passed on at once, and a caller that has left resets the connection then.
void ForwardRun::onInputEnded()
{
    if (!this->active.isUnderWay()) {
        return this->refuse(RefusalCause::InputEnded);
    }
    const bool hasBegun = this->streaming || (this->active.status != 0 && this->active.status < StatusServerError);
    if (!hasBegun && (this->work.route->isStream || this->work.route->repeat != RepeatRule::Once)) {
        this->callerTimer
            = this->task.parts.loop.after(config::ForwardInputEndedGrace, [this] { this->giveUpCaller(); });
    }
}

void ForwardRun::giveUpCaller()
{
    constexpr std::string_view Why = "the caller closed its sending direction, and no part of the answer came in time";
    this->cancelStandby();
    if (this->active.isUnderWay()) {
        this->abandonAttempt(this->active, AttemptOutcome::Cancelled);
    }
    this->replyFailure(ErrorKind::Timeout, outcome::CallerGone, Why, LogRank::Routine);
}

// Refuses a request that has certainly not run. If an attempt may have run after all, cut() answers the caller.
void ForwardRun::refuse(RefusalCause cause, std::optional<Duration> roomIn)
{
    if (this->ended) {
        return;
    }
    const ErrorKind kind = refusalAnswer(cause).kind;
    const std::string_view why = refusalAnswer(cause).why;
    this->refusal = cause;
    if (!this->ranAt.empty() || this->streaming) {
        this->cut(why);
        return;
    }
    const TimePoint now = this->task.parts.loop.now();
    const bool loaded = kind == ErrorKind::Overloaded;
    const auto restEndsAt
        = loaded ? this->task.parts.servers.restEndsAt(this->work.service, now) : std::optional<TimePoint>();
    RefusalTimes times {toMilliseconds(this->work.deadline - now)};
    if (restEndsAt) {
        times.restIn = *restEndsAt - now;
    } else if (loaded && this->task.hasLoadControl(this->work.service)) {
        times.roomIn = roomIn ? roomIn : this->lastChoice.roomIn;
    }
    if (this->isQueued) {
        this->waited = now - this->work.arrivedAt;
    }
    this->task.replyRefusal(*this->work.exchange, this->work.request.id, {kind, std::string(why)}, times);
    this->finish(errorAnswer(kind).httpStatus, errorAnswer(kind).name, why, LogRank::Failure);
}

// Ends a request that may have run: the caller is not told that it has not.
void ForwardRun::cut(std::string_view why)
{
    const bool late = this->work.deadline <= this->task.parts.loop.now();
    this->cut(late ? ErrorKind::OutcomeUnknown : ErrorKind::BackendFailed, why);
}

void ForwardRun::cut(ErrorKind kind, std::string_view why)
{
    if (this->ended) {
        return;
    }
    this->cancelStandby();
    if (this->active.isUnderWay()) {
        this->endAttempt(this->active, AttemptOutcome::Cancelled);
    }
    if (this->streaming) {
        this->work.exchange->abort();
        this->finish(0, outcome::StreamCut, why, LogRank::Failure);
        return;
    }
    this->replyFailure(kind, errorAnswer(kind).name, why, LogRank::Failure);
}

void ForwardRun::replyFailure(ErrorKind kind, std::string_view result, std::string_view why, LogRank rank)
{
    if (this->failedAnswer) {
        const auto &[status, headers, body] = *this->failedAnswer;
        return this->replyAnswer(status, headers, body);
    }
    const ErrorContext context {this->task.parts.settings.host, this->work.request.id, {}};
    replyError(*this->work.exchange, {kind, std::string(why)}, context);
    this->finish(errorAnswer(kind).httpStatus, result, why, rank);
}

// Permits under which no server can have run the request serve the next one like it.
void ForwardRun::returnTrials()
{
    if (this->trialAsked) {
        this->task.parts.trials.cancel(*this->trialAsked);
    }
    for (const Fingerprint &fingerprint : this->trials) {
        this->task.parts.trials.giveBack(fingerprint);
    }
}

void ForwardRun::finish(int finalStatus, std::string_view result, std::string_view why, LogRank rank)
{
    if (this->ended) {
        return;
    }
    this->ended = true;
    this->returnTrials();
    this->deadlineTimer.reset();
    this->waitTimer.reset();
    this->callerTimer.reset();
    this->work.exchange->onClosed({});
    this->work.exchange->onInputEnded({});
    const TimePoint now = this->task.parts.loop.now();
    std::string servers;
    for (const std::string &id : this->tried) {
        servers += servers.empty() ? id : "," + id;
    }
    const auto age = this->task.parts.confirmation.statement(this->task.parts.membership, now).confirmedAge;
    LogLine line = this->task.parts.events.line("request", rank);
    line.with("request", this->work.request.id)
        .with("alike", fingerprintText(this->work.keys.request))
        .with("outcome", result)
        .with("status", static_cast<std::uint64_t>(finalStatus))
        .with("why", why)
        .with("cause", refusalAnswer(this->refusal).name)
        .with("route", this->work.route->name)
        .with("service", this->work.service)
        .with("organisation", this->work.organisation == nullptr ? "-" : this->work.organisation->name)
        .with("servers", servers)
        .with("known", this->lastChoice.known)
        .with("leaving", this->lastChoice.leaving)
        .with("resting", this->lastChoice.resting)
        .with("open", this->lastChoice.open)
        .with("full", this->lastChoice.full)
        .with("cold", this->lastChoice.cold)
        .with("expected_ms", this->lastChoice.expected)
        .with("attempts", this->attemptsSent)
        .with("framing", this->active.status == 0 ? "none" : framingOf(this->active.headers))
        .with("incomplete_event_bytes", this->bytesInsideEvent)
        .with("parts_fetched", this->partsFetched)
        .with("parts_saved", this->partsSaved)
        .with("parts_sought", this->partsSought)
        .with("weights", this->active.weights)
        .with("config", this->work.config->version)
        .with("confirmed_ms", age.value_or(Duration::zero()))
        .with("waited_ms", this->waited)
        .with("first_ms",
              this->firstByteAt == TimePoint {} ? Duration::zero() : this->firstByteAt - this->work.arrivedAt)
        .with("total_ms", now - this->work.arrivedAt);
    if (this->lastChoice.roomIn) {
        line.with("room_in_ms", *this->lastChoice.roomIn);
    }
    this->task.parts.metrics.count("outcomes_total", "outcome=\"" + std::string(result) + "\"");
    this->task.parts.metrics.observe("request_seconds", now - this->work.arrivedAt);
    if (this->firstByteAt != TimePoint {}) {
        this->task.parts.metrics.observe("first_byte_seconds", this->firstByteAt - this->work.arrivedAt);
    }
    this->task.finish(*this);
}

} // namespace endivespan
