#include "server_feed.h"

#include <endivespan/config.h>

#include <set>
#include <utility>
#include <vector>

namespace endivespan {

ServerFeed::ServerFeed(Loop &loop,
                       KeyedLog &log,
                       const RecordCodec &codec,
                       EventLog &events,
                       ServerTable &servers,
                       Duration lapse,
                       std::function<void()> changed)
    : loop(loop)
    , log(log)
    , codec(codec)
    , events(events)
    , servers(servers)
    , lapse(lapse)
    , changed(std::move(changed))
{
}

void ServerFeed::start()
{
    this->poll();
}

bool ServerFeed::isReady() const
{
    return this->lastAnswer.has_value();
}

void ServerFeed::schedule(Duration delay)
{
    this->timer = this->loop.after(delay, [this] { this->poll(); });
}

void ServerFeed::poll()
{
    if (this->followed) {
        this->readOn();
    } else {
        this->readNewest();
    }
}

void ServerFeed::readNewest()
{
    this->log.newest(this->codec.serverTopic(), [this](const Result<KeyedBatch> &batch) {
        if (!batch) {
            return this->failed(batch.error());
        }
        const TimePoint now = this->loop.now();
        this->answered(now);
        std::set<std::string> present;
        for (const KeyedRecord &record : batch.value().records) {
            present.insert(record.key);
            this->take(record, now);
        }
        std::vector<std::string> missing;
        for (const auto &[id, view] : this->servers.servers()) {
            if (!present.contains(id)) {
                missing.push_back(id);
            }
        }
        for (const std::string &id : missing) {
            this->take({id, std::nullopt}, now);
        }
        this->next = batch.value().next;
        this->followed = true;
        this->changed();
        this->schedule(config::ServerPollPeriod);
    });
}

void ServerFeed::readOn()
{
    this->log.read(
        this->codec.serverTopic(), this->next, std::chrono::milliseconds(0), [this](const Result<KeyedBatch> &batch) {
            if (!batch) {
                return this->failed(batch.error());
            }
            const TimePoint now = this->loop.now();
            this->answered(now);
            if (batch.value().gap) {
                this->events.line("server_records_gone").with("from", this->next);
                this->followed = false;
                return this->schedule(Duration::zero());
            }
            for (const KeyedRecord &record : batch.value().records) {
                this->take(record, now);
            }
            this->next = batch.value().next;
            this->changed();
            this->schedule(config::ServerPollPeriod);
        });
}

void ServerFeed::take(const KeyedRecord &record, TimePoint now)
{
    if (!record.value) {
        const bool lapsed = this->lapsedUntil && now < *this->lapsedUntil;
        if (this->servers.find(record.key) != nullptr) {
            this->events.line(lapsed ? "server_missing" : "server_gone").with("server", record.key);
        }
        this->servers.withdraw(record.key, lapsed ? this->lapsedUntil : std::nullopt, now);
        return;
    }
    const auto entry = this->codec.decodeServer(record.key, *record.value);
    if (!entry) {
        this->events.line("server_entry_unreadable").with("server", record.key).with("why", entry.error().detail);
        // Whatever it was before, it names no server to use now.
        this->servers.withdraw(record.key, std::nullopt, now);
        return;
    }
    if (this->servers.learn(entry.value(), now)) {
        this->events.line("server_listed")
            .with("server", record.key)
            .with("service", entry.value().service)
            .with("address", entry.value().address)
            .with("domain", entry.value().domain)
            .with("born", entry.value().born)
            .with("draining", entry.value().draining ? "yes" : "no")
            .with("cold_ms", entry.value().coldFor)
            .with("weights", entry.value().weights.empty() ? 0 : entry.value().weights.begin()->second);
    }
}

void ServerFeed::failed(const Error &error)
{
    if (this->reachable) {
        this->events.line("dependency_lost", LogRank::Failure)
            .with("dependency", "log")
            .with("topic", this->codec.serverTopic())
            .with("why", error.detail);
    }
    this->reachable = false;
    this->schedule(config::ServerPollPeriod);
}

void ServerFeed::answered(TimePoint now)
{
    const bool away = this->lastAnswer && now - *this->lastAnswer > config::ListLapseAfter;
    if (!this->reachable) {
        this->events.line("dependency_regained", LogRank::Failure)
            .with("dependency", "log")
            .with("topic", this->codec.serverTopic())
            .with("away_ms", this->lastAnswer ? now - *this->lastAnswer : Duration::zero());
    }
    if (away) {
        this->lapsedUntil = now + this->lapse;
    }
    this->reachable = true;
    this->lastAnswer = now;
}

} // namespace endivespan
