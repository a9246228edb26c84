#include "raw_socket.h"
#include "world.h"

#include <endivespan/config.h>

#include <doctest/doctest.h>

#include <map>
#include <set>

using namespace endivespan;
using namespace endivespan::tests;
using namespace std::chrono_literals;
using Then = RunnerStandin::Reply::Then;

namespace {

std::size_t received(const World &world)
{
    std::size_t count = 0;
    for (const auto &runner : world.runners) {
        count += runner->received.size();
    }
    return count;
}

void scriptAll(World &world, const RunnerStandin::Script &script)
{
    for (const auto &runner : world.runners) {
        runner->script = script;
    }
}

// Returns the header of an event stream that has neither a length nor chunks.
std::string headWithoutFraming(const ReceivedRequest &request)
{
    return "HTTP/1.1 200 OK\r\nX-Endivespan-Request-Id: " + request.field("x-endivespan-request-id")
        + "\r\nX-Endivespan-Server-Seal: seal\r\nContent-Type: text/event-stream\r\n\r\n";
}

std::string eventText(int id, const std::string &data)
{
    return "id: " + std::to_string(id) + "\ndata: " + data + "\n\n";
}

} // namespace

TEST_CASE("a request is forwarded unchanged to one runner and its complete answer is returned")
{
    World world(3);
    scriptAll(world, [](const ReceivedRequest &request) {
        return RunnerStandin::Reply {answerTo(request, 201, "the answer", "X-Other: 1\r\nKeep-Alive: timeout=5\r\n")};
    });
    const auto call
        = world.ask("/once/a%2Fb?x=1%20", {{"x-mine", "2"}, {"x-endivespan-tenant", "forged"}}, "POST", "body");
    const CallerAnswer &answer = world.answer(call);
    CHECK(answer.status == 201);
    CHECK(answer.body == "the answer");
    CHECK(answer.headers.at("x-other") == "1");
    CHECK(answer.headers.at("x-endivespan-server-seal") == "seal");
    // That of the host; the one of the runner concerns only its own connection.
    CHECK(answer.headers.at("keep-alive") == "timeout=74");
    REQUIRE(received(world) == 1);
    for (const auto &runner : world.runners) {
        for (const ReceivedRequest &request : runner->received) {
            CHECK(request.head.starts_with("POST /once/a%2Fb?x=1%20 HTTP/1.1\r\n"));
            CHECK(request.body == "body");
            CHECK(request.field("x-mine") == "2");
            CHECK(request.field("x-endivespan-tenant") == "org");
            CHECK(request.field("x-endivespan-expect-instance") == runner->id);
            CHECK(request.field("api-key").empty());
            const int left = std::stoi(request.field("x-endivespan-deadline-ms"));
            CHECK(left <= 2000);
            CHECK(left > 1500);
        }
    }
}

TEST_CASE("requests without a matching route, a valid key or an id are refused and reach no runner")
{
    World world(1);
    CHECK(world.answer(world.ask("/nowhere/")).status == 404);
    CHECK(world.answer(world.ask("/once/", {{"host", "other"}})).status == 404);
    CHECK(world.answer(world.ask("/once/", {{"api-key", "wrong"}})).status == 401);
    CHECK(world.answer(world.ask("/once/", {{"x-endivespan-request-id", ""}})).status == 400);
    CHECK(received(world) == 0);
}

TEST_CASE("a revoked key is refused once the new configuration record is read")
{
    World world(1);
    CHECK(world.answer(world.ask("/once/")).status == 200);
    world.configure([](nlohmann::json &config) { config["tenants"][0]["api_keys"] = {"new"}; });
    world.runFor(300ms);
    CHECK(world.answer(world.ask("/once/")).status == 401);
    CHECK(world.answer(world.ask("/once/", {{"api-key", "new"}})).status == 200);
}

TEST_CASE("a host that cannot confirm its configuration refuses requests as not run, and serves again afterwards")
{
    World world(1);
    world.store.silent = true;
    CHECK(world.until([&world] { return !world.isReady(); }));
    const std::size_t before = received(world);
    const CallerAnswer refused = world.answer(world.ask("/once/"));
    CHECK(refused.status == 503);
    CHECK(refused.headers.contains("retry-after"));
    CHECK(received(world) == before);
    world.store.silent = false;
    CHECK(world.until([&world] { return world.isReady(); }));
    CHECK(world.answer(world.ask("/once/")).status == 200);
}

TEST_CASE("a request refused as not run is sent to another runner; if all refuse, the caller gets 503")
{
    World world(2);
    int refusals = 0;
    scriptAll(world, [&refusals](const ReceivedRequest &request) {
        if (refusals++ == 0) {
            return RunnerStandin::Reply {"HTTP/1.1 503 X\r\nX-Endivespan-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"};
        }
        return RunnerStandin::Reply {answerTo(request, 200, "second")};
    });
    CHECK(world.answer(world.ask("/once/")).body == "second");
    CHECK(received(world) == 2);
    world.runFor(700ms);
    scriptAll(world, [](const ReceivedRequest &) {
        return RunnerStandin::Reply {"HTTP/1.1 503 X\r\nX-Endivespan-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"};
    });
    const CallerAnswer answer = world.answer(world.ask("/once/"));
    CHECK(answer.status == 503);
    CHECK(std::stod(answer.headers.at("retry-after")) < 1.0);
}

TEST_CASE("on a route without repeats, an attempt that may have run is not repeated and not reported as not run")
{
    for (const RunnerStandin::Reply &reply : std::vector<RunnerStandin::Reply> {
             {"", Then::Close},
             {"", Then::Reset},
             {"no answer at all\r\n\r\n", Then::Close},
             {"HTTP/1.1 200 OK\r\nContent-Length: 10\r\nX-Endivespan-Server-Seal: s\r\n\r\ncut", Then::Close},
             {"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", Then::Keep},
             {"HTTP/1.1 200 OK\r\nX-Endivespan-Server-Seal: s\r\n\r\nno length", Then::Reset}}) {
        CAPTURE(reply.bytes);
        World world(3);
        scriptAll(world, [&reply](const ReceivedRequest &) { return reply; });
        const CallerAnswer answer = world.answer(world.ask("/once/"));
        CHECK(answer.status == 502);
        CHECK(received(world) == 1);
    }
}

TEST_CASE("on a repeatable route, a failed attempt is repeated at another runner, up to the limit of the route")
{
    World world(3);
    scriptAll(world, [](const ReceivedRequest &) { return RunnerStandin::Reply {"", Then::Reset}; });
    CHECK(world.answer(world.ask("/again/", {}, "GET")).status == 502);
    CHECK(received(world) == 2);
    world.runFor(1s);
    int attempts = 0;
    scriptAll(world, [&attempts](const ReceivedRequest &request) {
        return attempts++ == 0 ? RunnerStandin::Reply {"", Then::Hang}
                               : RunnerStandin::Reply {answerTo(request, 200, "second")};
    });
    CHECK(world.answer(world.ask("/again/", {}, "GET")).body == "second");
}

TEST_CASE("an answer without a length is complete when its connection is closed cleanly")
{
    World world(1);
    scriptAll(world, [](const ReceivedRequest &request) {
        return RunnerStandin::Reply {"HTTP/1.1 200 OK\r\nX-Endivespan-Request-Id: "
                                         + request.field("x-endivespan-request-id")
                                         + "\r\nX-Endivespan-Server-Seal: s\r\n\r\nall of it",
                                     Then::Close};
    });
    const CallerAnswer answer = world.answer(world.ask("/once/"));
    CHECK(answer.status == 200);
    CHECK(answer.body == "all of it");
}

TEST_CASE("stray bytes before or after an answer never reach another caller")
{
    World world(1);
    int number = 0;
    scriptAll(world, [&number](const ReceivedRequest &request) {
        const std::string extra = "HTTP/1.1 200 OK\r\nX-Endivespan-Request-Id: stray\r\nX-Endivespan-Server-Seal: "
                                  "s\r\nContent-Length: 5\r\n\r\nwrong";
        const std::string own = answerTo(request, 200, "own " + request.field("x-endivespan-request-id"));
        return RunnerStandin::Reply {++number % 2 == 0 ? own + extra : extra + own};
    });
    for (int i = 0; i < 10; ++i) {
        const auto call = world.ask("/once/");
        CHECK(world.answer(call).body == "own r" + std::to_string(call));
    }
}

TEST_CASE("a broken stream is resumed at another runner without a gap only where the route allows it")
{
    World world(3);
    scriptAll(world, [](const ReceivedRequest &request) {
        const std::string last = request.field("last-event-id");
        const int from = last.empty() ? 1 : std::stoi(last) + 1;
        std::string bytes = streamHead(request);
        if (last.empty()) {
            return RunnerStandin::Reply {bytes + eventChunk(1, "a") + eventChunk(2, "b") + "9\r\nid: 3\ndat\r\n",
                                         Then::Reset};
        }
        for (int i = from; i <= 5; ++i) {
            bytes += eventChunk(i, std::string(1, static_cast<char>('a' + i - 1)));
        }
        return RunnerStandin::Reply {bytes + "0\r\n\r\n"};
    });
    const CallerAnswer answer = world.answer(world.ask("/resume/"));
    CHECK(answer.whole);
    CHECK(answer.body == "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\nid: 4\ndata: d\n\nid: 5\ndata: e\n\n");
    const CallerAnswer cut = world.answer(world.ask("/stream/"));
    CHECK(cut.failed);
    CHECK_FALSE(cut.whole);
}

// Guards against runners that break off inside an event although the framing of their answer is complete.
TEST_CASE("a stream that ends inside an event is resumed or cut, however its answer is framed")
{
    const std::string half = "id: 3\ndat";
    const std::string before = eventText(1, "a") + eventText(2, "b");
    const std::string after = eventText(3, "c") + eventText(4, "d");
    const auto chunked = [&](const ReceivedRequest &request) {
        return streamHead(request) + eventChunk(1, "a") + eventChunk(2, "b") + "9\r\n" + half + "\r\n0\r\n\r\n";
    };
    const auto withLength = [&](const ReceivedRequest &request) {
        return answerTo(request, 200, before + half, "Content-Type: text/event-stream\r\n");
    };
    const auto closed = [&](const ReceivedRequest &request) { return headWithoutFraming(request) + before + half; };
    const std::vector<std::function<std::string(const ReceivedRequest &)>> framings {chunked, withLength, closed};
    for (std::size_t i = 0; i < framings.size(); ++i) {
        CAPTURE(i);
        World world(3);
        scriptAll(world, [&](const ReceivedRequest &request) {
            if (!request.field("last-event-id").empty()) {
                return RunnerStandin::Reply {headWithoutFraming(request) + after, Then::Close};
            }
            return RunnerStandin::Reply {framings[i](request), Then::Close};
        });
        const CallerAnswer resumed = world.answer(world.ask("/resume/"));
        CHECK(resumed.whole);
        CHECK(resumed.body == before + after);
        const CallerAnswer cut = world.answer(world.ask("/stream/"));
        CHECK(cut.failed);
        CHECK_FALSE(cut.whole);
        CHECK(cut.body == before);
    }
}

TEST_CASE("a stream without a length is complete when its connection is closed cleanly after an event")
{
    World world(1);
    scriptAll(world, [](const ReceivedRequest &request) {
        return RunnerStandin::Reply {headWithoutFraming(request) + eventText(1, "a") + eventText(2, "b"), Then::Close};
    });
    for (const char *path : {"/stream/", "/resume/"}) {
        CAPTURE(path);
        const CallerAnswer answer = world.answer(world.ask(path));
        CHECK(answer.whole);
        CHECK(answer.body == eventText(1, "a") + eventText(2, "b"));
    }
}

TEST_CASE("a stream without a length that ends before its first event is not delivered as complete")
{
    World world(2);
    scriptAll(world, [](const ReceivedRequest &request) {
        return RunnerStandin::Reply {headWithoutFraming(request), Then::Close};
    });
    for (const char *path : {"/stream/", "/resume/"}) {
        CAPTURE(path);
        CHECK_FALSE(world.answer(world.ask(path)).whole);
    }
}

// Guards against cutting a stream whose runner sends nothing for a while when no other runner can continue it.
TEST_CASE("a silent stream is not abandoned while no other runner can continue it")
{
    World world(1);
    scriptAll(world, [](const ReceivedRequest &request) {
        return RunnerStandin::Reply {streamHead(request) + eventChunk(1, "a"), Then::Hang};
    });
    const auto call = world.ask("/resume/", {{"x-endivespan-deadline-ms", "2600"}});
    world.runFor(2200ms);
    CHECK_FALSE(world.answers[call].failed);
    CHECK(received(world) == 1);
}

// A faulty runner may go on sending bytes that form no answer until its connection is closed.
TEST_CASE("a stream event that never ends fails its request at once instead of filling the memory")
{
    World world(1);
    scriptAll(world, [](const ReceivedRequest &request) {
        return RunnerStandin::Reply {
            streamHead(request) + eventChunk(1, "first") + "7fffffff\r\n" + std::string(8'000'000, 'x'), Then::Hang};
    });
    const TimePoint asked = world.loop.now();
    const auto call = world.ask("/stream/");
    const CallerAnswer &answer = world.answer(call);
    CHECK(answer.failed);
    CHECK_FALSE(answer.whole);
    CHECK(answer.body == "id: 1\ndata: first\n\n");
    CHECK(world.loop.now() - asked < 1s);
    CHECK(world.until([&world] { return world.runners[0]->received[0].callerGone; }, 1s));
    scriptAll(world,
              [](const ReceivedRequest &request) { return RunnerStandin::Reply {answerTo(request, 200, "ok")}; });
    CHECK(world.answer(world.ask("/once/")).body == "ok");
}

TEST_CASE("an answer whose header never ends fails its request at once")
{
    World world(1);
    scriptAll(world, [](const ReceivedRequest &) {
        return RunnerStandin::Reply {"HTTP/1.1 200 OK\r\nX-Endless: " + std::string(8'000'000, 'x'), Then::Hang};
    });
    const TimePoint asked = world.loop.now();
    CHECK(world.answer(world.ask("/once/")).status == 502);
    CHECK(world.loop.now() - asked < 1s);
    CHECK(world.until([&world] { return world.runners[0]->received[0].callerGone; }, 1s));
}

// Guards against input that a parser only keeps while it waits for the end of a line.
TEST_CASE("an answer whose chunk size, chunk extension or trailer never ends fails its request at once")
{
    const std::string endless(8'000'000, 'x');
    for (const std::string &rest : {std::string(8'000'000, '0'), "5;" + endless, "0\r\nX-Endless: " + endless}) {
        for (const std::string path : {"/once/", "/stream/"}) {
            CAPTURE(rest.substr(0, 12));
            CAPTURE(path);
            World world(1);
            scriptAll(world, [&rest](const ReceivedRequest &request) {
                return RunnerStandin::Reply {streamHead(request) + eventChunk(1, "first") + rest, Then::Hang};
            });
            const TimePoint asked = world.loop.now();
            const CallerAnswer &answer = world.answer(world.ask(path));
            CHECK_FALSE((answer.status == 200 && answer.whole));
            CHECK(world.loop.now() - asked < 1s);
            CHECK(world.until([&world] { return world.runners[0]->received[0].callerGone; }, 1s));
        }
    }
}

TEST_CASE("endless answers of the log and of engines are abandoned before they fill the memory")
{
    Loop loop;
    RunnerStandin endless(loop, "endless");
    endless.script = [](const ReceivedRequest &) {
        return RunnerStandin::Reply {
            "HTTP/1.1 200 OK\r\nContent-Length: 2000000000\r\n\r\n" + std::string(6'000'000, '1'), Then::Hang};
    };
    platform::KeyedLogClient log(loop, endless.address());
    platform::RunnerControl engines(loop);
    std::optional<ErrorKind> logError;
    std::optional<ErrorKind> engineError;
    const auto stopOnBoth = [&] {
        if (logError && engineError) {
            loop.stop();
        }
    };
    log.newest("keyed.op", [&](const Result<KeyedBatch> &batch) {
        logError = batch.error().kind;
        stopOnBoth();
    });
    engines.ask(endless.address(), [&](const Result<EngineState> &state) {
        engineError = state.error().kind;
        stopOnBoth();
    });
    const auto limit = loop.after(3s, [&loop] { loop.stop(); });
    loop.run();
    CHECK(logError == ErrorKind::ProtocolError);
    CHECK(engineError == ErrorKind::ProtocolError);
}

TEST_CASE("when a caller disconnects, the connection to its runner is closed at once")
{
    for (const char *path : {"/again/", "/stream/", "/resume/"}) {
        CAPTURE(path);
        World world(1);
        scriptAll(world, [](const ReceivedRequest &) { return RunnerStandin::Reply {"", Then::Hang}; });
        const auto call = world.ask(path);
        REQUIRE(world.until([&world] { return received(world) == 1; }));
        world.disconnect(call);
        CHECK(world.until([&world] { return world.runners[0]->received[0].callerGone; }, 300ms));
    }
}

// Nobody may run it again, and the close of a connection looks like the end of what its caller has to send.
TEST_CASE("when the caller of a request that must not be repeated disconnects, its runner finishes it")
{
    World world(1);
    scriptAll(world, [](const ReceivedRequest &) { return RunnerStandin::Reply {"", Then::Hang}; });
    const auto call = world.ask("/once/");
    REQUIRE(world.until([&world] { return received(world) == 1; }));
    world.disconnect(call);
    world.runFor(600ms);
    CHECK_FALSE(world.runners[0]->received[0].callerGone);
    // Until the deadline of the request.
    CHECK(world.until([&world] { return world.runners[0]->received[0].callerGone; }, 2s));
}

TEST_CASE("the timeout of a route ends a request with 502, since it may have run")
{
    World world(1);
    world.configure([](nlohmann::json &config) { config["routes"][0]["timeout_ms"] = 300; });
    world.runFor(200ms);
    scriptAll(world, [](const ReceivedRequest &) { return RunnerStandin::Reply {"", Then::Hang}; });
    const TimePoint begin = world.loop.now();
    CHECK(world.answer(world.ask("/once/")).status == 502);
    CHECK(world.loop.now() - begin < 500ms);
    CHECK(world.runners[0]->received[0].field("x-endivespan-deadline-ms").size() == 3);
}

TEST_CASE("servers whose entries are draining, deleted or unreadable get no new requests")
{
    World world(3);
    world.list(*world.runners[0], {{"state", "draining"}});
    world.store.put("keyed.servers", world.runners[1]->id, std::nullopt);
    world.store.put("keyed.servers", "forged", "{\"service\":\"llm\"}");
    world.runFor(1500ms);
    for (int i = 0; i < 20; ++i) {
        CHECK(world.answer(world.ask("/once/")).status == 200);
    }
    CHECK(world.runners[0]->received.empty());
    CHECK(world.runners[1]->received.empty());
    CHECK(world.runners[2]->received.size() == 20);
}

TEST_CASE("an evacuated failure domain gets no requests until the evacuation record is deleted")
{
    World world(1);
    world.store.put("keyed.op", "evacuate/z", "{}");
    world.runFor(300ms);
    CHECK(world.answer(world.ask("/once/")).status == 503);
    CHECK(received(world) == 0);
    world.store.put("keyed.op", "evacuate/z", std::nullopt);
    world.runFor(300ms);
    CHECK(world.answer(world.ask("/once/")).status == 200);
}

TEST_CASE("when the store has trimmed the history, the newest record of each key is read instead")
{
    World world(1);
    world.store.put("keyed.op", "evacuate/z", "{}");
    world.runFor(200ms);
    world.store.silent = true;
    world.runFor(100ms);
    world.store.put("keyed.op", "evacuate/z", std::nullopt);
    world.configure([](nlohmann::json &config) { config["tenants"][0]["api_keys"] = {"new"}; });
    world.store.forgetHistory("keyed.op");
    world.store.forgetHistory("keyed.servers");
    world.store.silent = false;
    REQUIRE(world.until([&world] { return world.answer(world.ask("/once/", {{"api-key", "new"}})).status == 200; }));
    CHECK(world.answer(world.ask("/once/")).status == 401);
}

TEST_CASE("each engine gets one order for new weights, with its expected count, though an append's answer is lost")
{
    World world(4);
    std::map<std::string, int> accepted;
    for (const auto &runner : world.runners) {
        RunnerStandin *self = runner.get();
        runner->script = [&world, &accepted, self](const ReceivedRequest &request) {
            if (request.head.starts_with("GET /v1/report")) {
                return RunnerStandin::Reply {
                    answerTo(request,
                             200,
                             nlohmann::json {{"busy", false},
                                             {"seq", accepted[self->id]},
                                             {"models", {{{"name", "m"}, {"version", accepted[self->id] > 0 ? 2 : 1}}}}}
                                 .dump())};
            }
            const auto order = nlohmann::json::parse(request.body);
            CHECK(order["expected"] == accepted[self->id]);
            CHECK(order["fence"].get<std::uint64_t>() > 0);
            CHECK(request.field("x-endivespan-expect-instance") == self->id);
            ++accepted[self->id];
            world.list(*self, {{"models", {{{"name", "m"}, {"version", 2}}}}});
            return RunnerStandin::Reply {answerTo(request, 202, "")};
        };
    }
    world.store.lostAppends = 1;
    world.store.put("keyed.op", "version/m", R"({"model":"m","version":2})");
    CHECK(world.until([&accepted] { return accepted.size() == 4; }));
    world.runFor(1500ms);
    for (const auto &[id, count] : accepted) {
        CHECK(count == 1);
    }
    CHECK(world.store.plain("orders").size() >= 1);
}

TEST_CASE("a stopping host keeps running requests, refuses new ones and stops within its time limit")
{
    World world(1);
    (void)world.answer(world.ask("/once/"));
    scriptAll(world, [](const ReceivedRequest &request) {
        return RunnerStandin::Reply {streamHead(request) + eventChunk(1, "a"), Then::Hang};
    });
    const auto running = world.ask("/stream/", {{"x-endivespan-deadline-ms", "3500"}});
    REQUIRE(world.until([&world, running] { return !world.answers[running].body.empty(); }));
    const TimePoint begin = world.loop.now();
    world.node().beginStop();
    CHECK_FALSE(world.isReady());
    world.runFor(2700ms);
    const std::size_t before = received(world);
    CHECK(world.answer(world.ask("/once/")).status == 503);
    CHECK(received(world) == before);
    CHECK_FALSE(world.answers[running].failed);
    CHECK(world.until([&world] { return world.stopped; }));
    CHECK(world.loop.now() - begin < 6s);
}

TEST_CASE("requests with ambiguous framing are refused by the host and reach no runner")
{
    World world(1);
    for (const std::string &bytes :
         {std::string(
              "POST /once/ HTTP/1.1\r\nHost: h.example\r\nX-Endivespan-Request-Id: a\r\nX-Endivespan-Request-Id: "
              "b\r\nApi-Key: key\r\nContent-Length: 0\r\n\r\n"),
          std::string("POST /once/ HTTP/1.1\r\nHost: h.example\r\nX-Endivespan-Request-Id: a\r\nApi-Key: key\r\n"
                      "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\nPOST /once/smuggled "
                      "HTTP/1.1\r\n\r\n")}) {
        RawSocket caller(world.callerPort());
        caller.send(bytes);
        world.runFor(100ms);
        CHECK(statusOf(caller.readAnswer()) == 400);
    }
    CHECK(received(world) == 0);
}

// Guards against truncated answers: a host exited as soon as its last request was over, with the end of the answer
// still unsent.
TEST_CASE("a stopping host waits until callers have received their last answers")
{
    World world(1);
    const std::string body = std::string(6'000'000, 'x') + "END";
    scriptAll(world,
              [&body](const ReceivedRequest &request) { return RunnerStandin::Reply {answerTo(request, 200, body)}; });
    RawSocket caller(world.callerPort());
    caller.send("GET /once/ HTTP/1.1\r\nHost: h.example\r\nX-Endivespan-Request-Id: a\r\nApi-Key: key\r\n\r\n");
    REQUIRE(world.until([&world] { return received(world) == 1; }));
    world.node().beginStop();
    world.runFor(3600ms);
    CHECK_FALSE(world.stopped);
    std::string got;
    REQUIRE(world.until([&] {
        got += caller.readUntil("END", 1ms);
        return got.ends_with("END");
    }));
    CHECK(got.size() > body.size());
    CHECK(world.until([&world] { return world.stopped; }));
}

// Guards against entries of other writers that end a host, stop it from following the list, or attract requests.
TEST_CASE("odd entries in the list of servers cost no request, and the list is followed on")
{
    World world(2);
    scriptAll(world,
              [](const ReceivedRequest &request) { return RunnerStandin::Reply {answerTo(request, 200, "ok")}; });
    const std::string nested = std::string(100'000, '[') + std::string(100'000, ']');
    const auto entryWithPort = [](const std::string &port) {
        return nlohmann::json {{"service", "llm"},
                               {"address", "127.0.0.1:" + port},
                               {"zone", "z"},
                               {"version", "v1"},
                               {"slots", 64},
                               {"state", "ready"},
                               {"cold_ms", 0},
                               {"seq", 1},
                               {"born", 1000}}
            .dump();
    };
    for (const std::string &odd : {nested,
                                   R"({"service":)" + nested + "}",
                                   entryWithPort("65536"),
                                   entryWithPort("0"),
                                   entryWithPort("-1"),
                                   std::string(R"({"seq":1e999})")}) {
        CAPTURE(odd.substr(0, 200));
        world.store.put("keyed.servers", "i-odd", odd);
        world.runFor(config::ServerPollMost + 200ms);
        for (int i = 0; i < 10; ++i) {
            CHECK(world.answer(world.ask("/once/")).status == 200);
        }
    }
    world.list(*world.runners[0], {{"state", "draining"}});
    world.runFor(config::ServerPollMost + 200ms);
    const std::size_t before = world.runners[0]->received.size();
    for (int i = 0; i < 10; ++i) {
        CHECK(world.answer(world.ask("/once/")).status == 200);
    }
    CHECK(world.runners[0]->received.size() == before);
}

// Guards against a refusal that a runner writes once more on a kept connection, where the next answer is due.
TEST_CASE("a repeated refusal is not taken as the answer to the next request on its connection")
{
    for (const bool named : {false, true}) {
        CAPTURE(named);
        World world(2);
        std::map<std::pair<std::string, std::uint64_t>, std::string> refusals;
        std::set<std::string> ran;
        bool refusing = true;
        bool ranTwice = false;
        for (const auto &runner : world.runners) {
            runner->script = [&, id = runner->id](const ReceivedRequest &request) {
                const std::string requestId = request.field("x-endivespan-request-id");
                std::string &earlier = refusals[{id, request.connection}];
                if (refusing) {
                    earlier = "HTTP/1.1 503 X\r\nX-Endivespan-Not-Executed: 1\r\nContent-Length: 0\r\n"
                        + (named ? "X-Endivespan-Request-Id: " + requestId + "\r\n" : std::string()) + "\r\n";
                    return RunnerStandin::Reply {earlier};
                }
                ranTwice = !ran.insert(requestId).second || ranTwice;
                return RunnerStandin::Reply {earlier + answerTo(request, 200, "ran")};
            };
        }
        CHECK(world.answer(world.ask("/once/")).status == 503);
        refusing = false;
        world.runFor(config::RefusedFreePause + 500ms);
        for (int i = 0; i < 6; ++i) {
            const CallerAnswer answer = world.answer(world.ask("/once/"));
            CHECK(answer.status == 200);
            CHECK(answer.body == "ran");
        }
        CHECK_FALSE(ranTwice);
    }
}

// Guards against the body of an error in the middle of a stream that another runner has begun.
TEST_CASE("an error of the runner that should resume a stream is not sent as part of the stream")
{
    for (const bool framed : {true, false}) {
        CAPTURE(framed);
        World world(2);
        scriptAll(world, [framed](const ReceivedRequest &request) {
            if (request.field("last-event-id").empty()) {
                return RunnerStandin::Reply {streamHead(request) + eventChunk(1, "a"), Then::Reset};
            }
            const std::string error = "id: 2\ndata: failed\n\n";
            return framed ? RunnerStandin::Reply {answerTo(request, 500, error)}
                          : RunnerStandin::Reply {"HTTP/1.1 500 X\r\nX-Endivespan-Request-Id: "
                                                      + request.field("x-endivespan-request-id") + "\r\n\r\n" + error,
                                                  Then::Close};
        });
        const CallerAnswer answer = world.answer(world.ask("/resume/"));
        CHECK(answer.failed);
        CHECK_FALSE(answer.whole);
        CHECK(answer.body == "id: 1\ndata: a\n\n");
    }
}

TEST_CASE("a resumed stream that does not go on after the last event is cut")
{
    World world(2);
    scriptAll(world, [](const ReceivedRequest &request) {
        if (request.field("last-event-id").empty()) {
            return RunnerStandin::Reply {streamHead(request) + eventChunk(1, "a") + eventChunk(2, "b"), Then::Reset};
        }
        return RunnerStandin::Reply {streamHead(request) + eventChunk(1, "a") + eventChunk(2, "b") + eventChunk(3, "c")
                                     + "0\r\n\r\n"};
    });
    const CallerAnswer answer = world.answer(world.ask("/resume/"));
    CHECK(answer.failed);
    CHECK(answer.body == "id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
}
