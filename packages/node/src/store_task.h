#pragma once

#include <endivespan/cache_scopes.h>
#include <endivespan/confirmation.h>
#include <endivespan/event_log.h>
#include <endivespan/forward_codec.h>
#include <endivespan/loop.h>
#include <endivespan/membership.h>
#include <endivespan/old_parts.h>
#include <endivespan/relay.h>
#include <endivespan/shared_store.h>

#include <map>
#include <memory>
#include <random>
#include <string>

/// Tracks the contents of the stores of prompt parts, and frees parts that no request will use again.
namespace endivespan {

/// Polls each store, or receives the answers of the stores through another host that polls them. For each store one
/// host frees old parts; it does no harm when two hosts do so at the same time for a while.
class StoreTask
{
public:
    StoreTask(Loop &loop,
              StoreControl &control,
              EventLog &events,
              SharedStores &stores,
              RelayCache &relay,
              const Membership &membership,
              const ConfigConfirmation &confirmation,
              const OldParts &oldParts,
              const CacheScopes &scopes);

    void setStores(const std::vector<ForwardStore> &list);
    void tick(TimePoint now);

    /// Sets whether this host polls the stores itself; otherwise another host relays their answers.
    void setReading(bool reading);

    /// Applies what another host relayed.
    /// @param askedAt When the relay was asked.
    void applyRelayed(const std::vector<RelayedStore> &list, TimePoint askedAt);

    /// @returns the position up to which the events of each store were read.
    [[nodiscard]] std::vector<StoreCursor> cursors() const;

private:
    struct StorePoll {
        bool asking = false;
        bool reachable = true;
        TimePoint askAt;
        TimePoint searchedAt; ///< When parts to free were last searched for.
        TimePoint ownerAt; ///< When to determine again which host frees parts there.
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
    RelayCache &relay;
    const Membership &membership;
    const ConfigConfirmation &confirmation;
    const OldParts &oldParts;
    const CacheScopes &scopes;
    std::mt19937_64 random;
    TimePoint logAt;
    bool reading = false; ///< Whether this host polls the stores; false until the reader is chosen.
    std::map<std::string, StorePoll> polls; ///< By address.
};

} // namespace endivespan
