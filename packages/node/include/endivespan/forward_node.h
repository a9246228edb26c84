#pragma once

#include <endivespan/error.h>
#include <endivespan/forward_codec.h>
#include <endivespan/forward_settings.h>
#include <endivespan/keyed_log.h>
#include <endivespan/loop.h>

#include <functional>
#include <memory>

/// The process that forwards requests: creates and connects its tasks, starts and stops them.
namespace endivespan {

/// The protocol adapters and remote services that a node uses; all must outlive the node.
struct ForwardAdapters {
    const ForwardCodec &codec;
    const RecordCodec &records;
    KeyedLog &log;
    EngineControl &engines;
    StoreControl &stores;
};

/// One forwarding host; owns all of its tasks.
class ForwardNode
{
public:
    virtual ~ForwardNode() = default;

    /// Starts to listen for callers and to read the log service. May be called again after an error.
    /// @returns ConnectionFailed when a listening socket cannot be opened, for example because an earlier process of
    /// the
    ///     host is still stopping.
    virtual Result<void> start() = 0;

    /// Begins a graceful stop. The readiness check fails at once; new requests are refused after the load balancer has
    /// had time to see that, and requests under way are completed.
    virtual void beginStop() = 0;

    /// Applies re-read settings. A setting that cannot change at run time is ignored, which is logged.
    virtual void reload(const ForwardSettings &settings) = 0;

    /// @param onStopped Called once when the stop begun by beginStop() is complete.
    static std::unique_ptr<ForwardNode>
    create(Loop &loop, ForwardSettings settings, ForwardAdapters adapters, std::function<void()> onStopped);
};

} // namespace endivespan
