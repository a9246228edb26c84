#pragma once

#include <endivespan/clock.h>
#include <endivespan/config.h>
#include <endivespan/first_event_times.h>
#include <endivespan/server_table.h>

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

/// Tracks which prompt parts the shared stores hold, and plans which of them an attempt fetches or saves.
namespace endivespan {

/// A store of cached prompt parts that engines save to and fetch from. It evicts nothing by itself: hosts free parts.
struct ForwardStore {
    std::string name;
    std::string address; ///< "a.b.c.d:port".
    std::string domain;
    std::uint64_t capacityTokens = 0;

    bool operator==(const ForwardStore &) const = default;
};

/// A prompt part within its scope: the weights that made it and, where organisations are isolated, its organisation.
struct ScopedPart {
    std::string scope;
    std::string id;

    auto operator<=>(const ScopedPart &) const = default; // NOLINT(modernize-use-nullptr): false positive
};

/// One change of what a store holds.
struct StoreEvent {
    ScopedPart part;
    bool stored = false; ///< False: freed.
    std::uint64_t tokens = 0;
};

/// A store's answer to a request for its events or for a listing of all its parts.
struct StoreEvents {
    std::uint64_t epoch = 0; ///< Changes when the store restarts, which empties it.
    std::uint64_t next = 0; ///< Event number to ask from in the next request.
    bool gap = false; ///< True when the store no longer has some of the requested events.
    std::optional<std::chrono::milliseconds> clock; ///< Time of the answer on the clock shared by engines and stores.
    std::vector<StoreEvent> events;
};

/// The stores that an attempt fetches its parts from and saves them to, by index of the part; empty for none.
struct TransferPlan {
    std::vector<std::string> fetch; ///< Store addresses.
    std::vector<std::string> save; ///< Store addresses.
    /// Time on the engines' clock: what a fetch returns later must be discarded.
    std::optional<std::chrono::milliseconds> fetchUntil;
};

/// A prompt part to plan the transfer of.
struct PlannedPart {
    std::string id;
    std::uint64_t tokens = 0;
};

/// State of this host's view of one store, for logs.
struct SharedStoreStats {
    std::string address;
    std::size_t parts = 0;
    std::uint64_t usedTokens = 0;
    std::uint64_t capacityTokens = 0;
    std::size_t saving = 0; ///< Parts that attempts were to save there and that the store has not reported yet.
    Duration age {}; ///< Of the view; Duration::max() before the store has answered.
    Duration excess {}; ///< As in StoreSpeed; zero without fresh samples.
};

/// Time to the first token of one attempt that fetched from a store, beyond the prefill of the prompt's own part.
struct StoreSample {
    std::string address; ///< Of the store.
    Duration excess {};
};

/// @returns whether the time to the first token at an engine says something about the store that it fetched from.
///     Exists for a pool with queues at some engines: there that time is mostly the wait, and a sound store seems slow.
/// @param load Load that the engine reported with the first token. Without a pace its waiting requests are not used.
bool isStoreSample(const std::optional<ServerLoadReport> &load);

/// Estimated speed of one store.
struct StoreSpeed {
    std::string address;
    Duration excess {}; ///< Smoothed over the samples.
    Duration age {}; ///< Of the latest sample.
};

/// A part that a store has reported as stored.
struct HeldPart {
    std::uint64_t tokens = 0;
    TimePoint knownSince; ///< When this host first had it in its view of the store's present start.
};

/// This host's view of one store, to be relayed to other hosts.
struct SharedStoreView {
    std::uint64_t epoch = 0; ///< As in StoreEvents, as are the next and the clock.
    std::uint64_t next = 0;
    Duration age {}; ///< Since the request whose answer the view is from.
    std::optional<std::chrono::milliseconds> clock;
    const std::map<ScopedPart, HeldPart> *held = nullptr; ///< Valid until the view next changes.
};

/// This host's view of the shared stores. Made for a load of many long prefixes that return within seconds and that do
/// not fit into the engines' memory.
///
/// A store that restarts is empty, and parts are then saved to it again. A fetch that was planned before the restart
/// must not read a part that is being written after it, however soon the store is back:
/// - A fetch must end within config::StoreViewTime of the answer that showed the part, on the engines' clock.
/// - Nothing is saved to a start of a store that this host has known for less than that, since other hosts may not know
///   of the restart yet.
/// - A part is fetched once it has been known for settleTime(). By then every host that saves knows that the store has
///   it, and saves that were planned before have begun.
class SharedStores
{
public:
    /// Sets the stores in use. The view of a store whose settings have changed starts anew.
    void setStores(const std::vector<ForwardStore> &stores);

    /// @returns the address of each store and the event number to ask it from.
    [[nodiscard]] std::vector<std::pair<std::string, std::uint64_t>> toAsk() const;

    /// Applies the events that the store at @p address answered to a request sent at @p askedAt.
    /// @returns false when the store has restarted. Its view is then empty, and it must be asked from its first event
    ///     on.
    [[nodiscard]] bool
    applyAnswer(const std::string &address, const StoreEvents &events, TimePoint askedAt, TimePoint now);

    /// Applies events or a listing of a store that another host has passed on; ignored unless newer than the own view.
    /// @param whole Whether @p events list everything that the store held.
    /// @param asOf When the answer was current.
    /// @returns whether it was applied.
    bool applyRelayed(const std::string &address, const StoreEvents &events, bool whole, TimePoint asOf, TimePoint now);

    /// @returns the address of the store whose storeIdOf() is @p id, or nothing.
    [[nodiscard]] std::optional<std::string> addressOf(std::uint32_t id) const;

    /// @returns the view of the store whose storeIdOf() is @p id, or nothing before it has answered.
    [[nodiscard]] std::optional<SharedStoreView> view(std::uint32_t id, TimePoint now) const;

    /// @returns the epoch of a store; 0 before it has answered.
    [[nodiscard]] std::uint64_t epochOf(const std::string &address) const;

    /// Replaces the view of a store by a listing of all its parts.
    void replaceByListing(const std::string &address, const StoreEvents &all, TimePoint askedAt, TimePoint now);

    /// Plans the transfers of the parts that a prompt shares with others, and records the saves. A part that a store
    /// holds is fetched once it has settled, unless that store is slow. A part that no store holds is saved, once on
    /// this host until config::StoreSaveAgain has passed without the store reporting it.
    /// @param domain Failure domain of the engine.
    /// @param mayUse Set when newer weights than those of the scope have been named. Nothing is saved then, and only
    ///     the parts for which it returns true are fetched.
    [[nodiscard]] TransferPlan plan(const std::string &scope,
                                    const std::vector<PlannedPart> &parts,
                                    const std::string &domain,
                                    const std::function<bool(const std::string &id)> &mayUse,
                                    TimePoint now);

    /// Records how long after it was sent a request with saves has begun its answer: by then it has begun the saves.
    void observeSaveStart(Duration time, TimePoint now);

    /// @returns how long a part must have been known before it is fetched.
    [[nodiscard]] Duration settleTime(TimePoint now) const;

    /// Records the sample of an attempt that fetched from @p address.
    /// @param excess As in StoreSample.
    void addSample(const std::string &address, Duration excess, TimePoint now);

    /// @returns the samples recorded by addSample() since the last call, at most config::StoreSamplesKept, to be sent
    ///     to the host that combines them.
    [[nodiscard]] std::vector<StoreSample> takeSamples();

    /// @returns the speed of each store with a sample at most config::StoreSpeedMemory old.
    [[nodiscard]] std::vector<StoreSpeed> speeds(TimePoint now) const;

    /// Sets the speed of a store that another host has estimated from the samples of many; replaces the own estimate.
    void learnSpeed(const StoreSpeed &speed, TimePoint now);

    /// Sets the prefill rate of the engines, in tokens per millisecond.
    void setReadingRate(double rate);

    /// @returns whether the store at @p address has little or no room left, as far as this host knows.
    [[nodiscard]] bool isNearlyFull(const std::string &address) const;

    /// @returns the epoch of the store at @p address and the parts that it should free, at most @p limit.
    /// @param isOld Returns true for parts that no host fetches any more.
    [[nodiscard]] std::pair<std::uint64_t, std::vector<ScopedPart>> toFree(
        const std::string &address, const std::function<bool(const ScopedPart &part)> &isOld, std::size_t limit) const;

    /// Removes parts that the store has freed, without waiting for its events.
    void removeFreed(const std::string &address, const std::vector<ScopedPart> &parts);

    /// @returns how many parts all stores hold according to the views.
    [[nodiscard]] std::size_t parts() const;

    /// @returns the state of each store's view, for logs.
    [[nodiscard]] std::vector<SharedStoreStats> stats(TimePoint now) const;

private:
    struct View {
        ForwardStore store;
        std::uint64_t epoch = 0;
        std::uint64_t next = 0;
        std::optional<TimePoint> asOf; ///< When the latest answer was asked for.
        std::optional<std::chrono::milliseconds> clock;
        TimePoint epochKnownSince; ///< When this host first had an answer of the present epoch.
        std::map<ScopedPart, HeldPart> held;
        std::uint64_t usedTokens = 0;
        Duration excess {}; ///< Smoothed over the samples.
        TimePoint excessAt; ///< Of the latest sample.
        std::map<ScopedPart, TimePoint> saving; ///< When saves were planned that the store has not reported yet.
    };

    [[nodiscard]] static bool isFresh(const View &view, TimePoint now);
    /// @returns whether a save may be planned that other hosts' fetches of older views cannot meet.
    [[nodiscard]] static bool maySaveTo(const View &view, TimePoint now);
    static void applyEvents(View &view, const StoreEvents &events, TimePoint askedAt, TimePoint now);
    static void remove(View &view, const ScopedPart &part);
    void smooth(View &view, Duration excess, TimePoint now) const;
    /// @returns whether a fetch from the store is expected to take much longer than the prefill of @p tokens.
    [[nodiscard]] bool isSlowerThanReading(const View &view, std::uint64_t tokens, TimePoint now) const;
    /// @returns a store that holds the part, one in @p domain that may be fetched from if possible, or null.
    /// @param knownBy When a part that may be fetched must have been known.
    const View *holderOf(const ScopedPart &part, const std::string &domain, TimePoint knownBy, TimePoint now) const;
    /// @returns whether the part may be fetched from the store, which must hold it.
    [[nodiscard]] static bool isSettled(const View &view, const ScopedPart &part, TimePoint knownBy);
    /// @returns the store to save the part to, or null when none has room.
    View *storeToSaveTo(const ScopedPart &part, std::uint64_t tokens, TimePoint now);

    std::map<std::string, View> views; ///< By address.
    std::map<std::uint32_t, std::string> ids; ///< Addresses by storeIdOf().
    std::vector<StoreSample> samples; ///< To be returned by takeSamples().
    FirstEventTimes saveStarts; ///< Of requests with saves.
    /// Tokens per millisecond.
    double readingRate = config::StartPrefillTokensPerMillisecond;
};

} // namespace endivespan
