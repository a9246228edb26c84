#pragma once

#include "metrics.h"

#include <endivespan/event_log.h>
#include <endivespan/forward_codec.h>
#include <endivespan/keyed_log.h>
#include <endivespan/loop.h>
#include <endivespan/membership.h>
#include <endivespan/suspect.h>
#include <endivespan/suspect_trial.h>

#include <functional>
#include <map>
#include <set>
#include <string>

/// Permits trials of refused requests by records in the log.
namespace endivespan {

/// Writes the number of trials to the log before each one, provided that no other host has written meanwhile. So their
/// number is bounded over all hosts, and through restarts of all hosts. Without the log there are no trials.
class TrialFeed
{
public:
    using Done = std::function<void(bool permitted)>;
    /// Finds out whether the server that would run the request can be reached.
    using Reach = std::function<void(std::function<void(bool reached)>)>;

    TrialFeed(Loop &loop,
              KeyedLog &log,
              const RecordCodec &codec,
              EventLog &events,
              Metrics &metrics,
              const Membership &membership,
              const SuspicionTable &suspicions);

    /// Requests a permit for a trial of a refused request or part.
    /// @param reach Called at most once, before the log is asked.
    /// @param done Called once, possibly before this returns, unless cancel() is called before.
    void request(const Fingerprint &fingerprint, const Reach &reach, Done done);

    /// Drops the callback of a request that has not been answered. Its permit is kept for the next request.
    void cancel(const Fingerprint &fingerprint);

    /// Keeps a permit under which no request was sent, for the next request.
    void giveBack(const Fingerprint &fingerprint);

    /// Handles that a trial has shown the request or part to be sound: deletes the record of its trials.
    void answered(const Fingerprint &fingerprint);

    void tick(TimePoint now);

private:
    void read(const Fingerprint &fingerprint, std::size_t appendsLeft);
    void decide(const Fingerprint &fingerprint, const KeyedBatch &batch, std::size_t appendsLeft);
    void finish(const Fingerprint &fingerprint, bool permitted);
    void removeRecord(const std::string &key);
    [[nodiscard]] Duration sinceCrash(const Fingerprint &fingerprint, TimePoint now) const;

    Loop &loop;
    KeyedLog &log;
    const RecordCodec &codec;
    EventLog &events;
    Metrics &metrics;
    const Membership &membership;
    const SuspicionTable &suspicions;
    TrialPermits permits;
    std::map<Fingerprint, Done> waiting;
    std::set<std::string> obsolete; ///< Keys of records to delete.
    bool removing = false;
    TimePoint nextRemoval;
};

} // namespace endivespan
