#include <endivespan/config.h>
#include <endivespan/peer_message.h>
#include <endivespan/relay.h>

#include <doctest/doctest.h>

#include <algorithm>
#include <rapidcheck.h>
#include <set>

using namespace endivespan;
using namespace std::chrono_literals;

namespace {

constexpr TimePoint Start {std::chrono::hours(1)};
const ForwardStore Store {"s", "10.0.0.9:80", "z", 1'000'000};

HostReport hostOf(std::size_t number, std::size_t domains)
{
    HostReport report;
    report.name = "h" + std::to_string(number);
    report.address = "10.1.0." + std::to_string(number) + ":1";
    report.domain = "z" + std::to_string(number % domains);
    report.status.version = {1, 1};
    return report;
}

Membership fleet(std::size_t self, std::size_t hosts, std::size_t domains)
{
    Membership membership(hostOf(self, domains), Start);
    for (std::size_t i = 0; i < hosts; ++i) {
        membership.learn(hostOf(i, domains), Start);
    }
    return membership;
}

StoreEvents events(std::uint64_t epoch, std::uint64_t next, const std::vector<StoreEvent> &list)
{
    StoreEvents batch;
    batch.epoch = epoch;
    batch.next = next;
    batch.events = list;
    return batch;
}

/// A host that reads a store, and a follower to which it relays what it read.
struct ReaderAndFollower {
    SharedStores readerStores;
    SharedStores followerStores;
    RelayCache source;

    ReaderAndFollower()
    {
        this->readerStores.setStores({Store});
        this->followerStores.setStores({Store});
    }

    /// Lets the reader apply an answer of the store.
    void read(const StoreEvents &answer, TimePoint at, bool whole = false)
    {
        if (whole) {
            this->readerStores.replaceByListing(Store.address, answer, at, at);
        } else {
            REQUIRE(this->readerStores.applyAnswer(Store.address, answer, at, at));
        }
        this->source.addStoreEvents(Store.address, answer, whole);
    }

    /// Lets the follower ask the reader and apply the reply.
    RelayReply relay(TimePoint at)
    {
        RelayAsk ask;
        ask.stores = {{storeIdOf(Store.address),
                       this->followerStores.epochOf(Store.address),
                       this->followerStores.toAsk()[0].second}};
        RelayReply reply = this->source.answer(ask, {}, this->readerStores, at);
        for (const RelayedStore &store : reply.stores) {
            this->followerStores.applyRelayed(Store.address, store.events, store.whole, at - store.age, at);
        }
        return reply;
    }

    /// @returns whether the follower would fetch @p part from the store.
    [[nodiscard]] bool followerFetches(const std::string &part, TimePoint at)
    {
        return !this->followerStores.plan("s", {{part, 10}}, "z", {}, at).fetch[0].empty();
    }
};

RelayedServer serverRecord(const std::string &key)
{
    return {key, "value of " + key, {}};
}

} // namespace

// Guards against large fleets in which every host reads for itself, so that calls to the log are the largest part of
// the load.
TEST_CASE("readers: a fleet of any size has few readers, and every host belongs to a group with one")
{
    struct Fleet {
        std::size_t hosts;
        std::size_t domains;
    };
    for (const Fleet &size : std::vector<Fleet> {{1, 1}, {12, 3}, {295, 6}, {400, 3}}) {
        std::set<std::string> readers;
        for (std::size_t self = 0; self < size.hosts; self += 7) {
            const auto order = readerOrder(fleet(self, size.hosts, size.domains));
            CHECK(std::find(order.begin(), order.end(), "h" + std::to_string(self)) != order.end());
            CHECK(order.size() <= 2 * config::ReaderGroupMost);
            readers.insert(order.front());
        }
        CAPTURE(size.hosts);
        CHECK(readers.size() <= size.domains * (1 + size.hosts / size.domains / config::ReaderGroupMost));
    }
}

TEST_CASE("readers: the next host in order replaces a reader that failed, until that reader is tried again")
{
    const std::vector<std::string> order {"a", "b", "c"};
    ReaderSelector choice;
    CHECK(choice.reader(order, "c", Start) == "a");
    CHECK_FALSE(choice.reader(order, "a", Start));
    choice.markFailed("a", Start);
    CHECK(choice.reader(order, "c", Start) == "b");
    CHECK_FALSE(choice.reader(order, "b", Start));
    choice.markFailed("b", Start + 100ms);
    CHECK_FALSE(choice.reader(order, "c", Start + 100ms));
    CHECK(choice.reader(order, "c", Start + config::ReaderAvoidTime) == "a");
}

TEST_CASE("readers: a reader whose own reads fail asks the next host, and later reads for itself again")
{
    const std::vector<std::string> order {"a", "b", "c"};
    ReaderSelector choice;
    choice.markFailed("a", Start);
    CHECK(choice.reader(order, "a", Start) == "b");
    choice.markFailed("b", Start);
    CHECK(choice.reader(order, "a", Start) == "c");
    choice.markFailed("c", Start);
    CHECK_FALSE(choice.reader(order, "a", Start));
    CHECK_FALSE(choice.reader(order, "a", Start + config::ReaderAvoidTime));
}

TEST_CASE("readers: hosts of small groups read for themselves, since sharing would save too few calls")
{
    CHECK_FALSE(ReaderSelector::isWorthSharing(4));
    CHECK(ReaderSelector::isWorthSharing(24));
}

// Guards against a reader whose reads hang while it still answers: with various fleet sizes and bounds, each follower
// must itself have read a change that was made right after the reader's last successful read before the bound is over.
TEST_CASE("shared facts: a follower reads for itself within the bound after its reader's last successful read")
{
    for (const auto bound : {1000ms, 2000ms, 3000ms, 6000ms}) {
        for (const std::size_t hosts : {12U, 100U, 300U}) {
            CAPTURE(bound.count());
            CAPTURE(hosts);
            const RelayAgeLimits ages = relayAgeLimits(bound, bound);
            const auto roundTrip = bound / 20;
            // The hosts start at times spread over one relay period.
            for (std::size_t host = 0; host < hosts; ++host) {
                RelayedDataAge operators(ages.operators);
                RelayedDataAge list(ages.servers);
                operators.setShared(true);
                list.setShared(true);
                const TimePoint lastRead = Start;
                TimePoint now = Start + config::RelayPeriod * host / hosts;
                for (; operators.timeUntilOwnRead(now) > Duration::zero(); now += 10ms) {
                    operators.confirmed(lastRead);
                }
                CHECK(now + roundTrip + ages.operatorLag - lastRead < bound);
                for (now = Start; list.timeUntilOwnRead(now) > Duration::zero(); now += 10ms) {
                    list.confirmed(lastRead);
                }
                CHECK(now + roundTrip - lastRead < bound);
            }
        }
    }
}

TEST_CASE("shared facts: data of a working reader is never too old for its followers; unshared data is always read")
{
    const RelayAgeLimits ages = relayAgeLimits(2000ms, 2000ms);
    RelayedDataAge fact(ages.operators);
    CHECK(fact.timeUntilOwnRead(Start) == Duration::zero());
    fact.confirmed(Start);
    CHECK(fact.timeUntilOwnRead(Start) == Duration::zero());
    fact.setShared(true);
    // Greatest age of the data of a working reader; the follower asks again one relay period later.
    const auto oldest = ages.operatorWait + 100ms;
    CHECK(fact.timeUntilOwnRead(Start + oldest + config::RelayPeriod) > Duration::zero());
    fact.confirmed(Start - 1s);
    CHECK(fact.age(Start) == Duration::zero());
}

TEST_CASE("readers: a leaving host is no reader")
{
    Membership membership = fleet(0, 12, 1);
    const auto order = readerOrder(membership);
    HostReport leaving = membership.find(order[0] == "h0" ? order[1] : order[0])->report;
    leaving.status.state = HostState::Leaving;
    leaving.status.version.sequence = 2;
    membership.learn(leaving, Start);
    const auto rest = readerOrder(membership);
    CHECK(std::find(rest.begin(), rest.end(), leaving.name) == rest.end());
    CHECK(std::find(rest.begin(), rest.end(), "h0") != rest.end());
}

TEST_CASE("relay: changed and removed servers are relayed once, heartbeats only to followers that request them")
{
    RelayCache source;
    const SharedStores noStores;
    source.addServerRecord(serverRecord("a"), 10, true, Start);
    source.addServerRecord(serverRecord("b"), 10, true, Start);
    source.confirmServers(10, Start);
    RelayAsk ask;
    ask.serversNext = 10;
    CHECK(source.answer(ask, {}, noStores, Start).servers.empty());
    source.addServerRecord({"a", std::nullopt, 2s}, 12, true, Start + 1s);
    source.addServerRecord(serverRecord("b"), 12, false, Start + 1s);
    source.confirmServers(12, Start + 1s);
    const RelayReply reply = source.answer(ask, {}, noStores, Start + 1500ms);
    REQUIRE(reply.servers.size() == 1);
    CHECK(reply.servers[0] == RelayedServer {"a", std::nullopt, 1500ms});
    CHECK(reply.serversNext == 12);
    CHECK(reply.serversAge == Duration(500ms));
    ask.serversNext = 12;
    ask.unconfirmed = {"a", "b"};
    const RelayReply heartbeats = source.answer(ask, {}, noStores, Start + 2s);
    REQUIRE(heartbeats.servers.size() == 1);
    CHECK(heartbeats.servers[0].key == "b");
}

// After a restart a reader holds only the newest records. Without the gap, followers would keep using servers that were
// removed before.
TEST_CASE("relay: a reader whose records do not reach back far enough reports a gap")
{
    RelayCache source;
    source.addServerRecord(serverRecord("a"), 50, true, Start);
    source.confirmServers(50, Start);
    RelayAsk ask;
    ask.serversNext = 40;
    const RelayReply reply = source.answer(ask, {}, SharedStores(), Start);
    CHECK(reply.serversGap);
    CHECK(reply.servers.empty());
    CHECK_FALSE(RelayCache().answer(ask, {}, SharedStores(), Start).serversAge);
}

TEST_CASE("relay: the relayed view of a store keeps its age, and a restart of the store empties it")
{
    ReaderAndFollower pair;
    pair.read(events(7, 1, {{{"s", "p"}, true, 10}}), Start - 10s);
    pair.relay(Start - 10s);
    pair.read(events(7, 1, {}), Start);
    pair.relay(Start + 200ms);
    CHECK(pair.followerFetches("p", Start + config::StoreViewTime));
    CHECK_FALSE(pair.followerFetches("p", Start + config::StoreViewTime + 1ms));
    // Relaying it again without a newer answer of the store does not reset its age.
    pair.relay(Start + config::StoreViewTime);
    CHECK_FALSE(pair.followerFetches("p", Start + config::StoreViewTime + 1ms));
    pair.read(events(8, 1, {{{"s", "q"}, true, 10}}), Start + 2s, true);
    CHECK(pair.relay(Start + 2s).stores.at(0).whole);
    CHECK_FALSE(pair.followerFetches("p", Start + 2s));
    pair.read(events(8, 1, {}), Start + 12s);
    pair.relay(Start + 12s);
    CHECK_FALSE(pair.followerFetches("p", Start + 12s));
    CHECK(pair.followerFetches("q", Start + 12s));
}

TEST_CASE("relay: a follower reaches the reader's view of a store, whenever it asks")
{
    CHECK(rc::check([] {
        ReaderAndFollower pair;
        std::uint64_t number = 0;
        TimePoint now = Start;
        std::set<std::string> held;
        pair.read(events(7, 0, {}), now);
        for (int round = 0; round < 60; ++round) {
            now += 100ms;
            std::vector<StoreEvent> list;
            for (int i = *rc::gen::inRange(0, 4); i > 0; --i) {
                const std::string part = std::to_string(*rc::gen::inRange(0, 12));
                const bool stored = *rc::gen::arbitrary<bool>();
                list.push_back({{"s", part}, stored, 10});
                stored ? (void)held.insert(part) : (void)held.erase(part);
                ++number;
            }
            pair.read(events(7, number, list), now);
            if (*rc::gen::inRange(0, 3) == 0) {
                pair.relay(now + 10ms);
            }
        }
        now += 100ms;
        pair.read(events(7, number, {}), now);
        pair.relay(now);
        now += 10s; // Parts are fetched once they have been known for a while.
        pair.read(events(7, number, {}), now);
        pair.relay(now);
        for (int part = 0; part < 12; ++part) {
            const std::string id = std::to_string(part);
            RC_ASSERT(pair.followerFetches(id, now) == held.contains(id));
        }
    }));
}

TEST_CASE("relay: the load that a server reported reaches other hosts, and an older report changes nothing")
{
    ServerTable asked;
    ServerTable other;
    ServerEntry entry;
    entry.id = "e";
    entry.service = "llm";
    entry.slots = 16;
    entry.born = 1;
    asked.update(entry, Start);
    other.update(entry, Start);
    asked.reportedLoad("e", {12, 3, 16, 2.5}, Start);
    const auto loads = loadsSince(asked, Start, true, Start + 100ms);
    REQUIRE(loads.size() == 1);
    CHECK(loads[0].age == 100ms);
    const auto applyLoad = [&](const RelayedLoad &load, TimePoint receivedAt) {
        other.reportedLoadToOtherHost(
            load.server, load.running, load.waiting, load.pace, receivedAt - load.age, receivedAt);
    };
    applyLoad(loads[0], Start + 100ms);
    CHECK(other.meanRequests("llm", Start + 200ms) == 15);
    CHECK(other.find("e")->pace.expected(Start) == 2.5);
    CHECK(other.find("e")->pace.expected(Start + 500ms) < 2.5);
    CHECK(loadsSince(other, Start, true, Start + 200ms).empty());
    CHECK(loadsSince(other, Start, false, Start + 200ms).size() == 1);
    other.reportedLoad("e", {2, 0, 16}, Start + 300ms);
    applyLoad(loads[0], Start + 350ms);
    CHECK(other.meanRequests("llm", Start + 400ms) == 2);
}

TEST_CASE("relay: requests and replies decode to what was encoded, and ages are never negative")
{
    RelayAsk ask;
    ask.serversNext = 77;
    ask.unconfirmed = {"a"};
    ask.stores = {{4'000'000'000U, 5, 6}};
    ask.sinceLast = 300ms;
    ask.loads = {{4'000'000'001U, 3, 4, 20ms, std::nullopt}, {4, 3, 4, 20ms, 2.5}, {5, 3, 4, 20ms, 0.01}};
    const auto askFrame = decodePeerFrame(encodePeerFrame({1, false, ask}));
    REQUIRE(askFrame.has_value());
    CHECK(std::get<RelayAsk>(askFrame.value().message) == ask);
    RelayReply reply;
    reply.config.offset = 9;
    reply.serversNext = 80;
    reply.serversAge = 40ms;
    reply.servers = {{"gone", std::nullopt, 2s}, {"here", std::string("\0x", 2), {}}};
    reply.stores.push_back({3, true, 50ms, events(7, 8, {{{"s1", "p"}, true, 10}, {{"s2", "q"}, false, 0}})});
    reply.stores[0].events.clock = 123ms;
    reply.loads = ask.loads;
    reply.more = true;
    const auto replyFrame = decodePeerFrame(encodePeerFrame({1, true, reply}));
    REQUIRE(replyFrame.has_value());
    const auto &got = std::get<RelayReply>(replyFrame.value().message);
    CHECK(got.config == reply.config);
    CHECK(got.servers == reply.servers);
    CHECK(got.serversAge == reply.serversAge);
    CHECK(got.loads == reply.loads);
    CHECK(got.more);
    REQUIRE(got.stores.size() == 1);
    CHECK(got.stores[0].whole);
    CHECK(got.stores[0].events.clock == reply.stores[0].events.clock);
    REQUIRE(got.stores[0].events.events.size() == 2);
    CHECK(got.stores[0].events.events[0].tokens == 10);
    CHECK_FALSE(got.stores[0].events.events[1].stored);
    CHECK(got.stores[0].events.events[1].part == ScopedPart {"s2", "q"});
    RelayReply future;
    future.serversAge = -5s;
    const auto clamped = decodePeerFrame(encodePeerFrame({1, true, future}));
    CHECK(std::get<RelayReply>(clamped.value().message).serversAge == Duration::zero());
}

// Guards against slow links to a store that no host detects, because each host alone uses any one store too rarely.
TEST_CASE(
    "relay: samples of a store's speed from many hosts make each of them recompute short parts instead of fetching")
{
    ReaderAndFollower pair;
    const ForwardStore fastStore {"q", "10.0.0.8:80", "z", 1'000'000};
    SharedStores reader;
    reader.setStores({Store, fastStore});
    for (int host = 0; host < 20; ++host) {
        SharedStores asker;
        asker.setStores({Store, fastStore});
        asker.addSample(Store.address, 900ms, Start);
        asker.addSample(fastStore.address, 20ms, Start);
        for (const StoreSample &sample : asker.takeSamples()) {
            reader.addSample(sample.address, sample.excess, Start);
        }
        CHECK(asker.takeSamples().empty());
    }
    pair.read(events(7, 1, {{{"s", "p"}, true, 10}}), Start - 10s);
    pair.relay(Start - 10s);
    pair.read(events(7, 1, {}), Start);
    pair.relay(Start);
    pair.followerStores.setStores({Store, fastStore});
    REQUIRE(pair.followerFetches("p", Start));
    for (const StoreSpeed &speed : reader.speeds(Start + 100ms)) {
        pair.followerStores.learnSpeed(speed, Start + 100ms);
    }
    CHECK_FALSE(pair.followerFetches("p", Start + 100ms));
}
