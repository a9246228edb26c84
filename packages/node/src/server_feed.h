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

/// Reads the list of backend servers from the log.
namespace endivespan {

/// Polls the log at intervals: heartbeats arrive all the time, so that a waiting read would return at once. While
/// another host reads the list for this one, its answers take the place of the polls.
class ServerFeed
{
public:
    /// @param lapse Time after an outage of the log within which the entries of running servers reappear.
    /// @param ages Limits on the age of facts, and the poll interval.
    /// @param changed Called after each read and each answer of the reader that was applied.
    ServerFeed(Loop &loop,
               KeyedLog &log,
               const RecordCodec &codec,
               EventLog &events,
               ServerTable &servers,
               RelayCache &relay,
               Duration lapse,
               const RelayAgeLimits &ages,
               std::function<void()> changed);

    void start();

    /// @returns whether the list was received at least once.
    [[nodiscard]] bool isReady() const;

    /// @returns the age of the list; nothing before the first read.
    [[nodiscard]] std::optional<Duration> age(TimePoint now) const;

    /// @returns the offset up to which records of the list are applied.
    [[nodiscard]] std::uint64_t known() const;

    /// Sets whether another host reads for this one.
    void setShared(bool shared);

    /// Applies the servers in an answer of the host that reads for this one.
    /// @param askedAt When that host was asked.
    void applyRelayed(const RelayReply &reply, TimePoint askedAt);

private:
    void watch();
    void countStandstill();
    void poll();
    void readNewest();
    void readOn();
    void applyRecord(const KeyedRecord &record, TimePoint now);
    void dropEntry(const std::string &key, std::optional<TimePoint> keepUntil, TimePoint now);
    void removeEntry(const std::string &key, std::optional<TimePoint> keepUntil, TimePoint now);
    void putEntry(const std::string &key, const std::string &value, TimePoint now);
    void onListRead(std::uint64_t upTo, TimePoint asOf);
    void onReadFailed(const Error &error, TimePoint askedAt);
    void onLogAnswer(TimePoint askedAt);
    void listKnownAt(TimePoint asOf);
    void schedule(Duration delay);

    Loop &loop;
    KeyedLog &log;
    const RecordCodec &codec;
    EventLog &events;
    ServerTable &servers;
    RelayCache &relay;
    Duration lapse;
    const RelayAgeLimits ages;
    std::function<void()> changed;
    std::unique_ptr<Timer> timer;
    std::unique_ptr<Timer> watchTimer;
    TimePoint watchDue; ///< When watchTimer is due; a host that stood still is late.
    std::uint64_t next = 0; ///< Position up to which records are applied.
    std::uint64_t batchNext = 0; ///< Position after the batch that is being applied.
    RelayedDataAge sharedFact; ///< Age of the list, and when this host must read it itself.
    bool hasNewest = false; ///< The newest records were read, so that reads can go on at the offset.
    bool reachable = true; ///< The latest poll of the log succeeded.
    /// As of when the list was last received, from the log or the reader.
    std::optional<TimePoint> lastAnswer;
    std::optional<TimePoint> lastFailureAskedAt; ///< When the latest read that failed was sent.
    Duration stoodStill {}; ///< Time since lastAnswer in which this host did not run.
    std::optional<TimePoint> lapsedUntil; ///< Until then entries may be missing only because of an outage of the log.
};

} // namespace endivespan
