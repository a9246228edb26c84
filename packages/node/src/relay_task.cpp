#include "relay_task.h"

#include <endivespan/config.h>

#include <algorithm>
#include <utility>
#include <variant>

namespace endivespan {

RelayTask::RelayTask(RelayTaskParts parts)
    : parts(parts)
    , startedAt(parts.loop.now())
{
}

void RelayTask::tick(TimePoint now)
{
    // Directly after the start no other hosts have announced themselves yet; without the delay, this host would read
    // itself what another host reads already.
    if (now - this->startedAt < config::RelayStartDelay) {
        return;
    }
    this->choose(now);
    if (this->reader && !this->asking && now >= this->nextAsk) {
        this->ask(*this->reader, now);
    }
}

void RelayTask::choose(TimePoint now)
{
    const std::string &self = this->parts.membership.self().name;
    if (now >= this->nextOrder) {
        this->nextOrder = now + config::OwnershipPeriod;
        this->order = readerOrder(this->parts.membership);
    }
    const auto confirmedAge = this->parts.confirmation.statement(this->parts.membership, now).confirmedAge;
    if (this->chosen && !this->reader && this->isBehind(confirmedAge, this->parts.serverFeed.age(now), now)) {
        this->choice.markFailed(self, now);
    }
    auto next = this->choice.reader(this->order, self, now);
    this->share(next.has_value() && ReaderSelector::isWorthSharing(this->order.size()));
    if (this->chosen && next == this->reader) {
        return;
    }
    this->chosen = true;
    this->reader = std::move(next);
    this->parts.events.line("reader_chosen")
        .with("reader", this->reader.value_or(self))
        .with("group", this->order.size())
        .with("shared", this->shared ? "yes" : "no");
}

void RelayTask::share(bool isShared)
{
    if (std::exchange(this->shared, isShared) == isShared && this->chosen) {
        return;
    }
    this->parts.stores.setReading(!isShared);
    this->parts.operators.setShared(isShared);
    this->parts.serverFeed.setShared(isShared);
}

void RelayTask::ask(const std::string &host, TimePoint now)
{
    this->asking = true;
    this->nextAsk = now + config::RelayPeriod;
    RelayAsk message;
    message.serversNext = this->parts.serverFeed.known();
    if (this->shared) {
        message.stores = this->parts.stores.cursors();
    }
    message.sinceLast = std::min<Duration>(now - this->answeredAt, config::RelayLoadsAtFirst);
    message.loads = loadsSince(this->parts.servers, now - message.sinceLast, true, now);
    for (const StoreSample &sample : this->parts.sharedStores.takeSamples()) {
        message.samples.push_back({storeIdOf(sample.address), sample.excess, {}});
    }
    for (const auto &[id, view] : this->parts.servers.servers()) {
        if (view.unconfirmedSince != TimePoint {} && message.unconfirmed.size() < config::RelayUnconfirmed) {
            message.unconfirmed.push_back(id);
        }
    }
    this->parts.peers.ask(
        host,
        message,
        [this, host, now](const Result<PeerMessage> &answer) { this->answered(host, answer, now); },
        config::RelayTimeout);
}

void RelayTask::answered(const std::string &host, const Result<PeerMessage> &answer, TimePoint askedAt)
{
    this->asking = false;
    const auto *reply = answer ? std::get_if<RelayReply>(&answer.value()) : nullptr;
    if (reply == nullptr) {
        const TimePoint now = this->parts.loop.now();
        this->choice.markFailed(host, now);
        this->nextAsk = now;
        this->parts.metrics.count("relay_failures");
        this->parts.events.line("reader_silent")
            .with("reader", host)
            .with("why", answer ? "answer of an unexpected type" : answer.error().detail);
        return;
    }
    this->take(host, *reply, askedAt);
}

void RelayTask::take(const std::string &host, const RelayReply &reply, TimePoint askedAt)
{
    const TimePoint now = this->parts.loop.now();
    this->answeredAt = askedAt;
    this->takeLoads(reply.loads, askedAt);
    for (const RelayedSpeed &speed : reply.speeds) {
        if (const auto address = this->parts.sharedStores.addressOf(speed.store)) {
            this->parts.sharedStores.learnSpeed({*address, speed.excess, now - askedAt + speed.age}, now);
        }
    }
    this->takeFacts(host, reply, askedAt);
}

void RelayTask::takeFacts(const std::string &host, const RelayReply &reply, TimePoint askedAt)
{
    const TimePoint now = this->parts.loop.now();
    this->parts.operators.onReaderStatement(host, reply.config, askedAt);
    if (reply.config.offset > this->parts.membership.self().status.configOffset
        && this->parts.operators.wantsPeerState()) {
        this->parts.peers.fetchConfigOf(host);
    }
    this->parts.serverFeed.applyRelayed(reply, askedAt);
    this->parts.stores.applyRelayed(reply.stores, askedAt);
    if (this->isBehind(reply.config.confirmedAge, reply.serversAge, now)) {
        this->choice.markFailed(host, now);
        // Several readers in a row may be cut off from the log. A wait at each of them adds to the age of what this
        // host knows, which its own bound does not allow for.
        this->nextAsk = now;
        this->parts.events.line("reader_behind")
            .with("reader", host)
            .with("confirmed_ms", reply.config.confirmedAge.value_or(Duration::zero()))
            .with("list_ms", reply.serversAge.value_or(Duration::zero()));
        return;
    }
    this->choice.markAnswered(host);
    if (reply.more) {
        this->nextAsk = now;
    }
}

// Returns whether facts are too old for their source to be a good reader. While no host reaches the log, no reader
// counts as behind, since no other one would have newer facts.
bool RelayTask::isBehind(std::optional<Duration> configAge, std::optional<Duration> listAge, TimePoint now) const
{
    const bool isOld
        = !configAge || *configAge > this->parts.ages.operators || !listAge || *listAge > this->parts.ages.servers;
    return isOld && this->parts.confirmation.validity(this->parts.membership, now) != ConfigValidity::LogDownForAll;
}

void RelayTask::takeLoads(const std::vector<RelayedLoad> &loads, TimePoint toldAt)
{
    const TimePoint now = this->parts.loop.now();
    for (const RelayedLoad &load : loads) {
        this->parts.servers.reportedLoadToOtherHost(
            load.server, load.running, load.waiting, load.pace, toldAt - load.age, now);
    }
}

RelayReply RelayTask::answer(const RelayAsk &ask)
{
    const TimePoint now = this->parts.loop.now();
    const ConfigStatement config = this->parts.confirmation.statement(this->parts.membership, now);
    RelayReply reply = this->parts.source.answer(ask, config, this->parts.sharedStores, now);
    reply.loads = loadsSince(this->parts.servers, now - ask.sinceLast - config::RelayLoadMargin, false, now);
    this->takeLoads(ask.loads, now);
    for (const RelayedSpeed &sample : ask.samples) {
        if (const auto address = this->parts.sharedStores.addressOf(sample.store)) {
            this->parts.sharedStores.addSample(*address, sample.excess, now);
        }
    }
    for (const StoreSpeed &speed : this->parts.sharedStores.speeds(now)) {
        reply.speeds.push_back({storeIdOf(speed.address), speed.excess, speed.age});
    }
    return reply;
}

} // namespace endivespan
