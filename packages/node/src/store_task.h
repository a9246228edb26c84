#pragma once

#include "server_feed.h"

#include <endivespan/event_log.h>
#include <endivespan/forward_codec.h>
#include <endivespan/loop.h>
#include <endivespan/membership.h>
#include <endivespan/relay.h>
#include <endivespan/shared_store.h>
#include <endivespan/weight_progress.h>

#include <map>
#include <memory>
#include <random>
#include <string>

/// Keeps up with the stores of prompt parts, and frees what no request will use again.
namespace endivespan {

/// Asks each store in turn, or is passed on what another host was answered. One host a store frees; two at once do no
/// harm.
class StoreTask
{
public:
    StoreTask(Loop &loop,
              StoreControl &control,
              EventLog &events,
              SharedStores &stores,
              RelaySource &relay,
              const Membership &membership,
              const WeightProgress &progress,
              const ServerFeed &serverFeed);

    void setStores(const std::vector<ForwardStore> &list);
    void tick(TimePoint now);

    /// Sets whether this host asks the stores itself; otherwise another one passes on what they say.
    void setReading(bool reading);

    /// Takes what another host passed on.
    void relayed(const std::vector<RelayedStore> &list, TimePoint askedAt);

    /// @returns how far each store's events are known.
    [[nodiscard]] std::vector<StoreCursor> cursors() const;

private:
    struct Line {
        bool asking = false;
        bool reachable = true;
        TimePoint askAt;
        TimePoint freeAt;
        TimePoint ownerAt; ///< When to find out again who frees parts there.
        bool isOwner = false;
    };

    void logStores(TimePoint now);
    void ask(const std::string &address, std::uint64_t since);
    void answered(const std::string &address, const Result<StoreEvents> &answer, TimePoint askedAt);
    void list(const std::string &address);
    void freeOld(const std::string &address, TimePoint now);
    [[nodiscard]] bool isOld(const ScopedPart &part, TimePoint now) const;

    Loop &loop;
    StoreControl &control;
    EventLog &events;
    SharedStores &stores;
    RelaySource &relay;
    const Membership &membership;
    const WeightProgress &progress;
    const ServerFeed &serverFeed;
    std::mt19937_64 random;
    TimePoint logAt;
    bool reading = false; ///< Until it is known who reads.
    std::map<std::string, Line> lines; ///< By address.
};

/// @returns the scope of parts made with weights @p version for @p organisation; empty for one that shares with others.
std::string cacheScope(const std::string &model, std::uint64_t version, const std::string &organisation);

/// @returns model and version of a scope made by cacheScope(), or nothing for another text.
std::optional<std::pair<std::string, std::uint64_t>> readScope(const std::string &scope);

} // namespace endivespan
