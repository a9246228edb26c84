#pragma once

#include <endivespan/event_log.h>
#include <endivespan/forward_codec.h>
#include <endivespan/keyed_log.h>
#include <endivespan/loop.h>
#include <endivespan/membership.h>
#include <endivespan/suspect.h>
#include <endivespan/suspect_archive.h>

#include <memory>
#include <string>
#include <vector>

/// Keeps suspicions of requests that crash servers in the log, and reads them when the host starts.
namespace endivespan {

/// Reads the suspicions in the log once, before the host is ready, and writes those that SuspectArchive names, one
/// after the other. A failed call is repeated after config::SuspectArchivePause. Records that have expired are removed
/// by the host that comes first in rendezvous order.
class SuspectFeed
{
public:
    SuspectFeed(Loop &loop,
                KeyedLog &log,
                const RecordCodec &codec,
                EventLog &events,
                const Membership &membership,
                SuspicionTable &suspicions);

    void start();

    /// @returns whether the suspicions were read, or could not be read.
    [[nodiscard]] bool isReady() const;

    /// Handles that this host has recorded or withdrawn a crash of a request or part.
    /// @param least Number of crashes from which its suspicion is written.
    void watch(const Fingerprint &fingerprint, std::size_t least);

    /// Handles that a refused request or part has been answered: its record, if there is one, is deleted.
    void cleared(const Fingerprint &fingerprint);

    void tick(TimePoint now);

private:
    void read();
    void take(const KeyedRecord &record);
    void write(const Fingerprint &fingerprint, TimePoint now);
    void sweep();
    void removeExpired();

    Loop &loop;
    KeyedLog &log;
    const RecordCodec &codec;
    EventLog &events;
    const Membership &membership;
    SuspicionTable &suspicions;
    SuspectArchive archive;
    std::unique_ptr<Timer> readTimer;
    std::vector<std::string> expired; ///< Keys of records that this host removes.
    bool answered = false;
    bool writing = false;
    TimePoint nextWrite;
    TimePoint nextSweep;
};

} // namespace endivespan
