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
    need.memoryTokens = 122'000;
    need.meanRequests = 12;
    need.answerTokens = 400;
    CHECK(placement->choose(table, need, 0, Start).server.empty());
    need.sharedTokens = 1400;
    need.requestTokens = 1932;
    CHECK(placement->choose(table, need, 0, Start).server == "e0");
    need.requestTokens = 0;
    CHECK(placement->choose(table, need, 0, Start).server.empty());
}
