#pragma once

#include <endivespan/clock.h>
#include <endivespan/config.h>

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

/// Which parts of prompts the stores hold, and which of them an attempt fetches or saves.
namespace endivespan {

/// A store of cached prompt parts. It drops nothing by itself.
struct ForwardStore {
    std::string name;
    std::string address; ///< "a.b.c.d:port".
    std::string domain;
    std::uint64_t capacityTokens = 0;

    bool operator==(const ForwardStore &) const = default;
};

/// A part within the scope of its weights and, where isolated, its organisation.
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

/// What a store answers when asked for its events, or for all that it holds.
struct StoreEvents {
    std::uint64_t epoch = 0; ///< Changes when the store starts again, empty.
    std::uint64_t next = 0; ///< What to ask after next.
    bool gap = false; ///< Events that were asked for are gone.
    std::optional<std::chrono::milliseconds> clock; ///< The engines' clock, at the answer.
    std::vector<StoreEvent> events;
};

/// Where an attempt's parts come from and go to, by place in the prompt; empty for none.
struct TransferPlan {
    std::vector<std::string> fetch; ///< Store addresses.
    std::vector<std::string> save;
    /// On the engines' clock: a fetch that ends later is to be thrown away.
    std::optional<std::chrono::milliseconds> fetchUntil;
};

/// A part that a plan asks about.
struct PlannedPart {
    std::string id;
    std::uint64_t tokens = 0;
};

/// What is known of one store.
struct SharedStoreStats {
    std::string address;
    std::size_t parts = 0;
    std::uint64_t usedTokens = 0;
    std::uint64_t capacityTokens = 0;
    std::size_t saving = 0; ///< Parts sent there and not reported yet.
    Duration age {}; ///< Of the view.
    Duration excess {}; ///< Of a first token, for parts that come from there.
};

/// How long first tokens took for one attempt, beyond the reading of its own prompt.
struct StoreSample {
    std::string address; ///< Of the store that it fetched from.
    Duration excess {};
};

/// What is known of the speed of one store.
struct StoreSpeed {
    std::string address;
    Duration excess {}; ///< Smoothed over the samples.
    Duration age {}; ///< Of the latest sample.
};

/// One store as seen from here, to be passed on to other hosts.
struct SharedStoreView {
    std::uint64_t epoch = 0;
    std::uint64_t next = 0;
    Duration age {}; ///< Since the store was asked.
    std::optional<std::chrono::milliseconds> clock;
    const std::map<ScopedPart, std::uint64_t> *held = nullptr; ///< Tokens by part; valid until the store answers next.
};

/// The stores as this host sees them. A store that starts again may be written anew, so that what is known of it only
/// holds for a short time on the engines' clock, shorter than a store takes to start; each fetch is bound to that time.
/// Answers a load of many long prefixes that return within seconds and that the engines' memory cannot hold.
class SharedStores
{
public:
    void setStores(const std::vector<ForwardStore> &stores);

    /// @returns the address and the next event number of each store.
    [[nodiscard]] std::vector<std::pair<std::string, std::uint64_t>> toAsk() const;

    /// Takes an answer of the store at @p address that was asked for at @p askedAt.
    /// @returns false when the store has started again, so that it must be asked from the first event on.
    [[nodiscard]] bool answered(const std::string &address, const StoreEvents &events, TimePoint askedAt);

    /// Takes what another host knew of a store as of @p asOf. What is older than the own view is ignored.
    /// @param whole Whether @p events are everything that the store held.
    /// @returns whether it was taken.
    bool relayed(const std::string &address, const StoreEvents &events, bool whole, TimePoint asOf);

    /// @returns the address of the store whose storeIdOf() is @p id, or nothing.
    [[nodiscard]] std::optional<std::string> addressOf(std::uint32_t id) const;

    /// @returns what is known of the store whose storeIdOf() is @p id, or nothing before it has answered.
    [[nodiscard]] std::optional<SharedStoreView> view(std::uint32_t id, TimePoint now) const;

    /// @returns the epoch of a store; 0 before it has answered.
    [[nodiscard]] std::uint64_t epochOf(const std::string &address) const;

    /// Takes everything that a store holds.
    void listed(const std::string &address, const StoreEvents &all, TimePoint askedAt);

    /// Plans the transfers of the parts that a prompt shares with others, and takes note of what it saves.
    /// @param domain Failure domain of the engine.
    /// @param mayUse Set once newer weights than those of the scope were named: nothing is saved then, and only those
    ///     parts are fetched for which it returns true.
    [[nodiscard]] TransferPlan plan(const std::string &scope,
                                    const std::vector<PlannedPart> &parts,
                                    const std::string &domain,
                                    const std::function<bool(const std::string &id)> &mayUse,
                                    TimePoint now);

    /// Takes how long a first token took beyond the reading of the own prompt, for an attempt that fetched from
    /// @p address.
    void observed(const std::string &address, Duration excess, TimePoint now);

    /// @returns the samples that observed() has taken since the last call, for another host.
    [[nodiscard]] std::vector<StoreSample> takeSamples();

    /// @returns the speed of each store that has fresh samples.
    [[nodiscard]] std::vector<StoreSpeed> speeds(TimePoint now) const;

    /// Takes what another host has learnt from the samples of many; it goes before the own samples.
    void learnSpeed(const StoreSpeed &speed, TimePoint now);

    /// Sets how fast engines read prompts, in tokens a millisecond.
    void setReadingRate(double rate);

    /// @returns the parts held at @p address that nobody fetches any more, at most @p limit, with the store's epoch.
    /// @param isOld Tells which those are.
    [[nodiscard]] std::pair<std::uint64_t, std::vector<ScopedPart>> toFree(
        const std::string &address, const std::function<bool(const ScopedPart &part)> &isOld, std::size_t limit) const;

    /// Takes that parts were freed, before the store's own events tell.
    void freed(const std::string &address, const std::vector<ScopedPart> &parts);

    /// @returns how many parts all stores hold, as far as known.
    [[nodiscard]] std::size_t parts() const;

    /// @returns what is known of each store, for logs.
    [[nodiscard]] std::vector<SharedStoreStats> stats(TimePoint now) const;

private:
    struct View {
        ForwardStore store;
        std::uint64_t epoch = 0;
        std::uint64_t next = 0;
        std::optional<TimePoint> asOf;
        std::optional<std::chrono::milliseconds> clock;
        std::map<ScopedPart, std::uint64_t> held; ///< Tokens by part.
        std::uint64_t usedTokens = 0;
        Duration excess {}; ///< Smoothed.
        TimePoint excessAt;
        std::map<ScopedPart, TimePoint> saving; ///< Sent along with an attempt and not reported yet.
    };

    [[nodiscard]] static bool isFresh(const View &view, TimePoint now);
    void smooth(View &view, Duration excess, TimePoint now) const;
    [[nodiscard]] bool isSlowerThanReading(const View &view, std::uint64_t tokens, TimePoint now) const;
    const View *holder(const ScopedPart &part, const std::string &domain, TimePoint now) const;
    View *saver(const ScopedPart &part, std::uint64_t tokens, TimePoint now);

    std::map<std::string, View> views; ///< By address.
    std::map<std::uint32_t, std::string> ids; ///< Addresses by storeIdOf().
    std::vector<StoreSample> samples; ///< Not taken yet.
    double readingRate = config::StartPrefillTokensPerMillisecond;
};

} // namespace endivespan
