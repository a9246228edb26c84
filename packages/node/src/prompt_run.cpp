#include "prompt_run.h"

#include <endivespan/config.h>
#include <endivespan/invariant.h>
#include <endivespan/log.h>

#include <algorithm>
#include <utility>

namespace endivespan {

namespace {

std::uint32_t tokensOf(const std::string &prompt)
{
    return static_cast<std::uint32_t>((prompt.size() + config::BytesPerToken - 1) / config::BytesPerToken);
}

std::chrono::milliseconds inMilliseconds(Duration duration)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(duration);
}

std::string storeNames(Backends &backends, const RoutePlan &plan)
{
    std::string names;
    for (const LinkUse &use : plan.links) {
        if (use.store.isValid()) {
            names += (names.empty() ? "" : ",") + backends.store(use.store).name;
        }
    }
    return names.empty() ? "-" : names;
}

} // namespace

PromptRun::PromptRun(NodeContext &context,
                     Router &router,
                     ExportTask &exports,
                     PromptJob job,
                     std::uint64_t id,
                     PromptObserver &observer)
    : context(context)
    , router(router)
    , exports(exports)
    , job(std::move(job))
    , id(id)
    , observer(observer)
    , writer(this->job.exchange, this->job.request, this->job.caller.requestId, this->job.model.version)
    , arrivedAt(context.loop.now())
    , deadline(this->arrivedAt + this->job.request.deadline)
    , nextIndex(this->job.firstIndex)
{
    const PieceScope scope {
        this->job.caller.organisation, this->job.model.name, this->job.model.version, this->job.request.adapter};
    this->pieces = pieceChain(scope, this->job.request.prompt);
    this->job.exchange->onClosed([this](CallerLoss) { this->end(PromptEnd::CallerGone); });
    this->job.exchange->onInputEnded([this] { this->onInputEnded(); });
    this->deadlineTimer = this->context.loop.after(this->job.request.deadline, [this] {
        this->fail({ErrorKind::DeadlineExceeded, "the deadline of the request passed before its answer was complete"});
    });
}

PromptRun::~PromptRun()
{
    if (this->run) {
        this->context.engines.cancel(this->context.backends.server(this->server).address, this->attemptId);
        this->endAttempt(false);
    }
}

const PromptJob &PromptRun::request() const
{
    return this->job;
}

bool PromptRun::isStarted() const
{
    return this->started;
}

TimePoint PromptRun::deadlineAt() const
{
    return this->deadline;
}

std::uint32_t PromptRun::expectedPrefillTokens() const
{
    Backends &backends = this->context.backends;
    const DirectoryScope scope {
        backends.organisationOf(this->job.caller.organisation),
        backends.versionOf(this->job.model.name, this->job.model.version),
    };
    std::uint32_t tokens = tokensOf(this->job.request.prompt);
    for (const PieceKey &piece : this->pieces) {
        const PieceHolders holders = backends.directory.find(piece, scope);
        if (holders.serverCount == 0 && holders.storeCount == 0) {
            break;
        }
        tokens -= config::PieceTokens;
    }
    return tokens;
}

void PromptRun::start(std::uint32_t unfairness)
{
    this->started = true;
    this->fairness = static_cast<int>(unfairness);
    this->heartbeatTimer
        = this->context.loop.every(config::StreamHeartbeatPeriod, [this] { this->writer.heartbeat(); });
    // The first attempt is made in the next iteration of the loop, after the caller of start() has finished updating
    // its own state.
    this->retryTimer = this->context.loop.after(Duration::zero(), [this] { this->attempt(); });
}

void PromptRun::refuse(ErrorKind kind, std::chrono::milliseconds retryAfter)
{
    this->failWith({kind, "this host cannot serve the prompt in time; retry later"}, retryAfter);
}

void PromptRun::onInputEnded()
{
    const bool waitsForCredit = this->waitedForCredit && this->attempts == 0;
    if (!this->started || waitsForCredit) {
        this->fail({ErrorKind::Overloaded, "the caller closed its sending direction while the prompt waited"});
        return;
    }
    // The next token or heartbeat of a stream shows by a reset whether the caller still reads.
    if (!this->job.request.stream) {
        this->callerTimer = this->context.loop.after(config::ForwardInputEndedGrace, [this] {
            this->fail({ErrorKind::Timeout,
                        "the caller closed its sending direction, and the answer was not complete in time"});
        });
    }
}

void PromptRun::attempt()
{
    ++this->attempts;
    if (ServerGate *gate = this->context.backends.serverGate()) {
        gate->onDemand(this->job.model.name);
    }
    RouteRequest request;
    request.organisation = this->context.backends.organisationOf(this->job.caller.organisation);
    request.model = this->context.backends.modelOf(this->job.model.name);
    request.version = this->context.backends.versionOf(this->job.model.name, this->job.model.version);
    request.pieces = this->pieces;
    request.promptTokens = tokensOf(this->job.request.prompt);
    request.maxTokens = this->job.request.maxTokens;
    request.excluded = this->excluded;
    request.random = this->context.random();
    const RouteView view {this->context.backends.loads, this->context.backends.directory};
    this->decision = this->router.route(request, view, this->context.loop.now());
    if (this->decision.isValid()) {
        if (this->takeCredit(this->decision)) {
            this->explain(this->decision);
            this->dispatch(this->decision);
            return;
        }
        // This host may still have a credit for another runner.
        --this->attempts;
        this->excluded.push_back(this->decision.server);
        this->attempt();
        return;
    }
    if (this->waitForCredit()) {
        this->excluded.clear();
        return;
    }
    this->explain(this->decision);
    this->excluded.clear();
    this->retry({ErrorKind::NoServer, "no runner for model '" + this->job.model.name + "' is available"});
}

void PromptRun::explain(const RouteDecision &choice)
{
    Backends &backends = this->context.backends;
    if (!choice.isValid()) {
        const std::string line
            = fmt::format("attempt {}: no runner is available, {} excluded", this->attempts, this->excluded.size());
        logLine("route", "{} {}", this->job.caller.requestId, line);
        this->context.explain.add(this->job.caller.requestId, line);
        return;
    }
    const RoutePlan &plan = choice.plan;
    const std::string stores = storeNames(backends, plan);
    const std::string line
        = fmt::format("attempt {}: {} to {}, {} pieces in memory, {} imported from {}, {} tokens recomputed, "
                      "first token expected in {} ms",
                      this->attempts,
                      this->router.name(),
                      backends.server(choice.server).name,
                      plan.hitPieces,
                      plan.importPieces,
                      stores,
                      plan.recomputeTokens,
                      inMilliseconds(choice.expected).count());
    logLine("route", "{} {}", this->job.caller.requestId, line);
    this->context.explain.add(this->job.caller.requestId, line);
    for (std::uint8_t i = 0; i < choice.candidateCount; ++i) {
        const RouteCandidate &candidate = choice.candidates.at(i);
        this->context.explain.add(
            this->job.caller.requestId,
            fmt::format("candidate {}: {} ms = wait {} + transfer {} + prefill {}, {} hit, {} imported",
                        backends.server(candidate.server).name,
                        inMilliseconds(candidate.expected).count(),
                        inMilliseconds(candidate.wait).count(),
                        inMilliseconds(candidate.transfer).count(),
                        inMilliseconds(candidate.prefill).count(),
                        candidate.plan.hitPieces,
                        candidate.plan.importPieces));
    }
}

bool PromptRun::takeCredit(const RouteDecision &choice)
{
    ServerGate *gate = this->context.backends.serverGate();
    if (gate == nullptr) {
        return true;
    }
    this->credit = gate->begin(choice.server);
    return this->credit.has_value();
}

// Delays the attempt while this host waits for credits: right after a cold start, requests arrive before the owner of a
// server has granted any. Returns false when the wait is over or there is nothing to wait for.
bool PromptRun::waitForCredit()
{
    ServerGate *gate = this->context.backends.serverGate();
    const TimePoint now = this->context.loop.now();
    const TimePoint until = std::min(this->arrivedAt + config::CreditWaitLimit, this->deadline);
    if (gate == nullptr || now >= until) {
        return false;
    }
    gate->onDemand(this->job.model.name);
    // Logged only for the first wait: the check is repeated many times, and the number of decisions that are kept for a
    // request is limited.
    if (!this->waitedForCredit) {
        this->waitedForCredit = true;
        const std::string line = fmt::format(
            "attempt {}: waiting for a credit, none for {} runners", this->attempts, this->excluded.size());
        logLine("route", "{} {}", this->job.caller.requestId, line);
        this->context.explain.add(this->job.caller.requestId, line);
    }
    --this->attempts;
    this->retryTimer = this->context.loop.after(config::CreditRecheckPeriod, [this] { this->attempt(); });
    return true;
}

void PromptRun::dispatch(const RouteDecision &choice)
{
    Backends &backends = this->context.backends;
    this->server = choice.server;
    Backend &backend = backends.server(this->server);
    this->attemptId = this->job.caller.requestId + "-" + std::to_string(this->attempts);
    EngineRequest request;
    request.address = backend.address;
    request.attemptId = this->attemptId;
    request.scope
        = {this->job.caller.organisation, this->job.model.name, this->job.model.version, this->job.request.adapter};
    request.prompt = this->job.request.prompt;
    request.pieces = this->pieces;
    // The import list starts at the first piece; the runner skips the pieces that it already has in memory.
    for (std::size_t i = 0; i < choice.sourceCount; ++i) {
        const StoreCopy &source = choice.sources.at(i);
        request.imports.push_back({this->pieces.at(i), backends.store(source.store).address, source.generation});
        backends.pin(source, this->pieces.at(i), config::ImportPinTime);
    }
    request.maxTokens = this->job.request.maxTokens;
    request.resumeFrom = this->nextIndex;
    request.priority = this->job.request.priority + this->fairness;
    this->dispatchedAt = this->context.loop.now();
    const TimePoint endBy = this->credit ? std::min(this->deadline, this->credit->mustEndBy) : this->deadline;
    request.deadline = std::max(std::chrono::milliseconds(1), inMilliseconds(endBy - this->dispatchedAt));
    EngineCallbacks callbacks;
    callbacks.onToken = [this](const EngineToken &token) { this->onToken(token); };
    callbacks.onDone = [this](const EngineSummary &summary) { this->onDone(summary); };
    callbacks.onRefused = [this](EngineRefusal refusal, const std::string &) { this->onRefused(refusal); };
    callbacks.onFailure = [this](const Error &error, bool requestSent) { this->onFailure(error, requestSent); };
    checkInvariant(Invariant::NoWorkForTakenOutDomain, backend.mayTakeWork, backend.name);
    checkInvariant(Invariant::NoWorkForLeavingServer, !backend.leaving, backend.name);
    ++backend.inFlight;
    this->firstTokenAfter = Duration::zero();
    this->load = backends.loads.onDispatch(dispatchOf(choice), this->dispatchedAt);
    this->run = this->context.engines.run(request, std::move(callbacks));
    this->observer.onPlanned(this->id, choice.plan.recomputeTokens);
    this->context.metrics.count("prompt_attempts");
}

void PromptRun::onToken(const EngineToken &token)
{
    if (token.index != this->nextIndex) {
        this->onFailure(
            {ErrorKind::ProtocolError, "token " + std::to_string(token.index) + " was received out of order"}, true);
        return;
    }
    this->noteFirstToken();
    ++this->nextIndex;
    this->writer.token(token);
    if (this->job.exchange->backlogBytes() > config::CallerBacklogBytes) {
        this->context.metrics.count("callers_too_slow");
        this->job.exchange->abort();
        this->end(PromptEnd::CallerGone);
    }
}

void PromptRun::noteFirstToken()
{
    if (this->firstTokenAfter == Duration::zero()) {
        this->firstTokenAfter = this->context.loop.now() - this->dispatchedAt;
    }
    if (this->firstTokenSeen) {
        return;
    }
    this->firstTokenSeen = true;
    this->context.metrics.observe("first_token_seconds", this->context.loop.now() - this->arrivedAt);
    this->observer.onFirstToken(this->id);
}

void PromptRun::onDone(const EngineSummary &summary)
{
    const bool whole = summary.count == this->nextIndex;
    if (!whole) {
        this->onFailure(
            {ErrorKind::StreamCut, "the number of received tokens differs from the count that the runner reported"},
            true);
        return;
    }
    if (summary.version != this->job.model.version) {
        checkInvariant(Invariant::WeightVersionScope, false, this->attemptId);
        this->fail(
            {ErrorKind::ProtocolError, "the runner answered with weights of another version: " + summary.version});
        return;
    }
    checkInvariant(Invariant::AnswerWhole, this->nextIndex <= this->job.request.maxTokens, this->attemptId);
    this->recordSummary(summary);
    this->endAttempt(true);
    this->context.explain.add(this->job.caller.requestId,
                              fmt::format("answered: {} tokens, {} cached, {} imported, {} recomputed, queued {} ms",
                                          summary.count,
                                          summary.cachedTokens,
                                          summary.importedTokens,
                                          summary.recomputedTokens,
                                          summary.queueTime.count()));
    this->writer.done(summary);
    this->end(PromptEnd::Answered);
}

void PromptRun::recordSummary(const EngineSummary &summary)
{
    Backends &backends = this->context.backends;
    this->context.metrics.count("prompt_tokens", "source=\"memory\"", summary.cachedTokens);
    this->context.metrics.count("prompt_tokens", "source=\"import\"", summary.importedTokens);
    this->context.metrics.count("prompt_tokens", "source=\"recompute\"", summary.recomputedTokens);
    if (this->load.isValid()) {
        const std::uint64_t imported = summary.importedTokens > 0 ? this->decision.plan.importBytes : 0;
        backends.loads.onFirstToken(this->load,
                                    {this->firstTokenAfter, summary.queueTime, summary.recomputedTokens, imported},
                                    this->dispatchedAt + this->firstTokenAfter);
    }
    if (summary.incarnation == backends.server(this->server).incarnation) {
        const DirectoryScope scope {
            backends.organisationOf(this->job.caller.organisation),
            backends.versionOf(this->job.model.name, this->job.model.version),
        };
        backends.directory.applyRun(this->server, std::hash<std::string> {}(summary.incarnation), scope, this->pieces);
        this->exports.offer(this->server, scope, this->pieces);
    }
}

void PromptRun::onRefused(EngineRefusal refusal)
{
    this->endAttempt(false);
    this->excluded.push_back(this->server);
    this->context.metrics.count("engine_refusals");
    const bool busy = refusal == EngineRefusal::QueueFull || refusal == EngineRefusal::Cold;
    if (busy && !this->observer.mayRetryRefusal()) {
        this->fail({ErrorKind::Overloaded, "the runners are full or cold"});
        return;
    }
    this->retry(
        {busy ? ErrorKind::Overloaded : ErrorKind::NoServer, "the last runner that was tried refused the prompt"});
}

void PromptRun::onFailure(const Error &error, bool requestSent)
{
    logLine("prompt",
            "attempt {} at {} failed: {}",
            this->attemptId,
            this->context.backends.server(this->server).name,
            error.detail);
    this->context.explain.add(this->job.caller.requestId,
                              this->context.backends.server(this->server).name + " failed: " + error.detail);
    if (requestSent) {
        this->mayHaveRun = true;
        // The engine may still be running the attempt, whose output is no longer needed.
        this->context.engines.cancel(this->context.backends.server(this->server).address, this->attemptId);
    }
    this->endAttempt(false);
    this->excluded.push_back(this->server);
    this->context.metrics.count("prompt_resumes");
    this->retry({ErrorKind::BackendFailed, error.detail});
}

void PromptRun::endAttempt(bool completed)
{
    if (!this->run) {
        return;
    }
    Backends &backends = this->context.backends;
    --backends.server(this->server).inFlight;
    if (this->credit) {
        backends.serverGate()->end(*this->credit, completed ? CreditOutcome::Completed : CreditOutcome::Failed);
        this->credit.reset();
    }
    if (this->load.isValid()) {
        backends.loads.onEnd(this->load, completed, this->context.loop.now());
        this->load = {};
    }
    this->run.reset();
}

void PromptRun::retry(const Error &error)
{
    if (this->attempts >= config::PromptAttempts) {
        this->fail(error);
        return;
    }
    this->retryTimer = this->context.loop.after(config::AttemptPause * this->attempts, [this] { this->attempt(); });
}

void PromptRun::fail(const Error &cause)
{
    // An attempt under way may have been sent.
    const bool mayHaveRun = this->mayHaveRun || this->run;
    const Error error {mayHaveRun ? kindAfterRun(cause.kind) : cause.kind, cause.detail};
    this->failWith(error, retryHint(error.kind, this->context.random()));
}

void PromptRun::failWith(const Error &error, std::chrono::milliseconds retryAfter)
{
    if (this->ended) {
        return;
    }
    this->context.metrics.count("prompt_failures", fmt::format("kind=\"{}\"", errorAnswer(error.kind).name));
    logLine("prompt", "{} failed: {}", this->job.caller.requestId, error.detail);
    const ErrorContext answer {this->context.settings.host, this->job.caller.requestId, retryAfter};
    if (this->run) {
        this->context.engines.cancel(this->context.backends.server(this->server).address, this->attemptId);
        this->endAttempt(false);
    }
    this->writer.fail(error, answer);
    this->end(PromptEnd::Failed);
}

void PromptRun::end(PromptEnd how)
{
    if (this->ended) {
        return;
    }
    this->ended = true;
    this->deadlineTimer.reset();
    this->callerTimer.reset();
    this->heartbeatTimer.reset();
    this->retryTimer.reset();
    this->context.metrics.observe("prompt_seconds", this->context.loop.now() - this->arrivedAt);
    this->observer.onEnd(this->id, how);
}

} // namespace endivespan
