#pragma once

#include <endivespan/clock.h>
#include <endivespan/confirmation.h>
#include <endivespan/membership.h>
#include <endivespan/server_table.h>
#include <endivespan/shared_store.h>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

/// Relaying of what the log and the stores contain: a few hosts (readers) read it and pass it on to the hosts near them
/// (followers). Relayed data keeps its age, so that a host can act on it as on data that it has read itself.
namespace endivespan {

/// Read intervals and age limits of relayed data. They are chosen so that a host receives a change within the bound of
/// the deployment even when the host that reads for it does not.
struct RelayAgeLimits {
    std::chrono::milliseconds operatorWait {}; ///< How long a read of the operators' records waits for a new one.
    std::chrono::milliseconds operatorLag {}; ///< Delay beyond the wait after which such a read is overdue.
    std::chrono::milliseconds operators {}; ///< Age of the operators' records at which a follower reads them itself.
    std::chrono::milliseconds serverPoll {}; ///< Time between two reads of the list of servers.
    std::chrono::milliseconds servers {}; ///< Age of the list at which a follower reads it itself.
};

/// Derives the read intervals and age limits from the bounds of the deployment.
/// @param changes Bound on the time from an operator's change until it is in force.
/// @param draining Bound on the time from a server's announcement that it leaves until it gets no more requests.
RelayAgeLimits relayAgeLimits(std::chrono::milliseconds changes, std::chrono::milliseconds draining);

/// Age of one piece of data that another host may read for this one. It exists for readers whose own reads hang while
/// they still answer their followers: the age counts from when the data was valid at its source, however often it is
/// relayed, and a follower reads for itself once the data is older than a working reader's data ever gets.
class RelayedDataAge
{
public:
    /// @param ownReadAge Age at which this host reads for itself.
    explicit RelayedDataAge(Duration ownReadAge);

    /// Sets whether another host reads for this one.
    void setShared(bool shared);

    /// Records that the data was up to date at @p asOf. An earlier time than the one recorded is ignored.
    void confirmed(TimePoint asOf);

    /// @returns the time since the data was last confirmed to be up to date; nothing if it never was.
    [[nodiscard]] std::optional<Duration> age(TimePoint now) const;

    /// @returns how long this host may still rely on another one's reads; zero when it must read for itself now.
    [[nodiscard]] Duration timeUntilOwnRead(TimePoint now) const;

private:
    Duration ownReadAge;
    bool shared = false;
    std::optional<TimePoint> asOf;
};

/// Position of a host in the events of one store.
struct StoreCursor {
    std::uint32_t store = 0; ///< storeIdOf() of its address.
    std::uint64_t epoch = 0; ///< Start of the store that the events belong to; 0 before the store has answered.
    std::uint64_t next = 0; ///< Number of the first event that the host does not have.

    bool operator==(const StoreCursor &) const = default;
};

/// Load of a server as it reported it to some host.
struct RelayedLoad {
    std::uint32_t server = 0; ///< shortIdOf() of the server.
    std::uint32_t running = 0; ///< Requests.
    std::uint32_t waiting = 0; ///< Requests.
    Duration age {}; ///< Since the server reported it.
    std::optional<double> pace {}; ///< See ServerLoadReport; older hosts do not relay it.

    bool operator==(const RelayedLoad &) const = default;
};

/// Time to the first token of attempts that fetched parts from a store, less the estimated time for reading their own
/// prompts.
struct RelayedSpeed {
    std::uint32_t store = 0; ///< storeIdOf() of its address.
    Duration excess {};
    Duration age {}; ///< Since the latest sample; unused in single samples.

    bool operator==(const RelayedSpeed &) const = default;
};

/// Request of a follower for everything that the reader has and the follower lacks.
struct RelayAsk {
    std::uint64_t serversNext = 0; ///< Offset up to which the follower has the list of servers.
    std::vector<std::string> unconfirmed; ///< Servers whose latest heartbeat is requested.
    std::vector<StoreCursor> stores; ///< Stores whose events are requested, and from where on.
    Duration sinceLast {}; ///< Time since the last answered request; loads received since then are requested.
    std::vector<RelayedLoad> loads; ///< Loads that servers reported to the follower itself since then.
    std::vector<RelayedSpeed> samples; ///< Single measurements of the follower.

    bool operator==(const RelayAsk &) const = default;
};

/// A record of the list of servers.
struct RelayedServer {
    std::string key;
    std::optional<std::string> value; ///< Absent when the server has no record in the list any more.
    /// How much longer to keep a server without a record. More than zero only after the list was unavailable, when the
    /// record may have expired although the server runs.
    Duration keepFor {};

    bool operator==(const RelayedServer &) const = default;
};

/// New events of one store, or its whole content.
struct RelayedStore {
    std::uint32_t store = 0; ///< storeIdOf() of its address.
    bool whole = false; ///< Whether the events are the whole content, which replaces what the follower has.
    Duration age {}; ///< Since the reader sent its last request to the store.
    StoreEvents events;
};

/// Answer of a reader to a RelayAsk.
struct RelayReply {
    ConfigStatement config;
    std::uint64_t serversNext = 0; ///< Offset up to which the reader has the list of servers.
    bool serversGap = false; ///< The reader no longer holds all records that were requested; servers is empty.
    std::optional<Duration> serversAge; ///< Since the list was read; absent if it never was.
    std::vector<RelayedServer> servers;
    std::vector<RelayedStore> stores;
    std::vector<RelayedLoad> loads; ///< Loads that the reader has received lately, from servers or other hosts.
    std::vector<RelayedSpeed> speeds; ///< Estimated from the samples of all followers.
    bool more = false; ///< The reply was cut short; the follower should ask again at once.
};

/// @returns a 32-bit hash of the address of a store, which is the same on every host.
std::uint32_t storeIdOf(const std::string &address);

/// @returns the loads that this host has received since @p since and that are still recent enough to count.
/// @param ownOnly Whether to leave out loads that were relayed by other hosts.
std::vector<RelayedLoad> loadsSince(const ServerTable &servers, TimePoint since, bool ownOnly, TimePoint now);

/// @returns the group of hosts that read for each other and include this one, in the order in which they become the
///     reader. They share a failure domain; a large domain is split into several groups.
std::vector<std::string> readerOrder(const Membership &membership);

/// Chooses the host that reads for this one. If every host of a large fleet read everything itself, calls to the log
/// would become the largest part of the load. So one host of a group reads, and the next ones in order take over when
/// it does not answer or its data is old.
class ReaderSelector
{
public:
    /// @returns whether a group of @p hosts hosts is large enough to let one of them read for all.
    [[nodiscard]] static bool isWorthSharing(std::size_t hosts);

    /// @param order Result of readerOrder().
    /// @returns the host to ask now; nothing when this host reads for itself.
    [[nodiscard]] std::optional<std::string>
    reader(const std::vector<std::string> &order, const std::string &self, TimePoint now) const;

    /// Records that @p host did not answer or that its data was old; it is avoided for config::ReaderAvoidTime. It may
    /// be this host, when its own reads fail.
    void markFailed(const std::string &host, TimePoint now);

    /// Records that @p host has answered with fresh data; it is no longer avoided.
    void markAnswered(const std::string &host);

private:
    std::map<std::string, TimePoint> avoidUntil;
};

/// Holds the data that this host has read or that was relayed to it, in order to answer its followers.
class RelayCache
{
public:
    /// Adds a record of the list of servers. Beyond config::MaxServers records, the oldest one of a removed server is
    /// evicted.
    /// @param next Offset in the list after the batch that contained the record.
    /// @param isNews False when only the heartbeat is new; such a record is sent only to followers that request it.
    void addServerRecord(const RelayedServer &record, std::uint64_t next, bool isNews, TimePoint now);

    /// Records that this host has the list of servers up to @p next, as it was at @p asOf.
    void confirmServers(std::uint64_t next, TimePoint asOf);

    /// Adds events from an answer of a store.
    /// @param whole Whether they are the whole content of the store.
    void addStoreEvents(const std::string &address, const StoreEvents &events, bool whole);

    /// @param config Statement of this host about its configuration.
    /// @param stores Views of the stores. The whole view is sent when the events held do not reach back far enough.
    /// @returns the reply to @p ask, without loads and speeds.
    [[nodiscard]] RelayReply
    answer(const RelayAsk &ask, const ConfigStatement &config, const SharedStores &stores, TimePoint now) const;

private:
    struct ServerRecord {
        std::optional<std::string> value; ///< Absent when the server has no record in the list any more.
        std::uint64_t next = 0; ///< Offset after the latest change of more than the heartbeat.
        TimePoint keepUntil; ///< See RelayedServer::keepFor.
    };
    struct BatchedEvent {
        std::uint64_t next = 0; ///< Number of the first event after the batch that contained this one.
        StoreEvent event;
    };
    // The latest events of one store, of its current epoch.
    struct StoreLog {
        std::uint64_t epoch = 0;
        std::uint64_t first = 0; ///< All events from this number on are held.
        std::deque<BatchedEvent> events;
    };

    void fillServers(RelayReply &reply, const RelayAsk &ask, TimePoint now) const;
    bool fillStore(RelayReply &reply, const StoreCursor &cursor, const SharedStoreView &view, std::size_t &room) const;

    std::map<std::string, ServerRecord> servers; ///< By key.
    std::uint64_t serversNext = 0; ///< Offset up to which the list is held.
    std::uint64_t serversFirst = 0; ///< All removals of servers from this offset on are held.
    std::optional<TimePoint> serversAsOf; ///< When the list was last up to date; absent before the first read.
    std::map<std::uint32_t, StoreLog> stores; ///< By storeIdOf().
};

} // namespace endivespan
