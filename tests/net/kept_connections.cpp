#include "raw_socket.h"

#include <endivespan/http_server.h>
#include <endivespan/loop.h>

#include <doctest/doctest.h>

#include <algorithm>
#include <memory>
#include <string>
#include <thread>
#include <vector>

using namespace endivespan;
using namespace endivespan::tests;
using namespace std::chrono_literals;

namespace {

constexpr auto ShortIdle = 400ms;
constexpr auto LongIdle = 5000ms;
const std::string Request = "GET /run HTTP/1.1\r\nHost: a\r\n\r\n";

/// A server and its callers on one thread; the server runs only inside runFor().
class KeptServer
{
public:
    explicit KeptServer(std::chrono::milliseconds idle)
        : server(HttpServer::listen(this->loop, "127.0.0.1:0", this->limitsOf(idle), [this](const auto &exchange) {
                     this->handle(exchange);
                 }).value())
    {
    }

    void runFor(std::chrono::milliseconds time)
    {
        const auto timer = this->loop.after(time, [this] { this->loop.stop(); });
        this->loop.run();
    }

    void setIdleTimeout(std::chrono::milliseconds idle)
    {
        this->server->setLimits(this->limitsOf(idle));
    }

    /// Sends a request on a kept connection. @returns the status of its answer; 0 when it gets none.
    int ask(RawSocket &caller)
    {
        caller.send(Request);
        this->runFor(30ms);
        return statusOf(caller.readAnswer());
    }

    Loop loop;
    bool holds = false; ///< Requests are kept in held instead of being answered.
    std::vector<std::shared_ptr<HttpExchange>> held;
    std::unique_ptr<HttpServer> server;

private:
    [[nodiscard]] HttpServerLimits limitsOf(std::chrono::milliseconds idle) const
    {
        return {1000, 2000, 300ms, idle};
    }

    void handle(const std::shared_ptr<HttpExchange> &exchange)
    {
        if (this->holds) {
            this->held.push_back(exchange);
        } else {
            exchange->reply(200, {}, "ok");
        }
    }
};

} // namespace

// Guards against open connections that keep the idle timeout of an earlier configuration.
TEST_CASE("a request on a connection that was kept when the idle timeout was raised is answered")
{
    KeptServer world(ShortIdle);
    RawSocket caller(world.server->port());
    REQUIRE(world.ask(caller) == 200);
    world.runFor(ShortIdle / 4);
    world.setIdleTimeout(LongIdle);
    world.runFor(ShortIdle * 2);
    CHECK(world.ask(caller) == 200);
}

TEST_CASE("a request on a connection that was kept when the idle timeout was lowered is answered")
{
    KeptServer world(LongIdle);
    RawSocket idle(world.server->port());
    RawSocket answered(world.server->port());
    REQUIRE(world.ask(idle) == 200);
    world.holds = true;
    answered.send(Request);
    world.runFor(30ms);
    REQUIRE(world.held.size() == 1);
    world.setIdleTimeout(ShortIdle);
    // Its caller may not know the new limit yet.
    world.held.front()->reply(200, {}, "ok");
    world.holds = false;
    world.runFor(ShortIdle * 2);
    REQUIRE(statusOf(answered.readAnswer()) == 200);
    CHECK(world.ask(answered) == 200);
    CHECK(world.ask(idle) == 200);
}

TEST_CASE("a lowered idle timeout holds once callers have had the time of the earlier one to know it")
{
    KeptServer world(ShortIdle);
    world.setIdleTimeout(ShortIdle / 4);
    world.runFor(ShortIdle + 50ms);
    RawSocket caller(world.server->port());
    REQUIRE(world.ask(caller) == 200);
    world.runFor(ShortIdle / 2);
    CHECK(caller.isClosed(50ms));
}

// Guards against a connection that is closed behind an answer whose head did not say so.
TEST_CASE("a request that follows a stream in which the server began to stop is answered")
{
    KeptServer world(LongIdle);
    world.holds = true;
    RawSocket caller(world.server->port());
    caller.send(Request);
    world.runFor(30ms);
    REQUIRE(world.held.size() == 1);
    world.held[0]->startStream(200, {});
    world.held[0]->sendChunk("part");
    world.runFor(30ms);
    world.server->closeAfterAnswers();
    world.holds = false;
    world.held[0]->endStream();
    world.runFor(30ms);
    CHECK(caller.readUntil("0\r\n\r\n").ends_with("0\r\n\r\n"));
    caller.send(Request);
    world.runFor(30ms);
    const std::string answer = caller.readAnswer();
    CHECK(statusOf(answer) == 200);
    CHECK(answer.find("Connection: close") != std::string::npos);
    world.runFor(30ms);
    CHECK(caller.isClosed(100ms));
}

// Guards against idle timers that expire in a pause, before the requests that arrived in it are read.
TEST_CASE("requests that arrive on many kept connections while the server is paused are answered")
{
    KeptServer world(ShortIdle);
    std::vector<std::unique_ptr<RawSocket>> callers;
    for (int i = 0; i < 200; ++i) {
        callers.push_back(std::make_unique<RawSocket>(world.server->port()));
        callers.back()->send(Request);
    }
    world.runFor(100ms);
    for (const auto &caller : callers) {
        REQUIRE(statusOf(caller->readAnswer()) == 200);
        caller->send(Request);
    }
    std::this_thread::sleep_for(ShortIdle * 2);
    world.runFor(100ms);
    int answered = 0;
    for (const auto &caller : callers) {
        answered += statusOf(caller->readUntil("ok", 100ms)) == 200 ? 1 : 0;
    }
    CHECK(answered == 200);
}

// Guards against idle connections that are closed with a request in the receive buffer.
TEST_CASE("a request that has arrived when idle connections are closed is answered")
{
    KeptServer world(LongIdle);
    RawSocket caller(world.server->port());
    RawSocket other(world.server->port());
    REQUIRE(world.ask(caller) == 200);
    REQUIRE(world.ask(other) == 200);
    caller.send(Request);
    world.server->closeAfterAnswers();
    world.server->closeIdle();
    world.runFor(30ms);
    CHECK(statusOf(caller.readUntil("ok", 100ms)) == 200);
    CHECK(other.isClosed(100ms));
}

// Guards against connections that are reset in the listen queue.
TEST_CASE("a request on a connection that waits to be accepted when the server stops accepting is answered")
{
    KeptServer world(LongIdle);
    RawSocket caller(world.server->port());
    caller.send(Request);
    world.server->stopAccepting();
    world.runFor(30ms);
    CHECK(statusOf(caller.readUntil("ok", 100ms)) == 200);
}

// Guards against requests that cross the close of an idle connection, which their callers could not foresee.
TEST_CASE("a request that is sent within the time that Keep-Alive grants is answered")
{
    KeptServer world(1800ms);
    RawSocket caller(world.server->port());
    caller.send(Request);
    world.runFor(30ms);
    const std::string answer = caller.readAnswer();
    REQUIRE(answer.find("Keep-Alive: timeout=1\r\n") != std::string::npos);
    world.runFor(970ms);
    CHECK(world.ask(caller) == 200);
    world.runFor(1900ms);
    CHECK(caller.isClosed(50ms));
}

TEST_CASE("no keep-alive time is granted when the idle timeout is shorter than a second")
{
    KeptServer world(ShortIdle);
    RawSocket caller(world.server->port());
    caller.send(Request);
    world.runFor(30ms);
    const std::string answer = caller.readAnswer();
    CHECK(statusOf(answer) == 200);
    CHECK(answer.find("Keep-Alive") == std::string::npos);
}

// Guards against write timers that expire in a pause, in which the callers have read.
TEST_CASE("callers that read their answers while the server is paused get the rest")
{
    constexpr auto Unread = 300ms;
    constexpr std::size_t AnswerBytes = 3'000'000;
    const std::string body(AnswerBytes, 'x');
    Loop loop;
    HttpServerLimits limits = defaultHttpServerLimits();
    limits.writeTimeout = Unread;
    const auto server = HttpServer::listen(loop, "127.0.0.1:0", limits, [&body](const auto &exchange) {
                            exchange->reply(200, {}, body);
                        }).value();
    const auto runFor = [&loop](std::chrono::milliseconds time) {
        const auto timer = loop.after(time, [&loop] { loop.stop(); });
        loop.run();
    };
    constexpr std::size_t Callers = 100;
    std::vector<std::unique_ptr<RawSocket>> callers;
    std::vector<std::size_t> got(Callers, 0);
    for (std::size_t i = 0; i < Callers; ++i) {
        callers.push_back(std::make_unique<RawSocket>(server->port()));
        callers.back()->send(Request);
    }
    const auto readSome = [&callers, &got] {
        for (std::size_t i = 0; i < Callers; ++i) {
            got[i] += callers[i]->readUntil("never", 0ms).size();
        }
    };
    runFor(Unread / 2);
    const auto paused = std::chrono::steady_clock::now();
    while (std::chrono::steady_clock::now() - paused < Unread * 2) {
        readSome();
    }
    const auto resumed = std::chrono::steady_clock::now();
    const auto isWhole = [](std::size_t bytes) { return bytes > AnswerBytes; };
    while (std::count_if(got.begin(), got.end(), isWhole) < static_cast<std::ptrdiff_t>(Callers)
           && std::chrono::steady_clock::now() - resumed < 10s) {
        runFor(5ms);
        readSome();
    }
    CHECK(std::count_if(got.begin(), got.end(), isWhole) == static_cast<std::ptrdiff_t>(Callers));
}
