#include "world.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <string>
#include <vector>

using namespace endivespan;
using namespace endivespan::tests;
using namespace std::chrono_literals;
using Reply = RunnerStandin::Reply;
using Then = Reply::Then;

namespace {

constexpr auto Silence = 1400ms;
const HttpHeaders Patient {{"x-endivespan-deadline-ms", "2900"}};
const std::string End = "0\r\n\r\n";

bool isResumed(const ReceivedRequest &request)
{
    return !request.field("last-event-id").empty();
}

/// @returns a stream of three events that pauses after the first one.
Reply silentStream(const ReceivedRequest &request, std::chrono::milliseconds silence = Silence)
{
    return {streamHead(request) + eventChunk(1, "a"),
            Then::Hang,
            {},
            silence,
            eventChunk(2, "b") + eventChunk(3, "c") + End};
}

Reply notExecuted(const ReceivedRequest &request)
{
    return {answerTo(request, 503, "full", "X-Endivespan-Not-Executed: 1\r\n")};
}

void scriptAll(World &world, const RunnerStandin::Script &script)
{
    for (const auto &runner : world.runners) {
        runner->script = script;
    }
}

std::vector<ReceivedRequest> received(const World &world)
{
    std::vector<ReceivedRequest> all;
    for (const auto &runner : world.runners) {
        all.insert(all.end(), runner->received.begin(), runner->received.end());
    }
    return all;
}

struct Case {
    std::string what;
    RunnerStandin::Script standby; ///< What a server does with the attempt that stands by.
};

const std::string WholeBody = "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n";

} // namespace

// Guards against streams that are cut because a sound server fell silent and another one did not take them over.
TEST_CASE("a stream whose server falls silent goes on there when no other server takes it over")
{
    const std::vector<Case> cases {
        {"refused", notExecuted},
        {"failed", [](const ReceivedRequest &request) { return Reply {answerTo(request, 500, "failed")}; }},
        {"broken off",
         [](const ReceivedRequest &) {
             return Reply {"", Then::Reset};
         }},
        {"silent",
         [](const ReceivedRequest &) {
             return Reply {"", Then::Hang};
         }},
        {"silent after the header",
         [](const ReceivedRequest &request) {
             return Reply {streamHead(request), Then::Hang, 200ms};
         }},
        {"broken off after the header",
         [](const ReceivedRequest &request) {
             return Reply {streamHead(request), Then::Reset};
         }},
        {"repeated",
         [](const ReceivedRequest &request) {
             return Reply {streamHead(request) + eventChunk(1, "x"), Then::Hang};
         }},
        {"not genuine",
         [](const ReceivedRequest &) {
             return Reply {"HTTP/1.1 200 OK\r\nContent-Length: 14\r\n\r\nid: 2\ndata: x\n\n"};
         }},
    };
    for (const Case &tested : cases) {
        CAPTURE(tested.what);
        World world(4);
        scriptAll(world, [&tested](const ReceivedRequest &request) {
            return isResumed(request) ? tested.standby(request) : silentStream(request);
        });
        const CallerAnswer answer = world.answer(world.ask("/resume/", Patient));
        CHECK(answer.whole);
        CHECK(answer.body == WholeBody);
        CHECK(received(world).size() > 1);
    }
}

TEST_CASE("a stream whose server falls silent is taken over by another one without a gap")
{
    World world(2);
    scriptAll(world, [](const ReceivedRequest &request) {
        return isResumed(request) ? Reply {streamHead(request) + eventChunk(2, "b") + eventChunk(3, "c") + End}
                                  : silentStream(request, 60s);
    });
    const CallerAnswer answer = world.answer(world.ask("/resume/", Patient));
    CHECK(answer.whole);
    CHECK(answer.body == WholeBody);
    world.runFor(50ms);
    for (const ReceivedRequest &request : received(world)) {
        CHECK(request.callerGone != isResumed(request));
    }
}

TEST_CASE("an attempt that stands by is cancelled at once when the silent server goes on")
{
    World world(2);
    scriptAll(world, [](const ReceivedRequest &request) {
        return isResumed(request)
            ? Reply {streamHead(request) + eventChunk(2, "x") + eventChunk(3, "x") + End, Then::Keep, 1s}
            : silentStream(request);
    });
    const CallerAnswer answer = world.answer(world.ask("/resume/", Patient));
    CHECK(answer.whole);
    CHECK(answer.body == WholeBody);
    world.runFor(50ms);
    const auto all = received(world);
    REQUIRE(all.size() == 2);
    for (const ReceivedRequest &request : all) {
        CHECK(request.callerGone == isResumed(request));
    }
}

// Guards against refusals of attempts that stood by, which used up those of a later resumption.
TEST_CASE("a stream that went on after a silence is resumed elsewhere when its server breaks off")
{
    World world(5);
    world.configure([](nlohmann::json &config) { updateRoutes(config, {{"max_attempts", 3}}); });
    world.runFor(1500ms);
    bool full = true;
    std::size_t first = 0;
    for (std::size_t i = 0; i < world.runners.size(); ++i) {
        world.runners[i]->script = [&first, &full, i](const ReceivedRequest &request) {
            if (!isResumed(request)) {
                first = i;
                return Reply {streamHead(request) + eventChunk(1, "a"), Then::Hang, {}, 1100ms, eventChunk(2, "b")};
            }
            return full ? notExecuted(request) : Reply {streamHead(request) + eventChunk(3, "c") + End};
        };
    }
    const auto call = world.ask("/resume/", Patient);
    REQUIRE(world.until([&] { return world.answers[call].body.find("id: 2") != std::string::npos; }));
    full = false;
    world.runFor(400ms);
    world.runners[first]->shutDown();
    const CallerAnswer answer = world.answer(call);
    CHECK(answer.whole);
    CHECK(answer.body == WholeBody);
}

TEST_CASE("an attempt that stands by goes on when the silent server breaks off")
{
    World world(2);
    std::size_t silent = 0;
    for (std::size_t i = 0; i < world.runners.size(); ++i) {
        world.runners[i]->script = [&silent, i](const ReceivedRequest &request) {
            silent = isResumed(request) ? silent : i;
            return isResumed(request)
                ? Reply {streamHead(request) + eventChunk(2, "b") + eventChunk(3, "c") + End, Then::Keep, 400ms}
                : silentStream(request, 60s);
        };
    }
    const auto call = world.ask("/resume/", Patient);
    REQUIRE(world.until([&world] { return received(world).size() == 2; }));
    world.runners[silent]->shutDown();
    const CallerAnswer answer = world.answer(call);
    CHECK(answer.whole);
    CHECK(answer.body == WholeBody);
}

// Guards against a silence that uses up the only repeat of a route, so that nobody stands by at the next one.
TEST_CASE("a stream of two attempts is taken over in its second silence, by the server that stood by in the first one")
{
    World world(4);
    scriptAll(world, [](const ReceivedRequest &request) {
        if (!isResumed(request)) {
            return Reply {streamHead(request) + eventChunk(1, "a"), Then::Hang, {}, Silence, eventChunk(2, "b")};
        }
        const bool isFirstSilence = request.field("last-event-id") == "1";
        return isFirstSilence ? Reply {streamHead(request) + eventChunk(2, "x"), Then::Keep, 1s}
                              : Reply {streamHead(request) + eventChunk(3, "c") + End};
    });
    const CallerAnswer answer = world.answer(world.ask("/resume/", Patient));
    CHECK(answer.whole);
    CHECK(answer.body == WholeBody);
    const auto asked = std::count_if(
        world.runners.begin(), world.runners.end(), [](const auto &runner) { return !runner->received.empty(); });
    CHECK(asked == 2);
}

TEST_CASE("a stream of two attempts whose server breaks off goes on at the one that stood by in a silence before")
{
    World world(4);
    std::size_t first = 0;
    for (std::size_t i = 0; i < world.runners.size(); ++i) {
        world.runners[i]->script = [&first, i](const ReceivedRequest &request) {
            if (!isResumed(request)) {
                first = i;
                return Reply {streamHead(request) + eventChunk(1, "a"), Then::Hang, {}, Silence, eventChunk(2, "b")};
            }
            const bool isFirstSilence = request.field("last-event-id") == "1";
            return isFirstSilence ? Reply {streamHead(request) + eventChunk(2, "x"), Then::Keep, 1s}
                                  : Reply {streamHead(request) + eventChunk(3, "c") + End};
        };
    }
    const auto call = world.ask("/resume/", Patient);
    REQUIRE(world.until([&] { return world.answers[call].body.find("id: 2") != std::string::npos; }));
    world.runners[first]->shutDown();
    const CallerAnswer answer = world.answer(call);
    CHECK(answer.whole);
    CHECK(answer.body == WholeBody);
    const auto asked = std::count_if(
        world.runners.begin(), world.runners.end(), [](const auto &runner) { return !runner->received.empty(); });
    CHECK(asked == 2);
}

// Guards against a failure that the caller gets although its sound server would have answered in time.
TEST_CASE("a request whose server is slow is answered by it when the other servers refuse the request")
{
    for (const char *path : {"/again/", "/resume/"}) {
        CAPTURE(path);
        World world(4);
        bool isFirst = true;
        scriptAll(world, [&isFirst, path = std::string(path)](const ReceivedRequest &request) {
            if (!std::exchange(isFirst, false)) {
                return notExecuted(request);
            }
            return Reply {path == "/again/" ? answerTo(request, 200, "done")
                                            : streamHead(request) + eventChunk(1, "done") + End,
                          Then::Keep,
                          900ms};
        });
        const CallerAnswer answer = world.answer(world.ask(path, Patient));
        CHECK(answer.whole);
        CHECK(answer.status == 200);
        CHECK(answer.body.find("done") != std::string::npos);
        CHECK(received(world).size() > 1);
    }
}

// Guards against a server's complete failure that is lost because its request also stood by, or was repeated,
// elsewhere.
TEST_CASE("a complete failure of a server reaches the caller when no other attempt succeeds")
{
    const std::vector<Case> cases {
        {"refused",
         [](const ReceivedRequest &request) {
             return Reply {notExecuted(request).bytes, Then::Keep, 600ms};
         }},
        {"broken off",
         [](const ReceivedRequest &) {
             return Reply {"", Then::Reset, 600ms};
         }},
        {"silent",
         [](const ReceivedRequest &) {
             return Reply {"", Then::Hang};
         }},
    };
    for (const auto failsAfter : {0ms, 600ms}) {
        for (const Case &tested : cases) {
            CAPTURE(failsAfter.count());
            CAPTURE(tested.what);
            World world(4);
            bool isFirst = true;
            scriptAll(world, [&](const ReceivedRequest &request) {
                return std::exchange(isFirst, false)
                    ? Reply {answerTo(request, 500, "failed at its server"), Then::Keep, failsAfter}
                    : tested.standby(request);
            });
            const CallerAnswer answer = world.answer(world.ask("/again/", Patient));
            CHECK(answer.whole);
            CHECK(answer.status == 500);
            CHECK(answer.body == "failed at its server");
            CHECK(received(world).size() > 1);
        }
    }
}

// Guards against requests that are refused as crashing because sound servers fell silent for a second.
TEST_CASE("requests with the same bytes are served while all servers are silent for a second")
{
    World world(6);
    bool silent = true;
    scriptAll(world, [&silent](const ReceivedRequest &request) {
        return silent ? silentStream(request) : Reply {streamHead(request) + eventChunk(1, "a") + End};
    });
    std::vector<std::size_t> calls;
    calls.reserve(100);
    for (int i = 0; i < 24; ++i) {
        calls.push_back(world.ask("/resume/", Patient, "POST", "same"));
    }
    world.runFor(900ms);
    silent = false;
    for (int i = 0; i < 50; ++i) {
        calls.push_back(world.ask("/resume/", Patient, "POST", "same"));
        world.runFor(20ms);
    }
    std::size_t refused = 0;
    for (const auto call : calls) {
        refused += world.answer(call).status == 200 ? 0 : 1;
    }
    CHECK(refused == 0);
}
