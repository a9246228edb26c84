#include "suspect_feed.h"

#include "wall_time_p.h"

#include <endivespan/config.h>
#include <endivespan/ownership.h>

#include <nlohmann/json.hpp>

#include <algorithm>
#include <chrono>

namespace endivespan {

namespace {

std::string encodeSuspicion(const Suspicion &suspicion)
{
    const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(suspicion.age).count();
    return nlohmann::json {
        {"deaths", suspicion.deaths}, {"cleared", suspicion.cleared}, {"changed_ms", wallTime() - age}}
        .dump();
}

Result<Suspicion> decodeSuspicion(const KeyedRecord &record)
{
    const auto fingerprint = parseFingerprintKey(record.key);
    if (!fingerprint) {
        return Error {ErrorKind::ProtocolError, "the key is not a fingerprint"};
    }
    try {
        const auto fields = nlohmann::json::parse(record.value.value_or(""));
        Suspicion suspicion;
        suspicion.fingerprint = *fingerprint;
        suspicion.deaths = fields.at("deaths").get<std::vector<CrashId>>();
        suspicion.cleared = fields.at("cleared").get<std::vector<CrashId>>();
        suspicion.age = ageOf(fields.at("changed_ms").get<std::int64_t>(), config::SuspectRetention);
        for (auto *deaths : {&suspicion.deaths, &suspicion.cleared}) {
            std::sort(deaths->begin(), deaths->end());
            deaths->resize(std::min(deaths->size(), config::CrashesKept));
        }
        return suspicion;
    } catch (const nlohmann::json::exception &problem) {
        return Error {ErrorKind::ProtocolError, problem.what()};
    }
}

} // namespace

SuspectFeed::SuspectFeed(Loop &loop,
                         KeyedLog &log,
                         const RecordCodec &codec,
                         EventLog &events,
                         const Membership &membership,
                         SuspicionTable &suspicions)
    : loop(loop)
    , log(log)
    , codec(codec)
    , events(events)
    , membership(membership)
    , suspicions(suspicions)
{
}

void SuspectFeed::start()
{
    this->nextSweep = this->loop.now() + config::SuspectSweepPeriod;
    this->read();
}

bool SuspectFeed::isReady() const
{
    return this->answered;
}

void SuspectFeed::read()
{
    this->log.newest(this->codec.suspectTopic(), [this](const Result<KeyedBatch> &batch) {
        this->answered = true;
        if (!batch) {
            this->readTimer = this->loop.after(config::SuspectArchivePause, [this] { this->read(); });
            return;
        }
        for (const KeyedRecord &record : batch.value().records) {
            this->take(record);
        }
        this->events.line("suspicions_read").with("records", batch.value().records.size());
    });
}

void SuspectFeed::take(const KeyedRecord &record)
{
    const auto suspicion = decodeSuspicion(record);
    if (!suspicion) {
        this->events.line("suspicion_unreadable", LogRank::Failure)
            .with("key", record.key)
            .with("why", suspicion.error().detail);
        return;
    }
    this->suspicions.merge(suspicion.value(), this->loop.now());
}

void SuspectFeed::watch(const Fingerprint &fingerprint, std::size_t least)
{
    this->archive.watch(fingerprint, least);
}

// Hosts that started after the crashes have not recorded any, so that they would leave the record as it is.
void SuspectFeed::cleared(const Fingerprint &fingerprint)
{
    this->archive.watch(fingerprint, config::CrashesUntilArchived);
    this->archive.stored(fingerprint, config::CrashesUntilArchived);
}

void SuspectFeed::tick(TimePoint now)
{
    if (now >= this->nextSweep) {
        this->nextSweep = now + config::SuspectSweepPeriod;
        this->sweep();
    }
    if (this->writing || now < this->nextWrite) {
        return;
    }
    if (const auto due = this->archive.due(this->suspicions, now)) {
        this->write(*due, now);
    } else if (!this->expired.empty()) {
        this->removeExpired();
    }
}

void SuspectFeed::write(const Fingerprint &fingerprint, TimePoint now)
{
    const std::size_t crashes = this->suspicions.openCrashes(fingerprint);
    const auto suspicion = this->suspicions.find(fingerprint, now);
    const std::string value = crashes == 0 || !suspicion ? "" : encodeSuspicion(*suspicion);
    this->writing = true;
    this->log.put(this->codec.suspectTopic(),
                  fingerprintKey(fingerprint),
                  value,
                  [this, fingerprint, crashes](const Result<void> &done) {
                      this->writing = false;
                      if (!done) {
                          this->nextWrite = this->loop.now() + config::SuspectArchivePause;
                          return;
                      }
                      this->archive.stored(fingerprint, crashes);
                      this->events.line("suspicion_stored", LogRank::Failure)
                          .with("alike", fingerprintText(fingerprint))
                          .with("deaths", crashes);
                  });
}

// Records outlive the host that wrote them, so that one host removes those that have expired for all.
void SuspectFeed::sweep()
{
    if (proposedOwner(this->membership.eligibleOwners(), "suspicions") != this->membership.self().name) {
        return;
    }
    this->log.newest(this->codec.suspectTopic(), [this](const Result<KeyedBatch> &batch) {
        // After a failed read the records stay until the next sweep.
        if (!batch) {
            return;
        }
        for (const KeyedRecord &record : batch.value().records) {
            const auto suspicion = decodeSuspicion(record);
            if (!suspicion || suspicion.value().age >= config::SuspectRetention) {
                this->expired.push_back(record.key);
            }
        }
    });
}

void SuspectFeed::removeExpired()
{
    this->writing = true;
    const std::string key = this->expired.back();
    this->expired.pop_back();
    this->log.put(this->codec.suspectTopic(), key, "", [this, key](const Result<void> &done) {
        this->writing = false;
        if (!done) {
            this->expired.push_back(key);
            this->nextWrite = this->loop.now() + config::SuspectArchivePause;
        }
    });
}

} // namespace endivespan
