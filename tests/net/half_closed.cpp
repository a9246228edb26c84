#include "holding_server.h"
#include "raw_socket.h"

#include <doctest/doctest.h>

#include <optional>
#include <string>

using namespace endivespan;
using namespace endivespan::tests;
using namespace std::chrono_literals;

// Guards against the end of a caller's input being taken for the loss of the caller.
TEST_CASE("a caller that ends its sending direction behind a request gets the answer")
{
    HoldingServer world;
    RawSocket caller(world.server->port());
    caller.send(Request);
    caller.endSending();
    world.runFor(50ms);
    REQUIRE(world.held.size() == 1);
    CHECK(world.inputEnded == 1);
    CHECK(world.closed == 0);
    world.runFor(300ms);
    world.held.front()->reply(200, {}, "ok");
    world.runFor(50ms);
    CHECK(statusOf(caller.readAnswer()) == 200);
    CHECK(caller.isClosed(100ms));
    CHECK(world.server->connections() == 0);
}

TEST_CASE("a caller that ends its sending direction during its answer gets the rest")
{
    HoldingServer world;
    RawSocket caller(world.server->port());
    caller.send(Request);
    world.runFor(50ms);
    REQUIRE(world.held.size() == 1);
    world.held.front()->startStream(200, {});
    world.held.front()->sendChunk("first");
    caller.endSending();
    world.runFor(350ms);
    CHECK(world.closed == 0);
    world.held.front()->sendChunk("second");
    world.held.front()->endStream();
    world.runFor(50ms);
    CHECK(caller.readUntil("0\r\n\r\n", 100ms).ends_with("0\r\n\r\n"));
    CHECK(caller.isClosed(100ms));
    CHECK(world.server->connections() == 0);
}

TEST_CASE("an answer that is written at once reaches a caller that has ended its sending direction")
{
    HoldingServer world;
    RawSocket caller(world.server->port());
    caller.send("GET /at-once HTTP/1.1\r\nHost: a\r\n\r\n");
    caller.endSending();
    world.runFor(50ms);
    std::string answer = caller.readUntil("\r\n\r\n", 100ms);
    CHECK(statusOf(answer) == 200);
    std::string body;
    for (int i = 0; i < 50 && body.size() < world.largeAnswer.size(); ++i) {
        body += caller.readUntil("never", 1ms);
        world.runFor(10ms);
    }
    CHECK(body.size() == world.largeAnswer.size());
    CHECK(caller.isClosed(100ms));
}

TEST_CASE("requests sent ahead of the end of a caller's input are all answered")
{
    HoldingServer world;
    RawSocket caller(world.server->port());
    caller.send(Request + Request + Request);
    caller.endSending();
    for (std::size_t i = 0; i < 3; ++i) {
        world.runFor(50ms);
        REQUIRE(world.held.size() == i + 1);
        world.held.back()->reply(200, {}, "ok");
    }
    world.runFor(50ms);
    for (int i = 0; i < 3; ++i) {
        CHECK(statusOf(caller.readUntil("ok", 100ms)) == 200);
    }
    CHECK(caller.isClosed(100ms));
    CHECK(world.server->connections() == 0);
}

TEST_CASE("a connection whose caller ends its input inside a request is closed")
{
    HoldingServer world;
    RawSocket caller(world.server->port());
    caller.send("POST /run HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\n\r\nab");
    caller.endSending();
    world.runFor(50ms);
    CHECK(world.held.empty());
    CHECK(caller.isClosed(100ms));
    CHECK(world.server->connections() == 0);
}

// Guards against work for callers that have closed their connection, which only a write shows.
TEST_CASE("the next part of an answer shows that its caller has closed the connection")
{
    HoldingServer world;
    auto caller = std::make_optional<RawSocket>(world.server->port());
    caller->send(Request);
    world.runFor(50ms);
    REQUIRE(world.held.size() == 1);
    caller.reset();
    world.runFor(200ms);
    CHECK(world.inputEnded == 1);
    CHECK(world.closed == 0);
    world.held.front()->startStream(200, {});
    world.runFor(250ms);
    CHECK(world.closed == 1);
    CHECK_FALSE(world.held.front()->isOpen());
    CHECK(world.server->connections() == 0);
}

TEST_CASE("a reset of a caller's connection ends its exchange at once")
{
    HoldingServer world;
    auto caller = std::make_optional<RawSocket>(world.server->port());
    caller->send(Request);
    world.runFor(50ms);
    REQUIRE(world.held.size() == 1);
    world.held.front()->startStream(200, {});
    world.runFor(50ms);
    // Closing a socket with unread input resets the connection.
    caller.reset();
    world.runFor(50ms);
    CHECK(world.closed == 1);
}
