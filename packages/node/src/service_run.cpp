#include "service_run.h"

#include "answer.h"

#include <endivespan/config.h>
#include <endivespan/invariant.h>
#include <endivespan/log.h>

#include <algorithm>
#include <utility>

namespace endivespan {

namespace {

std::chrono::milliseconds inMilliseconds(Duration duration)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(duration);
}

Error errorOf(const ClaimVerdict &verdict)
{
    switch (verdict.decision) {
    case ClaimDecision::AnswerNotKept:
        return {ErrorKind::AnswerNotKept, "the request has already run, but its answer is no longer stored"};
    case ClaimDecision::InProgress:
        return {ErrorKind::InProgress, "a request with this key is under way at " + verdict.host};
    case ClaimDecision::OutcomeUnknown:
        return {ErrorKind::OutcomeUnknown,
                "a request with this key was already sent by " + verdict.host + " and may have run"};
    case ClaimDecision::KeyReused:
        return {ErrorKind::KeyReused, "the idempotency key was used for a different request"};
    default:
        return verdict.error;
    }
}

} // namespace

ServiceRun::ServiceRun(NodeContext &context,
                       ClaimTask &claims,
                       ServerPicker &picker,
                       ServiceJob job,
                       std::uint64_t id,
                       ServiceObserver &observer)
    : context(context)
    , claims(claims)
    , picker(picker)
    , job(std::move(job))
    , id(id)
    , observer(observer)
    , deadline(context.loop.now() + this->job.request.deadline)
{
}

ServiceRun::~ServiceRun()
{
    this->stopCall();
}

const ServiceJob &ServiceRun::request() const
{
    return this->job;
}

void ServiceRun::start()
{
    this->job.exchange->onClosed([this](CallerLoss) { this->onCallerGone(); });
    this->job.exchange->onInputEnded([this] { this->onInputEnded(); });
    this->deadlineTimer = this->context.loop.after(this->job.request.deadline, [this] { this->onDeadline(); });
    if (this->job.idempotent) {
        this->startTimer = this->context.loop.after(Duration::zero(), [this] { this->attempt(); });
        return;
    }
    ClaimRequest ask;
    ask.organisation = this->job.caller.organisation;
    ask.key = this->job.request.key;
    ask.fingerprint = requestFingerprint(
        this->job.request.method, this->job.request.service + this->job.request.target, this->job.request.body);
    ask.runLimit = this->job.request.deadline;
    this->ticket = this->claims.begin(ask, [this](const ClaimVerdict &verdict) { this->onVerdict(verdict); });
    this->note(fmt::format("requested a claim, ticket {}, key {}", *this->ticket, this->job.request.key));
}

void ServiceRun::onVerdict(const ClaimVerdict &verdict)
{
    if (verdict.decision == ClaimDecision::Granted) {
        this->attempt();
        return;
    }
    this->ticket.reset();
    if (verdict.decision == ClaimDecision::Recorded) {
        this->note("answered with the recorded answer of the first run");
        this->reply(*verdict.answer, true);
        return;
    }
    this->refuse(errorOf(verdict), verdict.retryAfter);
}

void ServiceRun::attempt()
{
    if (this->ended) {
        return;
    }
    const ServerHandle chosen = this->picker.pick(this->job.request.service, this->excluded);
    if (this->waitForCredit(chosen)) {
        return;
    }
    const bool mayGo = chosen.isValid() && (this->credit || this->context.backends.serverGate() == nullptr);
    if (!mayGo || this->attempts >= config::ServiceAttempts) {
        this->endCredit(CreditOutcome::Unused);
        this->releaseClaim();
        const bool tried = this->attempts > 0;
        const auto kind = tried ? ErrorKind::BackendUnreachable : ErrorKind::NoServer;
        this->refuse({kind, "no server of '" + this->job.request.service + "' is available"});
        return;
    }
    if (this->ticket && !this->runStarted) {
        this->runStarted = this->claims.startRun(*this->ticket);
        if (!this->runStarted) {
            this->ticket.reset();
            this->endCredit(CreditOutcome::Unused);
            this->refuse({ErrorKind::DeadlineExceeded, "the claim expired before the request was sent"});
            return;
        }
    }
    this->send(chosen);
}

// Takes a credit for the chosen server. Right after a cold start it may take some time until one is granted; returns
// true when the attempt was postponed for that.
bool ServiceRun::waitForCredit(ServerHandle chosen)
{
    ServerGate *gate = this->context.backends.serverGate();
    if (gate == nullptr || this->attempts >= config::ServiceAttempts) {
        return false;
    }
    gate->onDemand(this->job.request.service);
    if (chosen.isValid()) {
        this->credit = gate->begin(chosen);
    }
    if (this->credit) {
        return false;
    }
    this->creditWaits += 1;
    if (this->creditWaits * config::CreditRecheckPeriod >= config::CreditWaitLimit) {
        return false;
    }
    this->startTimer = this->context.loop.after(config::CreditRecheckPeriod, [this] { this->attempt(); });
    return true;
}

void ServiceRun::endCredit(CreditOutcome outcome)
{
    if (this->credit) {
        this->context.backends.serverGate()->end(*this->credit, outcome);
        this->credit.reset();
    }
}

void ServiceRun::send(ServerHandle chosen)
{
    ++this->attempts;
    this->server = chosen;
    Backend &backend = this->context.backends.server(chosen);
    this->note(fmt::format("attempt {}: sent to {}, which has {} requests of this host under way",
                           this->attempts,
                           backend.name,
                           backend.inFlight));
    checkInvariant(Invariant::NoWorkForTakenOutDomain, backend.mayTakeWork, backend.name);
    const bool allowed = this->job.idempotent || this->runStarted;
    if (!checkInvariant(Invariant::AtMostOneRun, allowed, this->job.caller.requestId)) {
        this->endCredit(CreditOutcome::Unused);
        this->refuse({ErrorKind::NoServer, "the request has no claim and cannot be sent"});
        return;
    }
    ++backend.inFlight;
    HttpCall call = serviceCall(this->job.request, this->job.caller.organisation, backend.address);
    // A dead connection is detected only at the deadline, since a plain service sends nothing while it processes a
    // request.
    call.silenceTimeout = std::max(std::chrono::milliseconds(1), inMilliseconds(this->timeLeft()));
    HttpCallbacks callbacks;
    callbacks.onDone = [this](const HttpAnswer &answer) { this->onAnswer(answer); };
    callbacks.onFailure = [this](const HttpFailure &failure) { this->onFailure(failure); };
    this->call = startHttpCall(this->context.loop, call, std::move(callbacks));
    this->context.metrics.count("service_attempts");
}

void ServiceRun::onInputEnded()
{
    // The end of the input often comes with the request, while its claim is under way. Its answer is recorded, also for
    // a caller that has left and asks again.
    if (this->ticket) {
        return;
    }
    if (this->creditWaits > 0 && !this->call && !this->failedOnce) {
        this->refuse({ErrorKind::Overloaded, "the caller closed its sending direction while the request waited"});
        return;
    }
    this->callerTimer = this->context.loop.after(config::ForwardInputEndedGrace, [this] {
        this->stopCall();
        this->refuse(
            {ErrorKind::Timeout, "the caller closed its sending direction, and the service did not answer in time"});
    });
}

void ServiceRun::stopCall()
{
    if (this->call) {
        this->call.reset();
        --this->context.backends.server(this->server).inFlight;
        this->endCredit(this->callAnswered ? CreditOutcome::Completed : CreditOutcome::Failed);
        this->callAnswered = false;
    }
}

void ServiceRun::onAnswer(const HttpAnswer &answer)
{
    this->startTimer = this->context.loop.after(Duration::zero(), [this, answer] {
        this->callAnswered = !isNotRunAnswer(answer);
        this->stopCall();
        if (isNotRunAnswer(answer)) {
            this->onRefusedByServer();
            return;
        }
        const ClaimAnswer whole {answer.status, forwardedAnswerHeaders(answer.headers), answer.body};
        this->settleClaim(OutcomeKind::Answered, whole);
        this->reply(whole, false);
    });
}

void ServiceRun::onRefusedByServer()
{
    this->note(this->context.backends.server(this->server).name + " refused the request without running it");
    this->excluded.push_back(this->server);
    // A claimed call is never sent again once bytes of it have been sent, not even after the server refused it.
    if (!this->job.idempotent || !this->observer.mayRetry()) {
        this->releaseClaim();
        this->refuse({ErrorKind::Overloaded, "the service refused the request without running it"});
        return;
    }
    this->attempt();
}

void ServiceRun::onFailure(const HttpFailure &failure)
{
    this->startTimer = this->context.loop.after(Duration::zero(), [this, failure] {
        this->stopCall();
        const std::string &name = this->context.backends.server(this->server).name;
        this->note(fmt::format(
            "{} failed: {}{}", name, failure.error.detail, failure.requestSent ? ", after the request was sent" : ""));
        this->excluded.push_back(this->server);
        if (!failure.requestSent) {
            this->attempt();
            return;
        }
        if (!this->job.idempotent) {
            this->settleClaim(OutcomeKind::Unknown, {});
            this->refuse(
                {ErrorKind::OutcomeUnknown, "the connection to the service failed after the request was sent"});
            return;
        }
        // A call that has crashed one server may crash the next one too, so it is retried at most once.
        if (std::exchange(this->failedOnce, true) || !this->observer.mayRetry()) {
            this->refuse({ErrorKind::BackendFailed, "the service failed after the request was sent"});
            return;
        }
        this->attempt();
    });
}

void ServiceRun::onDeadline()
{
    const bool sent = this->call != nullptr;
    this->stopCall();
    if (!sent) {
        this->releaseClaim();
        this->refuse({ErrorKind::DeadlineExceeded, "the deadline passed before the request was sent"});
        return;
    }
    if (!this->job.idempotent) {
        this->settleClaim(OutcomeKind::Unknown, {});
        this->refuse({ErrorKind::OutcomeUnknown, "the service did not answer before the deadline"});
        return;
    }
    this->refuse({ErrorKind::Timeout, "the service did not answer before the deadline"});
}

void ServiceRun::onCallerGone()
{
    // A claimed call that was sent is not cancelled, so that its answer is recorded and the caller receives it when it
    // retries.
    if (this->runStarted && this->ticket) {
        this->note("the caller disconnected; the run continues, so that its answer is recorded");
        return;
    }
    this->stopCall();
    this->releaseClaim();
    this->end(false);
}

void ServiceRun::settleClaim(OutcomeKind kind, const ClaimAnswer &answer)
{
    if (this->ticket) {
        this->claims.finish(*std::exchange(this->ticket, std::nullopt), kind, answer);
    }
}

void ServiceRun::releaseClaim()
{
    if (this->ticket) {
        this->claims.release(*std::exchange(this->ticket, std::nullopt));
    }
}

void ServiceRun::reply(const ClaimAnswer &answer, bool replayed)
{
    if (this->ended) {
        return;
    }
    HttpHeaders headers = answer.headers;
    headers["X-Endivespan-Run"] = runStateName(RunState::Ran);
    headers["X-Endivespan-Host"] = this->context.settings.host;
    headers["X-Endivespan-Request"] = this->job.caller.requestId;
    if (!this->job.request.key.empty()) {
        headers["Idempotency-Key"] = this->job.request.key;
    }
    if (replayed) {
        headers["Idempotent-Replay"] = "true";
    }
    this->context.metrics.count("service_answers", replayed ? "replayed=\"true\"" : "replayed=\"false\"");
    this->job.exchange->reply(answer.status, headers, answer.body);
    this->end(true);
}

void ServiceRun::refuse(const Error &cause, Duration retryAfter)
{
    if (this->ended) {
        return;
    }
    const Error error {this->failedOnce ? kindAfterRun(cause.kind) : cause.kind, cause.detail};
    const auto hint = std::max(retryHint(error.kind, this->context.random()), inMilliseconds(retryAfter));
    const ErrorContext place {this->context.settings.host, this->job.caller.requestId, hint};
    HttpHeaders headers = errorHeaders(error, place);
    if (!this->job.request.key.empty()) {
        headers["Idempotency-Key"] = this->job.request.key;
    }
    this->note(fmt::format("refused as {}: {}", errorAnswer(error.kind).name, error.detail));
    this->context.metrics.count("refusals", fmt::format("kind=\"{}\"", errorAnswer(error.kind).name));
    this->job.exchange->reply(errorAnswer(error.kind).httpStatus, headers, errorBody(error, place));
    this->end(false);
}

void ServiceRun::end(bool answered)
{
    if (std::exchange(this->ended, true)) {
        return;
    }
    this->deadlineTimer.reset();
    this->callerTimer.reset();
    this->startTimer.reset();
    this->job.exchange->onClosed({});
    this->job.exchange->onInputEnded({});
    this->observer.onEnd(this->id, answered);
}

void ServiceRun::note(const std::string &decision)
{
    logLine("service", "{} {}", this->job.caller.requestId, decision);
    this->context.explain.add(this->job.caller.requestId, decision);
}

Duration ServiceRun::timeLeft() const
{
    return this->deadline - this->context.loop.now();
}

} // namespace endivespan
