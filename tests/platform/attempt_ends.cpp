#include "raw_caller.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <chrono>
#include <memory>
#include <optional>
#include <string>
#include <utility>

using namespace endivespan;
using namespace endivespan::tests;
using namespace std::chrono_literals;
using Reply = RunnerStandin::Reply;
using Then = Reply::Then;

namespace {

const HttpHeaders Patient {{"x-endivespan-deadline-ms", "2900"}};

std::string requestTo(const std::string &path)
{
    return rawRequest(path, "a", 2900ms);
}

/// Lets the first server that is asked do @p first, and all others @p other.
void script(World &world, const RunnerStandin::Script &first, const RunnerStandin::Script &other)
{
    const auto isFirst = std::make_shared<bool>(true);
    for (const auto &runner : world.runners) {
        runner->script = [=](const ReceivedRequest &request) {
            return std::exchange(*isFirst, false) ? first(request) : other(request);
        };
    }
}

} // namespace

TEST_CASE("a stream whose caller closes its sending direction between two events is completed")
{
    for (const char *path : {"/stream/", "/resume/"}) {
        CAPTURE(path);
        World world(1);
        world.runners[0]->script = [](const ReceivedRequest &request) {
            return Reply {
                streamHead(request) + eventChunk(1, "a"), Then::Hang, {}, 600ms, eventChunk(2, "b") + StreamEnd};
        };
        RawSocket caller(world.callerPort());
        caller.send(requestTo(path));
        std::string got;
        REQUIRE(world.until([&] {
            got += caller.readUntil("data: a\n\n", 1ms);
            return got.find("data: a\n\n") != std::string::npos;
        }));
        caller.endSending();
        got += readAll(world, caller, StreamEnd, 2s);
        CAPTURE(got);
        CHECK(got.find("data: b") != std::string::npos);
        CHECK(got.ends_with(StreamEnd));
    }
}

TEST_CASE("a complete failure of the server that stands by reaches the caller when the silent one gives no answer")
{
    for (const Then then : {Then::Reset, Then::Hang}) {
        CAPTURE(static_cast<int>(then));
        World world(2);
        script(
            world,
            [then](const ReceivedRequest &) {
                return Reply {"", then, 900ms};
            },
            [](const ReceivedRequest &request) { return Reply {answerTo(request, 500, "failed at its server")}; });
        const CallerAnswer answer = world.answer(world.ask("/again/", Patient));
        CHECK(world.runners[0]->received.size() + world.runners[1]->received.size() == 2);
        CHECK(answer.status == 500);
        CHECK(answer.body == "failed at its server");
    }
}

TEST_CASE("a slow server's answer is not given up for one of which only the header arrives")
{
    for (const Then then : {Then::Reset, Then::Hang}) {
        CAPTURE(static_cast<int>(then));
        World world(2);
        script(
            world,
            [](const ReceivedRequest &request) {
                return Reply {answerTo(request, 200, "done"), Then::Keep, 900ms};
            },
            [then](const ReceivedRequest &request) {
                const std::string whole = answerTo(request, 200, "standby");
                return Reply {whole.substr(0, whole.size() - 3), then};
            });
        const CallerAnswer answer = world.answer(world.ask("/again/", Patient));
        CHECK(world.runners[0]->received.size() + world.runners[1]->received.size() == 2);
        CHECK(answer.status == 200);
        CHECK(answer.body == "done");
    }
}

TEST_CASE("an answer that stops after its header is replaced by another server's")
{
    World world(2);
    script(
        world,
        [](const ReceivedRequest &request) {
            const std::string whole = answerTo(request, 200, "first");
            return Reply {whole.substr(0, whole.size() - 3), Then::Hang};
        },
        [](const ReceivedRequest &request) { return Reply {answerTo(request, 200, "done")}; });
    const CallerAnswer answer = world.answer(world.ask("/again/", Patient));
    CHECK(answer.status == 200);
    CHECK(answer.body == "done");
}

TEST_CASE("a repeatable request whose caller has closed its sending direction is repeated inside the grace")
{
    for (const char *path : {"/again/", "/resume/"}) {
        CAPTURE(path);
        World world(2);
        script(
            world,
            [](const ReceivedRequest &) {
                return Reply {"", Then::Reset, 50ms};
            },
            [path = std::string(path)](const ReceivedRequest &request) {
                return Reply {path == "/again/" ? answerTo(request, 200, "done")
                                                : streamHead(request) + eventChunk(1, "done") + StreamEnd};
            });
        RawSocket caller(world.callerPort());
        caller.send(requestTo(path));
        caller.endSending();
        const std::string got = readAll(world, caller, "done", 1s);
        CHECK(statusOf(got) == 200);
    }
}

TEST_CASE("a request whose only server cannot be reached is called not run, also after its caller's input has ended")
{
    World world(1);
    world.runners[0]->script = [](const ReceivedRequest &request) { return Reply {answerTo(request, 200, "done")}; };
    world.runners[0]->shutDown();
    world.runFor(100ms);
    RawSocket caller(world.callerPort());
    caller.send(requestTo("/once/"));
    caller.endSending();
    const std::string got = readAll(world, caller, "\r\n\r\n", 2s);
    CHECK((statusOf(got) == 503 || statusOf(got) == 502));
    CHECK(got.find("X-Endivespan-Run: not-run") != std::string::npos);
}

// Pipelined requests that must not be repeated, of a caller that has left.
TEST_CASE("requests behind the one of a caller that has left are not run")
{
    World world(1);
    world.runners[0]->script = [](const ReceivedRequest &request) {
        return Reply {answerTo(request, 200, "done"), Then::Keep, 300ms};
    };
    auto caller = std::make_optional<RawSocket>(world.callerPort());
    caller->send(requestTo("/once/") + requestTo("/once/") + requestTo("/once/"));
    REQUIRE(world.until([&world] { return world.runners[0]->received.size() == 1; }));
    caller.reset();
    world.runFor(1500ms);
    CHECK(world.runners[0]->received.size() == 1);
}

TEST_CASE("no more servers than max_attempts are asked over two silences of a stream and a failure of the standby")
{
    World world(5);
    for (const auto &runner : world.runners) {
        runner->script = [](const ReceivedRequest &request) {
            const std::string last = request.field("last-event-id");
            if (last.empty()) {
                return Reply {streamHead(request) + eventChunk(1, "a"), Then::Hang, {}, 1400ms, eventChunk(2, "b")};
            }
            return last == "1" ? Reply {"", Then::Hang} : Reply {"", Then::Reset};
        };
    }
    (void)world.answer(world.ask("/resume/", Patient));
    const auto asked = std::count_if(
        world.runners.begin(), world.runners.end(), [](const auto &runner) { return !runner->received.empty(); });
    CHECK(asked == 2);
}

TEST_CASE("an answer whose body arrives over the grace reaches a caller that has closed its sending direction")
{
    World world(1);
    world.runners[0]->script = [](const ReceivedRequest &request) {
        const std::string whole = answerTo(request, 200, "all done");
        return Reply {whole.substr(0, whole.size() - 4), Then::Hang, 100ms, 400ms, whole.substr(whole.size() - 4)};
    };
    RawSocket caller(world.callerPort());
    caller.send(requestTo("/again/"));
    caller.endSending();
    CHECK(statusOf(readAll(world, caller, "all done", 1s)) == 200);
}

TEST_CASE("a request that ends at its deadline is answered with the same kind of error each time")
{
    World world(1);
    world.runners[0]->script = [](const ReceivedRequest &) { return Reply {"", Then::Hang}; };
    int unknown = 0;
    constexpr int Requests = 30;
    for (int i = 0; i < Requests; ++i) {
        const CallerAnswer answer
            = world.answer(world.ask("/once/", {{"x-endivespan-deadline-ms", std::to_string(40 + i)}}));
        unknown += answer.body.find("outcome_unknown") != std::string::npos ? 1 : 0;
    }
    CHECK(unknown == Requests);
}

TEST_CASE("a stop answers callers that have closed their sending direction, and does not wait for them")
{
    World world(1);
    world.runners[0]->script = [](const ReceivedRequest &request) {
        return Reply {answerTo(request, 200, "done"), Then::Keep, 800ms};
    };
    RawSocket caller(world.callerPort());
    caller.send(requestTo("/once/"));
    caller.endSending();
    auto left = std::make_optional<RawSocket>(world.callerPort());
    left->send(requestTo("/once/"));
    RawSocket idle(world.callerPort());
    idle.endSending();
    REQUIRE(world.until([&world] { return world.runners[0]->received.size() == 2; }));
    left.reset();
    const TimePoint begun = world.loop.now();
    world.node().beginStop();
    const std::string got = readAll(world, caller, "done", 2s);
    CHECK(statusOf(got) == 200);
    world.until([&world] { return world.stopped; });
    CHECK(world.stopped);
    MESSAGE("stopped after ms: "
            << std::chrono::duration_cast<std::chrono::milliseconds>(world.loop.now() - begun).count());
}

// Both requests are read by the host; the first answer of a stop must not drop the second one without a word.
TEST_CASE("requests sent behind one another are all answered when a stop begins meanwhile")
{
    for (const bool ends : {false, true}) {
        CAPTURE(ends);
        World world(1);
        world.runners[0]->script = [](const ReceivedRequest &request) {
            return Reply {answerTo(request, 200, "done"), Then::Keep, 500ms};
        };
        RawSocket caller(world.callerPort());
        caller.send(requestTo("/once/") + requestTo("/once/"));
        if (ends) {
            caller.endSending();
        }
        REQUIRE(world.until([&world] { return world.runners[0]->received.size() == 1; }));
        world.runFor(100ms);
        world.node().beginStop();
        world.runFor(1500ms);
        const std::string first = caller.readAnswer();
        CHECK(statusOf(first) == 200);
        const int second = statusOf(caller.readUntil("\r\n\r\n", 10ms));
        CAPTURE(first);
        CHECK((second == 200 || second == 503));
    }
}

TEST_CASE("a server that refuses to stand by is not asked more than three times in one silence")
{
    World world(2);
    script(
        world,
        [](const ReceivedRequest &request) {
            return Reply {answerTo(request, 200, "done"), Then::Keep, 2500ms};
        },
        [](const ReceivedRequest &request) {
            return Reply {answerTo(request, 503, "full", "X-Endivespan-Not-Executed: 1\r\n")};
        });
    const CallerAnswer answer = world.answer(world.ask("/again/", Patient));
    CHECK(answer.status == 200);
    CHECK(world.runners[0]->received.size() + world.runners[1]->received.size() <= 1 + 3);
}

TEST_CASE("a complete failure that was kept is not delivered in the place of a later answer")
{
    for (const int status : {200, 404, 500}) {
        CAPTURE(status);
        World world(2);
        script(
            world,
            [](const ReceivedRequest &request) { return Reply {answerTo(request, 500, "failed first")}; },
            [status](const ReceivedRequest &request) { return Reply {answerTo(request, status, "second")}; });
        const CallerAnswer answer = world.answer(world.ask("/again/", Patient));
        CHECK(answer.status == status);
        CHECK(answer.body == "second");
    }
}

TEST_CASE("a stream that began after a complete failure is not completed by that failure")
{
    World world(2);
    world.configure([](nlohmann::json &config) { updateRoutes(config, {{"max_attempts", 2}}); });
    world.runFor(300ms);
    script(
        world,
        [](const ReceivedRequest &request) { return Reply {answerTo(request, 500, "failed first")}; },
        [](const ReceivedRequest &request) {
            return Reply {streamHead(request) + eventChunk(1, "a"), Then::Reset};
        });
    const CallerAnswer answer = world.answer(world.ask("/resume/", Patient));
    CHECK(answer.status == 200);
    CHECK_FALSE(answer.whole);
    CHECK(answer.body.find("failed first") == std::string::npos);
}
