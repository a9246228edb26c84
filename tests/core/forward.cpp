#include <endivespan/config.h>
#include <endivespan/forward.h>
#include <endivespan/host_roster.h>
#include <endivespan/log_position.h>
#include <endivespan/membership.h>
#include <endivespan/order_lease.h>
#include <endivespan/placement.h>
#include <endivespan/retry_share.h>
#include <endivespan/rollout.h>
#include <endivespan/server_table.h>
#include <endivespan/weight_history.h>

#include <doctest/doctest.h>

#include <algorithm>
#include <deque>
#include <optional>
#include <random>
#include <rapidcheck.h>

using namespace endivespan;
using namespace std::chrono_literals;

namespace {

constexpr TimePoint Start {std::chrono::hours(1)};
const RolloutPace Pace {5s, 1400ms};

ServerEntry engine(const std::string &id, std::uint64_t weights = 1, std::uint64_t heartbeat = 1)
{
    ServerEntry entry;
    entry.id = id;
    entry.service = "llm";
    entry.address = "10.0.0.1:80";
    entry.domain = "z";
    entry.born = 1000;
    entry.heartbeat = heartbeat;
    entry.slots = 64;
    entry.weights["m"] = weights;
    return entry;
}

PlacementNeed promptNeed(std::uint64_t prefix)
{
    PlacementNeed need;
    need.service = "llm";
    need.model = "m";
    need.prefixHash = prefix;
    need.sharedTokens = 2000;
    need.ownTokens = 500;
    need.domain = "z";
    return need;
}

std::size_t mostInSecond(const std::vector<TimePoint> &sorted)
{
    std::size_t most = 0;
    for (std::size_t first = 0, last = 0; first < sorted.size(); ++first) {
        while (last < sorted.size() && sorted[last] - sorted[first] < 1s) {
            ++last;
        }
        most = std::max(most, last - first);
    }
    return most;
}

ServerTable enginePool(std::size_t count, std::uint64_t weights = 1)
{
    ServerTable table;
    for (std::size_t i = 0; i < count; ++i) {
        table.update(engine("e" + std::to_string(i), weights), Start);
    }
    return table;
}

/// A fleet of hosts that all send requests to one cold server.
struct ColdFleet {
    struct Host {
        HostRoster roster;
        ServerTable table;
        Duration connectTime {}; ///< Time from the choice of the server until the request is sent.
        std::optional<TimePoint> sendsAt;
        TimePoint joinsAt;
    };

    static std::string name(std::size_t index)
    {
        return "host-" + std::to_string(index);
    }

    /// @param reachableShare Share of the hosts whose heartbeats still arrive.
    ColdFleet(std::size_t count, double reachableShare, Duration coldFor)
        : entry(engine("e"))
    {
        this->entry.coldFor = coldFor;
        Membership view({name(0), "", "", "", {}}, Start - 1h);
        for (std::size_t i = 0; i < count; ++i) {
            view.learn({name(i), "", "", "", {{1, 1}}}, Start - 1h);
        }
        view.tick(Start - 30min);
        view.tick(Start - 30min + 1ms);
        for (std::size_t i = 0; i < static_cast<std::size_t>(reachableShare * static_cast<double>(count)); ++i) {
            view.learn({name(i), "", "", "", {{1, 2}}}, Start);
        }
        this->hostIds = view.ids();
        for (std::size_t i = 0; i < count; ++i) {
            this->add(Start);
        }
        this->updateRosters();
    }

    Host &add(TimePoint joinsAt)
    {
        this->hosts.push_back({HostRoster(hostIdOf(name(this->hosts.size()))), {}, {}, {}, joinsAt});
        Host &host = this->hosts.back();
        host.table.update(this->entry, Start);
        host.roster.join(joinsAt);
        return host;
    }

    /// Adds a host that is not in the rosters of the others yet.
    void addUnknown(TimePoint joinsAt)
    {
        const std::uint64_t id = hostIdOf(name(this->hosts.size()));
        Host &host = this->add(joinsAt);
        this->hostIds.push_back(id);
        host.roster.setHosts(this->hostIds);
    }

    /// Updates the rosters of all hosts to the current list of hosts.
    void updateRosters()
    {
        for (Host &host : this->hosts) {
            host.roster.setHosts(this->hostIds);
        }
    }

    void restart(std::size_t index, TimePoint joinsAt)
    {
        Host &host = this->hosts[index];
        host.table = {};
        host.table.update(this->entry, Start);
        host.joinsAt = std::max(host.joinsAt, joinsAt);
        host.roster.join(host.joinsAt);
        host.sendsAt.reset();
    }

    /// Every @p gap, offers one request to each of @p atOnce random hosts.
    /// @returns the times at which requests were sent.
    std::vector<TimePoint> offer(double bound, TimePoint from, TimePoint to, Duration gap, std::size_t atOnce = 1)
    {
        std::vector<TimePoint> sent;
        for (TimePoint now = from; now < to; now += gap) {
            for (Host &host : this->hosts) {
                if (host.sendsAt && *host.sendsAt <= now) {
                    host.sendsAt.reset();
                    host.table.sent("e", now);
                    sent.push_back(now);
                }
            }
            for (std::size_t i = 0; i < atOnce; ++i) {
                Host &host = this->hosts[this->random() % this->hosts.size()];
                const ColdBound all {coldRights(bound), &host.roster};
                if (!host.sendsAt && ServerTable::hasColdRoom(*host.table.find("e"), all, now)) {
                    host.table.started("e", 0, now);
                    host.sendsAt = now + host.connectTime;
                }
            }
        }
        return sent;
    }

    std::mt19937 random {7};
    ServerEntry entry;
    std::vector<Host> hosts;
    std::vector<std::uint64_t> hostIds;
};

/// Simulates four hosts that use one order lease, with lost answers and hosts that stand still, and asserts that two
/// holders never follow each other within the gap and that fences never decrease.
struct OrderLeaseSimulation {
    struct Call {
        std::size_t host;
        bool isAppend;
        std::uint64_t at;
        std::string record;
        TimePoint sentAt;
        TimePoint done;
        bool lost;
    };

    /// @param withRestores The log is restored from older copies meanwhile, and hosts start anew.
    OrderLeaseSimulation(std::uint32_t seed, bool withRestores)
        : random(seed)
        , restores(withRestores)
        , era(withRestores ? 1 : 0)
    {
        this->hosts.reserve(this->calling.size());
        for (std::size_t i = 0; i < this->calling.size(); ++i) {
            this->hosts.emplace_back("h" + std::to_string(i), Times);
        }
    }

    void run()
    {
        for (TimePoint now = Start; now < Start + (this->restores ? 120s : 60s); now += 20ms) {
            if (this->restores && this->random() % 400 == 0) {
                this->log.resize(this->log.size() - std::min<std::size_t>(this->random() % 20, this->log.size()));
                ++this->era;
            }
            this->handleCalls(now);
            for (std::size_t i = 0; i < this->hosts.size(); ++i) {
                this->advanceHost(i, now);
            }
        }
        RC_ASSERT(this->lastFence > 0);
    }

    /// The log handles each call at its due time, but not before its host is running again if that is frozen.
    void handleCalls(TimePoint now)
    {
        for (std::size_t i = 0; i < this->calls.size();) {
            Call call = this->calls[i];
            if (call.done > now || this->frozenUntil[call.host] > now) {
                ++i;
                continue;
            }
            this->calls.erase(this->calls.begin() + static_cast<std::ptrdiff_t>(i));
            this->calling[call.host] = false;
            this->handle(call, now);
        }
    }

    void handle(const Call &call, TimePoint now)
    {
        OrderLease &host = this->hosts[call.host];
        bool applied = false;
        if (call.isAppend && offsetOf(call.at) == this->log.size()) {
            this->log.push_back(call.record);
            applied = eraOf(call.at) == this->era;
        }
        if (call.lost) {
            host.onNoAnswer();
            return;
        }
        host.onEra(this->era, now);
        if (!call.isAppend) {
            host.onRead(this->log.empty() ? "" : this->log.back(), logPosition(this->era, this->log.size()), now);
        } else if (applied) {
            host.appended(logPosition(this->era, this->log.size() - 1), call.sentAt);
        } else {
            host.onRefused();
        }
    }

    void advanceHost(std::size_t index, TimePoint now)
    {
        OrderLease &host = this->hosts[index];
        if (this->restores && this->random() % 1000 == 0 && !this->calling[index]) {
            host = OrderLease("h" + std::to_string(index) + "#" + std::to_string(++this->restarts), Times);
            host.onEra(this->era, now);
        }
        if (this->random() % 600 == 0) {
            this->frozenUntil[index] = now + std::chrono::milliseconds(this->random() % 6000);
        }
        if (this->frozenUntil[index] > now) {
            return;
        }
        if (const auto fence = host.fence(now)) {
            this->sendOrder(index, *fence, now);
        }
        const OrderLeaseStep step = host.next(now);
        if (!this->calling[index] && (step == OrderLeaseStep::Read || step == OrderLeaseStep::Append)) {
            this->calling[index] = true;
            this->calls.push_back({index,
                                   step == OrderLeaseStep::Append,
                                   host.end(),
                                   host.record(),
                                   now,
                                   now + std::chrono::milliseconds(this->random() % 300),
                                   this->random() % 10 == 0});
        }
    }

    void sendOrder(std::size_t index, std::uint64_t fence, TimePoint now)
    {
        RC_ASSERT(fence >= this->lastFence);
        if (this->lastOrder && this->lastOrder->first != index) {
            RC_ASSERT(now - this->lastOrder->second >= 3000ms);
        }
        this->lastFence = fence;
        this->lastOrder = {index, now};
    }

    static constexpr OrderLeaseTimes Times {1200ms, 3200ms};
    std::mt19937 random;
    bool restores;
    std::vector<OrderLease> hosts;
    std::vector<bool> calling = std::vector<bool>(4, false);
    std::vector<TimePoint> frozenUntil = std::vector<TimePoint>(4);
    std::vector<std::string> log;
    std::uint64_t era;
    int restarts = 0;
    std::vector<Call> calls;
    std::optional<std::pair<std::size_t, TimePoint>> lastOrder;
    std::uint64_t lastFence = 0;
};

} // namespace

TEST_CASE("routes with several targets choose by weight")
{
    ForwardRoute route;
    route.targets = {{"a", 90}, {"b", 10}};
    std::map<std::string, int> chosen;
    for (std::uint64_t random = 0; random < 1'000'000; random += 1000) {
        ++chosen[chooseTarget(route, random)];
    }
    CHECK(chosen["a"] == 900);
    CHECK(chosen["b"] == 100);
}

TEST_CASE("weights: a version counts as replaced from the naming of the next one, also after a third is named")
{
    WeightHistory history;
    history.recordVersion("m", 1, TimePoint {});
    history.recordVersion("m", 2, Start);
    CHECK(history.replacedAt("m", 1) == Start);
    history.recordVersion("m", 3, Start + 4s);
    CHECK(history.replacedAt("m", 1) == Start);
    CHECK(history.replacedAt("m", 2) == Start + 4s);
    CHECK_FALSE(history.replacedAt("m", 3));
    CHECK_FALSE(history.replacedAt("other", 1));
    CHECK(history.newest("m") == 3);
    CHECK(history.oldestUsable("m", 5s, Start + 4s) == 1);
    CHECK(history.oldestUsable("m", 5s, Start + 6s) == 2);
    CHECK(history.oldestUsable("m", 5s, Start + 10s) == 3);
    CHECK_FALSE(history.recordVersion("m", 3, Start + 20s));
}

TEST_CASE("server table: old heartbeats, a restart under the same id, and weights reported by the server itself")
{
    ServerTable table;
    CHECK(table.update(engine("e", 1, 5), Start));
    CHECK_FALSE(table.update(engine("e", 9, 4), Start));
    CHECK(table.find("e")->entry.weights.at("m") == 1);
    table.reportedWeights("e", "m", 2);
    table.update(engine("e", 1, 6), Start);
    CHECK(table.find("e")->entry.weights.at("m") == 2);
    ServerEntry restarted = engine("e", 1, 1);
    restarted.born = 2000;
    restarted.coldFor = 3s;
    CHECK(table.update(restarted, Start));
    CHECK(table.find("e")->entry.weights.at("m") == 1);
    CHECK(ServerTable::isCold(*table.find("e"), Start + 2s));
    CHECK_FALSE(ServerTable::isCold(*table.find("e"), Start + 4s));
    CHECK_FALSE(table.update(engine("e", 1, 9), Start));
}

TEST_CASE("server table: servers whose entries expired in an outage of the list are kept until it is complete again")
{
    ServerTable table = enginePool(3);
    table.entryRemoved("e0", std::nullopt, Start);
    CHECK(table.find("e0") == nullptr);
    table.entryRemoved("e1", Start + 2s, Start);
    table.entryRemoved("e2", Start + 2s, Start);
    REQUIRE(table.find("e1") != nullptr);
    CHECK(table.isOpen(*table.find("e1"), Start));
    table.update(engine("e1", 1, 2), Start + 1s);
    table.tick(Start + 3s);
    CHECK(table.find("e1") != nullptr);
    CHECK(table.find("e2") == nullptr);
}

TEST_CASE("server table: no requests go to draining and evacuated servers, nor for a while to those that refuse one")
{
    ServerTable table = enginePool(2);
    ServerEntry leaving = engine("e0", 1, 2);
    leaving.draining = true;
    table.update(leaving, Start);
    CHECK_FALSE(table.isOpen(*table.find("e0"), Start));
    table.setEvacuated({"z"}, Start);
    CHECK_FALSE(table.isOpen(*table.find("e1"), Start));
    table.setEvacuated({}, Start);
    CHECK(table.isOpen(*table.find("e1"), Start));
    table.started("e1", 10, Start);
    table.reportedLoad("e1", {2, 0, 64}, Start);
    table.ended("e1", AttemptOutcome::Refused, Start);
    CHECK_FALSE(table.isOpen(*table.find("e1"), Start + 400ms));
    CHECK(table.isOpen(*table.find("e1"), Start + 600ms));
}

TEST_CASE("cold servers: up to 400 hosts stay within the limit from the start, however many hosts each can reach")
{
    for (const std::size_t hosts : {1U, 12U, 18U, 30U, 60U, 114U, 295U, 400U}) {
        for (const double reachableShare : {1.0, 0.5, 0.2}) {
            CAPTURE(hosts);
            CAPTURE(reachableShare);
            const double bound = 21.5;
            ColdFleet fleet(hosts, reachableShare, 3s);
            const auto sent = fleet.offer(bound, Start, Start + 3s, 2ms);
            CHECK(static_cast<double>(mostInSecond(sent)) <= bound);
        }
    }
}

TEST_CASE("cold servers: hosts that stall, restart and join stay within the limit in any second")
{
    CHECK(rc::check([] {
        const auto hosts = *rc::gen::inRange<std::size_t>(1, 300);
        const double bound = *rc::gen::inRange(3, 60);
        std::mt19937 random(*rc::gen::arbitrary<std::uint32_t>());
        ColdFleet fleet(hosts, 1.0, 60s);
        TimePoint toldAt = Start;
        std::vector<TimePoint> sent;
        for (TimePoint now = Start; now < Start + 20s; now += 500ms) {
            const std::size_t host = random() % fleet.hosts.size();
            switch (random() % 4) {
            case 0:
                fleet.hosts[host].connectTime = std::chrono::milliseconds(random() % 150);
                break;
            case 1:
                fleet.restart(host, now + config::HostReturnDelay);
                break;
            case 2:
                fleet.addUnknown(now + config::HostJoinDelay);
                break;
            default:
                break;
            }
            if (now - toldAt >= config::HostReadPeriod) {
                toldAt = now;
                fleet.updateRosters();
            }
            const auto part = fleet.offer(bound, now, now + 500ms, std::chrono::milliseconds(1 + random() % 20));
            sent.insert(sent.end(), part.begin(), part.end());
        }
        std::sort(sent.begin(), sent.end());
        RC_ASSERT(static_cast<double>(mostInSecond(sent)) <= bound);
    }));
}

TEST_CASE("cold servers: hosts with waiting requests use at least four fifths of the limit, for 12 to 400 hosts")
{
    for (const std::size_t hosts : {12U, 18U, 30U, 114U, 139U, 295U, 400U}) {
        CAPTURE(hosts);
        ColdFleet fleet(hosts, 1.0, 11s);
        const auto sent = fleet.offer(21.5, Start, Start + 10s, 2ms, hosts);
        CHECK(static_cast<double>(sent.size()) >= 0.8 * 21.5 * 10);
    }
}

TEST_CASE("cold servers: a request that waits for its connection holds its right until a second after it is sent")
{
    HostRoster roster(1);
    roster.join(Start);
    const ColdBound bound {1, &roster};
    ServerTable table;
    ServerEntry cold = engine("e");
    cold.coldFor = 60s;
    table.update(cold, Start);
    table.started("e", 0, Start);
    CHECK_FALSE(ServerTable::hasColdRoom(*table.find("e"), bound, Start + 5s));
    table.sent("e", Start + 5s);
    CHECK_FALSE(ServerTable::hasColdRoom(*table.find("e"), bound, Start + 6s));
    CHECK(ServerTable::hasColdRoom(*table.find("e"), bound, Start + 6s + config::ColdSpanMargin));
    table.started("e", 0, Start + 7s);
    table.notSent("e");
    CHECK(ServerTable::hasColdRoom(*table.find("e"), bound, Start + 7s));
}

TEST_CASE("cold servers: requests sent shortly before a server became cold count towards the limit")
{
    HostRoster roster(1);
    roster.join(Start);
    const ColdBound bound {1, &roster};
    ServerTable table;
    table.update(engine("e", 1, 1), Start);
    table.started("e", 0, Start);
    table.sent("e", Start);
    table.reportedCold("e", 999, 3s, Start);
    CHECK(ServerTable::hasColdRoom(*table.find("e"), bound, Start));
    table.reportedCold("e", 1000, 3s, Start);
    CHECK_FALSE(ServerTable::hasColdRoom(*table.find("e"), bound, Start + 500ms));
    ServerEntry restarted = engine("e", 1, 1);
    restarted.born = 2000;
    restarted.coldFor = 3s;
    table.update(restarted, Start + 600ms);
    CHECK_FALSE(ServerTable::hasColdRoom(*table.find("e"), bound, Start + 900ms));
    CHECK(ServerTable::hasColdRoom(*table.find("e"), bound, Start + 2s));
}

TEST_CASE("cold servers: after an evacuation servers count as cold until a new list entry can have arrived")
{
    ServerTable table = enginePool(1);
    table.setEvacuated({"z"}, Start);
    CHECK_FALSE(ServerTable::isCold(*table.find("e0"), Start + 1s));
    table.setEvacuated({}, Start + 1s);
    table.update(engine("e0", 1, 2), Start + 1500ms);
    CHECK(ServerTable::isCold(*table.find("e0"), Start + 3s));
    CHECK_FALSE(ServerTable::isCold(*table.find("e0"), Start + 1s + config::ListLag));
}

TEST_CASE("cold servers: an idle one is preferred to a crowded pool if the host holds a right, and not used otherwise")
{
    HostRoster roster(1);
    ServerTable table = enginePool(200);
    for (int i = 0; i < 200; ++i) {
        table.reportedLoad("e" + std::to_string(i), {64, 10, 64}, Start);
    }
    ServerEntry cold = engine("cold");
    cold.coldFor = 60s;
    table.update(cold, Start);
    PlacementNeed need = promptNeed(7);
    need.hosts = 295;
    need.meanRequests = 74;
    need.maxWaiting = 14;
    need.memoryTokens = 100'000;
    need.coldBound = {19, &roster};
    const auto placement = makeExpectedStartPlacement();
    for (std::uint64_t random = 0; random < 50; ++random) {
        CHECK(placement->choose(table, need, random, Start).server != "cold");
    }
    roster.join(Start);
    for (std::uint64_t random = 0; random < 50; ++random) {
        CHECK(placement->choose(table, need, random, Start).server == "cold");
    }
    const auto choice = placement->choose(table, need, 0, Start);
    CHECK(choice.cold == 0);
}

TEST_CASE("cold servers: an unreachable server counts as cold until its next heartbeat")
{
    ServerTable table = enginePool(1);
    CHECK_FALSE(ServerTable::isCold(*table.find("e0"), Start));
    table.started("e0", 0, Start);
    table.ended("e0", AttemptOutcome::Unreachable, Start);
    CHECK(ServerTable::isCold(*table.find("e0"), Start + 30s));
    table.update(engine("e0", 1, 1), Start + 1s);
    CHECK(ServerTable::isCold(*table.find("e0"), Start + 30s));
    table.update(engine("e0", 1, 2), Start + 1s);
    CHECK_FALSE(ServerTable::isCold(*table.find("e0"), Start + 30s));
}

TEST_CASE("retry share: hosts whose requests all fail stay within the common budget together")
{
    CHECK(rc::check([] {
        const auto hosts = *rc::gen::inRange<std::size_t>(1, 25);
        const RetryBounds bounds {0.2, 126, 10s};
        std::vector<RetryShare> shares(hosts, RetryShare(bounds));
        for (RetryShare &share : shares) {
            share.enableSlackFrom(Start);
        }
        std::mt19937 random(*rc::gen::arbitrary<std::uint32_t>());
        const int rate = 1 + static_cast<int>(random() % 300);
        std::vector<TimePoint> requests;
        std::vector<TimePoint> repeats;
        for (TimePoint now = Start; now < Start + 40s; now += std::chrono::microseconds(1'000'000 / rate)) {
            // The load drops by half for 10 s.
            if (now > Start + 15s && now < Start + 25s && random() % 2 == 0) {
                continue;
            }
            RetryShare &share = shares[random() % hosts];
            share.countRequest("s", now);
            requests.push_back(now);
            if (share.tryTake("s", hosts, now)) {
                repeats.push_back(now);
            }
        }
        const auto count = [](const std::vector<TimePoint> &times, TimePoint from, TimePoint to) {
            return static_cast<double>(std::lower_bound(times.begin(), times.end(), to)
                                       - std::lower_bound(times.begin(), times.end(), from));
        };
        for (TimePoint from = Start; from < Start + 30s; from += 500ms) {
            const double asked = std::max({count(requests, from, from + 10s),
                                           count(requests, from - 10s, from),
                                           count(requests, from - 5s, from + 5s)});
            RC_ASSERT(count(repeats, from, from + 10s) <= 0.2 * asked + 126);
        }
    }));
}

TEST_CASE("retry share: hosts that have lost contact with others and then all restart stay within the common budget")
{
    const RetryBounds bounds {0.2, 292, 10s};
    for (const std::size_t hosts : {12U, 114U, 295U}) {
        CAPTURE(hosts);
        const ColdFleet fleet(hosts, 0.2, 3s);
        std::vector<RetryShare> shares(hosts, RetryShare(bounds));
        for (RetryShare &share : shares) {
            share.enableSlackFrom(Start);
        }
        std::vector<TimePoint> repeats;
        std::size_t requests = 0;
        for (TimePoint now = Start; now < Start + 10s; now += 10ms) {
            if (now == Start + 5s) {
                for (RetryShare &share : shares) {
                    share = RetryShare(bounds);
                    share.enableSlackFrom(now + bounds.window);
                }
            }
            const auto host = static_cast<std::size_t>((now - Start) / 10ms) % hosts;
            shares[host].countRequest("s", now);
            ++requests;
            for (int again = 0; again < 30; ++again) {
                if (shares[host].tryTake("s", fleet.hosts[host].roster.size(), now)) {
                    repeats.push_back(now);
                }
            }
        }
        CHECK(static_cast<double>(repeats.size()) <= bounds.ratio * static_cast<double>(requests) + bounds.slack);
    }
}

TEST_CASE("order lease: holders never overlap nor follow each other within the gap, and fences never decrease")
{
    CHECK(rc::check([](std::uint32_t seed) { OrderLeaseSimulation(seed, false).run(); }));
}

TEST_CASE("order lease: holders keep the gap and fences never decrease when the log is restored from an older copy")
{
    CHECK(rc::check([](std::uint32_t seed) { OrderLeaseSimulation(seed, true).run(); }));
}

TEST_CASE("rollout: all engines reach the newest weights, a few at a time, when answers are lost")
{
    CHECK(rc::check([] {
        std::mt19937 random(*rc::gen::arbitrary<std::uint32_t>());
        ServerTable table = enginePool(18);
        std::map<std::string, EngineState> engines;
        std::map<std::string, TimePoint> loadedAt;
        for (const auto &[id, view] : table.servers()) {
            engines[id].weights["m"] = 1;
        }
        Rollout rollout(RolloutPace {5s, 1400ms});
        rollout.setTargets({{"m", {2, 0}}});
        TimePoint now = Start;
        for (; now < Start + 60s && rollout.isNeeded(table, now); now += 50ms) {
            if (now >= Start + 4s) {
                rollout.setTargets({{"m", {3, 0}}});
            }
            std::size_t loading = 0;
            for (auto &[id, state] : engines) {
                if (state.busy && now >= loadedAt[id]) {
                    state.busy = false;
                    ServerEntry entry = table.find(id)->entry;
                    ++entry.heartbeat;
                    entry.weights = state.weights;
                    table.update(entry, now);
                }
                loading += state.busy ? 1 : 0;
            }
            RC_ASSERT(loading <= 5U);
            for (int round = 0; round < 2; ++round) {
                for (const RolloutStep &step : rollout.next(table, now)) {
                    const std::string &id = step.order.server;
                    EngineState &state = engines[id];
                    const bool lost = random() % 8 == 0;
                    if (step.kind == RolloutStep::Kind::Ask) {
                        rollout.onEngineState(id, lost ? std::nullopt : std::optional(state), now);
                        continue;
                    }
                    RC_ASSERT(step.order.version > state.weights["m"] || state.busy);
                    const bool accepted = !state.busy && step.order.expected == state.ordersAccepted;
                    if (accepted) {
                        state.busy = true;
                        ++state.ordersAccepted;
                        state.weights["m"] = step.order.version;
                        loadedAt[id] = now + 1s;
                    }
                    rollout.onOrderResult(id, lost ? std::nullopt : std::optional(accepted), now);
                }
            }
        }
        RC_ASSERT_FALSE(rollout.isNeeded(table, now));
    }));
}

TEST_CASE("rollout: the order of the engines stays the same while the first ones change")
{
    ServerTable table = enginePool(18);
    const auto order = rolloutOrder(table, "m", 2);
    CHECK(order.size() == 18);
    table.reportedWeights(order[0], "m", 2);
    const auto rest = rolloutOrder(table, "m", 2);
    CHECK(rest == std::vector<std::string>(order.begin() + 1, order.end()));
}

// A version is named while the engines are still changing to the previous one.
TEST_CASE("rollout: engines with the oldest weights change first, and naming another version does not reorder them")
{
    ServerTable table = enginePool(18);
    const auto second = rolloutOrder(table, "m", 2);
    for (std::size_t i = 0; i < 5; ++i) {
        table.reportedWeights(second[i], "m", 2);
    }
    auto expected = std::vector<std::string>(second.begin() + 5, second.end());
    expected.insert(expected.end(), second.begin(), second.begin() + 5);
    CHECK(rolloutOrder(table, "m", 3) == expected);
}

TEST_CASE("placement: hosts send the same prefix to the same engine without communicating")
{
    const auto placement = makeExpectedStartPlacement();
    const ServerTable table = enginePool(18);
    for (std::uint64_t prefix = 1; prefix < 200; ++prefix) {
        const auto first = placement->choose(table, promptNeed(prefix), prefix * 7, Start);
        const auto second = placement->choose(table, promptNeed(prefix), prefix * 13 + 5, Start);
        REQUIRE(first.server == second.server);
    }
}

TEST_CASE("placement: an engine that fails its requests is avoided for a while, and so is a busy one")
{
    const auto placement = makeExpectedStartPlacement();
    ServerTable table = enginePool(6);
    const std::string preferred = placement->choose(table, promptNeed(7), 0, Start).server;
    for (int i = 0; i < 4; ++i) {
        table.started(preferred, 0, Start);
        table.ended(preferred, AttemptOutcome::Failed, Start);
    }
    CHECK(placement->choose(table, promptNeed(7), 0, Start).server != preferred);
    CHECK(placement->choose(table, promptNeed(7), 0, Start + 60s).server == preferred);
    table.reportedLoad(preferred, {64, 30, 64}, Start + 60s);
    CHECK(placement->choose(table, promptNeed(7), 0, Start + 60s).server != preferred);
}

// Guards against long waits for all requests of a pool that receives more prompts than it can prefill: less urgent
// requests leave room for more urgent ones.
TEST_CASE("placement: on a crowded pool the least urgent requests are held back first")
{
    const auto placement = makeExpectedStartPlacement();
    ServerTable table = enginePool(4);
    for (const char *id : {"e0", "e1", "e2", "e3"}) {
        table.reportedLoad(id, {60, 10, 64}, Start);
    }
    std::vector<bool> placed;
    for (const double share : config::EngineWaitingShares) {
        PlacementNeed need = promptNeed(3);
        need.maxWaiting = share * 64;
        placed.push_back(!placement->choose(table, need, 0, Start).server.empty());
        CHECK_FALSE(placement->choose(table, need, 0, Start + 2s).server.empty());
    }
    CHECK(placed == std::vector<bool> {true, false, false});
}

// Guards against engines that have accepted more than fits into their memory and prefill the same prompts repeatedly.
TEST_CASE("placement: an engine gets no more requests than fit into its memory")
{
    const auto placement = makeExpectedStartPlacement();
    ServerTable table = enginePool(2);
    table.reportedLoad("e0", {40, 0, 64}, Start);
    table.reportedLoad("e1", {12, 0, 64}, Start);
    PlacementNeed need = promptNeed(3);
    need.rates.tokensPerRun = 5000;
    need.memoryTokens = 20 * need.rates.tokensPerRun + static_cast<double>(need.sharedTokens + need.ownTokens);
    for (std::uint64_t prefix = 0; prefix < 50; ++prefix) {
        need.prefixHash = prefix;
        CHECK(placement->choose(table, need, prefix, Start).server == "e1");
    }
    table.reportedLoad("e1", {30, 0, 64}, Start);
    CHECK(placement->choose(table, need, 0, Start).server.empty());
    CHECK(placement->choose(table, need, 0, Start).full == 2);
}

// Guards against further requests to overloaded engines whose load reports are out of date. It happens when a third of
// a pool is lost: the other engines are overloaded and answer rarely, and an old report must not look like no load.
TEST_CASE("placement: an overloaded engine that answers rarely still counts as crowded")
{
    const auto placement = makeExpectedStartPlacement();
    ServerTable table = enginePool(2);
    table.reportedLoad("e0", {64, 32, 64}, Start);
    table.reportedLoad("e1", {64, 32, 64}, Start);
    PlacementNeed need = promptNeed(3);
    need.rates.tokensPerRun = 5000;
    need.memoryTokens = 100'000;
    need.hosts = 12;
    need.rates.runTime = 3s;
    for (Duration age {}; age <= config::LoadReportUsableTime; age += 100ms) {
        CHECK(placement->choose(table, need, 0, Start + age).server.empty());
    }
    // Once a report is too old, the estimate is based on the attempts of this host alone.
    const TimePoint later = Start + config::LoadReportUsableTime + 1ms;
    CHECK_FALSE(placement->choose(table, need, 0, later).server.empty());
    for (const char *id : {"e0", "e1"}) {
        table.started(id, 1000, later);
        table.started(id, 1000, later);
    }
    CHECK(placement->choose(table, need, 0, later).server.empty());
}

// Guards against an overload of an engine that has just loaded weights and returns idle to a pool that is short of
// engines: all hosts see at the same moment that it is free.
TEST_CASE("placement: hosts that act at the same moment do not flood an engine that has become free")
{
    const auto placement = makeExpectedStartPlacement();
    PlacementNeed need = promptNeed(3);
    need.rates.tokensPerRun = 5000;
    need.memoryTokens = 100'000;
    need.hosts = 12;
    need.rates.runTime = 1s;
    int sent = 0;
    for (std::size_t host = 0; host < need.hosts; ++host) {
        ServerTable table = enginePool(1);
        table.reportedLoad("e0", {0, 0, 64}, Start);
        for (int request = 0; request < 8; ++request) {
            if (!placement->choose(table, need, 0, Start + 100ms).server.empty()) {
                table.started("e0", 2500, Start + 100ms);
                ++sent;
            }
        }
    }
    CHECK(sent >= 12);
    CHECK(sent <= 40);
}

// Guards against requests to engines that have lost their network: their connections stay open, and the list drops them
// only seconds later.
TEST_CASE("placement: an engine is avoided once all of its streams are silent")
{
    const auto placement = makeExpectedStartPlacement();
    ServerTable table = enginePool(6);
    const std::string preferred = placement->choose(table, promptNeed(7), 0, Start).server;
    table.streamBegan(preferred, Start);
    table.streamBegan(preferred, Start);
    // One of the two streams still receives bytes, so the engine is alive and the other stream is just pausing.
    table.receivedBytes(preferred, Start + config::SilentAvoidAfter);
    CHECK(placement->choose(table, promptNeed(7), 0, Start + config::SilentAvoidAfter + 1ms).server == preferred);
    const TimePoint later = Start + 2 * config::SilentAvoidAfter + 1ms;
    CHECK(table.find(preferred)->isSilent(config::SilentAvoidAfter, later));
    CHECK(placement->choose(table, promptNeed(7), 0, later).server != preferred);
    table.streamEnded(preferred);
    table.streamEnded(preferred);
    CHECK(placement->choose(table, promptNeed(7), 0, later).server == preferred);
}

TEST_CASE("placement: when another engine is chosen, the result names the one that most likely caches the prefix")
{
    const auto placement = makeExpectedStartPlacement();
    ServerTable table = enginePool(6);
    const auto first = placement->choose(table, promptNeed(7), 0, Start);
    CHECK(first.likelyHolder.empty());
    table.reportedLoad(first.server, {64, 30, 64}, Start);
    const auto second = placement->choose(table, promptNeed(7), 0, Start);
    REQUIRE(second.server != first.server);
    CHECK(second.likelyHolder == table.find(first.server)->entry.address);
    // Cached parts made by another weight version cannot be used.
    table.reportedWeights(first.server, "m", 2);
    CHECK(placement->choose(table, promptNeed(7), 0, Start).likelyHolder != second.likelyHolder);
}

// Uses the fleet size that the system is designed for, at which a host sends to any one engine about once a minute.
TEST_CASE("placement: one request of this host among 400 hosts does not make an engine count as full")
{
    const auto placement = makeExpectedStartPlacement();
    ServerTable table = enginePool(1);
    PlacementNeed need = promptNeed(3);
    need.rates.tokensPerRun = 5000;
    need.memoryTokens = 100'000;
    need.hosts = 400;
    table.started("e0", 2500, Start);
    CHECK(placement->choose(table, need, 0, Start).server == "e0");
}

// Guards against a delayed rollout: a run that is still in progress when its engine is to load weights holds up the
// load; a short run does not.
TEST_CASE("placement: long runs avoid engines that are to load weights soon")
{
    const auto placement = makeExpectedStartPlacement();
    const ServerTable table = enginePool(12);
    const auto order = rolloutOrder(table, "m", 2);
    const auto soon
        = std::vector<std::string>(order.begin() + static_cast<std::ptrdiff_t>(Pace.atOnce(12)), order.begin() + 7);
    const auto placedSoon = [&](std::uint64_t answerTokens) {
        int count = 0;
        for (std::uint64_t prefix = 0; prefix < 300; ++prefix) {
            PlacementNeed need = promptNeed(prefix);
            need.weightLoadQueue = rolloutQueue(table, "m", 2, Pace);
            need.answerTokens = answerTokens;
            const std::string chosen = placement->choose(table, need, prefix, Start).server;
            count += std::find(soon.begin(), soon.end(), chosen) == soon.end() ? 0 : 1;
        }
        return count;
    };
    CHECK(placedSoon(20) > 100);
    CHECK(placedSoon(400) < 10);
}

// A pool that is nearly full of long prompts must still accept short ones.
TEST_CASE("placement: a short request fits where a long one does not")
{
    const auto placement = makeExpectedStartPlacement();
    ServerTable table = enginePool(1);
    table.reportedLoad("e0", {18, 0, 64}, Start);
    PlacementNeed need = promptNeed(3);
    need.rates.tokensPerRun = 5000;
    need.memoryTokens = 100'000;
    need.sharedTokens = 9000;
    need.ownTokens = 2900;
    CHECK(placement->choose(table, need, 0, Start).server.empty());
    need.sharedTokens = 600;
    need.ownTokens = 200;
    need.answerTokens = 300;
    CHECK(placement->choose(table, need, 0, Start).server == "e0");
}

TEST_CASE("placement: an empty engine is sent a request that is larger than the memory for its urgency")
{
    const auto placement = makeExpectedStartPlacement();
    ServerTable table = enginePool(1);
    PlacementNeed need = promptNeed(3);
    need.rates.tokensPerRun = 5000;
    need.memoryTokens = 100'000;
    need.hosts = 12;
    need.ownTokens = 110'000;
    CHECK(placement->choose(table, need, 0, Start).server == "e0");
    table.reportedLoad("e0", {1, 0, 64}, Start);
    CHECK(placement->choose(table, need, 0, Start).server.empty());
}

TEST_CASE("placement: engines that are next to load weights get no work while others have room")
{
    const auto placement = makeExpectedStartPlacement();
    const ServerTable table = enginePool(18);
    std::map<std::string, int> chosen;
    for (std::uint64_t prefix = 0; prefix < 300; ++prefix) {
        PlacementNeed need = promptNeed(prefix);
        need.weightLoadQueue = rolloutQueue(table, "m", 2, Pace);
        ++chosen[placement->choose(table, need, prefix, Start).server];
    }
    for (const std::string &id : rolloutOrder(table, "m", 2)) {
        if (chosen[id] == 0) {
            continue;
        }
        CHECK(chosen.size() >= 13);
    }
    const auto next = rolloutOrder(table, "m", 2);
    for (std::size_t i = 0; i < 5; ++i) {
        CHECK(chosen[next[i]] == 0);
    }
}

TEST_CASE("server table: a server's report that it is leaving applies to one start and overrides old list entries")
{
    ServerTable table;
    table.update(engine("e"), Start);
    CHECK(table.reportedLeaving("e", 1000));
    CHECK_FALSE(table.reportedLeaving("e", 1000));
    CHECK_FALSE(table.isOpen(*table.find("e"), Start));
    table.update(engine("e", 1, 2), Start);
    CHECK_FALSE(table.isOpen(*table.find("e"), Start));
    // A leaving server is removed even if the list may have lost entries, and an old entry does not reopen it.
    table.entryRemoved("e", Start + 2s, Start);
    CHECK(table.find("e") == nullptr);
    table.update(engine("e", 1, 3), Start);
    CHECK_FALSE(table.isOpen(*table.find("e"), Start));
    ServerEntry restarted = engine("e", 1, 1);
    restarted.born = 2000;
    table.update(restarted, Start);
    CHECK(table.isOpen(*table.find("e"), Start));
    // A late answer from the earlier start.
    table.reportedLeaving("e", 1000);
    CHECK(table.isOpen(*table.find("e"), Start));
}

TEST_CASE("server table: a limited number of leaving servers is remembered, and those in the list are kept first")
{
    ServerTable table;
    table.update(engine("listed"), Start);
    table.reportedLeaving("listed", 1000);
    for (std::size_t i = 0; i < 2 * config::LeftServersKept; ++i) {
        table.reportedLeaving("gone" + std::to_string(i), 2000 + i);
    }
    table.update(engine("listed", 1, 2), Start);
    CHECK_FALSE(table.isOpen(*table.find("listed"), Start));
    CHECK_FALSE(table.reportedLeaving("gone" + std::to_string(2 * config::LeftServersKept - 1), 2000));
}

// Guards against an engine that is overloaded again after each rest because all hosts return at the same moment.
TEST_CASE("server table: after a rest a single request is sent first, and others once it has been answered")
{
    ServerTable table = enginePool(2);
    const auto backAt = table.askedForRest("e0", 1000, 2s, 12'345'678, Start);
    REQUIRE(backAt);
    CHECK(*backAt >= Start + 2s);
    CHECK(*backAt <= Start + 2s + 400ms);
    CHECK_FALSE(table.isOpen(*table.find("e0"), *backAt - 1ms));
    CHECK(table.isOpen(*table.find("e0"), *backAt));
    // A later request for a shorter rest does not shorten the current one.
    CHECK(table.askedForRest("e0", 1000, 100ms, 0, Start) == backAt);
    CHECK_FALSE(table.askedForRest("e0", 999, 1h, 0, Start));
    table.started("e0", 10, *backAt);
    CHECK_FALSE(table.isOpen(*table.find("e0"), *backAt));
    table.ended("e0", AttemptOutcome::Cancelled, *backAt + 1s);
    CHECK(table.isOpen(*table.find("e0"), *backAt + 1s));
    table.started("e0", 10, *backAt + 1s);
    table.ended("e0", AttemptOutcome::Answered, *backAt + 2s);
    table.started("e0", 10, *backAt + 2s);
    CHECK(table.isOpen(*table.find("e0"), *backAt + 2s));
}

TEST_CASE("server table: reports when the first rest ends, unless a server is not resting")
{
    ServerTable table = enginePool(3);
    table.askedForRest("e0", 1000, 3s, 0, Start);
    table.askedForRest("e1", 1000, 2s, 0, Start);
    CHECK_FALSE(table.restEndsAt("llm", Start));
    table.reportedLeaving("e2", 1000);
    CHECK(table.restEndsAt("llm", Start) == Start + 2s);
    CHECK_FALSE(table.restEndsAt("llm", Start + 2s));
    CHECK_FALSE(table.restEndsAt("other", Start));
    const PlacementChoice choice = makeExpectedStartPlacement()->choose(table, promptNeed(1), 7, Start + 1s);
    CHECK(choice.server.empty());
    CHECK(choice.known == 3);
    CHECK(choice.leaving == 1);
    CHECK(choice.resting == 2);
}
