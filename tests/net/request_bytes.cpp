#include "raw_socket.h"

#include <endivespan/http_server.h>
#include <endivespan/loop.h>

#include <doctest/doctest.h>

#include <memory>
#include <string>
#include <vector>

using namespace endivespan;
using namespace endivespan::tests;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t Budget = 256 * 1024;
constexpr std::size_t Body = 100 * 1024;

HttpServerLimits smallBudget()
{
    HttpServerLimits limits = defaultHttpServerLimits();
    limits.requestBytes = Budget;
    return limits;
}

/// A server that answers each request with the size of its body.
struct CountingServer {
    explicit CountingServer(const HttpServerLimits &limits = smallBudget())
        : server(std::move(HttpServer::listen(this->loop, "127.0.0.1:0", limits, [](const auto &exchange) {
                               const std::string &body = exchange->request().body;
                               const bool sound = body.find_first_not_of('x') == std::string::npos;
                               exchange->reply(200, {}, sound ? std::to_string(body.size()) : "bad");
                           }).value()))
    {
    }

    /// Runs the loop until the server has read all that was sent.
    void settle()
    {
        const auto end = this->loop.after(100ms, [this] { this->loop.stop(); });
        this->loop.run();
    }

    Loop loop;
    std::unique_ptr<HttpServer> server;
};

std::string lengthHead(std::size_t size)
{
    return "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: " + std::to_string(size) + "\r\n\r\n";
}

std::string chunks(std::size_t size, std::size_t chunk)
{
    char text[16];
    std::snprintf(text, sizeof(text), "%zx\r\n", chunk);
    std::string bytes;
    for (std::size_t sent = 0; sent < size; sent += chunk) {
        bytes += text + std::string(chunk, 'x') + "\r\n";
    }
    return bytes;
}

const std::string ChunkedHead = "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n";

} // namespace

// Guards against bytes that get lost between two reads, or between two blocks of a body.
TEST_CASE("a body arrives whole however it is framed and cut into pieces")
{
    for (const std::size_t chunk : {1, 7, 4096}) {
        CAPTURE(chunk);
        CountingServer server;
        RawSocket caller(server.server->port());
        const std::size_t size = 70 * 4096 / chunk / 7 * chunk;
        const std::string bytes = ChunkedHead + chunks(size, chunk) + "0\r\n\r\n";
        for (std::size_t sent = 0; sent < bytes.size(); sent += 5003) {
            caller.send(std::string_view(bytes).substr(sent, 5003));
            const auto end = server.loop.after(1ms, [&server] { server.loop.stop(); });
            server.loop.run();
        }
        server.settle();
        const std::string answer = caller.readAnswer();
        CHECK(answer.ends_with("\r\n\r\n" + std::to_string(size)));
    }
    for (const std::size_t size : {1, 1024, 64 * 1024, 64 * 1024 + 1, 200 * 1024}) {
        CAPTURE(size);
        CountingServer server;
        RawSocket caller(server.server->port());
        caller.send(lengthHead(size) + std::string(size, 'x'));
        server.settle();
        const std::string answer = caller.readAnswer();
        CHECK(answer.ends_with("\r\n\r\n" + std::to_string(size)));
    }
}

// Guards against a refusal that hits a request in progress instead of one that no longer moves, and against one that
// does not say whether the request has run.
TEST_CASE("beyond the budget the body with the least recent progress is refused as not run")
{
    CountingServer server;
    std::vector<std::unique_ptr<RawSocket>> callers;
    for (int i = 0; i < 3; ++i) {
        callers.push_back(std::make_unique<RawSocket>(server.server->port()));
        callers.back()->send(lengthHead(Body) + std::string(Body - 1, 'x'));
        server.settle();
    }
    CHECK(server.server->requestStats().bytes <= Budget);
    CHECK(server.server->requestStats().refused == 1);
    const std::string refusal = callers[0]->readAnswer();
    CHECK(statusOf(refusal) == 503);
    CHECK(refusal.find("\r\nRetry-After: ") != std::string::npos);
    CHECK(refusal.find("\r\nConnection: close\r\n") != std::string::npos);
    for (int i = 1; i < 3; ++i) {
        callers[static_cast<std::size_t>(i)]->send("x");
        server.settle();
        CHECK(statusOf(callers[static_cast<std::size_t>(i)]->readAnswer()) == 200);
    }
    callers.clear();
    server.settle();
    CHECK(server.server->requestStats().bytes == 0);
}

// Guards against a budget below the largest body that refuses it even from an idle server.
TEST_CASE("a request beyond the budget is served when nothing else is held")
{
    CountingServer server;
    RawSocket caller(server.server->port());
    caller.send(lengthHead(3 * Budget));
    for (int i = 0; i < 12; ++i) {
        caller.send(std::string(Budget / 4, 'x'));
        server.settle();
    }
    CHECK(caller.readAnswer().ends_with("\r\n\r\n" + std::to_string(3 * Budget)));
    CHECK(server.server->requestStats().refused == 0);
}

// Guards against bodies that are kept until their refused callers close their connections.
TEST_CASE("a body over the limit is refused at once and frees what was received")
{
    HttpServerLimits limits = smallBudget();
    limits.maxBodyBytes = Body;
    CountingServer server(limits);
    RawSocket caller(server.server->port());
    caller.send(ChunkedHead + chunks(Body + 4096, 4096));
    server.settle();
    CHECK(statusOf(caller.readAnswer()) == 413);
    CHECK(server.server->requestStats().bytes <= config::CallerConnectionBytes);
}

// Guards against a request that is complete at once, but held for its answer, and takes the place of others.
TEST_CASE("a complete request beyond the budget is refused as not run")
{
    Loop loop;
    std::vector<std::shared_ptr<HttpExchange>> running;
    const auto listening = HttpServer::listen(
        loop, "127.0.0.1:0", smallBudget(), [&running](const auto &exchange) { running.push_back(exchange); });
    REQUIRE(listening);
    HttpServer &server = *listening.value();
    const auto settle = [&loop] {
        const auto end = loop.after(100ms, [&loop] { loop.stop(); });
        loop.run();
    };
    std::vector<std::unique_ptr<RawSocket>> callers;
    for (int i = 0; i < 4; ++i) {
        callers.push_back(std::make_unique<RawSocket>(server.port()));
        callers.back()->send(lengthHead(Body) + std::string(Body, 'x'));
        settle();
    }
    CHECK(running.size() == 2);
    CHECK(statusOf(callers[2]->readAnswer()) == 503);
    CHECK(statusOf(callers[3]->readAnswer()) == 503);
    // A small one has room beside them.
    callers.push_back(std::make_unique<RawSocket>(server.port()));
    callers.back()->send(lengthHead(1) + "x");
    settle();
    CHECK(running.size() == 3);
    // What a request holds counts until it is over, though its caller has left.
    callers.clear();
    settle();
    CHECK(server.requestStats().bytes > 2 * Body);
    running.clear();
    CHECK(server.requestStats().bytes == 0);
}

// Guards against header fields that need many times their size in memory.
TEST_CASE("each header field of a request counts for more than its bytes")
{
    CountingServer server;
    RawSocket caller(server.server->port());
    std::string fields;
    for (int field = 0; field < 1000; ++field) {
        fields += "a" + std::to_string(field) + ":\r\n";
    }
    caller.send("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n" + fields + "\r\nx");
    server.settle();
    CHECK(server.server->requestStats().bytes > 1000 * config::HeaderFieldBytes);
}

// Guards against answers that pile up for a caller which sends requests ahead and does not read.
TEST_CASE("a request that was sent ahead waits until the answers before it have been read")
{
    constexpr int Requests = 10;
    constexpr std::size_t Answer = 8 * 1024 * 1024; // More than the kernel buffers.
    Loop loop;
    int handled = 0;
    const auto listening
        = HttpServer::listen(loop, "127.0.0.1:0", defaultHttpServerLimits(), [&handled](const auto &exchange) {
              ++handled;
              exchange->reply(200, {}, std::string(Answer, 'x'));
          });
    REQUIRE(listening);
    RawSocket caller(listening.value()->port());
    for (int i = 0; i < Requests; ++i) {
        caller.send(lengthHead(1) + "x");
    }
    const auto wait = loop.after(500ms, [&loop] { loop.stop(); });
    loop.run();
    CHECK(handled < Requests);
    std::size_t received = 0;
    const auto reader = loop.every(1ms, [&] {
        received += caller.readUntil("no answer has this", 0ms).size();
        if (received >= Requests * Answer) {
            loop.stop();
        }
    });
    const auto patience = loop.after(30s, [&loop] { loop.stop(); });
    loop.run();
    CHECK(handled == Requests);
    CHECK(received > Requests * Answer);
}
