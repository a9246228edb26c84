#include "world.h"

#include <endivespan/config.h>

#include <doctest/doctest.h>

#include <algorithm>

using namespace endivespan;
using namespace endivespan::tests;
using namespace std::chrono_literals;
using Then = RunnerStandin::Reply::Then;

namespace {

std::string refusal(const ReceivedRequest &request, const std::string &fields)
{
    return answerTo(request, 503, "", "X-Endivespan-Not-Executed: 1\r\n" + fields);
}

void askOften(World &world, std::size_t times, std::chrono::milliseconds pause = 5ms)
{
    for (std::size_t i = 0; i < times; ++i) {
        world.ask("/again/");
        world.runFor(pause);
    }
}

} // namespace

TEST_CASE("a leaving runner gets no requests, though listed as ready, until it is listed with a new start time")
{
    World world(2);
    RunnerStandin &leaver = *world.runners[0];
    leaver.script = [](const ReceivedRequest &request) {
        return RunnerStandin::Reply {answerTo(request, 200, "done", "Server-Leaving: 1\r\n")};
    };
    askOften(world, 40);
    const std::size_t before = leaver.received.size();
    CHECK(before >= 1);
    CHECK(before <= 3);
    // The runner is listed again, its entry is deleted, and the old entry returns.
    world.list(leaver);
    world.runFor(900ms);
    world.store.put("keyed.servers", leaver.id, std::nullopt);
    world.runFor(900ms);
    world.list(leaver);
    world.runFor(900ms);
    askOften(world, 40);
    CHECK(leaver.received.size() == before);
    leaver.script = [](const ReceivedRequest &request) { return RunnerStandin::Reply {answerTo(request, 200, "new")}; };
    world.list(leaver, {{"born", 2000}, {"seq", 1}});
    world.runFor(900ms);
    askOften(world, 40);
    CHECK(leaver.received.size() > before);
}

TEST_CASE("a runner that refuses as leaving gets no more requests, and the refused request is served by another")
{
    World world(2);
    RunnerStandin &leaver = *world.runners[0];
    leaver.script = [](const ReceivedRequest &request) {
        return RunnerStandin::Reply {refusal(request, "Server-Leaving: 1\r\n")};
    };
    std::vector<std::size_t> calls;
    for (int i = 0; i < 60; ++i) {
        calls.push_back(world.ask("/once/"));
        world.runFor(25ms);
    }
    for (const std::size_t call : calls) {
        CHECK(world.answer(call).status == 200);
    }
    CHECK(leaver.received.size() == 1);
}

TEST_CASE("an answer in progress is not cut when its runner says that it leaves")
{
    World world(1);
    world.runners[0]->script = [](const ReceivedRequest &request) {
        const bool first = request.field("x-endivespan-request-id") == "r0";
        return first ? RunnerStandin::Reply {streamHead(request) + eventChunk(1, "a"), Then::Hang}
                     : RunnerStandin::Reply {answerTo(request, 200, "done", "Server-Leaving: 1\r\n")};
    };
    const auto stream = world.ask("/stream/");
    REQUIRE(world.until([&world, stream] { return !world.answers[stream].body.empty(); }));
    CHECK(world.answer(world.ask("/again/")).status == 200);
    CHECK(world.answer(world.ask("/again/")).status == 503);
    CHECK_FALSE(world.answers[stream].failed);
}

// Guards against an overload of a busy runner: ten hosts each went on sending requests to a runner that had answered
// each of them with Retry-After.
TEST_CASE("ten hosts observe the Retry-After of a busy runner over three windows and do not return all at once")
{
    constexpr auto Rest = 1500ms;
    constexpr auto Grace = 500ms;
    World world(2, 10);
    std::vector<TimePoint> arrivals;
    world.runners[0]->script = [&world, &arrivals](const ReceivedRequest &request) {
        arrivals.push_back(world.loop.now());
        return RunnerStandin::Reply {refusal(request, "Retry-After: 1.5\r\n")};
    };
    const TimePoint start = world.loop.now();
    std::vector<std::size_t> calls;
    while (world.loop.now() < start + 3 * (Rest + Grace)) {
        for (std::size_t host = 0; host < world.hosts.size(); ++host) {
            calls.push_back(world.askHost(host, "/again/"));
        }
        world.runFor(40ms);
    }
    for (const std::size_t call : calls) {
        CHECK(world.answer(call).status == 200);
    }
    // Each host receives one refusal per window, plus those of requests that were already in progress.
    CHECK(arrivals.size() <= 10 * 3 * 2);
    // The hosts do not all return within the same 40 ms.
    std::size_t most = 0;
    for (const TimePoint from : arrivals) {
        if (from > start + Rest) {
            most = std::max<std::size_t>(
                most, static_cast<std::size_t>(std::count_if(arrivals.begin(), arrivals.end(), [from](TimePoint at) {
                    return at >= from && at < from + 40ms;
                })));
        }
    }
    CHECK(most <= 6);
}

TEST_CASE("when all runners have sent Retry-After, callers are refused at once with a Retry-After of their own")
{
    World world(2);
    std::size_t arrivals = 0;
    for (const auto &runner : world.runners) {
        runner->script = [&arrivals](const ReceivedRequest &request) {
            ++arrivals;
            return RunnerStandin::Reply {refusal(request, "Retry-After: 2\r\n")};
        };
    }
    CHECK(world.answer(world.ask("/once/")).status == 503);
    CHECK(world.answer(world.ask("/once/")).status == 503);
    const std::size_t before = arrivals;
    const TimePoint askedAt = world.loop.now();
    const CallerAnswer refused = world.answer(world.ask("/once/"));
    CHECK(refused.status == 503);
    CHECK(world.loop.now() - askedAt < 30ms);
    CHECK(std::stod(refused.headers.at("retry-after")) > 1.5);
    CHECK(std::stod(refused.headers.at("retry-after")) < 4);
    CHECK(arrivals == before);
}

TEST_CASE("a malformed Retry-After does not stop requests to the runner for good, and a huge one is capped")
{
    for (const std::string value : {"", "soon", "-1", "0", "nan", "Fri, 04 Dec 2026 12:00:00 GMT", "1, 2", "1e"}) {
        CAPTURE(value);
        World world(1);
        std::size_t refusals = 0;
        world.runners[0]->script = [&refusals, &value](const ReceivedRequest &request) {
            return RunnerStandin::Reply {refusals++ == 0 ? refusal(request, "Retry-After: " + value + "\r\n")
                                                         : answerTo(request, 200, "done")};
        };
        CHECK(world.answer(world.ask("/once/")).status == 503);
        world.runFor(700ms);
        CHECK(world.answer(world.ask("/once/")).status == 200);
    }
    const platform::RequestCodec codec;
    CHECK(codec.decodeAnswer(503, {{"retry-after", "1e300"}}).rest == config::RestMost);
    CHECK(codec.decodeAnswer(503, {{"retry-after", "inf"}}).rest == config::RestMost);
    CHECK(codec.decodeAnswer(503, {{"retry-after", "0.25"}}).rest == 250ms);
    CHECK_FALSE(codec.decodeAnswer(503, {}).rest);
    CHECK_FALSE(codec.decodeAnswer(200, {{"retry-after", "5"}}).rest);
    CHECK(codec.decodeAnswer(503, {{"retry-after", "1, 2"}}).badRest == "1, 2");
    CHECK(codec.decodeAnswer(200, {{"server-leaving", "1, 1"}}).leaving);
    CHECK_FALSE(codec.decodeAnswer(200, {{"server-leaving", "0"}}).leaving);
}
