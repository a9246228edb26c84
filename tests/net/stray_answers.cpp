#include "received.h"

#include <endivespan/http_pool.h>
#include <endivespan/loop.h>

#include <arpa/inet.h>
#include <doctest/doctest.h>
#include <netinet/in.h>
#include <sys/socket.h>

#include <string>
#include <unistd.h>

using namespace endivespan;
using namespace endivespan::tests;
using namespace std::chrono_literals;

namespace {

/// Sockets of a server that acts only when the test calls it, while the loop of its client stands still.
class ManualServer
{
public:
    ManualServer()
        : listener(socket(AF_INET, SOCK_STREAM, 0))
    {
        sockaddr_in place {};
        place.sin_family = AF_INET;
        place.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        socklen_t size = sizeof(place);
        REQUIRE(bind(this->listener, reinterpret_cast<sockaddr *>(&place), size) == 0);
        REQUIRE(listen(this->listener, 4) == 0);
        REQUIRE(getsockname(this->listener, reinterpret_cast<sockaddr *>(&place), &size) == 0);
        this->address = "127.0.0.1:" + std::to_string(ntohs(place.sin_port));
    }

    ~ManualServer()
    {
        close(this->connection);
        close(this->listener);
    }

    ManualServer(const ManualServer &) = delete;
    ManualServer &operator=(const ManualServer &) = delete;

    /// Accepts the next connection, for which a client waits already, in place of the one before.
    void accept()
    {
        close(this->connection);
        this->connection = ::accept(this->listener, nullptr, nullptr);
    }

    /// Takes what has arrived. @returns whether anything had.
    [[nodiscard]] bool receives() const
    {
        char buffer[4096];
        return recv(this->connection, buffer, sizeof(buffer), MSG_DONTWAIT) > 0;
    }

    void send(const std::string &bytes) const
    {
        REQUIRE(::send(this->connection, bytes.data(), bytes.size(), 0) == static_cast<ssize_t>(bytes.size()));
    }

    void endSending() const
    {
        shutdown(this->connection, SHUT_WR);
    }

    std::string address;

private:
    int listener;
    int connection = -1;
};

PooledCall callTo(const ManualServer &server)
{
    PooledCall call;
    call.address = server.address;
    return call;
}

void runFor(Loop &loop, std::chrono::milliseconds time)
{
    const auto timer = loop.after(time, [&loop] { loop.stop(); });
    loop.run();
}

} // namespace

// Guards against an answer, such as the 408 of a server that closes an idle connection or a second answer to the call
// before, that is given to a call which was not sent yet.
TEST_CASE("what arrived on an idle connection before a call is sent is not its answer")
{
    for (const std::string stray : {"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nstray",
                                    "HTTP/1.1 408 Request Timeout\r\nConnection: close\r\n\r\n",
                                    "HTTP/1.1 000 X\r\n\r\n",
                                    "HTTP/1.1 2",
                                    ""}) {
        CAPTURE(stray);
        Loop loop;
        ManualServer server;
        const auto pool = HttpPool::create(loop, 5s);
        Received first(loop);
        const auto pending = startPooled(*pool, first, callTo(server));
        runFor(loop, 20ms);
        server.accept();
        REQUIRE(server.receives());
        server.send("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
        first.await();
        REQUIRE(first.done == 1);
        server.send(stray);
        server.endSending();
        Received second(loop);
        const auto next = startPooled(*pool, second, callTo(server));
        runFor(loop, 20ms);
        CHECK(second.done + second.failures == 0);
        CHECK(pool->stats().opened == 2);
        if (second.done + second.failures > 0) {
            continue;
        }
        server.accept();
        REQUIRE(server.receives());
        server.send("HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nown");
        second.await();
        CHECK(second.done == 1);
        CHECK(second.body == "own");
    }
}
