#include "raw_socket.h"

#include <endivespan/http_server.h>

#include <doctest/doctest.h>

#include <atomic>
#include <mutex>
#include <thread>
#include <vector>

using namespace endivespan;
using namespace endivespan::tests;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t MaxBody = 1000;
constexpr std::size_t MaxHead = 2000;

/// An HTTP server on its own thread that answers each request with its method, target and body.
class EchoServer
{
public:
    EchoServer()
    {
        this->thread = std::thread([this] { this->run(); });
        while (this->port == 0) {
            std::this_thread::sleep_for(1ms);
        }
    }

    ~EchoServer()
    {
        this->stop = true;
        this->thread.join();
    }

    EchoServer(const EchoServer &) = delete;
    EchoServer &operator=(const EchoServer &) = delete;

    /// @returns the requests that were handled, as "METHOD target body".
    std::vector<std::string> handled()
    {
        const std::lock_guard lock(this->mutex);
        return this->requests;
    }

    std::atomic<int> port {0};

private:
    void run()
    {
        Loop loop;
        HttpServerLimits limits {MaxBody, MaxHead, 300ms, 400ms};
        limits.singleFields = {"idempotency-key"};
        auto server = HttpServer::listen(loop, "127.0.0.1:0", limits, [this](const auto &exchange) {
            const HttpRequest &request = exchange->request();
            const std::string text = request.method + " " + request.target + " " + request.body;
            {
                const std::lock_guard lock(this->mutex);
                this->requests.push_back(text);
            }
            exchange->reply(200, {}, text);
        });
        this->port = server.value()->port();
        const auto check = loop.every(2ms, [this, &loop] {
            if (this->stop) {
                loop.stop();
            }
        });
        loop.run();
    }

    std::thread thread;
    std::atomic<bool> stop {false};
    std::mutex mutex;
    std::vector<std::string> requests;
};

struct Malformed {
    std::string what;
    std::string bytes;
    int status;
};

std::string post(const std::string &fields, const std::string &body = "")
{
    return "POST /run HTTP/1.1\r\nHost: a\r\n" + fields + "\r\n" + body;
}

std::vector<Malformed> malformedRequests()
{
    const std::string nul(1, '\0');
    return {
        {"space before the colon", post("Content-Length : 60\r\n", "x"), 400},
        {"tab before the colon", post("Content-Length\t: 60\r\n", "x"), 400},
        {"two different lengths", post("Content-Length: 1\r\nContent-Length: 2\r\n", "xy"), 400},
        {"two equal lengths", post("Content-Length: 1\r\nContent-Length: 1\r\n", "x"), 400},
        {"list of lengths", post("Content-Length: 1, 1\r\n", "x"), 400},
        {"negative length", post("Content-Length: -1\r\n", "x"), 400},
        {"signed length", post("Content-Length: +1\r\n", "x"), 400},
        {"length in hexadecimal", post("Content-Length: 0x1\r\n", "x"), 400},
        {"length with a letter", post("Content-Length: 1a\r\n", "x"), 400},
        {"empty length", post("Content-Length: \r\n", "x"), 400},
        {"length beyond 64 bits", post("Content-Length: 99999999999999999999999\r\n", "x"), 400},
        {"length and chunks", post("Content-Length: 1\r\nTransfer-Encoding: chunked\r\n", "0\r\n\r\n"), 400},
        {"chunks and length", post("Transfer-Encoding: chunked\r\nContent-Length: 1\r\n", "0\r\n\r\n"), 400},
        {"unknown coding", post("Transfer-Encoding: xchunked\r\n", "0\r\n\r\n"), 501},
        {"coding after chunked", post("Transfer-Encoding: chunked, identity\r\n", "0\r\n\r\n"), 501},
        {"coding before chunked", post("Transfer-Encoding: gzip, chunked\r\n", "0\r\n\r\n"), 501},
        {"two codings", post("Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n", "0\r\n\r\n"), 400},
        {"quoted coding", post("Transfer-Encoding: \"chunked\"\r\n", "0\r\n\r\n"), 501},
        {"folded coding", post("Transfer-Encoding:\r\n chunked\r\n", "0\r\n\r\n"), 400},
        {"chunk size that is no number", post("Transfer-Encoding: chunked\r\n", "zz\r\nx\r\n0\r\n\r\n"), 400},
        {"chunk without its end", post("Transfer-Encoding: chunked\r\n", "1\r\nxy\r\n0\r\n\r\n"), 400},
        {"negative chunk", post("Transfer-Encoding: chunked\r\n", "-1\r\nx\r\n0\r\n\r\n"), 400},
        {"huge chunk size", post("Transfer-Encoding: chunked\r\n", "fffffffffffffffff\r\nx\r\n"), 400},
        {"two different keys", post("Idempotency-Key: a\r\nIdempotency-Key: b\r\n"), 400},
        {"two equal keys", post("Idempotency-Key: a\r\nidempotency-key: a\r\n"), 400},
        {"NUL in a value", post("X-A: a" + nul + "b\r\n"), 400},
        {"NUL in a name", post("X" + nul + "A: b\r\n"), 400},
        {"NUL in the target", "GET /a" + nul + "b HTTP/1.1\r\nHost: a\r\n\r\n", 400},
        {"folded header", post("X-A: a\r\n b\r\n"), 400},
        {"folded with a tab", post("X-A: a\r\n\tb\r\n"), 400},
        {"bare line feed after a field", "GET / HTTP/1.1\r\nHost: a\nX-A: b\r\n\r\n", 400},
        {"bare line feeds only", "GET / HTTP/1.1\nHost: a\n\n", 400},
        {"bare carriage return", "GET / HTTP/1.1\r\nHost: a\rX-A: b\r\n\r\n", 400},
        {"no Host", "GET / HTTP/1.1\r\n\r\n", 400},
        {"two Hosts", "GET / HTTP/1.1\r\nHost: a\r\nHost: a\r\n\r\n", 400},
        {"HTTP/1.0", "GET / HTTP/1.0\r\nHost: a\r\n\r\n", 505},
        {"HTTP/2.0", "GET / HTTP/2.0\r\nHost: a\r\n\r\n", 400},
        {"no version", "GET /\r\nHost: a\r\n\r\n", 400},
        {"no target", "GET HTTP/1.1\r\nHost: a\r\n\r\n", 400},
        {"space in the target", "GET /a b HTTP/1.1\r\nHost: a\r\n\r\n", 400},
        {"leading space", " GET / HTTP/1.1\r\nHost: a\r\n\r\n", 400},
        {"method with a colon", "GE:T / HTTP/1.1\r\nHost: a\r\n\r\n", 400},
        {"field without a colon", post("X-A\r\n"), 400},
        {"field without a name", post(": b\r\n"), 400},
        {"name with a space", post("X A: b\r\n"), 400},
        {"control byte in a value", post("X-A: a\x01\r\n"), 400},
        {"head too large", post("X-A: " + std::string(MaxHead, 'a') + "\r\n"), 431},
        {"body too large", post("Content-Length: 1001\r\n", std::string(1001, 'x')), 413},
        {"chunks too large",
         post("Transfer-Encoding: chunked\r\n", "3e9\r\n" + std::string(1001, 'x') + "\r\n0\r\n\r\n"),
         413},
    };
}

} // namespace

TEST_CASE("malformed and ambiguous requests are refused and never handled, sent at once or byte by byte")
{
    EchoServer server;
    const std::string smuggled = "GET /smuggled HTTP/1.1\r\nHost: a\r\n\r\n";
    for (const Malformed &request : malformedRequests()) {
        for (const bool slowly : {false, true}) {
            CAPTURE(request.what);
            CAPTURE(slowly);
            RawSocket caller(server.port);
            if (slowly) {
                caller.sendSlowly(request.bytes);
            } else {
                caller.send(request.bytes + smuggled);
            }
            const std::string answer = caller.readAnswer();
            CHECK(statusOf(answer) == request.status);
            CHECK(caller.isClosed());
        }
    }
    CHECK(server.handled().empty());
}

TEST_CASE("a thousand requests on one connection are all answered, in order")
{
    EchoServer server;
    RawSocket caller(server.port);
    for (int i = 0; i < 1000; ++i) {
        const std::string body = "body " + std::to_string(i);
        caller.send("POST /" + std::to_string(i)
                    + " HTTP/1.1\r\nHost: a\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
        REQUIRE(caller.readAnswer().ends_with("POST /" + std::to_string(i) + " " + body));
    }
    CHECK(server.handled().size() == 1000);
}

TEST_CASE("pipelined requests are answered in order")
{
    EchoServer server;
    RawSocket caller(server.port);
    std::string all;
    for (int i = 0; i < 50; ++i) {
        all += "GET /" + std::to_string(i) + " HTTP/1.1\r\nHost: a\r\n\r\n";
    }
    caller.send(all);
    for (int i = 0; i < 50; ++i) {
        REQUIRE(caller.readAnswer().ends_with("GET /" + std::to_string(i) + " "));
    }
}

TEST_CASE("chunked bodies with extensions and trailers are decoded, sent at once or byte by byte")
{
    EchoServer server;
    const std::string request
        = post("Transfer-Encoding: chunked\r\n", "3;x=y\r\nabc\r\n2\r\nde\r\n0\r\nX-T: 1\r\n\r\n");
    for (const bool slowly : {false, true}) {
        RawSocket caller(server.port);
        if (slowly) {
            caller.sendSlowly(request);
        } else {
            caller.send(request);
        }
        CHECK(caller.readAnswer().ends_with("POST /run abcde"));
    }
}

TEST_CASE("a caller that sends Expect: 100-continue gets 100 before it sends its body")
{
    EchoServer server;
    RawSocket caller(server.port);
    caller.send(post("Content-Length: 2\r\nExpect: 100-continue\r\n"));
    CHECK(statusOf(caller.readUntil("\r\n\r\n")) == 100);
    caller.send("ab");
    CHECK(caller.readAnswer().ends_with("POST /run ab"));
}

TEST_CASE("the connection is closed after the answer to a request with Connection: close")
{
    EchoServer server;
    RawSocket caller(server.port);
    caller.send(post("Connection: close\r\n"));
    const std::string answer = caller.readAnswer();
    CHECK(statusOf(answer) == 200);
    CHECK(answer.find("Connection: close") != std::string::npos);
    CHECK(caller.isClosed());
}

TEST_CASE("an incomplete request times out with 408, and an idle connection is closed without an answer")
{
    EchoServer server;
    RawSocket slow(server.port);
    slow.send("POST /run HTTP/1.1\r\nHost: a\r\nContent-Le");
    CHECK(statusOf(slow.readAnswer()) == 408);
    CHECK(slow.isClosed());
    RawSocket idle(server.port);
    idle.send("GET / HTTP/1.1\r\nHost: a\r\n\r\n");
    CHECK(statusOf(idle.readAnswer()) == 200);
    CHECK(idle.readAnswer().empty());
    CHECK(idle.isClosed());
    CHECK(server.handled().size() == 1);
}
