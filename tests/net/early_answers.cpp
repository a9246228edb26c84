#include "byte_server.h"
#include "early_server.h"
#include "received.h"

#include <endivespan/http_pool.h>
#include <endivespan/loop.h>

#include <doctest/doctest.h>

#include <string>
#include <vector>

using namespace endivespan;
using namespace endivespan::tests;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t HeldByKernel = 100'000; ///< The client's kernel takes a request of this size as a whole.
constexpr std::size_t HeldByClient = 16'000'000; ///< More than the buffers of the kernel hold.

struct Early {
    EarlyEnd end;
    std::size_t size; ///< Bytes of the request.

    [[nodiscard]] std::string describe() const
    {
        const std::string what = this->end == EarlyEnd::Reset ? "reset"
            : this->end == EarlyEnd::Close                    ? "closed"
                                                              : "sending direction ended";
        return what + ", request of " + std::to_string(this->size) + " bytes";
    }
};

/// A server that closes its connection first reads what the kernel of the client holds.
const std::vector<Early> EarlyEnds {{EarlyEnd::Shutdown, HeldByKernel},
                                    {EarlyEnd::Shutdown, HeldByClient},
                                    {EarlyEnd::Close, HeldByClient},
                                    {EarlyEnd::Reset, HeldByKernel},
                                    {EarlyEnd::Reset, HeldByClient}};

} // namespace

// Guards against a success that a server never gave: a process that ends while it reads a request closes its
// connection as one does that has sent a whole answer without a length.
TEST_CASE("an answer that ends with its connection before the request was sent is not complete")
{
    for (const Early &early : EarlyEnds) {
        for (const std::string body : {"", "ok"}) {
            INFO(early.describe());
            CAPTURE(body);
            Loop loop;
            EarlyServer server(loop, "HTTP/1.1 200 OK\r\n\r\n" + body, early.end);
            const auto pool = HttpPool::create(loop, 5s);
            Received received(loop);
            callPooled(*pool, received, server.address, std::string(early.size, 'x'));
            received.checkFailed();
        }
    }
}

TEST_CASE("an answer that ends with its own connection before the request was sent is not complete")
{
    for (const Early &early : EarlyEnds) {
        for (const bool streamed : {false, true}) {
            INFO(early.describe());
            CAPTURE(streamed);
            Loop loop;
            EarlyServer server(loop, "HTTP/1.1 200 OK\r\n\r\nok", early.end);
            Received received(loop);
            callOnce(loop, received, server.address, streamed, std::string(early.size, 'x'));
            received.checkFailed();
        }
    }
}

TEST_CASE("an answer that ends with its connection after a large request was read is complete")
{
    Loop loop;
    ByteServer server(loop);
    server.script = [](const std::string &) { return Sending {"HTTP/1.1 200 OK\r\n\r\nok", End::Close}; };
    for (const std::size_t size : {HeldByKernel, std::size_t {4} * 1024 * 1024}) {
        for (int round = 0; round < 20; ++round) {
            CAPTURE(size);
            const auto pool = HttpPool::create(loop, 5s);
            Received pooled(loop);
            callPooled(*pool, pooled, server.address, std::string(size, 'x'));
            CHECK(pooled.done == 1);
            CHECK(pooled.body == "ok");
            Received own(loop);
            callOnce(loop, own, server.address, false, std::string(size, 'x'));
            CHECK(own.done == 1);
            CHECK(own.body == "ok");
        }
    }
}
