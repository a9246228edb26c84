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

/// State of the log and of the stores that few hosts read and pass on to the hosts near them. Each fact keeps its age,
/// so that a host acts on what it was passed as on what it read itself.
namespace endivespan {

/// How old facts may grow, and how often they are read, so that a host learns of a change within the deployment's
/// bound even when the host that reads for it does not.
struct FactAges {
    std::chrono::milliseconds operatorWait {}; ///< That a read of the operators' records waits for a new one.
    std::chrono::milliseconds operatorLag {}; ///< Until a read that could have been answered is overdue.
    std::chrono::milliseconds operators {}; ///< Of the operators' records, until a host reads them itself.
    std::chrono::milliseconds serverPoll {}; ///< Between two reads of the list of servers.
    std::chrono::milliseconds servers {}; ///< Of the list, until a host reads it itself.
};

/// @param changes The bound from an operator's change until it is in force.
/// @param draining The bound from a server's word that it leaves until it gets no more requests.
FactAges factAges(std::chrono::milliseconds changes, std::chrono::milliseconds draining);

/// Answers a reader whose own reads hang while its followers reach it: a fact counts by when it held, however often it
/// is passed on, and a follower reads for itself as soon as it is older than a sound reader's ever is.
class SharedFact
{
public:
    explicit SharedFact(Duration longest);

    /// Sets whether another host reads for this one.
    void setShared(bool shared);

    /// Takes that the fact held at @p asOf.
    void confirmed(TimePoint asOf);

    /// @returns since when nothing newer is known of; nothing before the first time.
    [[nodiscard]] std::optional<Duration> age(TimePoint now) const;

    /// @returns how long this host may leave reading to another one; zero when it reads now.
    [[nodiscard]] Duration untilOwnRead(TimePoint now) const;

private:
    Duration longest;
    bool shared = false;
    std::optional<TimePoint> asOf;
};

/// How far a host knows one store's events.
struct StoreCursor {
    std::uint32_t store = 0; ///< storeIdOf() its address.
    std::uint64_t epoch = 0;
    std::uint64_t next = 0;

    bool operator==(const StoreCursor &) const = default;
};

/// What a server said of its load, to some host.
struct RelayedLoad {
    std::uint32_t server = 0; ///< shortIdOf() it.
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    Duration age {};

    bool operator==(const RelayedLoad &) const = default;
};

/// How much longer first tokens took where parts came from a store.
struct RelayedSpeed {
    std::uint32_t store = 0; ///< storeIdOf() its address.
    Duration excess {};
    Duration age {};

    bool operator==(const RelayedSpeed &) const = default;
};

/// Asks a host for what it knows beyond what the asking one does.
struct RelayAsk {
    std::uint64_t serversNext = 0; ///< Offset up to which the list of servers is known.
    std::vector<std::string> unconfirmed; ///< Servers whose latest heartbeat is wanted.
    std::vector<StoreCursor> stores;
    Duration sinceLast {}; ///< Since the asking host was last answered: it lacks loads that were learnt within it.
    std::vector<RelayedLoad> loads; ///< That servers told the asking host meanwhile.
    std::vector<RelayedSpeed> samples; ///< Single ones, of the asking host.

    bool operator==(const RelayAsk &) const = default;
};

/// A record of the list of servers.
struct RelayedServer {
    std::string key;
    std::optional<std::string> value; ///< Nothing: the server is gone.
    Duration lapsedFor {}; ///< The list may have lapsed: keep a missing server this much longer.

    bool operator==(const RelayedServer &) const = default;
};

/// What is new of one store.
struct RelayedStore {
    std::uint32_t store = 0;
    bool whole = false; ///< Everything that the store holds, in place of what was known.
    Duration age {}; ///< Since the store was asked.
    StoreEvents events;
};

/// Answers a RelayAsk.
struct RelayReply {
    ConfigStatement config;
    std::uint64_t serversNext = 0;
    bool serversGap = false; ///< Records that were asked for are no longer held here.
    std::optional<Duration> serversAge; ///< Since the list was read; nothing before.
    std::vector<RelayedServer> servers;
    std::vector<RelayedStore> stores;
    std::vector<RelayedLoad> loads;
    std::vector<RelayedSpeed> speeds; ///< Learnt from the samples of all that ask.
    bool more = false; ///< Cut short: ask again at once.
};

/// @returns a short number for a store, the same on every host.
std::uint32_t storeIdOf(const std::string &address);

/// @returns the loads that this host has learnt since @p since.
/// @param ownOnly Only those that servers told this host itself.
std::vector<RelayedLoad> loadsSince(const ServerTable &servers, TimePoint since, bool ownOnly, TimePoint now);

/// @returns the hosts that may read for @p self and those near it, in the order in which they do; @p self is one of
///     them. They share its failure domain, and large domains are split into several groups.
std::vector<std::string> readerOrder(const Membership &membership);

/// Decides who reads for this host. Answers a fleet in which every host would read everything itself: one host of a
/// group reads, and the next ones in order take over as soon as it is silent or its facts are old.
class ReaderChoice
{
public:
    /// @returns whether a group of so many hosts leaves reading to one of them.
    [[nodiscard]] static bool isWorthSharing(std::size_t hosts);

    /// @returns the host to ask now; nothing when this host reads itself.
    [[nodiscard]] std::optional<std::string>
    reader(const std::vector<std::string> &order, const std::string &self, TimePoint now) const;

    /// Takes that @p host did not answer, or answered with old facts. It may be this host, when its own reads fail.
    void failed(const std::string &host, TimePoint now);
    void answered(const std::string &host);

private:
    std::map<std::string, TimePoint> avoidUntil;
};

/// Keeps what this host has read or was passed, ready to be passed on.
class RelaySource
{
public:
    /// Takes a record of the list of servers.
    /// @param next Offset of the list after the batch that brought the record.
    /// @param isNews False for a mere heartbeat, which only those who ask for it get.
    void server(const RelayedServer &record, std::uint64_t next, bool isNews, TimePoint now);

    /// Takes that the list is known up to @p next, as of @p asOf.
    void serversRead(std::uint64_t next, TimePoint asOf);

    /// Takes the events that a store answered with.
    /// @param whole Whether they are everything that the store holds.
    void store(const std::string &address, const StoreEvents &events, bool whole);

    /// @param config What this host says of its configuration.
    /// @param stores Views of the stores that are passed on whole where events do not reach back far enough.
    [[nodiscard]] RelayReply
    answer(const RelayAsk &ask, const ConfigStatement &config, const SharedStores &stores, TimePoint now) const;

private:
    struct ServerRecord {
        std::optional<std::string> value;
        std::uint64_t next = 0; ///< Offset after the latest news.
        TimePoint keepUntil; ///< Of a server that is gone but may only have lapsed.
    };
    struct Tagged {
        std::uint64_t next = 0; ///< Event number after the batch that brought it.
        StoreEvent event;
    };
    struct StoreLog {
        std::uint64_t epoch = 0;
        std::uint64_t first = 0; ///< Events from this number on are held.
        std::deque<Tagged> events;
    };

    void fillServers(RelayReply &reply, const RelayAsk &ask, TimePoint now) const;
    bool fillStore(RelayReply &reply, const StoreCursor &cursor, const SharedStoreView &view, std::size_t &room) const;

    std::map<std::string, ServerRecord> servers;
    std::uint64_t serversNext = 0;
    std::uint64_t serversFirst = 0; ///< Records of gone servers are held from this offset on.
    std::optional<TimePoint> serversAsOf;
    std::map<std::uint32_t, StoreLog> stores;
};

} // namespace endivespan
