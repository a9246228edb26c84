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

/// Orders engines to load new weights while this host holds the order lease.
namespace endivespan {

/// Runs rollouts of weights. Takes the lease only while a rollout is needed, so that an idle system writes nothing to
/// the log.
class RolloutTask
{
public:
    /// @param holder Name of this process, unique among all processes that ever hold the lease.
    RolloutTask(Loop &loop,
                KeyedLog &log,
                const RecordCodec &codec,
                EngineControl &engines,
                EventLog &events,
                ServerTable &servers,
                std::string holder,
                const ForwardBounds &bounds);

    /// Sets the weight version that each model shall have, by model.
    void setTargets(const std::map<std::string, std::uint64_t> &targets);

    /// Sets this host's rank among those that may take the lease, 0 for the first; higher ranks wait longer before they
    /// try.
    void setRank(std::size_t rank);

    /// From the next tick on, sends no orders and no longer renews the lease.
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
    bool calling = false; ///< A call to the log is under way.
    bool stopping = false;
    TimePoint neededSince; ///< Since when there has been work; epoch while there is none.
    TimePoint nextCall; ///< Earliest time of the next call to the log.
};

/// @returns the pace of a rollout that meets the bound on weight changes in @p bounds.
RolloutPace rolloutPace(const ForwardBounds &bounds);

/// @returns for how long after a naming engines with older weights are sent requests.
Duration oldWeightsTime(const ForwardBounds &bounds);

} // namespace endivespan
