#include <endivespan/config.h>
#include <endivespan/shared_store.h>

#include <doctest/doctest.h>

#include <algorithm>
#include <random>
#include <rapidcheck.h>
#include <set>

using namespace endivespan;
using namespace std::chrono_literals;

namespace {

constexpr TimePoint Start {std::chrono::hours(1)};

const std::vector<ForwardStore> Stores {{"a", "10.0.0.1:1", "z1", 10'000}, {"b", "10.0.0.2:1", "z2", 30'000}};

StoreEvents stored(std::uint64_t epoch, std::uint64_t number, const ScopedPart &part, std::uint64_t tokens)
{
    return {epoch, number + 1, false, 1000ms, {{part, true, tokens}}};
}

SharedStores freshStores()
{
    SharedStores stores;
    stores.setStores(Stores);
    for (const ForwardStore &store : Stores) {
        (void)stores.applyAnswer(store.address, {1, 0, false, 1000ms, {}}, Start - 10s, Start - 10s);
        (void)stores.applyAnswer(store.address, {1, 0, false, 1000ms, {}}, Start, Start);
    }
    return stores;
}

/// Lets a host know of a part for long enough to fetch it at the start.
void learnBefore(SharedStores &stores, const std::string &address, const StoreEvents &answer)
{
    (void)stores.applyAnswer(address, answer, Start - 10s, Start - 10s);
    (void)stores.applyAnswer(address, {answer.epoch, answer.next, false, 1000ms, {}}, Start, Start);
}

} // namespace

TEST_CASE("a part is saved once, to the same store by every host, and fetched once that store reports it")
{
    SharedStores one = freshStores();
    SharedStores two = freshStores();
    const std::vector<PlannedPart> parts {{"p", 500}};
    const TransferPlan first = one.plan("s", parts, "z1", {}, Start);
    const TransferPlan other = two.plan("s", parts, "z1", {}, Start);
    REQUIRE_FALSE(first.save[0].empty());
    CHECK(first.save[0] == other.save[0]);
    CHECK(first.fetch[0].empty());
    const TransferPlan again = one.plan("s", parts, "z1", {}, Start + 100ms);
    CHECK(again.save[0].empty());
    CHECK(again.fetch[0].empty());
    (void)one.applyAnswer(first.save[0], stored(1, 0, {"s", "p"}, 500), Start + 200ms, Start + 200ms);
    CHECK(one.plan("s", parts, "z1", {}, Start + 300ms).save[0].empty());
    const TimePoint settled = Start + 200ms + one.settleTime(Start);
    (void)one.applyAnswer(first.save[0], {1, 1, false, 2000ms, {}}, settled, settled);
    const TransferPlan later = one.plan("s", parts, "z1", {}, settled);
    CHECK(later.fetch[0] == first.save[0]);
    CHECK(later.fetchUntil == 2000ms + config::StoreViewTime);
    CHECK(one.plan("other", parts, "z1", {}, settled).fetch[0].empty());
}

TEST_CASE("nothing is fetched from or saved to a store whose view is too old")
{
    SharedStores stores = freshStores();
    learnBefore(stores, Stores[0].address, stored(1, 0, {"s", "p"}, 500));
    const TransferPlan plan = stores.plan("s", {{"p", 500}}, "z1", {}, Start + config::StoreViewTime + 1ms);
    CHECK(plan.fetch[0].empty());
    CHECK(plan.save[0].empty());
}

TEST_CASE("a store that restarts is taken for empty")
{
    SharedStores stores = freshStores();
    learnBefore(stores, Stores[0].address, stored(1, 0, {"s", "p"}, 500));
    CHECK_FALSE(stores.plan("s", {{"p", 500}}, "z1", {}, Start + 100ms).fetch[0].empty());
    CHECK_FALSE(stores.applyAnswer(Stores[0].address, {2, 7, false, 1000ms, {}}, Start + 100ms, Start + 100ms));
    CHECK(stores.plan("s", {{"p", 500}}, "z1", {}, Start + 100ms).fetch[0].empty());
    CHECK(stores.toAsk()[0].second == 0);
}

// Guards against hosts that start late and save, again and again, parts that the store already holds.
TEST_CASE("a listing replaces the view of a store, for a host that starts late")
{
    SharedStores stores = freshStores();
    const StoreEvents all {1, 5000, false, 1000ms, {{{"s", "p"}, true, 500}, {{"s", "q"}, true, 700}}};
    stores.replaceByListing(Stores[0].address, all, Start - 10s, Start - 10s);
    stores.replaceByListing(Stores[0].address, all, Start, Start);
    CHECK(stores.plan("s", {{"p", 500}, {"q", 700}}, "z1", {}, Start).fetch[1] == Stores[0].address);
    CHECK(stores.parts() == 2);
    CHECK(stores.toAsk()[0].second == 5000);
}

TEST_CASE("nothing is saved to a full store until parts of old scopes are freed")
{
    SharedStores stores;
    stores.setStores({Stores[0]});
    (void)stores.applyAnswer(Stores[0].address, {1, 0, false, 1000ms, {}}, Start - 10s, Start - 10s);
    for (std::uint64_t i = 0; i < 9; ++i) {
        (void)stores.applyAnswer(Stores[0].address, stored(1, i, {"old", std::to_string(i)}, 1000), Start, Start);
    }
    CHECK(stores.plan("new", {{"p", 1000}}, "z1", {}, Start).save[0].empty());
    const auto [epoch, parts] = stores.toFree(
        Stores[0].address, [](const ScopedPart &part) { return part.scope == "old"; }, 100);
    CHECK(epoch == 1);
    CHECK(parts.size() == 9);
    stores.removeFreed(Stores[0].address, parts);
    CHECK_FALSE(stores.plan("new", {{"p", 1000}}, "z1", {}, Start).save[0].empty());
}

// New weights are named for a pool whose stores are full of parts made by the old ones, which most engines still run.
// Guards against stores that stay full of parts of replaced weights after a restart of all hosts: these see no engine
// with replaced weights, and would search for such parts once in ten seconds only.
TEST_CASE("a store full of parts of replaced weights counts as nearly full until they are freed")
{
    SharedStores stores = freshStores();
    CHECK_FALSE(stores.isNearlyFull("10.0.0.1:1"));
    (void)stores.applyAnswer("10.0.0.1:1", stored(1, 0, {"m/1/", "p"}, 5'000), Start, Start);
    CHECK_FALSE(stores.isNearlyFull("10.0.0.1:1"));
    (void)stores.applyAnswer("10.0.0.1:1", stored(1, 1, {"m/1/", "q"}, 4'500), Start, Start);
    CHECK(stores.isNearlyFull("10.0.0.1:1"));
    CHECK_FALSE(stores.isNearlyFull("10.0.0.2:1"));
    const auto [epoch, parts] = stores.toFree(
        "10.0.0.1:1", [](const ScopedPart &part) { return part.scope == "m/1/"; }, config::StoreFreeParts);
    stores.removeFreed("10.0.0.1:1", parts);
    CHECK_FALSE(stores.isNearlyFull("10.0.0.1:1"));
}

TEST_CASE("short parts are not fetched from a store that has become slow")
{
    SharedStores stores = freshStores();
    for (const ForwardStore &store : Stores) {
        learnBefore(stores, store.address, stored(1, 0, {"s", "short" + store.name}, 500));
        learnBefore(stores, store.address, stored(1, 1, {"s", "long" + store.name}, 9000));
    }
    for (int i = 0; i < 20; ++i) {
        stores.addSample(Stores[0].address, 900ms, Start);
        stores.addSample(Stores[1].address, 80ms, Start);
    }
    CHECK(stores.plan("s", {{"shorta", 500}}, "z1", {}, Start).fetch[0].empty());
    CHECK_FALSE(stores.plan("s", {{"longa", 9000}}, "z1", {}, Start).fetch[0].empty());
    CHECK_FALSE(stores.plan("s", {{"shortb", 500}}, "z1", {}, Start).fetch[0].empty());
}

// Guards against parts that are read again because the queue of an engine was taken for slowness of a store.
TEST_CASE("a part is fetched from a store whose samples come from engines with queues")
{
    SharedStores stores = freshStores();
    learnBefore(stores, "10.0.0.1:1", stored(1, 0, {"s", "p"}, 500));
    ServerLoadReport queued {20, 12, 64};
    queued.pace = 1.0;
    ServerLoadReport idle {3, 0, 64};
    idle.pace = 1.0;
    for (int i = 0; i < 20; ++i) {
        if (isStoreSample(queued)) {
            stores.addSample("10.0.0.1:1", 900ms, Start);
        }
        if (isStoreSample(idle)) {
            stores.addSample("10.0.0.2:1", 20ms, Start);
        }
    }
    CHECK(stores.plan("s", {{"p", 500}}, "z1", {}, Start + 100ms).fetch[0] == "10.0.0.1:1");
    CHECK(isStoreSample(std::nullopt));
    CHECK(isStoreSample(ServerLoadReport {20, 12, 64}));
}

namespace {

/// One store that restarts at random and is away for @p away each time, and hosts with views of different ages. A save
/// begins at most @p saveStart after it was planned. Checks that no fetch whose result is used meets a part that is
/// being written, whenever its engine begins it.
void checkFetchesAndSaves(std::mt19937 &random, Duration away, Duration saveStart)
{
    const ForwardStore &store = Stores[0];
    std::vector<SharedStores> hosts(3);
    for (SharedStores &host : hosts) {
        host.setStores({store});
    }
    constexpr auto WriteTime = 250ms;
    std::uint64_t epoch = 1;
    std::uint64_t number = 0;
    TimePoint wholeAt; ///< When the part is completely written; the clock's epoch while no engine saves it.
    TimePoint downUntil;
    std::vector<StoreEvent> events;
    std::vector<std::pair<TimePoint, TimePoint>> fetches; ///< When planned, and until when the result is used.
    std::vector<std::pair<TimePoint, TimePoint>> writes;
    std::multiset<TimePoint> saves; ///< When engines will begin them.
    for (TimePoint now = Start; now < Start + 60s; now += 10ms) {
        const auto clock = std::chrono::duration_cast<std::chrono::milliseconds>(now - Start);
        if (now >= downUntil && random() % 700 == 0) {
            downUntil = now + away;
            ++epoch;
            number = 0;
            wholeAt = {};
            events.clear();
        }
        const bool isUp = now >= downUntil;
        for (; !saves.empty() && *saves.begin() <= now; saves.erase(saves.begin())) {
            if (isUp && wholeAt == TimePoint {}) {
                wholeAt = now + WriteTime;
                writes.emplace_back(now, wholeAt);
            }
        }
        if (wholeAt != TimePoint {} && now >= wholeAt && events.empty()) {
            events.push_back({{"s", "p"}, true, 500});
            number = 1;
        }
        SharedStores &host = hosts[random() % hosts.size()];
        if (isUp && random() % 10 == 0) {
            const auto [address, since] = host.toAsk()[0];
            StoreEvents answer {epoch, number, false, clock, {}};
            if (since < number) {
                answer.events = events;
            }
            (void)host.applyAnswer(address, answer, now, now);
        }
        const TransferPlan plan = host.plan("s", {{"p", 500}}, "z1", {}, now);
        if (!plan.save[0].empty()) {
            saves.insert(now + std::chrono::milliseconds(random() % (saveStart / 1ms + 1)));
        }
        if (!plan.fetch[0].empty()) {
            fetches.emplace_back(now, Start + *plan.fetchUntil);
        }
    }
    for (const auto &[planned, until] : fetches) {
        for (const auto &[begin, end] : writes) {
            RC_ASSERT_FALSE(planned < end && begin < until);
        }
    }
    RC_ASSERT_FALSE(fetches.empty());
}

} // namespace

TEST_CASE("no fetch whose result is used reads a part that is being written again")
{
    CHECK(rc::check([] {
        std::mt19937 random(*rc::gen::arbitrary<std::uint32_t>());
        checkFetchesAndSaves(random, config::StoreViewTime + 300ms, 0ms);
    }));
}

// Guards against saves to a store that restarted unnoticed by some hosts, which still let engines fetch what it held
// before: right after the restart, or planned before it and begun later.
TEST_CASE("no fetch whose result is used reads a part that is being written to a store that is back at once")
{
    CHECK(rc::check([] {
        std::mt19937 random(*rc::gen::arbitrary<std::uint32_t>());
        const Duration away = std::chrono::milliseconds(random() % 3 == 0 ? 0 : random() % 1000);
        checkFetchesAndSaves(random, away, config::StoreSaveStartGuess);
    }));
}

// A busy pool begins requests late, and their saves with them.
TEST_CASE("a part is fetched later where requests with saves wait for longer")
{
    SharedStores stores = freshStores();
    const Duration before = stores.settleTime(Start);
    for (int i = 0; i < 20; ++i) {
        stores.observeSaveStart(2s, Start);
    }
    CHECK(before < 2s);
    CHECK(stores.settleTime(Start) > 2s);
}

// Guards against hosts that forget for how long they have known a part when a gap in the events makes them list a
// store.
TEST_CASE("a listing of the same start of a store delays no fetch, and one of another start delays saves")
{
    SharedStores stores;
    stores.setStores({Stores[0]});
    const StoreEvents listing = stored(1, 0, {"s", "p"}, 500);
    stores.replaceByListing(Stores[0].address, listing, Start, Start);
    CHECK(stores.plan("s", {{"p", 500}}, "z1", {}, Start).fetch[0].empty());
    CHECK(stores.plan("s", {{"p", 500}}, "z1", {}, Start).save[0].empty());
    stores.replaceByListing(Stores[0].address, listing, Start + 5s, Start + 5s);
    CHECK_FALSE(stores.plan("s", {{"p", 500}}, "z1", {}, Start + 5s).fetch[0].empty());
    CHECK_FALSE(stores.plan("s", {{"q", 500}}, "z1", {}, Start + 5s).save[0].empty());
    stores.replaceByListing(Stores[0].address, {2, 0, false, 1000ms, {}}, Start + 6s, Start + 6s);
    CHECK(stores.plan("s", {{"p", 500}}, "z1", {}, Start + 6s).save[0].empty());
}
