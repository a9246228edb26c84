#include "forward_answer_p.h"
#include "forward_run.h"

#include <endivespan/config.h>

#include <algorithm>
#include <utility>

// The part of ForwardRun that keeps a second attempt ready while a server is silent. A sound server may send nothing
// for a second or so and go on, so that its attempt ends only once another server has begun to answer.
namespace endivespan {

namespace {

constexpr std::string_view SilentServer = "the server sent nothing for too long";

// Returns what placement adds to the expected time of a server only to rank it after others. Takeovers raise it, so
// that streams which fall silent one after another would find no server that is expected to answer soon.
Duration rankingPenalties(const ServerView *view, TimePoint now)
{
    if (view == nullptr) {
        return {};
    }
    const double failures = view->failureShare(now);
    const Duration silence = view->isSilent(config::SilentAvoidAfter, now) ? config::SilentCost : Duration::zero();
    return silence + std::chrono::duration_cast<Duration>(failures * failures * config::FailureCost);
}

} // namespace

FirstEventKind ForwardRun::kindOf(const ForwardAttempt &attempt) const
{
    return {this->work.route->name, attempt.work};
}

// Where servers report their pace, a second attempt takes room that other requests wait for. It waits for the usual
// time of such requests then, unless the server sends nothing to any request.
bool ForwardRun::awaitUsualTime(TimePoint now)
{
    if (this->streaming || this->active.status != 0 || this->standby.headAt != TimePoint {}
        || !this->task.hasLoadControl(this->work.service)) {
        return false;
    }
    const ForwardAttempt &latest = this->standby.isUnderWay() ? this->standby : this->active;
    const Duration left = this->task.firstEvents.waitLeft(
        this->kindOf(latest), now - latest.startedAt, this->isServerGone(latest, now), now);
    if (left <= Duration::zero()) {
        return false;
    }
    this->waitTimer = this->task.parts.loop.after(std::min<Duration>(left, config::SecondAttemptCheckPeriod),
                                                  [this] { this->onServerSilent(); });
    return true;
}

bool ForwardRun::isServerGone(const ForwardAttempt &attempt, TimePoint now) const
{
    const ServerView *asked = this->task.parts.servers.find(attempt.server);
    return asked == nullptr || asked->isSilent(config::ForwardStreamSilence - config::SilenceMargin, now);
}

// When all servers are slow, a second attempt would only add load, so that another server must be expected to answer
// soon.
bool ForwardRun::isWorthStandby(const PlacementChoice &other, TimePoint now) const
{
    const auto soon = this->work.route->aim * config::HedgeShare;
    const Duration expected = other.expected - rankingPenalties(this->task.parts.servers.find(other.server), now);
    if (expected > soon || (!this->work.request.model.empty() && this->task.firstByteTime() > soon)) {
        return false;
    }
    return this->streaming || !this->task.hasLoadControl(this->work.service)
        || this->task.firstEvents.isSecondFirst(
            this->kindOf(this->active), now - this->active.startedAt, expected, now);
}

// A server that sends nothing for any request may never answer, so that any other one is better.
PlacementChoice ForwardRun::placeStandby(TimePoint now)
{
    PlacementChoice other = this->task.place(this->need(), now);
    const bool isGone = this->isServerGone(this->active, now);
    if (isGone) {
        this->reportLostAttempt(this->active, LossKind::Silent, now);
    }
    if (!isGone && !this->isWorthStandby(other, now)) {
        other.server.clear();
    }
    return other;
}

// Handles that neither the server nor the one that stands by for it has sent anything for too long.
void ForwardRun::onServerSilent()
{
    const TimePoint now = this->task.parts.loop.now();
    if (this->awaitUsualTime(now)) {
        return;
    }
    this->task.pool->closeIdle(this->active.address);
    if (!this->streaming && this->active.status != 0) {
        return;
    }
    if (this->standby.headAt != TimePoint {} && this->standby.isUnderWay()) {
        return this->takeOver();
    }
    this->standbyRefusals = 0;
    this->watchSilence();
    this->startStandby(now);
}

void ForwardRun::startStandby(TimePoint now)
{
    const PlacementChoice other = this->placeStandby(now);
    if (other.server.empty() || this->callerTimer != nullptr
        || this->task.parts.suspicions.findRefusedPart(this->work.service, this->work.keys, now)
        || !this->mayRepeat(now)) {
        return;
    }
    if (this->standby.isUnderWay()) {
        this->reportLostAttempt(this->standby, LossKind::Silent, now);
        this->logFailedAttempt(this->standby, SilentServer);
        this->endAttempt(this->standby, AttemptOutcome::Failed);
        this->ranAt.insert(this->standby.life.server);
    }
    this->reportLostAttempt(this->active, LossKind::Silent, now);
    this->task.parts.events.line("standby_started")
        .with("request", this->work.request.id)
        .with("silent", this->active.server)
        .with("silent_ms", now - this->active.lastByteAt)
        .with("server", other.server)
        .with("last_event", this->lastEvent.value_or(0));
    this->send(other, this->standby, now);
    const Duration patience = this->streaming ? Duration(config::ForwardStreamSilence) : this->hedgeDelay();
    this->waitTimer = this->task.parts.loop.after(patience, [this] { this->onServerSilent(); });
}

void ForwardRun::cancelStandby()
{
    if (!this->standby.isUnderWay()) {
        return;
    }
    this->task.parts.events.line("standby_cancelled")
        .with("request", this->work.request.id)
        .with("server", this->standby.server);
    if (this->standby.requestSent) {
        this->ranAt.insert(this->standby.server);
    }
    this->tried.erase(this->standby.server);
    this->endAttempt(this->standby, AttemptOutcome::Cancelled);
}

void ForwardRun::onStandbyHead(int status, const HttpHeaders &fields)
{
    const TimePoint now = this->task.parts.loop.now();
    const ServerAnswer answer = this->readHead(this->standby, status, fields, now);
    if (answer.notRun) {
        return this->onStandbyRefused(answer, now);
    }
    if ((isSuccess(status) && !answer.genuine) || (this->streaming && !isSuccess(status))
        || status >= StatusServerError) {
        return this->onStandbyFailed(AttemptOutcome::Failed, "status " + std::to_string(status));
    }
    // A stream has been taken over once it goes on. Its server works already, so that the one before may not be kept
    // for long.
    if (this->work.route->isStream && isSuccess(status)) {
        this->waitTimer = this->task.parts.loop.after(config::StandbyEventWait, [this] { this->onServerSilent(); });
        return;
    }
    this->takeOver();
}

void ForwardRun::onStandbyBody(std::string_view bytes)
{
    const TimePoint now = this->task.parts.loop.now();
    this->standby.lastByteAt = now;
    const std::string complete = this->standby.events.feed(bytes);
    const auto first = firstEventId(complete);
    if (first && this->lastEvent && *first <= *this->lastEvent) {
        return this->onStandbyFailed(AttemptOutcome::Failed, "the resumed stream repeats events");
    }
    if (!complete.empty() || this->standby.events.heldBytes() > config::ForwardEventBytes) {
        this->takeOver();
        this->onActiveEvents(complete, now);
    }
}

bool ForwardRun::standbyCompletes() const
{
    return framingOf(this->standby.headers) != FramedByClose && !this->standby.events.isInsideEvent();
}

void ForwardRun::takeOver()
{
    const TimePoint now = this->task.parts.loop.now();
    if (this->active.status == 0) {
        this->task.firstEvents.observeGivenUp(this->kindOf(this->active), now - this->active.startedAt, now);
    }
    this->logFailedAttempt(this->active, SilentServer);
    this->waitTimer.reset();
    this->endAttempt(this->active, AttemptOutcome::Failed);
    this->ranAt.insert(this->active.life.server);
    this->active = std::exchange(this->standby, {});
    this->onActiveHead(this->task.parts.codec.decodeAnswer(this->active.status, this->active.headers), now);
}

void ForwardRun::onStandbyRefused(const ServerAnswer &answer, TimePoint now)
{
    this->logRefusedAttempt(this->standby);
    this->endAttempt(this->standby,
                     answer.isFromOther(this->standby.life.server) ? AttemptOutcome::Misdirected
                                                                   : AttemptOutcome::Refused);
    // It has room again later, when the silent server may still be silent.
    if (!answer.isFromOther(this->standby.life.server)) {
        this->tried.erase(this->standby.life.server);
    }
    if (++this->standbyRefusals < config::ForwardNotRunAttempts) {
        this->startStandby(now);
    }
}

void ForwardRun::onStandbyFailure(const HttpFailure &failure)
{
    const TimePoint now = this->task.parts.loop.now();
    if (failure.requestSent) {
        this->reportLostAttempt(this->standby, lossOf(failure), now);
        return this->onStandbyFailed(attemptOutcomeOf(failure), failure.error.detail);
    }
    this->standby.requestSent = true;
    this->task.parts.servers.notSent(this->standby.server);
    this->logFailedAttempt(this->standby, failure.error.detail);
    this->task.pool->closeIdle(this->standby.address);
    this->endAttempt(this->standby, AttemptOutcome::Unreachable);
    this->startStandby(now);
}

void ForwardRun::onStandbyFailed(AttemptOutcome outcome, std::string_view why)
{
    this->logFailedAttempt(this->standby, why);
    this->endAttempt(this->standby, outcome);
    this->ranAt.insert(this->standby.life.server);
    this->startStandby(this->task.parts.loop.now());
}

void ForwardRun::promoteStandby()
{
    this->active = std::exchange(this->standby, {});
    if (this->active.headAt != TimePoint {}) {
        const ServerAnswer answer = this->task.parts.codec.decodeAnswer(this->active.status, this->active.headers);
        return this->onActiveHead(answer, this->task.parts.loop.now());
    }
    this->watchAnswer();
}

} // namespace endivespan
