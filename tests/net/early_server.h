#pragma once

#include <endivespan/loop.h>

#include <arpa/inet.h>
#include <event2/event.h>
#include <netinet/in.h>
#include <sys/socket.h>

#include <memory>
#include <stdexcept>
#include <string>
#include <unistd.h>
#include <utility>
#include <vector>

namespace endivespan::tests {

/// How an EarlyServer ends a connection.
enum class EarlyEnd {
    Shutdown, ///< Ends its sending direction; the connection stays open and the rest of the request unread.
    Close, ///< Closes the connection when it has read what has arrived.
    Reset,
};

/// A server on the loop of its clients that answers as soon as the first bytes of a request have arrived, and ends the
/// connection in the next turn of the loop. Its small receive buffer keeps most of a large request at the client.
class EarlyServer
{
public:
    EarlyServer(Loop &loop, std::string answer, EarlyEnd end)
        : loop(loop)
        , answer(std::move(answer))
        , end(end)
        , listener(socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0))
    {
        const int bytes = 4096;
        setsockopt(this->listener, SOL_SOCKET, SO_RCVBUF, &bytes, sizeof(bytes));
        sockaddr_in place {};
        place.sin_family = AF_INET;
        place.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        socklen_t size = sizeof(place);
        if (bind(this->listener, reinterpret_cast<sockaddr *>(&place), size) != 0 || ::listen(this->listener, 16) != 0
            || getsockname(this->listener, reinterpret_cast<sockaddr *>(&place), &size) != 0) {
            throw std::runtime_error("cannot listen on a loopback port");
        }
        this->address = "127.0.0.1:" + std::to_string(ntohs(place.sin_port));
        this->watch(this->listener, EV_READ | EV_PERSIST, &EarlyServer::accepted);
    }

    ~EarlyServer()
    {
        for (event *entry : this->events) {
            event_free(entry);
        }
        for (const int open : this->sockets) {
            close(open);
        }
        close(this->listener);
    }

    EarlyServer(const EarlyServer &) = delete;
    EarlyServer &operator=(const EarlyServer &) = delete;

    std::string address;

private:
    void watch(int socket, short what, event_callback_fn callback)
    {
        this->events.push_back(event_new(this->loop.base(), socket, what, callback, this));
        event_add(this->events.back(), nullptr);
    }

    static void accepted(evutil_socket_t socket, short, void *context)
    {
        auto *self = static_cast<EarlyServer *>(context);
        const int made = accept4(socket, nullptr, nullptr, SOCK_NONBLOCK);
        self->sockets.push_back(made);
        self->watch(made, EV_READ, &EarlyServer::arrived);
    }

    static void arrived(evutil_socket_t socket, short, void *context)
    {
        auto *self = static_cast<EarlyServer *>(context);
        if (::send(socket, self->answer.data(), self->answer.size(), MSG_NOSIGNAL)
            != static_cast<ssize_t>(self->answer.size())) {
            throw std::runtime_error("cannot send an answer");
        }
        self->timers.push_back(
            self->loop.after(std::chrono::milliseconds(5), [self, socket] { self->finish(socket); }));
    }

    void finish(int socket)
    {
        if (this->end == EarlyEnd::Shutdown) {
            shutdown(socket, SHUT_WR);
            return;
        }
        if (this->end == EarlyEnd::Reset) {
            const linger off {1, 0};
            setsockopt(socket, SOL_SOCKET, SO_LINGER, &off, sizeof(off));
        }
        char buffer[4096];
        while (this->end == EarlyEnd::Close && recv(socket, buffer, sizeof(buffer), 0) > 0) { }
        std::erase(this->sockets, socket);
        close(socket);
    }

    Loop &loop;
    std::string answer;
    EarlyEnd end;
    int listener;
    std::vector<int> sockets;
    std::vector<event *> events;
    std::vector<std::unique_ptr<Timer>> timers;
};

} // namespace endivespan::tests
