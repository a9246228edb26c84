#include <endivespan/config.h>
#include <endivespan/loop.h>
#include <endivespan/peer_link.h>

#include <arpa/inet.h>
#include <doctest/doctest.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/listener.h>
#include <netinet/in.h>

#include <functional>
#include <optional>
#include <string>
#include <vector>

using namespace endivespan;
using namespace std::chrono_literals;

namespace {

void runUntil(Loop &loop, const std::function<bool()> &isDone)
{
    const auto check = loop.every(1ms, [&loop, &isDone] {
        if (isDone()) {
            loop.stop();
        }
    });
    const auto limit = loop.after(20s, [&loop] { loop.stop(); });
    loop.run();
    REQUIRE(isDone());
}

std::string loopback(int port)
{
    return "127.0.0.1:" + std::to_string(port);
}

/// A peer that sends what a test gives it, as frames or as raw bytes.
class FakePeer
{
public:
    explicit FakePeer(Loop &loop)
        : loop(loop)
    {
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        this->listener = evconnlistener_new_bind(loop.base(),
                                                 &FakePeer::accepted,
                                                 this,
                                                 LEV_OPT_CLOSE_ON_FREE,
                                                 8,
                                                 reinterpret_cast<sockaddr *>(&address),
                                                 sizeof(address));
    }

    ~FakePeer()
    {
        for (bufferevent *stream : this->streams) {
            bufferevent_free(stream);
        }
        evconnlistener_free(this->listener);
    }

    FakePeer(const FakePeer &) = delete;
    FakePeer &operator=(const FakePeer &) = delete;

    [[nodiscard]] std::string address() const
    {
        sockaddr_in local {};
        socklen_t size = sizeof(local);
        getsockname(evconnlistener_get_fd(this->listener), reinterpret_cast<sockaddr *>(&local), &size);
        return loopback(ntohs(local.sin_port));
    }

    static void send(bufferevent *stream, const PeerFrame &frame)
    {
        const std::string bytes = encodePeerFrame(frame);
        const std::uint32_t length = htonl(static_cast<std::uint32_t>(bytes.size()));
        bufferevent_write(stream, &length, sizeof(length));
        bufferevent_write(stream, bytes.data(), bytes.size());
    }

    std::function<void(bufferevent *)> onConnection;
    std::vector<bufferevent *> streams;

private:
    static void accepted(evconnlistener *, evutil_socket_t socket, sockaddr *, int, void *context)
    {
        auto *self = static_cast<FakePeer *>(context);
        bufferevent *stream = bufferevent_socket_new(self->loop.base(), socket, BEV_OPT_CLOSE_ON_FREE);
        bufferevent_enable(stream, EV_READ | EV_WRITE);
        self->streams.push_back(stream);
        if (self->onConnection) {
            self->onConnection(stream);
        }
    }

    Loop &loop;
    evconnlistener *listener;
};

std::unique_ptr<PeerLink> makeLink(Loop &loop, const std::string &host)
{
    auto link = PeerLink::listen(loop, {host, 1}, "127.0.0.1:0", [host](const std::string &from, const PeerMessage &) {
        return PeerMessage(CreditAsk {from + " asked " + host, 1, 1});
    });
    REQUIRE(link);
    return std::move(link.value());
}

/// Collects the answers to the requests of one test.
struct Answers {
    std::vector<Result<PeerAnswer>> all;

    std::function<void(Result<PeerAnswer>)> sink()
    {
        return [this](Result<PeerAnswer> answer) { this->all.push_back(std::move(answer)); };
    }
};

} // namespace

TEST_CASE("peers exchange hellos and answer all requests over one connection")
{
    Loop loop;
    const auto a = makeLink(loop, "host-a");
    const auto b = makeLink(loop, "host-b");
    Answers answers;
    for (int i = 0; i < 20; ++i) {
        a->request(loopback(b->port()), PeerAck {}, 2s, answers.sink());
    }
    runUntil(loop, [&answers] { return answers.all.size() == 20; });
    for (const auto &answer : answers.all) {
        REQUIRE(answer);
        CHECK(answer.value().host == "host-b");
        CHECK(std::get<CreditAsk>(answer.value().message).server == "host-a asked host-b");
    }
    CHECK(a->stats().connections == 1);
}

TEST_CASE("a connection whose requests time out is closed, and the next request opens a new one")
{
    Loop loop;
    const auto link = makeLink(loop, "host-a");
    FakePeer silent(loop);
    Answers answers;
    link->request(silent.address(), PeerAck {}, 100ms, answers.sink());
    link->request(silent.address(), PeerAck {}, 10s, answers.sink());
    runUntil(loop, [&answers] { return answers.all.size() == 2; });
    CHECK(answers.all[0].error().kind == ErrorKind::Timeout);
    CHECK(answers.all[1].error().kind == ErrorKind::ConnectionFailed);
    silent.onConnection = [](bufferevent *stream) {
        FakePeer::send(stream, {0, false, PeerHello {config::PeerProtocol, "fake", 1}});
        FakePeer::send(stream, {3, true, PeerAck {}});
    };
    link->request(silent.address(), PeerAck {}, 5s, answers.sink());
    runUntil(loop, [&answers] { return answers.all.size() == 3; });
    CHECK(answers.all[2]);
    CHECK(silent.streams.size() == 2);
}

TEST_CASE("answers that match no pending request are dropped")
{
    Loop loop;
    const auto link = makeLink(loop, "host-a");
    FakePeer peer(loop);
    peer.onConnection = [](bufferevent *stream) {
        FakePeer::send(stream, {0, false, PeerHello {config::PeerProtocol, "fake", 1}});
        FakePeer::send(stream, {99, true, CreditAsk {"crossed", 1, 1}});
        FakePeer::send(stream, {1, true, CreditAsk {"right", 1, 1}});
        FakePeer::send(stream, {1, true, CreditAsk {"repeated", 1, 1}});
    };
    Answers answers;
    link->request(peer.address(), PeerAck {}, 5s, answers.sink());
    runUntil(loop, [&answers, &link] { return answers.all.size() == 1 && link->stats().droppedAnswers == 2; });
    REQUIRE(answers.all[0]);
    CHECK(std::get<CreditAsk>(answers.all[0].value().message).server == "right");
}

TEST_CASE("invalid frames, another protocol version and a missing hello fail the request at once")
{
    Loop loop;
    const auto link = makeLink(loop, "host-a");
    FakePeer peer(loop);
    Answers answers;
    SUBCASE("a frame that is too long")
    {
        peer.onConnection = [](bufferevent *stream) {
            const std::uint32_t length = 0xffffffff;
            bufferevent_write(stream, &length, sizeof(length));
        };
    }
    SUBCASE("bytes that are not a valid frame")
    {
        peer.onConnection = [](bufferevent *stream) {
            const std::uint32_t length = htonl(3);
            bufferevent_write(stream, &length, sizeof(length));
            bufferevent_write(stream, "abc", 3);
        };
    }
    SUBCASE("another protocol version")
    {
        peer.onConnection = [](bufferevent *stream) {
            FakePeer::send(stream, {0, false, PeerHello {config::PeerProtocol + 1, "fake", 1}});
        };
    }
    SUBCASE("no hello first")
    {
        peer.onConnection = [](bufferevent *stream) { FakePeer::send(stream, {1, true, PeerAck {}}); };
    }
    link->request(peer.address(), PeerAck {}, 10s, answers.sink());
    runUntil(loop, [&answers] { return answers.all.size() == 1; });
    CHECK(answers.all[0].error().kind == ErrorKind::ConnectionFailed);
    CHECK(link->stats().badFrames == 1);
}

TEST_CASE("messages that are too large and requests to addresses that cannot be reached fail")
{
    Loop loop;
    const auto a = makeLink(loop, "host-a");
    const auto b = makeLink(loop, "host-b");
    Answers answers;
    const std::string large(config::MaxPeerFrameBytes + 1, 'x');
    a->request(loopback(b->port()), ConfigReply {1, large}, 2s, answers.sink());
    a->request("127.0.0.1:1", PeerAck {}, 2s, answers.sink());
    a->request("nowhere", PeerAck {}, 2s, answers.sink());
    runUntil(loop, [&answers] { return answers.all.size() == 3; });
    for (const auto &answer : answers.all) {
        CHECK(!answer);
    }
}
