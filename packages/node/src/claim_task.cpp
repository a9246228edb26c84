#include "claim_task.h"

#include <endivespan/claim_codec.h>
#include <endivespan/config.h>
#include <endivespan/log.h>

#include <algorithm>
#include <utility>

namespace endivespan {

namespace {

Result<ClaimBatch> decode(const Result<LogBatch> &result)
{
    if (!result) {
        return result.error();
    }
    const LogBatch &raw = result.value();
    ClaimBatch batch;
    batch.end = raw.end;
    batch.oldest = raw.oldest;
    batch.trimmed = raw.trimmed;
    for (const LogRecord &record : raw.records) {
        auto [written, content] = decodeClaimRecord(record.bytes);
        batch.records.push_back({record.offset, record.at, written, std::move(content)});
    }
    return batch;
}

std::string_view decisionName(ClaimDecision decision)
{
    switch (decision) {
    case ClaimDecision::Granted:
        return "granted";
    case ClaimDecision::Recorded:
        return "answered from its record";
    case ClaimDecision::AnswerNotKept:
        return "already run, answer no longer stored";
    case ClaimDecision::InProgress:
        return "already in progress";
    case ClaimDecision::OutcomeUnknown:
        return "already sent, outcome unknown";
    case ClaimDecision::KeyReused:
        return "refused: key belongs to another request";
    case ClaimDecision::Refused:
        break;
    }
    return "refused";
}

} // namespace

ClaimTask::ClaimTask(Loop &loop, LogClient &log, const Settings &settings, std::uint64_t incarnation)
    : loop(loop)
    , log(log)
    , appendTokens(config::ClaimAppendBurst)
    , tokensAt(loop.now())
{
    ClaimKeeperLimits limits = defaultClaimKeeperLimits();
    limits.snapshotPeriod = settings.limits.claimSnapshotPeriod;
    limits.readPeriod = std::min<Duration>(limits.readPeriod, limits.snapshotPeriod / 4);
    for (std::uint32_t shard = 0; shard < config::ClaimShards; ++shard) {
        auto fold = std::make_unique<ClaimFold>(defaultClaimLimits());
        this->keepers.push_back(std::make_unique<ClaimKeeper>(settings.host, incarnation, limits, std::move(fold)));
    }
}

ClaimTask::~ClaimTask() = default;

ClaimTicket ClaimTask::begin(const ClaimAsk &ask, ClaimCallback callback)
{
    const ClaimTicket ticket = ++this->lastTicket;
    const std::uint32_t shard = claimShard(claimName(ask.organisation, ask.key));
    this->tickets[ticket] = {shard, std::move(callback)};
    this->carryOut(shard, this->keepers[shard]->begin(ticket, ask, this->loop.now()));
    return ticket;
}

bool ClaimTask::startRun(ClaimTicket ticket)
{
    const bool started = this->keeperOf(ticket).startRun(ticket, this->loop.now());
    if (!started) {
        this->tickets.erase(ticket);
    }
    return started;
}

void ClaimTask::finish(ClaimTicket ticket, OutcomeKind kind, const ClaimAnswer &answer)
{
    const auto ended = this->tickets.extract(ticket);
    const std::uint32_t shard = ended.mapped().shard;
    this->carryOut(shard, this->keepers[shard]->finish(ticket, kind, answer, this->loop.now()));
}

void ClaimTask::release(ClaimTicket ticket)
{
    const auto ended = this->tickets.extract(ticket);
    if (!ended.empty()) {
        const std::uint32_t shard = ended.mapped().shard;
        this->carryOut(shard, this->keepers[shard]->release(ticket, this->loop.now()));
    }
}

void ClaimTask::tick(std::size_t hosts)
{
    this->liveHosts = std::max<std::size_t>(1, hosts);
    const TimePoint now = this->loop.now();
    for (std::uint32_t shard = 0; shard < this->keepers.size(); ++shard) {
        this->carryOut(shard, this->keepers[shard]->tick(now));
    }
}

bool ClaimTask::isIdle() const
{
    return std::all_of(this->keepers.begin(), this->keepers.end(), [](const auto &keeper) { return keeper->isIdle(); });
}

std::size_t ClaimTask::loadedShards() const
{
    return static_cast<std::size_t>(std::count_if(
        this->keepers.begin(), this->keepers.end(), [](const auto &keeper) { return keeper->isLoaded(); }));
}

ClaimKeeperStats ClaimTask::stats() const
{
    ClaimKeeperStats total;
    for (const auto &keeper : this->keepers) {
        const ClaimKeeperStats one = keeper->stats();
        total.fold.claims += one.fold.claims;
        total.fold.voids += one.fold.voids;
        total.fold.answerBytes += one.fold.answerBytes;
        total.waiting += one.waiting;
        total.owed += one.owed;
        total.appends += one.appends;
        total.readBacks += one.readBacks;
        total.abandoned += one.abandoned;
        total.snapshots += one.snapshots;
    }
    return total;
}

void ClaimTask::report(Metrics &metrics) const
{
    const ClaimKeeperStats total = this->stats();
    metrics.gauge("claim_streams_loaded", {}, static_cast<double>(this->loadedShards()));
    metrics.gauge("claims_held", {}, static_cast<double>(total.fold.claims));
    metrics.gauge("claims_waiting", {}, static_cast<double>(total.waiting));
    metrics.gauge("claim_records_owed", {}, static_cast<double>(total.owed));
    metrics.gauge("claim_appends", {}, static_cast<double>(total.appends));
    metrics.gauge("claim_read_backs", {}, static_cast<double>(total.readBacks));
    metrics.gauge("claims_abandoned", {}, static_cast<double>(total.abandoned));
    metrics.gauge("claim_snapshots", {}, static_cast<double>(total.snapshots));
}

ClaimKeeper &ClaimTask::keeperOf(ClaimTicket ticket)
{
    return *this->keepers[this->tickets.at(ticket).shard];
}

void ClaimTask::carryOut(std::uint32_t shard, const ClaimActions &actions)
{
    for (const ClaimAction &action : actions) {
        if (const auto *append = std::get_if<ClaimAppend>(&action)) {
            this->append(shard, *append);
        } else if (const auto *read = std::get_if<ClaimRead>(&action)) {
            this->read(shard, *read);
        } else {
            // The caller may still be inside begin(), so the verdict is delivered in the next iteration of the loop.
            this->loop.post([this, verdict = std::get<ClaimVerdict>(action)] { this->deliver(verdict); });
        }
    }
}

void ClaimTask::deliver(const ClaimVerdict &verdict)
{
    const auto found = this->tickets.find(verdict.ticket);
    if (found == this->tickets.end()) {
        return;
    }
    const ClaimCallback callback = std::move(found->second.callback);
    logLine("claim", "ticket {}: {}", verdict.ticket, decisionName(verdict.decision));
    if (verdict.decision != ClaimDecision::Granted) {
        this->tickets.erase(found);
    }
    callback(verdict);
}

Duration ClaimTask::appendDelay()
{
    const double rate = config::ClaimAppendsPerSecond / static_cast<double>(this->liveHosts);
    const TimePoint now = this->loop.now();
    const double elapsed = std::chrono::duration<double>(now - this->tokensAt).count();
    this->tokensAt = now;
    this->appendTokens = std::min(config::ClaimAppendBurst, this->appendTokens + elapsed * rate) - 1.0;
    const double missing = std::max(0.0, -this->appendTokens);
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(missing / rate));
}

void ClaimTask::append(std::uint32_t shard, const ClaimAppend &append)
{
    std::vector<std::string> records;
    for (const auto &[written, record] : append.records) {
        records.push_back(encodeClaimRecord(written, record));
    }
    const Duration delay = this->appendDelay();
    if (delay == Duration::zero()) {
        this->sendAppend(shard, append.id, records);
        return;
    }
    const std::uint64_t number = this->nextDelayed++;
    this->delayed[number] = this->loop.after(delay, [this, number, shard, id = append.id, records] {
        const auto finished = this->delayed.extract(number);
        this->sendAppend(shard, id, records);
    });
}

void ClaimTask::sendAppend(std::uint32_t shard, std::uint64_t id, const std::vector<std::string> &records)
{
    this->log.append(claimStream(shard), records, [this, shard, id](const Result<LogAppendAck> &result) {
        if (!result) {
            logLine("claim", "append to stream {} failed: {}", claimStream(shard), result.error().detail);
        }
        const Result<ClaimAck> ack = result ? Result<ClaimAck>(ClaimAck {result.value().first, result.value().at})
                                            : Result<ClaimAck>(result.error());
        this->carryOut(shard, this->keepers[shard]->appended(id, ack, this->loop.now()));
    });
}

void ClaimTask::read(std::uint32_t shard, const ClaimRead &read)
{
    this->log.read(claimStream(shard),
                   read.from,
                   config::ClaimReadRecords,
                   read.wait,
                   [this, shard](const Result<LogBatch> &result) {
                       this->carryOut(shard, this->keepers[shard]->wasRead(decode(result), this->loop.now()));
                   });
}

} // namespace endivespan
