#include "rollout_task.h"

#include <endivespan/config.h>

#include <algorithm>
#include <utility>

namespace endivespan {

namespace {

// Returns how long a host of this rank waits before it reads the lease. The first few hosts follow one after the other;
// the others wait longer, and so read it only if none of those has taken the lease.
Duration lookDelay(std::size_t rank)
{
    const Duration step = config::OrderLeaseRankStep * rank;
    return rank < config::OrderLeaseEarlyReaders ? step : step + config::OrderLeaseLateLook;
}

} // namespace

RolloutPace rolloutPace(const ForwardBounds &bounds)
{
    return {std::chrono::duration_cast<Duration>(config::RolloutShare * bounds.weights), config::StartEngineAway};
}

Duration oldWeightsTime(const ForwardBounds &bounds)
{
    return std::max<Duration>(bounds.weights - config::OldWeightsMargin, Duration::zero());
}

RolloutTask::RolloutTask(Loop &loop,
                         KeyedLog &log,
                         const RecordCodec &codec,
                         EngineControl &engines,
                         EventLog &events,
                         ServerTable &servers,
                         std::string holder,
                         const ForwardBounds &bounds)
    : loop(loop)
    , log(log)
    , codec(codec)
    , engines(engines)
    , events(events)
    , servers(servers)
    , holder(std::move(holder))
    , lease(this->holder, {config::OrderLeaseTerm, bounds.leaseGap + config::OrderLeaseMargin})
    , rollout(rolloutPace(bounds))
{
}

void RolloutTask::setTargets(const std::map<std::string, std::uint64_t> &targets)
{
    this->rollout.setTargets(targets);
}

void RolloutTask::setRank(std::size_t newRank)
{
    this->rank = newRank;
}

void RolloutTask::stop()
{
    this->stopping = true;
}

void RolloutTask::tick(TimePoint now)
{
    this->lease.onEra(this->log.era(), now);
    if (this->stopping || !this->rollout.isNeeded(this->servers, now)) {
        this->neededSince = {};
        return;
    }
    if (this->neededSince == TimePoint {}) {
        this->neededSince = now;
    }
    this->stepLease(now);
    this->stepRollout(now);
}

void RolloutTask::stepLease(TimePoint now)
{
    if (this->calling || now < this->nextCall) {
        return;
    }
    switch (this->lease.next(now)) {
    case OrderLeaseStep::Nothing:
        // Another host may have renewed the lease or taken it over; its record restarts the wait.
        if (!this->lease.fence(now) && now >= this->nextCall + config::OrderLeaseWatchPeriod) {
            this->read();
        }
        break;
    case OrderLeaseStep::Read:
        if (now >= this->neededSince + lookDelay(this->rank)) {
            this->read();
        }
        break;
    case OrderLeaseStep::Append:
        this->append(now);
        break;
    }
}

void RolloutTask::read()
{
    this->calling = true;
    this->log.last(this->codec.leaseTopic(), this->lease.end(), [this](const Result<KeyedBatch> &batch) {
        this->calling = false;
        const TimePoint now = this->loop.now();
        this->lease.onEra(this->log.era(), now);
        this->nextCall = now;
        if (!batch) {
            this->lease.onNoAnswer();
            this->nextCall = now + config::OrderRetryPause;
            return;
        }
        const auto &records = batch.value().records;
        this->lease.onRead(records.empty() ? "" : records.back().value.value_or(""), batch.value().next, now);
    });
}

void RolloutTask::append(TimePoint now)
{
    this->calling = true;
    this->log.appendAt(
        this->codec.leaseTopic(),
        this->lease.end(),
        this->lease.record(),
        [this, now](const Result<ConditionalAppend> &done) {
            this->calling = false;
            this->nextCall = this->loop.now();
            this->lease.onEra(this->log.era(), this->loop.now());
            if (!done) {
                this->lease.onNoAnswer();
                this->nextCall += config::OrderRetryPause;
            } else if (done.value().applied) {
                this->lease.appended(done.value().offset, now);
                this->events.line("order_lease").with("outcome", "held").with("fence", done.value().offset + 1);
                this->stepRollout(this->loop.now());
            } else {
                this->lease.onRefused();
                this->events.line("order_lease").with("outcome", "lost").with("end", done.value().offset);
            }
        });
}

void RolloutTask::stepRollout(TimePoint now)
{
    if (!this->lease.fence(now)) {
        return;
    }
    for (const RolloutStep &step : this->rollout.next(this->servers, now)) {
        if (step.kind == RolloutStep::Kind::Ask) {
            this->ask(step.order);
        } else if (const auto fence = this->lease.fence(this->loop.now())) {
            this->give(step.order, *fence);
        } else {
            this->rollout.onOrderResult(step.order.server, false, now);
        }
    }
}

void RolloutTask::ask(const WeightOrder &order)
{
    this->engines.ask(order.address, [this, order](const Result<EngineState> &state) {
        const TimePoint now = this->loop.now();
        this->rollout.onEngineState(order.server, state ? std::optional(state.value()) : std::nullopt, now);
        if (!state) {
            this->events.line("engine_unanswered").with("server", order.server).with("why", state.error().detail);
            return;
        }
        this->stepRollout(now);
    });
}

void RolloutTask::give(const WeightOrder &order, std::uint64_t fence)
{
    this->engines.give(order, this->holder, fence, [this, order, fence](const Result<bool> &accepted) {
        this->rollout.onOrderResult(
            order.server, accepted ? std::optional(accepted.value()) : std::nullopt, this->loop.now());
        this->events.line("weights_ordered", accepted && accepted.value() ? LogRank::Routine : LogRank::Failure)
            .with("server", order.server)
            .with("model", order.model)
            .with("version", order.version)
            .with("expected", order.expected)
            .with("fence", fence)
            .with("outcome", accepted ? (accepted.value() ? "accepted" : "refused") : accepted.error().detail);
    });
}

} // namespace endivespan
