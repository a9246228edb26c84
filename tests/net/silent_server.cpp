#include <endivespan/http_pool.h>
#include <endivespan/loop.h>

#include <arpa/inet.h>
#include <doctest/doctest.h>
#include <netinet/in.h>
#include <sys/socket.h>

#include <array>
#include <optional>
#include <string>
#include <thread>
#include <unistd.h>

using namespace endivespan;
using namespace std::chrono_literals;

namespace {

/// A server in a thread of its own that accepts one connection and reads nothing for a time.
class SilentServer
{
public:
    SilentServer(std::chrono::milliseconds silence, std::size_t requestBytes)
        : listener(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
    {
        sockaddr_in place {};
        place.sin_family = AF_INET;
        place.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        socklen_t size = sizeof(place);
        const int window = 16 * 1024;
        setsockopt(this->listener, SOL_SOCKET, SO_RCVBUF, &window, sizeof(window));
        REQUIRE(bind(this->listener, reinterpret_cast<sockaddr *>(&place), size) == 0);
        REQUIRE(::listen(this->listener, 1) == 0);
        getsockname(this->listener, reinterpret_cast<sockaddr *>(&place), &size);
        this->address = "127.0.0.1:" + std::to_string(ntohs(place.sin_port));
        this->thread = std::thread([this, silence, requestBytes] { this->serve(silence, requestBytes); });
    }

    ~SilentServer()
    {
        this->thread.join();
        close(this->listener);
    }

    SilentServer(const SilentServer &) = delete;
    SilentServer &operator=(const SilentServer &) = delete;

    std::string address;

private:
    void serve(std::chrono::milliseconds silence, std::size_t requestBytes) const
    {
        const int connection = accept(this->listener, nullptr, nullptr);
        std::this_thread::sleep_for(silence);
        std::array<char, 65536> buffer {};
        std::size_t all = 0;
        while (all < requestBytes) {
            const ssize_t got = read(connection, buffer.data(), buffer.size());
            if (got <= 0) {
                break;
            }
            all += static_cast<std::size_t>(got);
        }
        const std::string answer = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone";
        (void)send(connection, answer.data(), answer.size(), MSG_NOSIGNAL);
        close(connection);
    }

    int listener;
    std::thread thread;
};

/// What became of a call with a body that fills its server's receive window.
struct LongCall {
    std::optional<Error> failure;
    std::string body;

    explicit LongCall(std::chrono::milliseconds silence)
    {
        Loop loop;
        const auto pool = HttpPool::create(loop, 5s);
        PooledCall call;
        call.method = "POST";
        call.target = "/";
        call.body = std::string(4'000'000, 'x');
        SilentServer server(silence, call.body.size());
        call.address = server.address;
        const auto pending = pool->start(std::move(call),
                                         {{},
                                          [this](std::string_view bytes) { this->body += bytes; },
                                          [&loop] { loop.stop(); },
                                          [this, &loop](const HttpFailure &failed) {
                                              this->failure = failed.error;
                                              loop.stop();
                                          }});
        const auto limit = loop.after(8s, [&loop] { loop.stop(); });
        loop.run();
    }
};

} // namespace

// Guards against a request that is ended since its server reads nothing of a long body for a second or so.
TEST_CASE("a call with a long body is answered by a server that falls silent for two seconds")
{
    const LongCall call(2s);
    CHECK_FALSE(call.failure);
    CHECK(call.body == "done");
}

// Guards against a silent link, or a server that reads nothing, that counts as a broken connection and thus as a crash.
TEST_CASE("a call whose server acknowledges nothing for too long fails with a time-out and not as broken off")
{
    const LongCall call(7s);
    REQUIRE(call.failure);
    CHECK(call.failure->kind == ErrorKind::Timeout);
}
