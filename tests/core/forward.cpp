#include "engine_pool.h"

#include <endivespan/config.h>
#include <endivespan/forward.h>
#include <endivespan/placement.h>
#include <endivespan/rollout.h>
#include <endivespan/server_table.h>
#include <endivespan/weight_history.h>

#include <doctest/doctest.h>

#include <algorithm>

using namespace endivespan;
using namespace std::chrono_literals;

namespace {

const RolloutPace Pace {5s, 1400ms};

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
