#include "raw_caller.h"

#include <doctest/doctest.h>

#include <optional>
#include <string>

using namespace endivespan;
using namespace endivespan::tests;
using namespace std::chrono_literals;
using Reply = RunnerStandin::Reply;
using Then = Reply::Then;

namespace {

/// By when work for a caller that has left must have ended.
constexpr auto LeftBound = 500ms;

std::string requestTo(const std::string &path)
{
    return rawRequest(path, "a", 2900ms);
}

Reply answerAfter(const ReceivedRequest &request, std::chrono::milliseconds time)
{
    return {answerTo(request, 200, "done"), Then::Keep, time};
}

} // namespace

// Guards against a whole request that gets neither an answer nor a refusal because its caller has nothing more to send.
TEST_CASE("a caller that closes its sending direction gets the answer of a request that must not be repeated")
{
    World world(1);
    world.runners[0]->script = [](const ReceivedRequest &request) { return answerAfter(request, 1500ms); };
    RawSocket caller(world.callerPort());
    caller.send(requestTo("/once/"));
    caller.endSending();
    const std::string answer = readAll(world, caller, "done", 2500ms);
    CHECK(statusOf(answer) == 200);
    CHECK(world.runners[0]->received.size() == 1);
}

TEST_CASE("a caller that closes its sending direction gets an answer that is soon ready, whatever the route")
{
    for (const char *path : {"/once/", "/again/"}) {
        CAPTURE(path);
        World world(1);
        world.runners[0]->script = [](const ReceivedRequest &request) { return answerAfter(request, 150ms); };
        RawSocket caller(world.callerPort());
        caller.send(requestTo(path));
        caller.endSending();
        CHECK(statusOf(readAll(world, caller, "done", 1s)) == 200);
    }
}

TEST_CASE("a caller that closes its sending direction gets its whole stream")
{
    for (const char *path : {"/stream/", "/resume/"}) {
        CAPTURE(path);
        World world(1);
        world.runners[0]->script = [](const ReceivedRequest &request) {
            return Reply {
                streamHead(request) + eventChunk(1, "a"), Then::Hang, 100ms, 900ms, eventChunk(2, "b") + StreamEnd};
        };
        RawSocket caller(world.callerPort());
        caller.send(requestTo(path));
        caller.endSending();
        const std::string answer = readAll(world, caller, StreamEnd, 2s);
        CHECK(statusOf(answer) == 200);
        CHECK(answer.find("data: b") != std::string::npos);
        CHECK(answer.ends_with(StreamEnd));
        CHECK(world.runners[0]->received.size() == 1);
    }
}

TEST_CASE("a repeatable request whose caller has closed its sending direction ends with an answer when it takes long")
{
    for (const char *path : {"/again/", "/stream/", "/resume/"}) {
        CAPTURE(path);
        World world(2);
        for (const auto &runner : world.runners) {
            runner->script = [](const ReceivedRequest &request) { return answerAfter(request, 2s); };
        }
        RawSocket caller(world.callerPort());
        caller.send(requestTo(path));
        caller.endSending();
        world.runFor(LeftBound);
        CHECK(statusOf(caller.readUntil("\r\n\r\n", 10ms)) == 504);
        CHECK(caller.isClosed(10ms));
        REQUIRE(world.runners[0]->received.size() + world.runners[1]->received.size() == 1);
        for (const auto &runner : world.runners) {
            CHECK((runner->received.empty() || runner->received[0].callerGone));
        }
    }
}

TEST_CASE("a request that waits for a server is refused when its caller closes its sending direction")
{
    World world(0);
    world.configure([](nlohmann::json &config) { updateRoutes(config, {{"aim_ms", 20000}}); });
    world.runFor(300ms);
    RawSocket caller(world.callerPort());
    caller.send(requestTo("/once/"));
    world.runFor(100ms);
    caller.endSending();
    world.runFor(100ms);
    const std::string answer = caller.readUntil("\r\n\r\n", 10ms);
    CHECK(statusOf(answer) == 503);
    CHECK(answer.find("Retry-After") != std::string::npos);
    CHECK(answer.find("X-Endivespan-Run: not-run") != std::string::npos);
}

// Guards against work of servers for callers that have left, whose close looks the same until something is sent.
TEST_CASE("streams and repeatable requests end soon after their caller has closed the connection")
{
    struct Left {
        const char *path;
        RunnerStandin::Script script;
    };
    const auto silent = [](const ReceivedRequest &request) { return answerAfter(request, 2s); };
    const auto stream = [](const ReceivedRequest &request) {
        return Reply {streamHead(request) + eventChunk(1, "a"), Then::Hang, 50ms, 350ms, eventChunk(2, "b")};
    };
    const auto begun = [](const ReceivedRequest &request) {
        return Reply {streamHead(request) + eventChunk(1, "a"), Then::Hang};
    };
    for (const Left &left : {Left {"/again/", silent},
                             Left {"/resume/", silent},
                             Left {"/stream/", silent},
                             Left {"/stream/", stream},
                             Left {"/resume/", stream},
                             Left {"/resume/", begun}}) {
        CAPTURE(left.path);
        World world(1);
        world.runners[0]->script = left.script;
        auto caller = std::make_optional<RawSocket>(world.callerPort());
        caller->send(requestTo(left.path));
        REQUIRE(world.until([&world] { return world.runners[0]->received.size() == 1; }));
        caller.reset();
        world.runFor(LeftBound);
        CHECK(world.runners[0]->received[0].callerGone);
    }
}
