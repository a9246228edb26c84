// The part of ClaimKeeper that deals with the log: appends, reads, and the handling of their results.

#include <endivespan/claim_keeper.h>
#include <endivespan/config.h>

#include <algorithm>
#include <iterator>
#include <utility>

namespace endivespan {

using namespace std::chrono_literals;

namespace {

constexpr std::size_t RecordBytes = 256; // Estimate for a record without an answer.

std::size_t sizeOf(const ClaimRecord &record)
{
    const auto *outcome = std::get_if<ClaimOutcome>(&record);
    return RecordBytes + (outcome == nullptr ? 0 : outcome->answer.bytes());
}

} // namespace

void ClaimKeeper::queueRecord(ClaimRecord record)
{
    auto *outcome = std::get_if<ClaimOutcome>(&record);
    if (outcome != nullptr && this->recordQueueBytes + sizeOf(record) > this->limits.maxQueuedBytes) {
        outcome->kind = outcome->kind == OutcomeKind::Answered ? OutcomeKind::NotKept : outcome->kind;
        outcome->answer = {};
    }
    this->recordQueueBytes += sizeOf(record);
    this->recordQueue.push_back(std::move(record));
    // A dropped record loses an answer but does not permit a second run: later requests with its key are told that the
    // outcome is unknown.
    if (this->recordQueue.size() > this->limits.maxQueuedRecords) {
        this->recordQueueBytes -= sizeOf(this->recordQueue.front());
        this->recordQueue.pop_front();
    }
}

void ClaimKeeper::logFailed(std::uint32_t &failures, TimePoint now)
{
    ++failures;
    this->retryAt = now + this->limits.retryDelay;
    if (this->isLogDown(now)) {
        this->refuseAll(State::Queued, ErrorKind::LogUnavailable, "the log is unreachable");
        this->refuseAll(State::Sent, ErrorKind::LogUnavailable, "the log is unreachable");
        this->claimQueue.clear();
    }
}

void ClaimKeeper::sendAppend(TimePoint now)
{
    const bool empty = this->recordQueue.empty() && this->claimQueue.empty() && this->snapshotQueue.empty();
    if (this->inFlight || empty || now < this->appendAllowedAt) {
        return;
    }
    if (this->appendFailures > 0 && now < this->retryAt) {
        return;
    }
    Batch batch;
    batch.id = this->nextBatch++;
    batch.sentAt = now;
    std::size_t bytes = 0;
    this->takeQueuedRecords(batch, bytes);
    this->takeQueuedClaims(batch, bytes);
    this->takeSnapshotChunk(batch);
    if (batch.records.empty()) {
        return;
    }
    ++this->appendCount;
    this->appendAllowedAt = now + this->limits.appendGap;
    this->actions.emplace_back(ClaimAppend {batch.id, batch.records});
    this->inFlight = std::move(batch);
}

void ClaimKeeper::takeQueuedRecords(Batch &batch, std::size_t &bytes)
{
    while (!this->recordQueue.empty() && batch.records.size() < this->limits.maxBatchRecords
           && bytes < this->limits.maxBatchBytes) {
        const std::size_t size = sizeOf(this->recordQueue.front());
        bytes += size;
        this->recordQueueBytes -= size;
        batch.records.emplace_back(this->nextId(), std::move(this->recordQueue.front()));
        this->recordQueue.pop_front();
    }
}

void ClaimKeeper::takeQueuedClaims(Batch &batch, std::size_t &bytes)
{
    while (this->loaded && !this->claimQueue.empty() && batch.records.size() < this->limits.maxBatchRecords
           && bytes < this->limits.maxBatchBytes) {
        const ClaimTicket ticket = this->claimQueue.front();
        this->claimQueue.pop_front();
        const auto found = this->pending.find(ticket);
        if (found == this->pending.end() || found->second.state != State::Queued) {
            continue;
        }
        Pending &request = found->second;
        request.state = State::Sent;
        request.attempt = this->nextId();
        this->byAttempt[request.attempt] = ticket;
        Claim claim;
        claim.attempt = request.attempt;
        claim.organisation = request.ask.organisation;
        claim.key = request.ask.key;
        claim.fingerprint = request.ask.fingerprint;
        claim.host = this->host;
        claim.runLimit = request.ask.runLimit;
        bytes += RecordBytes;
        batch.records.emplace_back(request.attempt, std::move(claim));
    }
}

void ClaimKeeper::takeSnapshotChunk(Batch &batch)
{
    if (this->snapshotQueue.empty()) {
        return;
    }
    batch.records.emplace_back(this->nextId(), std::move(this->snapshotQueue.front()));
    this->snapshotQueue.pop_front();
}

ClaimActions ClaimKeeper::onAppended(std::uint64_t id, const Result<ClaimAck> &result, TimePoint now)
{
    if (!this->inFlight || this->inFlight->id != id) {
        return this->flush(now);
    }
    if (result) {
        this->appendFailures = 0;
        this->updateLogOffset(result.value().at, now);
        this->awaitedOffset = std::max(this->awaitedOffset, result.value().first + this->inFlight->records.size());
        this->inFlight.reset();
        return this->flush(now);
    }
    if (this->inFlight->seenInStream) {
        this->inFlight.reset();
        return this->flush(now);
    }
    if (result.error().kind == ErrorKind::LogUnavailable) {
        this->requeueBatch();
    } else {
        ++this->readBackCount;
        this->inFlight->lostAt = now;
    }
    this->logFailed(this->appendFailures, now);
    return this->flush(now);
}

// The append was certainly not applied: puts its records back into the queues.
void ClaimKeeper::requeueBatch()
{
    this->requeueRecords();
    for (const auto &[written, record] : this->inFlight->records) {
        const auto *claim = std::get_if<Claim>(&record);
        const auto sent = claim == nullptr ? this->byAttempt.end() : this->byAttempt.find(claim->attempt);
        if (sent != this->byAttempt.end()) {
            Pending &request = this->pending.at(sent->second);
            this->queueClaim(sent->second, request);
            this->byAttempt.erase(sent);
        }
    }
    this->inFlight.reset();
}

// The append was not found in the stream but may still be applied later: abandons its attempts and queues their
// requests again, to be claimed under new attempt ids.
void ClaimKeeper::reissueBatch()
{
    this->requeueRecords();
    for (const auto &[written, record] : this->inFlight->records) {
        const auto *claim = std::get_if<Claim>(&record);
        const auto sent = claim == nullptr ? this->byAttempt.end() : this->byAttempt.find(claim->attempt);
        if (sent != this->byAttempt.end()) {
            Pending &request = this->pending.at(sent->second);
            this->abandon(request.attempt, request.name);
            this->queueClaim(sent->second, request);
            this->byAttempt.erase(sent);
        }
    }
    this->inFlight.reset();
}

// Puts the batch's outcomes, abandonments and snapshot chunks back into their queues. It is harmless when the log gets
// one of them twice, as the second one has no effect.
void ClaimKeeper::requeueRecords()
{
    auto insertAt = this->recordQueue.begin();
    for (auto &[written, record] : this->inFlight->records) {
        if (auto *chunk = std::get_if<ClaimSnapshotChunk>(&record)) {
            this->snapshotQueue.push_front(std::move(*chunk));
        } else if (!std::holds_alternative<Claim>(record)) {
            this->recordQueueBytes += sizeOf(record);
            insertAt = std::next(this->recordQueue.insert(insertAt, std::move(record)));
        }
    }
}

void ClaimKeeper::resolveLostBatch(TimePoint readStarted, bool caughtUp)
{
    if (!this->inFlight || !this->inFlight->lostAt) {
        return;
    }
    if (this->inFlight->seenInStream) {
        this->inFlight.reset();
        this->appendFailures = 0;
    } else if (caughtUp && readStarted >= *this->inFlight->lostAt) {
        this->reissueBatch();
    }
}

bool ClaimKeeper::isReadDue(TimePoint now) const
{
    if (this->readFailures > 0) {
        return now >= this->retryAt;
    }
    const bool unread = this->behind || this->claimFold->position() < this->awaitedOffset;
    const bool lost = this->inFlight && this->inFlight->lostAt;
    const bool awaiting = std::any_of(this->pending.begin(), this->pending.end(), [](const auto &entry) {
        return entry.second.state == State::AwaitingRead;
    });
    return unread || lost || awaiting || now - this->lastRead >= this->limits.readPeriod;
}

void ClaimKeeper::sendRead(TimePoint now)
{
    if (this->readStarted || !this->isReadDue(now)) {
        return;
    }
    this->readStarted = now;
    this->lastRead = now;
    const bool recordsExpected = !this->behind && this->claimFold->position() < this->awaitedOffset;
    this->actions.emplace_back(ClaimRead {this->claimFold->position(), recordsExpected ? config::LogPollPeriod : 0ms});
}

ClaimActions ClaimKeeper::onRead(const Result<ClaimBatch> &result, TimePoint now)
{
    if (!this->readStarted) {
        return this->flush(now);
    }
    const TimePoint started = *std::exchange(this->readStarted, std::nullopt);
    if (!result) {
        this->logFailed(this->readFailures, now);
        if (this->isLogDown(now)) {
            this->refuseAll(State::AwaitingRead, ErrorKind::LogUnavailable, "the log is unreachable");
        }
        return this->flush(now);
    }
    this->readFailures = 0;
    const ClaimBatch &batch = result.value();
    this->oldestKept = batch.oldest;
    if (batch.trimmed) {
        this->restartFold(batch.oldest);
        return this->flush(now);
    }
    for (const ClaimLogRecord &record : batch.records) {
        this->applyRecord(record, now);
    }
    this->behind = this->claimFold->position() < batch.end;
    this->resolveLostBatch(started, !this->behind);
    if (!this->behind) {
        this->loaded = this->claimFold->isComplete();
        this->abandonWinnersAgain();
        this->decideAwaitingRead(now);
    }
    return this->flush(now);
}

void ClaimKeeper::applyRecord(const ClaimLogRecord &record, TimePoint now)
{
    if (record.offset != this->claimFold->position()) {
        return;
    }
    this->updateLogOffset(record.at, now);
    this->firstRecordAt = this->firstRecordAt.value_or(record.at);
    if (this->inFlight && record.recordId == this->inFlight->records.front().first) {
        this->inFlight->seenInStream = true;
    }
    const ClaimEffect effect = this->claimFold->apply(record);
    const auto *claim = std::get_if<Claim>(&record.record);
    if (claim != nullptr && claim->attempt.writer == this->writer) {
        this->handleOwnClaim(*claim, effect, now);
    }
    const auto *outcome = std::get_if<ClaimOutcome>(&record.record);
    if (outcome != nullptr && outcome->attempt.writer == this->writer) {
        this->unconfirmedOutcomes.erase(outcome->name);
    }
}

void ClaimKeeper::handleOwnClaim(const Claim &claim, ClaimEffect effect, TimePoint now)
{
    const auto sent = this->byAttempt.find(claim.attempt);
    if (sent == this->byAttempt.end()) {
        if (effect == ClaimEffect::Won && this->abandonedAttempts.count(claim.attempt) != 0) {
            this->abandonedWinners[claim.attempt] = this->abandonedAttempts.at(claim.attempt);
        }
        return;
    }
    const ClaimTicket ticket = sent->second;
    Pending &request = this->pending.at(ticket);
    if (request.state != State::Sent) {
        return;
    }
    switch (effect) {
    case ClaimEffect::Won:
        request.state = State::Granted;
        request.grantedAt = now;
        this->giveVerdict({ticket, ClaimDecision::Granted, this->host, Duration::zero(), nullptr, {}});
        break;
    case ClaimEffect::Lost:
        this->answerFromFold(ticket, request, now);
        break;
    case ClaimEffect::Full:
        this->refuse(ticket, ErrorKind::Overloaded, "the limit of claimed idempotency keys is reached");
        break;
    default:
        break;
    }
}

// The log has dropped records that were not read yet. Claims whose append may have been among them are refused, since
// this host can no longer find whether they won.
void ClaimKeeper::restartFold(std::uint64_t oldest)
{
    this->claimFold->restart(oldest);
    this->loaded = false;
    this->behind = true;
    if (this->inFlight && this->inFlight->lostAt) {
        this->reissueBatch();
    }
    this->refuseAll(State::Sent, ErrorKind::LogUnavailable, "the log dropped records before the claim was read back");
    for (const ClaimTicket ticket : std::exchange(this->claimQueue, {})) {
        if (const auto found = this->pending.find(ticket); found != this->pending.end()) {
            found->second.state = State::AwaitingRead;
        }
    }
}

// Abandons again the attempts whose claims won after they had been abandoned, for example because the append was
// applied late.
void ClaimKeeper::abandonWinnersAgain()
{
    for (const auto &[attempt, name] : std::exchange(this->abandonedWinners, {})) {
        if (this->claimFold->holds(name, attempt)) {
            this->queueRecord(ClaimAbandon {attempt, name});
        }
    }
}

// All hosts read each other's snapshots. The writer number delays a host's own by up to half the period, so that
// usually only one host writes a snapshot.
void ClaimKeeper::planSnapshot(TimePoint now)
{
    const bool current = this->loaded && !this->behind && this->readFailures == 0;
    if (!current || this->claimFold->position() == 0 || !this->snapshotQueue.empty()) {
        return;
    }
    constexpr std::uint64_t DelaySteps = 16;
    const Duration period = this->limits.snapshotPeriod;
    const Duration due = period + period * static_cast<Duration::rep>(this->writer % DelaySteps) / (2 * DelaySteps);
    const auto last = this->claimFold->lastSnapshot();
    const bool snapshotTrimmed = this->oldestKept > (last ? last->first : 0);
    const LogTime lastAt = last ? last->second : this->firstRecordAt.value_or(this->claimFold->time());
    if (!snapshotTrimmed && this->estimateLogTime(now) - lastAt < due) {
        return;
    }
    if (now - this->lastSnapshot < this->limits.readPeriod) {
        return;
    }
    this->lastSnapshot = now;
    ++this->snapshotCount;
    for (auto &chunk : this->claimFold->snapshot(this->nextId(), config::ClaimSnapshotChunkBytes)) {
        this->snapshotQueue.push_back(std::move(chunk));
    }
}

} // namespace endivespan
