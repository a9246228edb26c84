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

/// Host discovery through the log. Hosts that have found each other exchange messages directly.
namespace endivespan {

/// Writes the report of this host to the log, once unless it is lost there, and periodically reads the reports of the
/// others.
class HostFeed
{
public:
    /// @param onListed Called once, after the first read of the host list that follows the write of this host's report.
    HostFeed(Loop &loop,
             KeyedLog &log,
             const RecordCodec &codec,
             EventLog &events,
             Membership &membership,
             std::function<void()> onListed);

    void start();

    /// @returns when the previous process of this host started, by its wall clock, as the host list gave it before this
    ///     process wrote its own report; nothing when the list did not contain this host.
    [[nodiscard]] std::optional<std::chrono::nanoseconds> earlierStart() const;

private:
    void readFirst();
    void announce();
    [[nodiscard]] bool isListedIn(const KeyedBatch &batch) const;
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
    bool isListed = false; ///< Whether the list was read after the report of this host was written.
};

} // namespace endivespan
