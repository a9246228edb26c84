#include "raw_socket.h"
#include "world.h"

#include <doctest/doctest.h>

#include <set>

using namespace endivespan;
using namespace endivespan::tests;
using namespace std::chrono_literals;
using Then = RunnerStandin::Reply::Then;

namespace {

constexpr auto SmallStopTime = 3000ms;
/// Header fields of a request that may take longer than any stop here.
const HttpHeaders Patient {{"x-endivespan-deadline-ms", "20000"}};

/// @returns the header fields of a prompt for an answer of at most @p tokens.
HttpHeaders promptOf(int tokens)
{
    return {{"x-endivespan-deadline-ms", "20000"},
            {"x-endivespan-model", "m"},
            {"x-endivespan-token-count", "10," + std::to_string(tokens)},
            {"x-endivespan-prompt-prefix", "a:10"}};
}

/// Gives all routes the time-out and the aim, and the service the slots.
void configureTimes(World &world, std::chrono::milliseconds timeout, std::chrono::milliseconds aim, int slots = 64)
{
    world.configure([&](nlohmann::json &config) {
        updateRoutes(config, {{"timeout_ms", timeout.count()}, {"aim_ms", aim.count()}});
        config["services"][0]["engine"]["slots"] = slots;
    });
    world.runFor(1500ms);
}

/// Waits until the host has stopped and ends it, as its process does.
void finishStop(World &world)
{
    CHECK(world.until([&world] { return world.stopped; }));
    world.endHost(0);
    world.runFor(50ms);
}

std::size_t received(const World &world)
{
    return world.runners[0]->received.size();
}

std::string rawRequest(const std::string &id)
{
    return "GET /once/ HTTP/1.1\r\nHost: h.example\r\nX-Endivespan-Request-Id: " + id + "\r\nApi-Key: key\r\n\r\n";
}

} // namespace

// Guards against connections that were closed without an answer because the process ended.
TEST_CASE("requests that a stopping host has passed on get a final answer before the process ends")
{
    World world(1, 1, [](ForwardBounds &bounds) { bounds.stopTime = SmallStopTime; });
    configureTimes(world, 20s, 400ms);
    world.runners[0]->script = [](const ReceivedRequest &) { return RunnerStandin::Reply {"", Then::Hang}; };
    const auto once = world.ask("/once/", Patient);
    const auto again = world.ask("/again/", Patient);
    const auto stream = world.ask("/stream/", Patient);
    REQUIRE(world.until([&world] { return received(world) == 3; }));
    const TimePoint begin = world.loop.now();
    world.node().beginStop();
    finishStop(world);
    CHECK(world.loop.now() - begin < SmallStopTime);
    for (const auto call : {once, again, stream}) {
        CHECK_FALSE(world.answers[call].failed);
        CHECK(world.answers[call].whole);
        CHECK(world.answers[call].status == 502);
    }
}

// Guards against connections that were closed without an answer because the process ended.
TEST_CASE("requests that wait for a place until a stop ends are refused as not run")
{
    World world(1, 1, [](ForwardBounds &bounds) { bounds.stopTime = SmallStopTime; });
    configureTimes(world, 20s, 60s, 1);
    world.list(*world.runners[0], {{"slots", 1}});
    world.runFor(1500ms);
    world.runners[0]->script = [](const ReceivedRequest &) { return RunnerStandin::Reply {"", Then::Hang}; };
    (void)world.ask("/stream/", promptOf(20));
    (void)world.ask("/stream/", promptOf(20));
    REQUIRE(world.until([&world] { return received(world) == 2; }));
    const auto prompt = world.ask("/stream/", promptOf(20));
    const auto plain = world.ask("/once/", Patient);
    world.runFor(100ms);
    REQUIRE(received(world) == 2);
    CHECK_FALSE(world.answers[prompt].whole);
    CHECK_FALSE(world.answers[plain].whole);
    world.node().beginStop();
    finishStop(world);
    CHECK(received(world) == 2);
    for (const auto call : {prompt, plain}) {
        CHECK(world.answers[call].whole);
        CHECK(world.answers[call].status == 503);
    }
}

TEST_CASE("a stream that a stopping host has to cut does not look complete")
{
    World world(1, 1, [](ForwardBounds &bounds) { bounds.stopTime = SmallStopTime; });
    configureTimes(world, 20s, 400ms);
    world.runners[0]->script = [](const ReceivedRequest &request) {
        return RunnerStandin::Reply {streamHead(request) + eventChunk(1, "a"), Then::Hang};
    };
    const auto stream = world.ask("/stream/", Patient);
    REQUIRE(world.until([&] { return !world.answers[stream].body.empty(); }));
    world.node().beginStop();
    world.runFor(SmallStopTime * 5 / 6);
    CHECK_FALSE(world.answers[stream].failed);
    finishStop(world);
    CHECK(world.answers[stream].failed);
    CHECK_FALSE(world.answers[stream].whole);
}

// Guards against a fixed delay that left requests 100 ms of a short stop.
TEST_CASE("a host with a short stop time refuses new requests early enough to finish those it has taken")
{
    World world(1, 1, [](ForwardBounds &bounds) { bounds.stopTime = SmallStopTime; });
    configureTimes(world, 20s, 400ms);
    world.runners[0]->script = [](const ReceivedRequest &request) {
        return RunnerStandin::Reply {answerTo(request, 200, "a"), Then::Keep, 800ms};
    };
    RawSocket kept(world.callerPort());
    kept.send(rawRequest("kept"));
    world.runFor(950ms);
    REQUIRE(statusOf(kept.readAnswer()) == 200);

    world.node().beginStop();
    std::vector<std::size_t> calls;
    for (auto time = 0ms; time < SmallStopTime - 500ms; time += 100ms) {
        calls.push_back(world.ask("/once/", Patient));
        world.runFor(100ms);
    }
    finishStop(world);
    std::size_t served = 0;
    for (const auto call : calls) {
        const CallerAnswer &answer = world.answers[call];
        CHECK(answer.whole);
        CHECK((answer.status == 200 || answer.status == 503));
        served += answer.status == 200 ? 1 : 0;
    }
    CHECK(served > 0);
    CHECK(served < calls.size());
    CHECK(received(world) == served + 1);
}

TEST_CASE("a stopping host of a very short stop time answers all requests in time")
{
    World world(1, 1, [](ForwardBounds &bounds) { bounds.stopTime = 1000ms; });
    configureTimes(world, 20s, 100ms);
    world.runners[0]->script = [](const ReceivedRequest &) { return RunnerStandin::Reply {"", Then::Hang}; };
    const auto first = world.ask("/once/", Patient);
    REQUIRE(world.until([&world] { return received(world) == 1; }));
    const TimePoint begin = world.loop.now();
    world.node().beginStop();
    world.runFor(600ms);
    const auto late = world.ask("/once/", Patient);
    finishStop(world);
    CHECK(world.loop.now() - begin < 1100ms);
    CHECK(world.answers[first].status == 502);
    CHECK(world.answers[first].whole);
    CHECK(world.answers[late].status == 503);
    CHECK(received(world) == 1);
}

// Guards against runs that are sure to be cut when the process ends.
TEST_CASE("a stopping host passes on no request that is not expected to finish before the process ends")
{
    World world(1, 1, [](ForwardBounds &bounds) { bounds.stopTime = SmallStopTime; });
    configureTimes(world, 20s, 400ms);
    world.runners[0]->script = [](const ReceivedRequest &request) {
        return RunnerStandin::Reply {streamHead(request) + eventChunk(1, "a") + "0\r\n\r\n"};
    };
    CHECK(world.answer(world.ask("/stream/", promptOf(2000))).status == 200);
    world.node().beginStop();
    const std::size_t before = received(world);
    CHECK(world.answer(world.ask("/stream/", promptOf(2000))).status == 503);
    CHECK(received(world) == before);
    CHECK(world.answer(world.ask("/stream/", promptOf(20))).status == 200);
    CHECK(received(world) == before + 1);
    finishStop(world);
}

// Guards against runs that are sure to be cut when the process ends.
TEST_CASE("a stopping host passes on no request whose usual time is longer than the rest of the stop")
{
    World world(1, 1, [](ForwardBounds &bounds) { bounds.stopTime = SmallStopTime; });
    configureTimes(world, 20s, 4s);
    world.node().beginStop();
    CHECK(world.answer(world.ask("/once/", Patient)).status == 503);
    CHECK(received(world) == 0);
    // It ends before the process does, whatever its usual time is.
    world.runners[0]->script
        = [](const ReceivedRequest &request) { return RunnerStandin::Reply {answerTo(request, 200, "a")}; };
    CHECK(world.answer(world.ask("/once/", {{"x-endivespan-deadline-ms", "1000"}})).status == 200);
    finishStop(world);
}

// Guards against repeats that are sure to be cut when the process ends.
TEST_CASE("a stopping host repeats no request late in its stop")
{
    World world(2, 1, [](ForwardBounds &bounds) { bounds.stopTime = SmallStopTime; });
    configureTimes(world, 20s, 2500ms);
    for (const auto &runner : world.runners) {
        runner->script = [](const ReceivedRequest &request) {
            return RunnerStandin::Reply {answerTo(request, 500, "failed"), Then::Keep, 1000ms};
        };
    }
    const auto count = [&world] { return world.runners[0]->received.size() + world.runners[1]->received.size(); };
    world.node().beginStop();
    const auto call = world.ask("/again/", Patient);
    REQUIRE(world.until([&] { return count() == 1; }));
    CHECK(world.until([&] { return world.answers[call].whole; }, 1500ms));
    CHECK(world.answers[call].status == 500);
    CHECK(count() == 1);
    finishStop(world);
}

// Guards against connections that were closed before their first request, in the moment after they were opened.
TEST_CASE("a connection that is opened late in a stop gets its request refused, not closed")
{
    World world(1, 1, [](ForwardBounds &bounds) { bounds.stopTime = 6s; });
    configureTimes(world, 20s, 400ms);
    world.runners[0]->script = [](const ReceivedRequest &) { return RunnerStandin::Reply {"", Then::Hang}; };
    (void)world.ask("/once/", Patient);
    REQUIRE(world.until([&world] { return received(world) == 1; }));
    world.node().beginStop();
    world.runFor(2700ms);
    RawSocket caller(world.callerPort());
    world.runFor(250ms);
    caller.send(rawRequest("late"));
    world.runFor(50ms);
    CHECK(statusOf(caller.readAnswer()) == 503);
    CHECK(received(world) == 1);
    finishStop(world);
}

// Guards against connections that are reset in the listen queue, and answers that are still queued, when the process
// ends.
TEST_CASE("requests on new connections are answered or not accepted until the process of a stopping host is gone")
{
    World world(1, 1, [](ForwardBounds &bounds) { bounds.stopTime = SmallStopTime; });
    configureTimes(world, 20s, 400ms);
    world.runners[0]->script = [](const ReceivedRequest &) { return RunnerStandin::Reply {"", Then::Hang}; };
    (void)world.ask("/once/", Patient);
    REQUIRE(world.until([&world] { return received(world) == 1; }));
    world.node().beginStop();
    std::vector<std::size_t> calls;
    while (!world.stopped) {
        for (int i = 0; i < 20; ++i) {
            calls.push_back(world.ask("/once/", {{"connection", "close"}}));
        }
        world.runFor(1ms);
    }
    world.endHost(0);
    world.runFor(100ms);
    std::size_t lost = 0;
    for (const auto call : calls) {
        lost += world.answers[call].lost ? 1 : 0;
    }
    CHECK(lost == 0);
    CHECK(calls.size() > 1000);
}

// Guards against a stop that settings which change meanwhile shorten.
TEST_CASE("a stop keeps its time when the settings of the host change")
{
    World world(1, 1, [](ForwardBounds &bounds) { bounds.stopTime = SmallStopTime; });
    configureTimes(world, 20s, 400ms);
    world.runners[0]->script = [](const ReceivedRequest &request) {
        return RunnerStandin::Reply {answerTo(request, 200, "a"), Then::Keep, 1500ms};
    };
    const auto call = world.ask("/once/", Patient);
    REQUIRE(world.until([&world] { return received(world) == 1; }));
    world.node().beginStop();
    world.runFor(500ms);
    ForwardSettings changed = world.hosts[0].settings;
    changed.bounds.stopTime = 100ms;
    world.node().reload(changed);
    finishStop(world);
    CHECK(world.answers[call].status == 200);
    CHECK(world.answers[call].whole);
}

// Guards against requests on kept connections that are closed or cut in the moment in which the host begins to refuse.
TEST_CASE("requests around the moment from which a stopping host refuses are answered, and run at most once")
{
    World world(1, 1, [](ForwardBounds &bounds) { bounds.stopTime = SmallStopTime; });
    configureTimes(world, 20s, 400ms);
    world.runners[0]->script = [](const ReceivedRequest &request) {
        return RunnerStandin::Reply {answerTo(request, 200, "a"), Then::Keep, 5ms};
    };
    world.node().beginStop();
    std::vector<std::size_t> calls;
    const TimePoint end = world.loop.now() + 1500ms;
    while (world.loop.now() < end) {
        calls.push_back(world.ask("/once/", Patient));
        world.runFor(5ms);
    }
    finishStop(world);
    std::size_t served = 0;
    for (const auto call : calls) {
        CHECK(world.answers[call].whole);
        CHECK((world.answers[call].status == 200 || world.answers[call].status == 503));
        served += world.answers[call].status == 200 ? 1 : 0;
    }
    std::set<std::string> ids;
    for (const ReceivedRequest &request : world.runners[0]->received) {
        CHECK(ids.insert(request.field("x-endivespan-request-id")).second);
    }
    CHECK(ids.size() == served);
}
