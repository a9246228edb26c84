#pragma once

#include <endivespan/loop.h>
#include <endivespan/text.h>

#include <arpa/inet.h>
#include <event2/bufferevent.h>
#include <event2/listener.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <stdexcept>
#include <string>
#include <string_view>

namespace endivespan::tests {

enum class End {
    Keep,
    Close,
    Reset,
};

enum class Delivery {
    AtOnce,
    ByteByByte,
};

/// What a server sends as an answer, and what it does with the connection afterwards.
struct Sending {
    std::string bytes;
    End end = End::Keep;
    Delivery delivery = Delivery::AtOnce;
};

/// A server on the loop of its clients that answers each request with the bytes that its script returns.
class ByteServer
{
public:
    explicit ByteServer(Loop &loop)
        : loop(loop)
    {
        sockaddr_in place {};
        place.sin_family = AF_INET;
        place.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        this->listener = evconnlistener_new_bind(loop.base(),
                                                 &ByteServer::accepted,
                                                 this,
                                                 LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE,
                                                 64,
                                                 reinterpret_cast<sockaddr *>(&place),
                                                 sizeof(place));
        if (this->listener == nullptr) {
            throw std::runtime_error("cannot listen on a loopback port");
        }
        socklen_t size = sizeof(place);
        getsockname(evconnlistener_get_fd(this->listener), reinterpret_cast<sockaddr *>(&place), &size);
        this->address = "127.0.0.1:" + std::to_string(ntohs(place.sin_port));
    }

    ~ByteServer()
    {
        evconnlistener_free(this->listener);
        while (!this->connections.empty()) {
            this->drop(this->connections.begin()->first);
        }
    }

    ByteServer(const ByteServer &) = delete;
    ByteServer &operator=(const ByteServer &) = delete;

    std::string address;
    std::function<Sending(const std::string &request)> script; ///< Takes the head and the body of a request.
    std::size_t accepts = 0;

private:
    static constexpr std::string_view LengthField = "\r\ncontent-length: ";

    struct Connection {
        std::string input;
        Sending sending;
        std::size_t sent = 0;
        std::unique_ptr<Timer> timer;
    };

    static void accepted(evconnlistener *, evutil_socket_t socket, sockaddr *, int, void *context)
    {
        auto *self = static_cast<ByteServer *>(context);
        const int on = 1;
        setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
        bufferevent *stream = bufferevent_socket_new(self->loop.base(), socket, BEV_OPT_CLOSE_ON_FREE);
        bufferevent_setcb(stream, &ByteServer::onRead, nullptr, &ByteServer::onEvent, self);
        bufferevent_enable(stream, EV_READ | EV_WRITE);
        self->connections[stream];
        ++self->accepts;
    }

    static void onEvent(bufferevent *stream, short, void *context)
    {
        static_cast<ByteServer *>(context)->drop(stream);
    }

    static void onRead(bufferevent *stream, void *context)
    {
        auto *self = static_cast<ByteServer *>(context);
        Connection &connection = self->connections.at(stream);
        char buffer[4096];
        while (const std::size_t got = bufferevent_read(stream, buffer, sizeof(buffer))) {
            connection.input.append(buffer, got);
        }
        const std::size_t head = connection.input.find("\r\n\r\n");
        if (head == std::string::npos) {
            return;
        }
        const std::string fields = lowerCase(std::string_view(connection.input).substr(0, head));
        const std::size_t field = fields.find(LengthField);
        const std::size_t body = field == std::string::npos ? 0 : std::stoul(fields.substr(field + LengthField.size()));
        if (connection.input.size() < head + 4 + body) {
            return;
        }
        const std::string request = connection.input.substr(0, head + 4 + body);
        connection.input.erase(0, request.size());
        connection.sending = self->script(request);
        connection.sent = 0;
        self->sendNext(stream);
    }

    void sendNext(bufferevent *stream)
    {
        Connection &connection = this->connections.at(stream);
        const Sending &sending = connection.sending;
        const std::size_t left = sending.bytes.size() - connection.sent;
        const std::size_t size = sending.delivery == Delivery::AtOnce ? left : std::min<std::size_t>(left, 1);
        // Bypasses the output buffer, which is discarded when the bufferevent is freed.
        if (::send(bufferevent_getfd(stream), sending.bytes.data() + connection.sent, size, MSG_NOSIGNAL)
            != static_cast<ssize_t>(size)) {
            throw std::runtime_error("cannot send an answer");
        }
        connection.sent += size;
        if (connection.sent < sending.bytes.size()) {
            connection.timer = this->loop.after(Duration::zero(), [this, stream] { this->sendNext(stream); });
        } else if (sending.end == End::Close) {
            this->drop(stream);
        } else if (sending.end == End::Reset) {
            // Delayed so that the bytes sent before arrive.
            connection.timer = this->loop.after(Duration::zero(), [this, stream] {
                const linger off {1, 0};
                setsockopt(bufferevent_getfd(stream), SOL_SOCKET, SO_LINGER, &off, sizeof(off));
                this->drop(stream);
            });
        }
    }

    void drop(bufferevent *stream)
    {
        // Moved out first: it may hold the timer whose callback runs.
        const auto dropped = this->connections.extract(stream);
        if (!dropped.empty()) {
            bufferevent_free(stream);
        }
    }

    Loop &loop;
    evconnlistener *listener = nullptr;
    std::map<bufferevent *, Connection> connections;
};

} // namespace endivespan::tests
