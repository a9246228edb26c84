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

/// Asks the host that reads for this one, or lets this host read, and answers the hosts that it reads for.
namespace endivespan {

/// What the task works on; everything outlives it.
struct RelayTaskParts {
    Loop &loop;
    EventLog &events;
    Metrics &metrics;
    const Membership &membership;
    const Confirmation &confirmation;
    ServerTable &servers;
    SharedStores &sharedStores;
    RelaySource &source;
    PeerTask &peers;
    OperatorFeed &operators;
    ServerFeed &serverFeed;
    StoreTask &stores;
    FactAges ages;
};

/// Exchanges with one reader at a time. Without one this host reads the log and the stores itself.
class RelayTask
{
public:
    explicit RelayTask(RelayTaskParts parts);

    void tick(TimePoint now);

    /// @returns the answer to a host that asks this one.
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
    ReaderChoice choice;
    std::vector<std::string> order;
    std::optional<std::string> reader; ///< Nothing: this host reads itself.
    TimePoint startedAt;
    TimePoint nextOrder;
    TimePoint nextAsk;
    TimePoint answeredAt; ///< When the last ask that was answered began.
    bool asking = false;
    bool chosen = false;
    bool shared = false; ///< The reader's reads take the place of this host's own.
};

} // namespace endivespan
