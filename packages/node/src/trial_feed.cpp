#include "trial_feed.h"

#include "wall_time_p.h"

#include <endivespan/config.h>
#include <endivespan/suspect_archive.h>

#include <nlohmann/json.hpp>

#include <utility>

namespace endivespan {

namespace {

std::string encodeTrials(std::size_t trials)
{
    return nlohmann::json {{"trials", trials}, {"permitted_ms", wallTime()}}.dump();
}

// Returns the history without trials for a missing record. One that cannot be read is taken as recent and complete,
// since a trial too many ends a server.
TrialHistory decodeTrials(const KeyedRecord &record)
{
    try {
        const auto fields = nlohmann::json::parse(record.value.value_or(""));
        return {fields.at("trials").get<std::size_t>(),
                ageOf(fields.at("permitted_ms").get<std::int64_t>(), config::SuspectRetention)};
    } catch (const nlohmann::json::exception &) {
        return {config::TrialsMost, Duration::zero()};
    }
}

} // namespace

TrialFeed::TrialFeed(Loop &loop,
                     KeyedLog &log,
                     const RecordCodec &codec,
                     EventLog &events,
                     Metrics &metrics,
                     const Membership &membership,
                     const SuspicionTable &suspicions)
    : loop(loop)
    , log(log)
    , codec(codec)
    , events(events)
    , metrics(metrics)
    , membership(membership)
    , suspicions(suspicions)
{
}

Duration TrialFeed::sinceCrash(const Fingerprint &fingerprint, TimePoint now) const
{
    const auto suspicion = this->suspicions.find(fingerprint, now);
    return suspicion ? suspicion->age : Duration::zero();
}

// While the servers are away a permit would not be used, and all of them would be given out by the time they are back.
void TrialFeed::request(const Fingerprint &fingerprint, const Reach &reach, Done done)
{
    const TimePoint now = this->loop.now();
    const auto turn = [this, &fingerprint] {
        return trialTurn(this->membership.self().name, this->membership.eligibleOwners(), fingerprint);
    };
    switch (this->permits.request(fingerprint, this->sinceCrash(fingerprint, now), turn, now)) {
    case TrialPermits::Answer::Permitted:
        return done(true);
    case TrialPermits::Answer::Denied:
        return done(false);
    case TrialPermits::Answer::Ask:
        this->waiting[fingerprint] = std::move(done);
        reach([this, fingerprint](bool reached) {
            if (!reached) {
                return this->finish(fingerprint, false);
            }
            this->read(fingerprint, config::TrialAppends);
        });
    }
}

void TrialFeed::cancel(const Fingerprint &fingerprint)
{
    this->waiting.erase(fingerprint);
}

void TrialFeed::giveBack(const Fingerprint &fingerprint)
{
    this->permits.giveBack(fingerprint);
}

void TrialFeed::read(const Fingerprint &fingerprint, std::size_t appendsLeft)
{
    this->log.newest(this->codec.trialTopic(), [this, fingerprint, appendsLeft](const Result<KeyedBatch> &batch) {
        if (!batch) {
            return this->finish(fingerprint, false);
        }
        this->decide(fingerprint, batch.value(), appendsLeft);
    });
}

void TrialFeed::decide(const Fingerprint &fingerprint, const KeyedBatch &batch, std::size_t appendsLeft)
{
    const TimePoint now = this->loop.now();
    TrialHistory history;
    for (const KeyedRecord &record : batch.records) {
        const TrialHistory found = decodeTrials(record);
        if (found.age >= config::SuspectRetention) {
            this->obsolete.insert(record.key);
        } else if (record.key == fingerprintKey(fingerprint)) {
            history = found;
        }
    }
    const Duration sinceCrash = this->sinceCrash(fingerprint, now);
    if (!this->permits.decide(fingerprint, history, sinceCrash, now)) {
        this->metrics.count("trials_total", "permit=\"not_due\"");
        if (const auto done = this->waiting.extract(fingerprint)) {
            done.mapped()(false);
        }
        return;
    }
    this->log.putAt(this->codec.trialTopic(),
                    batch.end,
                    fingerprintKey(fingerprint),
                    encodeTrials(history.trials + 1),
                    [this, fingerprint, trials = history.trials + 1, appendsLeft](const auto &written) {
                        const bool permitted = written && written.value().applied;
                        if (written && !permitted && appendsLeft > 1) {
                            return this->read(fingerprint, appendsLeft - 1);
                        }
                        if (permitted) {
                            this->events.line("trial_permitted", LogRank::Failure)
                                .with("alike", fingerprintText(fingerprint))
                                .with("trial", trials)
                                .with("deaths", this->suspicions.openCrashes(fingerprint));
                        }
                        this->finish(fingerprint, permitted);
                    });
}

void TrialFeed::finish(const Fingerprint &fingerprint, bool permitted)
{
    this->metrics.count("trials_total", permitted ? "permit=\"granted\"" : "permit=\"none\"");
    if (permitted) {
        this->permits.granted(fingerprint, this->loop.now());
    } else {
        this->permits.denied(fingerprint, this->loop.now());
    }
    if (const auto done = this->waiting.extract(fingerprint)) {
        done.mapped()(permitted);
    } else if (permitted) {
        this->permits.giveBack(fingerprint);
    }
}

void TrialFeed::answered(const Fingerprint &fingerprint)
{
    this->metrics.count("trials_total", "result=\"answered\"");
    this->obsolete.insert(fingerprintKey(fingerprint));
}

void TrialFeed::removeRecord(const std::string &key)
{
    this->removing = true;
    this->log.put(this->codec.trialTopic(), key, "", [this, key](const Result<void> &done) {
        this->removing = false;
        if (!done) {
            this->obsolete.insert(key);
            this->nextRemoval = this->loop.now() + config::SuspectArchivePause;
        }
    });
}

void TrialFeed::tick(TimePoint now)
{
    this->permits.tick(this->suspicions);
    if (this->obsolete.empty() || this->removing || now < this->nextRemoval) {
        return;
    }
    const std::string key = this->obsolete.extract(this->obsolete.begin()).value();
    // A request that has crashed servers again has new trials under the same key.
    if (const auto fingerprint = parseFingerprintKey(key);
        !fingerprint || this->suspicions.openCrashes(*fingerprint) == 0) {
        this->removeRecord(key);
    }
}

} // namespace endivespan
