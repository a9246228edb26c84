#include "engine_pool.h"

#include <endivespan/config.h>
#include <endivespan/placement.h>
#include <endivespan/server_pace.h>

#include <doctest/doctest.h>

#include <random>

using namespace endivespan;
using namespace std::chrono_literals;

namespace {

/// @returns the times of an answer on a server that takes @p pace times as long as usual.
AnswerTimes answerAt(double pace, double noise = 1)
{
    AnswerTimes times;
    times.firstEvent = std::chrono::duration_cast<Duration>(150ms * pace * noise);
    times.perToken = std::chrono::duration_cast<Duration>(8ms * pace * noise);
    return times;
}

} // namespace

// Guards against decisions on a pace that no longer holds: it changes about every 600 ms.
TEST_CASE("server pace: the expected pace moves from the reported to the long-term one as the report ages")
{
    ServerPace pace;
    CHECK_FALSE(pace.isReported());
    CHECK(pace.expected(Start) == 1);
    pace.report(2.5, Start);
    CHECK(pace.isReported());
    CHECK(pace.expected(Start) == 2.5);
    double last = 2.5;
    for (Duration age = 100ms; age <= config::PaceReportUsableTime; age += 100ms) {
        const double expected = pace.expected(Start + age);
        CHECK(expected < last);
        CHECK(expected > 1);
        last = expected;
    }
    CHECK(pace.expected(Start + config::PaceReportUsableTime + 1ms) == 1);
    pace.report(0.5, Start - 100ms);
    CHECK(pace.expected(Start) == 2.5);
    pace.report(0.5, Start + 100ms);
    CHECK(pace.expected(Start + 100ms) == 0.5);
}

// A server that reports an implausibly small pace must not attract the requests of all hosts.
TEST_CASE("server pace: the expected pace is bounded")
{
    ServerPace pace;
    pace.report(0.01, Start);
    CHECK(pace.expected(Start) == config::PaceExpectedLeast);
    pace.report(100, Start);
    CHECK(pace.expected(Start) == config::PaceExpectedMost);
}

// Replays a pool in which a third of the servers take 1.3 times as long, with times that vary by half.
TEST_CASE("server pace: the long-term pace of slower servers is learned from answers of several kinds")
{
    ServerTable table = enginePool(9);
    std::mt19937 random(7);
    std::uniform_real_distribution<double> noise(0.75, 1.25);
    for (int round = 0; round < 60; ++round) {
        for (int i = 0; i < 9; ++i) {
            const double pace = i < 3 ? 1.3 : 1;
            AnswerTimes times = answerAt(pace, noise(random));
            const bool isLong = (round + i) % 2 == 0;
            times.firstEvent *= isLong ? 4 : 1;
            table.answeredIn("e" + std::to_string(i), 1000, isLong ? "essay" : "hint", times);
        }
    }
    double slowest = 0;
    double fastest = 10;
    for (int i = 0; i < 9; ++i) {
        const double pace = table.find("e" + std::to_string(i))->pace.longTerm();
        if (i < 3) {
            fastest = std::min(fastest, pace);
        } else {
            slowest = std::max(slowest, pace);
        }
    }
    CHECK(fastest > slowest);
    CHECK(fastest / slowest > 1.05);
    CHECK(fastest / slowest < 1.4);
}

TEST_CASE("server pace: one very slow answer says little, and a restart of the server forgets what was learned")
{
    ServerTable table = enginePool(2);
    for (int i = 0; i < 40; ++i) {
        table.answeredIn("e0", 1000, "essay", answerAt(1));
        table.answeredIn("e1", 1000, "essay", answerAt(1));
    }
    table.answeredIn("e0", 1000, "essay", answerAt(100));
    CHECK(table.find("e0")->pace.longTerm() < 1.15);
    for (int i = 0; i < 40; ++i) {
        table.answeredIn("e0", 1000, "essay", answerAt(2));
        table.answeredIn("e1", 1000, "essay", answerAt(1));
    }
    const double learned = table.find("e0")->pace.longTerm();
    CHECK(learned > 1.3);
    // An answer of an earlier or later start says nothing about this one.
    table.answeredIn("e0", 999, "essay", answerAt(4));
    CHECK(table.find("e0")->pace.longTerm() == learned);
    table.reportedLoad("e0", {1, 0, 64, 1.5}, Start);
    CHECK(table.reportsPace("llm"));
    CHECK(table.find("e0")->pace.expected(Start) == 1.5);
    ServerEntry restarted = engine("e0");
    restarted.born = 2000;
    table.update(restarted, Start + 1s);
    CHECK(table.find("e0")->pace.longTerm() == 1);
    CHECK_FALSE(table.reportsPace("llm"));
}

// Replays a pool whose servers have different paces at the moment, with long prompts of which no part is cached.
TEST_CASE("placement: prompts avoid engines that are slow at the moment, as long as their report is recent")
{
    const auto placement = makeExpectedStartPlacement();
    ServerTable table = enginePool(8);
    for (int i = 0; i < 8; ++i) {
        table.reportedLoad("e" + std::to_string(i), {4, 0, 64, i < 4 ? 2.5 : 1.0}, Start);
    }
    const auto sentToSlow = [&](bool loadControl, TimePoint now) {
        int count = 0;
        for (std::uint64_t prefix = 0; prefix < 200; ++prefix) {
            PlacementNeed need = promptNeed(prefix);
            need.sharedTokens = 0;
            need.ownTokens = 3000;
            need.loadControl = loadControl;
            count += placement->choose(table, need, prefix, now).server < "e4" ? 1 : 0;
        }
        return count;
    };
    CHECK(sentToSlow(true, Start + 100ms) == 0);
    const int afterwards = sentToSlow(true, Start + config::PaceReportUsableTime + 100ms);
    CHECK(afterwards > 60);
    CHECK(afterwards < 140);
    // Without load control the pace has no influence.
    CHECK(sentToSlow(false, Start + 100ms) > 60);
}

// The saving by cached parts is larger at a slow engine, as far as its prefill takes longer.
TEST_CASE("placement: an engine that is somewhat slow still gets the prompts that it caches, a very slow one does not")
{
    const auto placement = makeExpectedStartPlacement();
    ServerTable table = enginePool(8);
    PlacementNeed need = promptNeed(7);
    need.loadControl = true;
    need.ownTokens = 800;
    const std::string preferred = placement->choose(table, need, 0, Start).server;
    table.reportedLoad(preferred, {0, 0, 64, 1.3}, Start);
    CHECK(placement->choose(table, need, 0, Start).server == preferred);
    table.reportedLoad(preferred, {0, 0, 64, 6.0}, Start);
    CHECK(placement->choose(table, need, 0, Start).server != preferred);
}

TEST_CASE("placement: requests to plain services avoid slow servers until the others are busier")
{
    const auto placement = makeExpectedStartPlacement();
    ServerTable table = enginePool(2);
    PlacementNeed need;
    need.service = "llm";
    need.domain = "z";
    need.loadControl = true;
    table.reportedLoad("e0", {8, 0, 64, 3.0}, Start);
    table.reportedLoad("e1", {16, 0, 64, 1.0}, Start);
    CHECK(placement->choose(table, need, 0, Start).server == "e1");
    table.reportedLoad("e1", {32, 0, 64, 1.0}, Start);
    CHECK(placement->choose(table, need, 0, Start).server == "e0");
    need.loadControl = false;
    table.reportedLoad("e1", {16, 0, 64, 1.0}, Start);
    CHECK(placement->choose(table, need, 0, Start).server == "e0");
}

// Replays an engine that holds long and short requests. Its memory has room for a short request, not for a long one.
TEST_CASE("placement: an engine's room is compared with what a request will use, not with the longest answer")
{
    const auto placement = makeExpectedStartPlacement();
    ServerTable table = enginePool(1);
    table.reportedLoad("e0", {10, 0, 64, 1.0}, Start);
    PlacementNeed need = promptNeed(3);
    need.loadControl = true;
    need.rates.tokensPerRun = 12'000;
    need.memoryTokens = 122'000 / config::PacedFullMemory;
    need.meanRequests = 12;
    need.answerTokens = 400;
    CHECK(placement->choose(table, need, 0, Start).server.empty());
    need.sharedTokens = 1400;
    need.requestTokens = 1932;
    CHECK(placement->choose(table, need, 0, Start).server == "e0");
    need.requestTokens = 0;
    CHECK(placement->choose(table, need, 0, Start).server.empty());
}

namespace {

/// @returns what a request needs of a pool of engines at which runs of 12,000 tokens take 900 ms, and whose limit of
///     memory when the pool is full is 0.8 times 149,685 tokens each.
PlacementNeed essayNeed(std::uint64_t prefix, double meanRequests)
{
    PlacementNeed need = promptNeed(prefix);
    need.loadControl = true;
    need.sharedTokens = 9122;
    need.ownTokens = 2870;
    need.requestTokens = 12'034;
    need.rates.tokensPerRun = 12'000;
    need.rates.prefillTokensPerMillisecond = 112;
    need.rates.runTime = 900ms;
    need.memoryTokens = 0.8 * 149'685 / config::PacedFullMemory;
    need.maxWaiting = 4;
    need.meanRequests = meanRequests;
    return need;
}

} // namespace

// Replays a calm pool in which one engine has more essays than by the estimate fit into its memory, and a full pool.
// Guards against limits that push requests off the engines that hold their parts, and against engines that accept more
// than fits when all are full.
TEST_CASE("placement: the memory limit leaves requests with their cached parts in calm and binds when the pool is full")
{
    const auto placement = makeExpectedStartPlacement();
    ServerTable table = enginePool(6);
    for (int i = 0; i < 6; ++i) {
        table.reportedLoad("e" + std::to_string(i), {2, 0, 64, 1.0}, Start);
    }
    const std::string preferred = placement->choose(table, essayNeed(7, 3), 0, Start).server;
    table.reportedLoad(preferred, {11, 0, 64, 1.0}, Start);
    CHECK(placement->choose(table, essayNeed(7, 3), 0, Start).server == preferred);
    PlacementNeed uncontrolled = essayNeed(7, 3);
    uncontrolled.loadControl = false;
    CHECK(placement->choose(table, uncontrolled, 0, Start).server != preferred);
    for (int i = 0; i < 6; ++i) {
        table.reportedLoad("e" + std::to_string(i), {11, 0, 64, 1.0}, Start);
    }
    CHECK(placement->choose(table, essayNeed(7, 11), 0, Start).server.empty());
}

// Replays the peak of a demand wave. Guards against refusals and second attempts on a wrong idea of when there is room.
TEST_CASE("placement: the time until there is room follows the ends of runs, the excess and the pace")
{
    const auto placement = makeExpectedStartPlacement();
    ServerTable table = enginePool(2);
    const PlacementNeed need = essayNeed(7, 12);
    CHECK(placement->choose(table, need, 0, Start).roomIn == Duration::zero());
    table.reportedLoad("e0", {10, 2, 64, 1.0}, Start);
    table.reportedLoad("e1", {14, 6, 64, 1.0}, Start);
    const PlacementChoice full = placement->choose(table, need, 0, Start);
    CHECK(full.server.empty());
    REQUIRE(full.roomIn);
    // At e0 the 12 requests exceed the limit by 3 with this one, and one of them ends each 75 ms.
    CHECK(*full.roomIn > 200ms);
    CHECK(*full.roomIn < 300ms);
    table.reportedLoad("e0", {10, 2, 64, 3.0}, Start);
    const PlacementChoice slow = placement->choose(table, need, 0, Start);
    REQUIRE(slow.roomIn);
    CHECK(*slow.roomIn > *full.roomIn);
    table.reportedLoad("e0", {2, 0, 64, 1.0}, Start);
    CHECK(placement->choose(table, need, 0, Start).roomIn == Duration::zero());
    PlacementNeed uncontrolled = need;
    uncontrolled.loadControl = false;
    CHECK_FALSE(placement->choose(table, uncontrolled, 0, Start).roomIn);
    CHECK_FALSE(placement->choose(ServerTable(), need, 0, Start).roomIn);
}

// With many runs a waiting request soon gets the room of one that ends; with few it waits for long.
TEST_CASE("placement: a waiting request costs the time until a run ends at its engine")
{
    const auto placement = makeExpectedStartPlacement();
    ServerTable table = enginePool(2);
    PlacementNeed need = essayNeed(7, 4);
    need.sharedTokens = 0;
    need.memoryTokens = 0;
    table.reportedLoad("e0", {3, 2, 64, 1.0}, Start);
    table.reportedLoad("e1", {20, 3, 64, 1.0}, Start);
    CHECK(placement->choose(table, need, 0, Start).server == "e1");
}

namespace {

/// Draws random pools and requests without a pace, the same ones on every platform.
class UnpacedPools
{
public:
    ServerTable pool()
    {
        const std::size_t servers = 2 + this->upTo(30);
        ServerTable table = enginePool(servers);
        for (std::size_t i = 0; i < servers; ++i) {
            const std::string id = "e" + std::to_string(i);
            const ServerLoadReport load {this->upTo(40), this->upTo(12), 64};
            const std::chrono::milliseconds at(this->upTo(300));
            if (this->upTo(3) > 0) {
                table.reportedLoad(id, load, Start + at);
            }
            for (std::uint32_t sent = this->upTo(3); sent > 0; --sent) {
                table.started(id, this->upTo(12'000), Start);
            }
            if (this->upTo(5) == 0) {
                table.ended(id, AttemptOutcome::Failed, Start);
            }
        }
        return table;
    }

    PlacementNeed need()
    {
        PlacementNeed need = promptNeed(this->random());
        need.sharedTokens = this->upTo(9000);
        need.ownTokens = this->upTo(3000);
        need.answerTokens = this->upTo(400);
        need.model = this->upTo(4) == 0 ? "" : "m";
        need.maxWaiting = this->upTo(14);
        need.memoryTokens = this->upTo(300'000);
        need.rates.tokensPerRun = 1000 + this->upTo(11'000);
        need.hosts = 1 + this->upTo(100);
        need.meanRequests = this->upTo(20);
        need.maxInFlight = this->upTo(24);
        return need;
    }

    std::uint32_t upTo(std::uint32_t most)
    {
        return static_cast<std::uint32_t>(this->random() % (most + 1));
    }

private:
    std::mt19937 random {20261206};
};

} // namespace

// Guards against any change of the choices in pools whose servers report no pace. The digest of 4,000 choices is that
// of commit fa98de3, before load control.
TEST_CASE("placement: choices for services without a pace are those of the version before load control")
{
    const auto placement = makeExpectedStartPlacement();
    UnpacedPools pools;
    std::uint64_t digest = 0;
    for (int round = 0; round < 400; ++round) {
        const ServerTable table = pools.pool();
        for (int request = 0; request < 10; ++request) {
            const PlacementNeed need = pools.need();
            const std::uint32_t random = pools.upTo(1'000'000);
            const TimePoint now = Start + std::chrono::milliseconds(300 + pools.upTo(2500));
            const PlacementChoice choice = placement->choose(table, need, random, now);
            digest = hashPrefix(digest, choice.server + "," + std::to_string(choice.full) + "," + choice.likelyHolder);
        }
    }
    CHECK(digest == 15671143532013273676ULL);
}
