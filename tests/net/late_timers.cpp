#include <endivespan/loop.h>

#include <doctest/doctest.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <sys/socket.h>

#include <array>
#include <memory>
#include <thread>
#include <vector>

using namespace endivespan;
using namespace std::chrono_literals;

namespace {

/// A connection that counts as silent when nothing is read from it for a time.
class Watched
{
public:
    Watched(Loop &loop, Duration limit)
    {
        std::array<int, 2> sockets {};
        REQUIRE(socketpair(AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0, sockets.data()) == 0);
        this->peer = sockets[0];
        this->stream = bufferevent_socket_new(loop.base(), sockets[1], BEV_OPT_CLOSE_ON_FREE);
        bufferevent_setcb(this->stream, &Watched::onRead, nullptr, nullptr, this);
        bufferevent_enable(this->stream, EV_READ);
        this->timer = loop.after(limit, [this] { this->silent = true; });
    }

    ~Watched()
    {
        bufferevent_free(this->stream);
        evutil_closesocket(this->peer);
    }

    Watched(const Watched &) = delete;
    Watched &operator=(const Watched &) = delete;

    void sendByte() const
    {
        REQUIRE(::send(this->peer, "x", 1, MSG_NOSIGNAL) == 1);
    }

    bool isBusy = false; ///< Each byte that is read is followed by another one.
    bool silent = false;
    bool heard = false;

private:
    static void onRead(bufferevent *, void *context)
    {
        auto *self = static_cast<Watched *>(context);
        evbuffer *input = bufferevent_get_input(self->stream);
        evbuffer_drain(input, evbuffer_get_length(input));
        self->heard = true;
        self->timer.reset();
        if (self->isBusy) {
            self->sendByte();
        }
    }

    int peer = -1;
    bufferevent *stream = nullptr;
    std::unique_ptr<Timer> timer;
};

} // namespace

TEST_CASE("late timers: no connection counts as silent whose bytes had arrived before a pause of the process")
{
    constexpr std::size_t Connections = 100;
    constexpr auto Limit = 50ms;
    Loop loop;
    std::vector<std::unique_ptr<Watched>> watched;
    for (std::size_t i = 0; i < Connections; ++i) {
        watched.push_back(std::make_unique<Watched>(loop, Limit));
    }
    const auto quiet = std::make_unique<Watched>(loop, Limit);
    loop.post([&] {
        for (const auto &one : watched) {
            one->sendByte();
        }
        std::this_thread::sleep_for(3 * Limit);
    });
    const auto end = loop.after(10 * Limit, [&] { loop.stop(); });
    loop.run();
    std::size_t silent = 0;
    std::size_t heard = 0;
    for (const auto &one : watched) {
        silent += one->silent ? 1 : 0;
        heard += one->heard ? 1 : 0;
    }
    CHECK(silent == 0);
    CHECK(heard == Connections);
    CHECK(quiet->silent);
}

TEST_CASE("late timers: timers run in time while sockets are always ready")
{
    Loop loop;
    std::vector<std::unique_ptr<Watched>> watched;
    for (std::size_t i = 0; i < 100; ++i) {
        watched.push_back(std::make_unique<Watched>(loop, 1h));
        watched.back()->isBusy = true;
        watched.back()->sendByte();
    }
    std::size_t ticks = 0;
    const auto tick = loop.every(10ms, [&] { ++ticks; });
    const TimePoint begin = loop.now();
    const auto end = loop.after(300ms, [&] { loop.stop(); });
    loop.run();
    CHECK(loop.now() - begin < 1s);
    CHECK(ticks >= 10);
}

TEST_CASE("late timers: an expired timer that is destroyed before its turn does not run")
{
    Loop loop;
    std::vector<std::unique_ptr<Timer>> timers;
    std::size_t ran = 0;
    for (std::size_t i = 0; i < 3; ++i) {
        timers.push_back(loop.after(10ms, [&] {
            ++ran;
            timers.clear();
        }));
    }
    loop.post([] { std::this_thread::sleep_for(50ms); });
    const auto end = loop.after(100ms, [&] { loop.stop(); });
    loop.run();
    CHECK(ran == 1);
}
