#include <endivespan/claim_keeper.h>
#include <endivespan/config.h>
#include <endivespan/invariant.h>

#include <algorithm>
#include <utility>

namespace endivespan {

ClaimKeeperLimits defaultClaimKeeperLimits()
{
    ClaimKeeperLimits limits;
    limits.appendGap = config::ClaimAppendGap;
    limits.maxBatchRecords = config::MaxClaimBatchRecords;
    limits.maxBatchBytes = config::MaxClaimBatchBytes;
    limits.maxOpenRequests = config::MaxClaimsWaiting;
    limits.maxQueuedRecords = config::MaxClaimRecordsOwed;
    limits.maxQueuedBytes = config::MaxClaimBytesOwed;
    limits.waitLimit = config::ClaimWaitLimit;
    limits.grantLimit = config::ClaimGrantLimit;
    limits.retryDelay = config::ClaimRetryDelay;
    limits.readPeriod = config::ClaimReadPeriod;
    limits.snapshotPeriod = config::ClaimSnapshotPeriod;
    limits.maxAnswerBytes = config::MaxClaimAnswerBytes;
    return limits;
}

ClaimKeeper::ClaimKeeper(std::string host,
                         std::uint64_t writer,
                         const ClaimKeeperLimits &limits,
                         std::unique_ptr<ClaimFold> fold)
    : host(std::move(host))
    , writer(writer)
    , limits(limits)
    , claimFold(std::move(fold))
{
}

ClaimActions ClaimKeeper::begin(ClaimTicket ticket, const ClaimRequest &ask, TimePoint now)
{
    Pending &request = this->pending[ticket];
    request.ask = ask;
    request.name = claimName(ask.organisation, ask.key);
    request.begunAt = now;
    if (this->pending.size() > this->limits.maxOpenRequests) {
        this->refuse(ticket, ErrorKind::Overloaded, "too many requests with an idempotency key are open");
        return this->flush(now);
    }
    if (const auto [other, first] = this->byName.emplace(request.name, ticket); !first) {
        const bool same = this->pending.at(other->second).ask.fingerprint == ask.fingerprint;
        const auto decision = same ? ClaimDecision::InProgress : ClaimDecision::KeyReused;
        const Duration retry = same ? config::ClaimInProgressRetry : std::chrono::milliseconds::zero();
        this->giveVerdict({ticket, decision, this->host, retry, nullptr, {}});
        return this->flush(now);
    }
    if (this->answerFromOwnOutcomes(ticket, request)) {
        return this->flush(now);
    }
    const ClaimView view = this->claimFold->lookUp(request.name, ask.fingerprint, this->estimateLogTime(now));
    const bool final = view.state == ClaimState::Recorded || view.state == ClaimState::AnswerNotKept;
    const bool stale = this->isLogDown(now) && view.state != ClaimState::Free;
    if (this->loaded && (final || stale)) {
        this->answerFromFold(ticket, request, now);
    } else if (this->isLogDown(now)) {
        this->refuse(ticket, ErrorKind::LogUnavailable, "the log is unreachable");
    } else if (this->loaded && view.state == ClaimState::Free) {
        this->queueClaim(ticket, request);
    }
    return this->flush(now);
}

bool ClaimKeeper::startRun(ClaimTicket ticket, TimePoint now)
{
    const auto found = this->pending.find(ticket);
    if (found == this->pending.end()) {
        return false;
    }
    Pending &request = found->second;
    const bool granted = request.state == State::Granted;
    if (!checkInvariant(Invariant::AtMostOneRun, granted, "startRun() was called for a request that is not granted")) {
        return false;
    }
    // Much time may pass between the grant and its use if the process is suspended.
    const bool fresh = now - request.grantedAt <= this->limits.grantLimit;
    if (!fresh || now - request.begunAt > request.ask.runLimit) {
        this->abandon(request.attempt, request.name);
        this->eraseRequest(ticket);
        return false;
    }
    request.state = State::Running;
    return true;
}

ClaimActions ClaimKeeper::finish(ClaimTicket ticket, OutcomeKind kind, const ClaimAnswer &answer, TimePoint now)
{
    const auto found = this->pending.find(ticket);
    if (found == this->pending.end() || found->second.state != State::Running) {
        return this->flush(now);
    }
    ClaimOutcome outcome;
    outcome.attempt = found->second.attempt;
    outcome.name = found->second.name;
    outcome.kind = kind;
    if (kind == OutcomeKind::Answered && answer.bytes() > this->limits.maxAnswerBytes) {
        outcome.kind = OutcomeKind::NotKept;
    } else if (kind == OutcomeKind::Answered) {
        outcome.answer = answer;
    }
    this->recordOutcome(found->second, outcome);
    this->queueRecord(std::move(outcome));
    this->eraseRequest(ticket);
    return this->flush(now);
}

ClaimActions ClaimKeeper::release(ClaimTicket ticket, TimePoint now)
{
    if (const auto found = this->pending.find(ticket); found != this->pending.end()) {
        const bool mayBeLogged = found->second.state != State::AwaitingRead && found->second.state != State::Queued;
        if (mayBeLogged) {
            this->abandon(found->second.attempt, found->second.name);
        }
        this->eraseRequest(ticket);
    }
    return this->flush(now);
}

ClaimActions ClaimKeeper::tick(TimePoint now)
{
    this->expireRequests(now);
    this->planSnapshot(now);
    return this->flush(now);
}

bool ClaimKeeper::isIdle() const
{
    return this->pending.empty() && this->recordQueue.empty() && !this->inFlight;
}

bool ClaimKeeper::isLoaded() const
{
    return this->loaded;
}

const ClaimFold &ClaimKeeper::fold() const
{
    return *this->claimFold;
}

ClaimKeeperStats ClaimKeeper::stats() const
{
    return {this->claimFold->stats(),
            this->pending.size(),
            this->recordQueue.size(),
            this->appendCount,
            this->readBackCount,
            this->abandonCount,
            this->snapshotCount};
}

AttemptId ClaimKeeper::nextId()
{
    return {this->writer, ++this->sequence};
}

LogTime ClaimKeeper::estimateLogTime(TimePoint now) const
{
    if (!this->logOffset) {
        return this->claimFold->time();
    }
    return LogTime(std::chrono::duration_cast<std::chrono::milliseconds>(now.time_since_epoch() + *this->logOffset));
}

// A record is never stamped after it was read, so each difference is a lower bound and the largest one is the closest.
void ClaimKeeper::updateLogOffset(LogTime at, TimePoint now)
{
    const Duration offset = at.time_since_epoch() - now.time_since_epoch();
    this->logOffset = std::max(this->logOffset.value_or(offset), offset);
}

bool ClaimKeeper::isLogDown(TimePoint now) const
{
    const std::uint32_t failures = this->appendFailures + this->readFailures;
    const bool probing = this->inFlight || this->readStarted;
    return failures >= config::ClaimLogFailuresUntilDown && (probing || now < this->retryAt);
}

ClaimActions ClaimKeeper::flush(TimePoint now)
{
    this->sendAppend(now);
    this->sendRead(now);
    return std::exchange(this->actions, {});
}

void ClaimKeeper::queueClaim(ClaimTicket ticket, Pending &request)
{
    request.state = State::Queued;
    this->claimQueue.push_back(ticket);
}

void ClaimKeeper::decideAwaitingRead(TimePoint now)
{
    std::vector<ClaimTicket> awaiting;
    for (const auto &[ticket, request] : this->pending) {
        if (request.state == State::AwaitingRead) {
            awaiting.push_back(ticket);
        }
    }
    for (const ClaimTicket ticket : awaiting) {
        Pending &request = this->pending.at(ticket);
        if (!this->claimFold->isComplete()) {
            this->refuse(ticket, ErrorKind::LogUnavailable, "earlier claims have not been read from the log yet");
        } else if (!this->answerFromFold(ticket, request, now)) {
            this->queueClaim(ticket, request);
        }
    }
}

void ClaimKeeper::recordOutcome(const Pending &request, const ClaimOutcome &outcome)
{
    UnconfirmedOutcome entry {request.ask.fingerprint, outcome.kind, nullptr};
    if (outcome.kind == OutcomeKind::Answered) {
        entry.answer = std::make_shared<const ClaimAnswer>(outcome.answer);
    }
    this->unconfirmedOutcomes[request.name] = std::move(entry);
    if (this->unconfirmedOutcomes.size() > this->limits.maxQueuedRecords) {
        this->unconfirmedOutcomes.erase(this->unconfirmedOutcomes.begin());
    }
}

// Answers from the outcomes of this host's own runs that have not been read back from the log yet.
// Returns false when there is none for the request's name.
bool ClaimKeeper::answerFromOwnOutcomes(ClaimTicket ticket, const Pending &request)
{
    const auto found = this->unconfirmedOutcomes.find(request.name);
    if (found == this->unconfirmedOutcomes.end()) {
        return false;
    }
    const UnconfirmedOutcome &known = found->second;
    ClaimVerdict verdict;
    verdict.ticket = ticket;
    verdict.host = this->host;
    if (known.fingerprint != request.ask.fingerprint) {
        verdict.decision = ClaimDecision::KeyReused;
    } else if (known.kind == OutcomeKind::Answered) {
        verdict.decision = ClaimDecision::Recorded;
        verdict.answer = known.answer;
    } else {
        const bool ran = known.kind == OutcomeKind::NotKept;
        verdict.decision = ran ? ClaimDecision::AnswerNotKept : ClaimDecision::OutcomeUnknown;
    }
    this->giveVerdict(std::move(verdict));
    return true;
}

// Gives the verdict that follows from the state of the name. Returns false when the name is free.
bool ClaimKeeper::answerFromFold(ClaimTicket ticket, const Pending &request, TimePoint now)
{
    const ClaimView view = this->claimFold->lookUp(request.name, request.ask.fingerprint, this->estimateLogTime(now));
    ClaimVerdict verdict;
    verdict.ticket = ticket;
    verdict.host = view.host;
    verdict.answer = view.answer;
    switch (view.state) {
    case ClaimState::Free:
        return false;
    case ClaimState::InProgress:
        verdict.decision = ClaimDecision::InProgress;
        verdict.retryAfter = std::min(view.remaining, config::ClaimInProgressRetry);
        break;
    case ClaimState::Recorded:
        verdict.decision = ClaimDecision::Recorded;
        break;
    case ClaimState::AnswerNotKept:
        verdict.decision = ClaimDecision::AnswerNotKept;
        break;
    case ClaimState::OutcomeUnknown:
        verdict.decision = ClaimDecision::OutcomeUnknown;
        break;
    case ClaimState::KeyReused:
        verdict.decision = ClaimDecision::KeyReused;
        break;
    }
    this->giveVerdict(std::move(verdict));
    return true;
}

void ClaimKeeper::giveVerdict(ClaimVerdict verdict)
{
    if (verdict.decision != ClaimDecision::Granted) {
        this->eraseRequest(verdict.ticket);
    }
    this->actions.emplace_back(std::move(verdict));
}

void ClaimKeeper::refuse(ClaimTicket ticket, ErrorKind kind, const std::string &detail)
{
    const Pending &request = this->pending.at(ticket);
    checkInvariant(
        Invariant::NotRunIsTrue, request.state != State::Running, "a request was refused while it was running");
    if (request.state == State::Sent) {
        this->abandon(request.attempt, request.name);
    }
    ClaimVerdict verdict;
    verdict.ticket = ticket;
    verdict.retryAfter = this->limits.retryDelay;
    verdict.error = {kind, detail};
    this->giveVerdict(std::move(verdict));
}

void ClaimKeeper::refuseAll(State state, ErrorKind kind, const std::string &detail)
{
    std::vector<ClaimTicket> refused;
    for (const auto &[ticket, request] : this->pending) {
        if (request.state == state) {
            refused.push_back(ticket);
        }
    }
    for (const ClaimTicket ticket : refused) {
        this->refuse(ticket, kind, detail);
    }
}

void ClaimKeeper::eraseRequest(ClaimTicket ticket)
{
    const auto found = this->pending.find(ticket);
    if (found == this->pending.end()) {
        return;
    }
    const Pending &request = found->second;
    if (const auto named = this->byName.find(request.name); named != this->byName.end() && named->second == ticket) {
        this->byName.erase(named);
    }
    this->byAttempt.erase(request.attempt);
    this->pending.erase(found);
}

void ClaimKeeper::abandon(const AttemptId &attempt, const ClaimDigest &name)
{
    ++this->abandonCount;
    this->abandonedAttempts[attempt] = name;
    if (this->abandonedAttempts.size() > this->limits.maxQueuedRecords) {
        this->abandonedAttempts.erase(this->abandonedAttempts.begin());
    }
    this->queueRecord(ClaimAbandon {attempt, name});
}

void ClaimKeeper::expireRequests(TimePoint now)
{
    std::vector<ClaimTicket> late;
    std::vector<ClaimTicket> unused;
    for (const auto &[ticket, request] : this->pending) {
        const Duration limit = std::min<Duration>(this->limits.waitLimit, request.ask.runLimit);
        if (request.state < State::Granted && now - request.begunAt > limit) {
            late.push_back(ticket);
        }
        if (request.state == State::Granted && now - request.grantedAt > this->limits.grantLimit) {
            unused.push_back(ticket);
        }
    }
    for (const ClaimTicket ticket : late) {
        this->refuse(ticket, ErrorKind::LogUnavailable, "the claim was not decided in the log in time");
    }
    for (const ClaimTicket ticket : unused) {
        this->abandon(this->pending.at(ticket).attempt, this->pending.at(ticket).name);
        this->eraseRequest(ticket);
    }
}

} // namespace endivespan
