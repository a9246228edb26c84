#pragma once

#include "operator_feed.h"
#include "peer_task.h"
#include "server_feed.h"
#include "store_task.h"

#include <endivespan/event_log.h>
#include <endivespan/loop.h>
#include <endivespan/relay.h>

#include <optional>
#include <string>
#include <vector>

/// Chooses the host that reads the log and the stores for this one, fetches facts from it, and answers other hosts.
namespace endivespan {

/// Dependencies of RelayTask; all must outlive it.
struct RelayTaskParts {
    Loop &loop;
    EventLog &events;
    Metrics &metrics;
    const Membership &membership;
    const ConfigConfirmation &confirmation;
    ServerTable &servers;
    SharedStores &sharedStores;
    RelayCache &source;
    PeerTask &peers;
    OperatorFeed &operators;
    ServerFeed &serverFeed;
    StoreTask &stores;
    RelayAgeLimits ages;
};

/// Polls one reader at a time. Without a reader this host reads the log and the stores itself.
class RelayTask
{
public:
    explicit RelayTask(RelayTaskParts parts);

    void tick(TimePoint now);

    /// @returns the answer to another host, which has chosen this one as its reader.
    [[nodiscard]] RelayReply answer(const RelayAsk &ask);

private:
    void choose(TimePoint now);
    void ask(const std::string &host, TimePoint now);
    void answered(const std::string &host, const Result<PeerMessage> &answer, TimePoint askedAt);
    void takeLoads(const std::vector<RelayedLoad> &loads, TimePoint toldAt);
    void take(const std::string &host, const RelayReply &reply, TimePoint askedAt);
    void takeFacts(const std::string &host, const RelayReply &reply, TimePoint askedAt);
    [[nodiscard]] bool
    isBehind(std::optional<Duration> configAge, std::optional<Duration> listAge, TimePoint now) const;
    void share(bool isShared);

    RelayTaskParts parts;
    ReaderSelector choice;
    std::vector<std::string> order; ///< Hosts that may be the reader, in order of preference.
    std::optional<std::string> reader; ///< Empty when this host reads itself.
    TimePoint startedAt;
    TimePoint nextOrder;
    TimePoint nextAsk;
    TimePoint answeredAt; ///< When the last request that the reader answered was sent.
    bool asking = false; ///< A request to the reader is under way.
    bool chosen = false; ///< A first choice was made.
    bool shared = false; ///< This host relies on the reader's reads in place of its own.
};

} // namespace endivespan
