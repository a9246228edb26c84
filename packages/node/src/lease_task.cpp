#include "lease_task.h"

#include <endivespan/config.h>
#include <endivespan/lease_codec.h>
#include <endivespan/log.h>

#include <algorithm>
#include <utility>

namespace endivespan {

namespace {

const std::string Stream = "leases";

} // namespace

LeaseTask::LeaseTask(Loop &loop, LogClient &log, LeaseOwner owner)
    : loop(loop)
    , log(log)
    , fold(loop.now())
    , holder(std::move(owner), loop.now())
{
}

void LeaseTask::start()
{
    this->findStart();
}

void LeaseTask::want(std::set<std::string> resources)
{
    this->holder.want(std::move(resources));
}

// Each lease that is held appears at least once in the last LeaseReplayRecords records, so older records are not read.
void LeaseTask::findStart()
{
    this->log.read(Stream, 0, 1, std::chrono::milliseconds::zero(), [this](const Result<LogBatch> &batch) {
        if (!batch) {
            this->readTimer = this->loop.after(config::LogPollPeriod, [this] { this->findStart(); });
            return;
        }
        const std::uint64_t end = batch.value().end;
        const std::uint64_t replay = end > config::LeaseReplayRecords ? end - config::LeaseReplayRecords : 0;
        const std::uint64_t from = std::max(batch.value().oldest, replay);
        this->restart(from, from == 0);
    });
}

void LeaseTask::restart(std::uint64_t from, bool complete)
{
    this->fold = LeaseFold(this->loop.now(), complete);
    this->next = from;
    this->caughtUp = false;
    this->read();
}

void LeaseTask::read()
{
    this->log.read(Stream, this->next, config::LogReadRecords, config::LeaseReadWait, [this](const auto &batch) {
        this->onRead(batch);
    });
}

void LeaseTask::onRead(const Result<LogBatch> &batch)
{
    if (!batch) {
        this->readTimer = this->loop.after(config::LogPollPeriod, [this] { this->read(); });
        return;
    }
    if (batch.value().trimmed) {
        this->restart(batch.value().oldest, false);
        return;
    }
    const TimePoint now = this->loop.now();
    for (const LogRecord &record : batch.value().records) {
        if (const auto body = decodeLeaseRecord(record.bytes)) {
            this->fold.apply(record, *body, now);
            this->holder.onFolded(this->fold, record, *body);
        }
    }
    this->next = batch.value().next;
    this->caughtUp = this->next >= batch.value().end;
    // The pause limits the rate of reads that all hosts together send to the log.
    this->readTimer = this->loop.after(config::LogPollPeriod, [this] { this->read(); });
}

void LeaseTask::tick(TimePoint now)
{
    if (!this->caughtUp) {
        return;
    }
    if (const auto record = this->holder.next(this->fold, now)) {
        this->append(*record);
    }
}

void LeaseTask::append(const LeaseRecord &record)
{
    if (record.action != LeaseAction::Renew) {
        logLine("lease",
                "{} requests to {} the leases of {} resources",
                record.owner.host,
                record.action == LeaseAction::Acquire ? "acquire" : "release",
                record.resources.size());
    }
    this->log.append(Stream, {encodeLeaseRecord(record)}, [this](const Result<LogAppendAck> &ack) {
        const bool notApplied = !ack && ack.error().kind == ErrorKind::LogUnavailable;
        this->holder.appended(!notApplied, this->loop.now());
    });
}

std::optional<std::string> LeaseTask::holderOf(const std::string &resource) const
{
    const Lease *lease = this->fold.find(resource);
    return lease == nullptr ? std::nullopt : std::optional(lease->owner.host);
}

bool LeaseTask::isFirst(const std::string &resource) const
{
    const Lease *lease = this->fold.find(resource);
    return lease != nullptr && lease->isFirst;
}

std::map<std::string, std::uint64_t> LeaseTask::held(TimePoint now) const
{
    return this->holder.held(now);
}

bool LeaseTask::checkUse(const std::string &resource, std::uint64_t fence) const
{
    return this->holder.checkUse(resource, fence, this->loop.now());
}

} // namespace endivespan
