#pragma once

#include <endivespan/http_server.h>
#include <endivespan/loop.h>

#include <chrono>
#include <memory>
#include <string>
#include <vector>

namespace endivespan::tests {

inline const std::string Request = "GET /run HTTP/1.1\r\nHost: a\r\n\r\n";

/// A server that answers a request for "/at-once" and holds all others; runs only inside runFor().
class HoldingServer
{
public:
    explicit HoldingServer(const HttpServerLimits &limits = defaultHttpServerLimits())
        : server(HttpServer::listen(this->loop, "127.0.0.1:0", limits, [this](const auto &exchange) {
                     this->handle(exchange);
                 }).value())
    {
    }

    void runFor(std::chrono::milliseconds time)
    {
        const auto timer = this->loop.after(time, [this] { this->loop.stop(); });
        this->loop.run();
    }

    Loop loop;
    std::vector<std::shared_ptr<HttpExchange>> held;
    int closed = 0; ///< Exchanges whose callers have disconnected.
    int inputEnded = 0; ///< Exchanges whose callers have ended their sending direction.
    std::string largeAnswer = std::string(300'000, 'x');
    std::unique_ptr<HttpServer> server;

private:
    void handle(const std::shared_ptr<HttpExchange> &exchange)
    {
        if (exchange->request().path == "/at-once") {
            exchange->reply(200, {}, this->largeAnswer);
            return;
        }
        exchange->onClosed([this](CallerLoss) { ++this->closed; });
        exchange->onInputEnded([this] { ++this->inputEnded; });
        this->held.push_back(exchange);
    }
};

} // namespace endivespan::tests
