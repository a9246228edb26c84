#pragma once

#include <endivespan/event_log.h>
#include <endivespan/forward_codec.h>
#include <endivespan/keyed_log.h>
#include <endivespan/loop.h>
#include <endivespan/membership.h>

#include <memory>

/// Makes this host known to the others, and the others to it, through the log. After that they speak directly.
namespace endivespan {

/// Writes the own report once and reads those of others now and then.
class HostFeed
{
public:
    HostFeed(Loop &loop, KeyedLog &log, const RecordCodec &codec, EventLog &events, Membership &membership);

    void start();

private:
    void announce();
    void read();
    void take(const KeyedRecord &record);

    Loop &loop;
    KeyedLog &log;
    const RecordCodec &codec;
    EventLog &events;
    Membership &membership;
    std::unique_ptr<Timer> announceTimer;
    std::unique_ptr<Timer> readTimer;
    bool isListed = false; ///< The others were read once.
};

} // namespace endivespan
