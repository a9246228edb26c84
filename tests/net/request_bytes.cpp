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
