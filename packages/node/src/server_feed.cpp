#include "server_feed.h"

#include <endivespan/config.h>

#include <algorithm>
#include <set>
#include <utility>
#include <vector>

namespace endivespan {

ServerFeed::ServerFeed(Loop &loop,
                       KeyedLog &log,
                       const RecordCodec &codec,
                       EventLog &events,
                       ServerTable &servers,
                       RelayCache &relay,
                       Duration lapse,
                       const RelayAgeLimits &ages,
                       std::function<void()> changed)
    : loop(loop)
    , log(log)
    , codec(codec)
    , events(events)
    , servers(servers)
    , relay(relay)
    , lapse(lapse)
    , ages(ages)
    , changed(std::move(changed))
    , sharedFact(ages.servers)
{
}

void ServerFeed::start()
{
    this->watchDue = this->loop.now() + config::ForwardTickPeriod;
    this->watch();
    this->poll();
}

void ServerFeed::watch()
{
    this->countStandstill();
    this->watchTimer = this->loop.after(config::ForwardTickPeriod, [this] { this->watch(); });
}

// Called also before an answer is judged, since after a standstill answers may be handled before the timers.
void ServerFeed::countStandstill()
{
    const TimePoint now = this->loop.now();
    if (const Duration late = now - this->watchDue; late > config::ForwardTickPeriod) {
        this->stoodStill += late;
    }
    this->watchDue = now + config::ForwardTickPeriod;
}

bool ServerFeed::isReady() const
{
    return this->lastAnswer.has_value();
}

void ServerFeed::schedule(Duration delay)
{
    this->timer = this->loop.after(delay, [this] { this->poll(); });
}

std::optional<Duration> ServerFeed::age(TimePoint now) const
{
    return this->lastAnswer ? std::optional(now - *this->lastAnswer) : std::nullopt;
}

std::uint64_t ServerFeed::known() const
{
    return this->next;
}

void ServerFeed::setShared(bool shared)
{
    this->sharedFact.setShared(shared);
}

void ServerFeed::poll()
{
    if (const Duration wait = this->sharedFact.timeUntilOwnRead(this->loop.now()); wait > Duration::zero()) {
        this->schedule(std::max<Duration>(wait, config::TickPeriod));
    } else if (this->hasNewest) {
        this->readOn();
    } else {
        this->readNewest();
    }
}

void ServerFeed::readNewest()
{
    const TimePoint askedAt = this->loop.now();
    this->log.newest(this->codec.serverTopic(), [this, askedAt](const Result<KeyedBatch> &batch) {
        if (!batch) {
            return this->onReadFailed(batch.error(), askedAt);
        }
        const TimePoint now = this->loop.now();
        this->onLogAnswer(askedAt);
        // The reader may have passed on newer records meanwhile.
        if (batch.value().next < this->next) {
            return this->schedule(this->ages.serverPoll);
        }
        if (isRestoredBetween(this->next, batch.value().next)) {
            // The copy lacks servers that have been listed since; those that run write their entries again.
            this->lapsedUntil = now + this->lapse;
            this->events.line("server_list_restored", LogRank::Failure).with("era", eraOf(batch.value().next));
        }
        this->batchNext = batch.value().next;
        std::set<std::string> present;
        for (const KeyedRecord &record : batch.value().records) {
            present.insert(record.key);
            this->applyRecord(record, now);
        }
        std::vector<std::string> missing;
        for (const auto &[id, view] : this->servers.servers()) {
            if (!present.contains(id)) {
                missing.push_back(id);
            }
        }
        for (const std::string &id : missing) {
            this->applyRecord({id, std::nullopt}, now);
        }
        this->hasNewest = true;
        this->onListRead(batch.value().next, askedAt);
        this->schedule(this->ages.serverPoll);
    });
}

void ServerFeed::readOn()
{
    const TimePoint askedAt = this->loop.now();
    const std::uint64_t from = this->next;
    this->log.read(this->codec.serverTopic(),
                   from,
                   std::chrono::milliseconds(0),
                   [this, askedAt, from](const Result<KeyedBatch> &batch) {
                       if (!batch) {
                           return this->onReadFailed(batch.error(), askedAt);
                       }
                       const TimePoint now = this->loop.now();
                       this->onLogAnswer(askedAt);
                       if (batch.value().gap) {
                           this->events.line("server_records_gone").with("from", from);
                           this->hasNewest = false;
                           return this->schedule(Duration::zero());
                       }
                       // The reader may have passed on the first of these records while this read was under way.
                       const auto &records = batch.value().records;
                       this->batchNext = std::max(this->next, batch.value().next);
                       for (std::size_t i = this->next - from; i < records.size(); ++i) {
                           this->applyRecord(records[i], now);
                       }
                       this->onListRead(batch.value().next, askedAt);
                       this->schedule(this->ages.serverPoll);
                   });
}

void ServerFeed::onListRead(std::uint64_t upTo, TimePoint asOf)
{
    this->next = std::max(this->next, upTo);
    this->relay.confirmServers(this->next, asOf);
    this->sharedFact.confirmed(asOf);
    this->changed();
}

void ServerFeed::applyRelayed(const RelayReply &reply, TimePoint askedAt)
{
    if (!reply.serversAge || reply.serversGap || reply.serversNext < this->next) {
        return;
    }
    const TimePoint now = this->loop.now();
    this->batchNext = reply.serversNext;
    for (const RelayedServer &server : reply.servers) {
        if (server.value) {
            this->putEntry(server.key, *server.value, now);
        } else {
            const bool lapsed = server.keepFor > Duration::zero();
            this->removeEntry(server.key, lapsed ? std::optional(now + server.keepFor) : std::nullopt, now);
        }
    }
    this->listKnownAt(askedAt - *reply.serversAge);
    this->hasNewest = true;
    this->onListRead(reply.serversNext, askedAt - *reply.serversAge);
}

void ServerFeed::applyRecord(const KeyedRecord &record, TimePoint now)
{
    if (record.value) {
        return this->putEntry(record.key, *record.value, now);
    }
    const bool lapsed = this->lapsedUntil && now < *this->lapsedUntil;
    this->removeEntry(record.key, lapsed ? this->lapsedUntil : std::nullopt, now);
}

void ServerFeed::removeEntry(const std::string &key, std::optional<TimePoint> keepUntil, TimePoint now)
{
    if (this->servers.find(key) != nullptr) {
        this->events.line(keepUntil ? "server_missing" : "server_gone").with("server", key);
    }
    this->dropEntry(key, keepUntil, now);
}

void ServerFeed::dropEntry(const std::string &key, std::optional<TimePoint> keepUntil, TimePoint now)
{
    this->servers.entryRemoved(key, keepUntil, now);
    this->relay.addServerRecord(
        {key, std::nullopt, keepUntil ? *keepUntil - now : Duration::zero()}, this->batchNext, true, now);
}

void ServerFeed::putEntry(const std::string &key, const std::string &value, TimePoint now)
{
    const auto entry = this->codec.decodeServer(key, value);
    if (!entry) {
        this->events.line("server_entry_unreadable").with("server", key).with("why", entry.error().detail);
        // The server that the key named before is dropped: its newest entry does not describe a usable server.
        this->dropEntry(key, std::nullopt, now);
        return;
    }
    const bool isNews = this->servers.update(entry.value(), now);
    // The table does not count a change to cold as news, but other hosts must receive it as well.
    const bool isCold = entry.value().coldFor > Duration::zero();
    this->relay.addServerRecord({key, value, {}}, this->batchNext, isNews || isCold, now);
    if (isNews) {
        this->events.line("server_listed")
            .with("server", key)
            .with("service", entry.value().service)
            .with("address", entry.value().address)
            .with("domain", entry.value().domain)
            .with("born", entry.value().born)
            .with("draining", entry.value().draining ? "yes" : "no")
            .with("cold_ms", entry.value().coldFor)
            .with("weights", entry.value().weights.empty() ? 0 : entry.value().weights.begin()->second);
    }
}

void ServerFeed::onReadFailed(const Error &error, TimePoint askedAt)
{
    if (this->reachable) {
        this->events.line("dependency_lost", LogRank::Failure)
            .with("dependency", "log")
            .with("topic", this->codec.serverTopic())
            .with("why", error.detail);
    }
    this->reachable = false;
    this->lastFailureAskedAt = askedAt;
    this->schedule(this->ages.serverPoll);
}

// The log was away when a read has failed since the list was last known. Time in which this host stood still does not
// count: it says nothing about the log.
void ServerFeed::onLogAnswer(TimePoint askedAt)
{
    this->countStandstill();
    const bool failed = this->lastAnswer && this->lastFailureAskedAt && *this->lastFailureAskedAt > *this->lastAnswer;
    const Duration away = failed ? askedAt - *this->lastAnswer - this->stoodStill : Duration::zero();
    if (!this->reachable) {
        this->events.line("dependency_regained", LogRank::Failure)
            .with("dependency", "log")
            .with("topic", this->codec.serverTopic())
            .with("away_ms", std::max(away, Duration::zero()));
    }
    if (away > config::ListLapseAfter) {
        this->lapsedUntil = this->loop.now() + this->lapse;
    }
    this->reachable = true;
    this->listKnownAt(askedAt);
}

void ServerFeed::listKnownAt(TimePoint asOf)
{
    if (!this->lastAnswer || asOf > *this->lastAnswer) {
        this->lastAnswer = asOf;
        this->stoodStill = Duration::zero();
    }
}

} // namespace endivespan
