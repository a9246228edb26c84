#pragma once

#include <endivespan/event_log.h>
#include <endivespan/forward_codec.h>
#include <endivespan/keyed_log.h>
#include <endivespan/loop.h>
#include <endivespan/membership.h>

#include <chrono>
#include <functional>
#include <memory>
#include <optional>

/// Makes this host known to the others, and the others to it, through the log. After that they speak directly.
namespace endivespan {

/// Writes the own report once and reads those of others now and then.
class HostFeed
{
public:
    /// @param onListed Called once, when the list has been read after the own report was written.
    HostFeed(Loop &loop,
             KeyedLog &log,
             const RecordCodec &codec,
             EventLog &events,
             Membership &membership,
             std::function<void()> onListed);

    void start();

    /// @returns the start, by the clock of the day, of the process whose report the list had before; nothing when the
    ///     list did not name this host.
    [[nodiscard]] std::optional<std::chrono::nanoseconds> earlierStart() const;

private:
    void readFirst();
    void announce();
    void read();
    void take(const KeyedRecord &record);

    Loop &loop;
    KeyedLog &log;
    const RecordCodec &codec;
    EventLog &events;
    Membership &membership;
    std::function<void()> onListed;
    std::unique_ptr<Timer> announceTimer;
    std::unique_ptr<Timer> readTimer;
    std::optional<std::chrono::nanoseconds> listedStart;
    bool isListed = false; ///< The others were read after the own report was written.
};

} // namespace endivespan
