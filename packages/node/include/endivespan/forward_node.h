#pragma once

#include <endivespan/error.h>
#include <endivespan/forward_codec.h>
#include <endivespan/forward_settings.h>
#include <endivespan/keyed_log.h>
#include <endivespan/loop.h>

#include <functional>
#include <memory>

/// One host that forwards requests: its tasks, their wiring, and its start and stop.
namespace endivespan {

/// What connects a host to the world that it serves in; everything outlives the node.
struct ForwardAdapters {
    const ForwardCodec &codec;
    const RecordCodec &records;
    KeyedLog &log;
    EngineControl &engines;
    StoreControl &stores;
};

/// Owns every task of the process.
class ForwardNode
{
public:
    virtual ~ForwardNode() = default;

    /// Starts to listen and to follow the log.
    virtual Result<void> start() = 0;

    /// Begins a graceful stop: not ready at once, refuses new work once the balancer knows, finishes what is under way.
    virtual void beginStop() = 0;

    /// Takes settings that were read again; what cannot change while running is logged and ignored.
    virtual void reload(const ForwardSettings &settings) = 0;

    /// @param onStopped Called once when a stop that was asked for is complete.
    static std::unique_ptr<ForwardNode>
    create(Loop &loop, ForwardSettings settings, ForwardAdapters adapters, std::function<void()> onStopped);
};

} // namespace endivespan
