#pragma once

#include <endivespan/event_log.h>
#include <endivespan/forward_codec.h>
#include <endivespan/keyed_log.h>
#include <endivespan/loop.h>
#include <endivespan/relay.h>
#include <endivespan/server_table.h>

#include <memory>
#include <optional>
#include <string>

/// Follows the list of backend servers in the log.
namespace endivespan {

/// Polls, since heartbeats come all the time and a waiting read would return at once. While another host passes the
/// list on, that takes the place of polls.
class ServerFeed
{
public:
    /// @param lapse After the log's return, until the entries of living servers are back.
    /// @param ages How old facts may grow.
    ServerFeed(Loop &loop,
               KeyedLog &log,
               const RecordCodec &codec,
               EventLog &events,
               ServerTable &servers,
               RelaySource &relay,
               Duration lapse,
               const FactAges &ages,
               std::function<void()> changed);

    void start();

    /// @returns whether the list was read at least once.
    [[nodiscard]] bool isReady() const;

    /// @returns how long ago the list was read; nothing before.
    [[nodiscard]] std::optional<Duration> age(TimePoint now) const;

    /// @returns the offset up to which the list is known.
    [[nodiscard]] std::uint64_t known() const;

    /// Sets whether another host reads for this one.
    void setShared(bool shared);

    /// Takes what the host that reads for this one passed on.
    void relayed(const RelayReply &reply, TimePoint askedAt);

private:
    void poll();
    void readNewest();
    void readOn();
    void take(const KeyedRecord &record, TimePoint now);
    void drop(const std::string &key, std::optional<TimePoint> keepUntil, TimePoint now);
    void remove(const std::string &key, std::optional<TimePoint> keepUntil, TimePoint now);
    void put(const std::string &key, const std::string &value, TimePoint now);
    void read(std::uint64_t upTo, TimePoint asOf);
    void failed(const Error &error);
    void answered(TimePoint now);
    void schedule(Duration delay);

    Loop &loop;
    KeyedLog &log;
    const RecordCodec &codec;
    EventLog &events;
    ServerTable &servers;
    RelaySource &relay;
    Duration lapse;
    const FactAges ages;
    std::function<void()> changed;
    std::unique_ptr<Timer> timer;
    std::uint64_t next = 0;
    std::uint64_t batchNext = 0; ///< Offset after the batch that is being taken.
    SharedFact fact;
    bool followed = false;
    bool reachable = true;
    std::optional<TimePoint> lastAnswer;
    std::optional<TimePoint> lapsedUntil; ///< Entries may be missing only because the log was away.
};

} // namespace endivespan
