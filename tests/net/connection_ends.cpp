#include "holding_server.h"
#include "raw_socket.h"

#include <doctest/doctest.h>

#include <memory>
#include <optional>
#include <string>
#include <vector>

using namespace endivespan;
using namespace endivespan::tests;
using namespace std::chrono_literals;

namespace {

HttpServerLimits limitsOf(std::chrono::milliseconds idle)
{
    return {1000, 2000, 300ms, idle};
}

} // namespace

TEST_CASE("a stream's header that says for how long its connection is kept holds when the limit is lowered meanwhile")
{
    HoldingServer world(limitsOf(1500ms));
    RawSocket caller(world.server->port());
    caller.send(Request);
    world.runFor(50ms);
    REQUIRE(world.held.size() == 1);
    world.held[0]->startStream(200, {});
    world.server->setLimits(limitsOf(100ms));
    world.runFor(1600ms);
    world.held[0]->endStream();
    world.runFor(700ms);
    const std::string answer = caller.readUntil("0\r\n\r\n", 100ms);
    CAPTURE(answer);
    REQUIRE(answer.find("Keep-Alive: timeout=1") != std::string::npos);
    CHECK_FALSE(caller.isClosed(10ms));
}

TEST_CASE("a connection with much input behind its last request is closed")
{
    for (const bool aborts : {false, true}) {
        CAPTURE(aborts);
        HoldingServer world(limitsOf(5s));
        auto caller = std::make_optional<RawSocket>(world.server->port());
        caller->send(Request + std::string(200'000, 'x'));
        world.runFor(100ms);
        REQUIRE(world.held.size() == 1);
        if (aborts) {
            world.held[0]->abort();
        } else {
            world.held[0]->closeAfterAnswer();
            world.held[0]->reply(200, {}, "ok");
        }
        world.runFor(2500ms);
        CHECK(world.server->connections() == 0);
        caller.reset();
        world.runFor(1500ms);
        CHECK(world.server->connections() == 0);
    }
}

TEST_CASE("the loss of a caller with much input behind its request is noticed")
{
    HoldingServer world(limitsOf(5s));
    auto caller = std::make_optional<RawSocket>(world.server->port());
    caller->send(Request + std::string(200'000, 'x'));
    world.runFor(100ms);
    REQUIRE(world.held.size() == 1);
    world.held[0]->startStream(200, {});
    world.runFor(50ms);
    // Closing a socket with unread input resets the connection.
    caller.reset();
    world.runFor(500ms);
    CHECK(world.closed == 1);
}

TEST_CASE("a reset behind the end of a caller's input ends its exchange soon")
{
    HoldingServer world(limitsOf(5s));
    auto caller = std::make_optional<RawSocket>(world.server->port());
    caller->send(Request);
    caller->endSending();
    world.runFor(50ms);
    REQUIRE(world.held.size() == 1);
    world.held[0]->startStream(200, {});
    world.runFor(50ms);
    caller.reset();
    world.runFor(250ms);
    CHECK(world.closed == 1);
    CHECK(world.server->connections() == 0);
}

TEST_CASE("a server with callers that have ended their input can be destroyed, and held exchanges are closed silently")
{
    auto world = std::make_unique<HoldingServer>(limitsOf(5s));
    std::vector<std::unique_ptr<RawSocket>> callers;
    for (int i = 0; i < 20; ++i) {
        callers.push_back(std::make_unique<RawSocket>(world->server->port()));
        callers.back()->send(Request + Request);
        callers.back()->endSending();
    }
    world->runFor(150ms);
    REQUIRE(world->held.size() == 20);
    // Deferred triggers are pending for half of them.
    for (std::size_t i = 0; i < 20; i += 2) {
        world->held[i]->reply(200, {}, "ok");
    }
    for (std::size_t i = 1; i < 20; i += 4) {
        world->held[i]->abort();
    }
    world->server.reset();
    CHECK(world->closed == 0);
    for (const auto &held : world->held) {
        CHECK_FALSE(held->isOpen());
        held->reply(200, {}, "late");
    }
    world->runFor(50ms);
}
