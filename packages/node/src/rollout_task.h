#pragma once

#include <endivespan/event_log.h>
#include <endivespan/forward_codec.h>
#include <endivespan/forward_settings.h>
#include <endivespan/keyed_log.h>
#include <endivespan/loop.h>
#include <endivespan/order_lease.h>
#include <endivespan/rollout.h>

#include <memory>
#include <string>

/// Gives orders for new weights while this host holds the lease for it.
namespace endivespan {

/// Takes the lease only while there is work, so that a calm system writes nothing.
class RolloutTask
{
public:
    /// @param holder Names this process among all that ever held the lease.
    RolloutTask(Loop &loop,
                KeyedLog &log,
                const RecordCodec &codec,
                EngineControl &engines,
                EventLog &events,
                ServerTable &servers,
                std::string holder,
                const ForwardBounds &bounds);

    void setTargets(const std::map<std::string, std::uint64_t> &targets);

    /// Sets this host's place among those that may take the lease; later places wait longer.
    void setRank(std::size_t rank);

    void stop();
    void tick(TimePoint now);

private:
    void stepLease(TimePoint now);
    void read();
    void append(TimePoint now);
    void stepRollout(TimePoint now);
    void ask(const WeightOrder &order);
    void give(const WeightOrder &order, std::uint64_t fence);

    Loop &loop;
    KeyedLog &log;
    const RecordCodec &codec;
    EngineControl &engines;
    EventLog &events;
    ServerTable &servers;
    std::string holder;
    OrderLease lease;
    Rollout rollout;
    std::size_t rank = 0;
    bool calling = false;
    bool stopping = false;
    TimePoint neededSince;
    TimePoint nextCall;
};

/// @returns how fast weights change under @p bounds.
RolloutPace rolloutPace(const ForwardBounds &bounds);

} // namespace endivespan
