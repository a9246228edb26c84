#include "net_p.h"
#include "peer_connection_p.h"

#include <endivespan/config.h>
#include <endivespan/peer_link.h>

#include <arpa/inet.h>
#include <event2/bufferevent.h>
#include <event2/listener.h>
#include <netinet/in.h>

#include <map>
#include <utility>

namespace endivespan {

namespace {

bool parseAddress(const std::string &address, sockaddr_in &parsed)
{
    const auto [host, port] = splitAddress(address);
    parsed = {};
    parsed.sin_family = AF_INET;
    parsed.sin_port = htons(static_cast<std::uint16_t>(port));
    return inet_pton(AF_INET, host.c_str(), &parsed.sin_addr) == 1;
}

/// A request that has not been answered yet.
struct PendingRequest {
    std::uint64_t connection = 0;
    std::function<void(Result<PeerAnswer>)> done;
    std::unique_ptr<Timer> timer;
};

/// A connection and its peer address.
struct ConnectionEntry {
    std::unique_ptr<PeerConnection> connection;
    std::string address; ///< Empty for a connection opened by the peer.
    std::unique_ptr<Timer> closeTimer;
    bool closing = false;
};

class TcpPeerLink : public PeerLink
{
public:
    TcpPeerLink(Loop &loop, PeerSelf self, PeerHandler handler)
        : loop(loop)
        , self(std::move(self))
        , handler(std::move(handler))
    {
    }

    ~TcpPeerLink() override
    {
        if (this->listener != nullptr) {
            evconnlistener_free(this->listener);
        }
    }

    TcpPeerLink(const TcpPeerLink &) = delete;
    TcpPeerLink &operator=(const TcpPeerLink &) = delete;

    bool bind(const std::string &address)
    {
        sockaddr_in local;
        if (!parseAddress(address, local)) {
            return false;
        }
        this->listener = evconnlistener_new_bind(this->loop.base(),
                                                 &TcpPeerLink::accepted,
                                                 this,
                                                 LEV_OPT_CLOSE_ON_FREE | LEV_OPT_CLOSE_ON_EXEC | LEV_OPT_REUSEABLE,
                                                 config::PeerBacklog,
                                                 reinterpret_cast<sockaddr *>(&local),
                                                 sizeof(local));
        return this->listener != nullptr;
    }

    [[nodiscard]] int port() const override
    {
        return localPort(evconnlistener_get_fd(this->listener));
    }

    void request(const std::string &address,
                 const PeerMessage &message,
                 std::chrono::milliseconds timeout,
                 std::function<void(Result<PeerAnswer>)> done) override
    {
        const std::uint64_t connection = this->connectionTo(address);
        const std::uint64_t id = ++this->lastRequest;
        PendingRequest &waiting = this->waiting[id];
        waiting.connection = connection;
        waiting.done = std::move(done);
        waiting.timer = this->loop.after(timeout, [this, id] { this->onTimeout(id); });
        if (connection == 0) {
            return this->failLater(id, {ErrorKind::ConnectionFailed, "cannot connect to " + address});
        }
        this->restartIdleTimer(connection);
        if (!this->connections.at(connection).connection->send({id, false, message})) {
            this->failLater(id, {ErrorKind::Overloaded, "message does not fit into the send queue to " + address});
        }
    }

    [[nodiscard]] PeerLinkStats stats() const override
    {
        return this->counters;
    }

private:
    static void accepted(evconnlistener *, evutil_socket_t socket, sockaddr *, int, void *context)
    {
        auto *link = static_cast<TcpPeerLink *>(context);
        if (link->connections.size() >= config::MaxPeerConnections) {
            evutil_closesocket(socket);
            return;
        }
        link->add(socket, {});
    }

    std::uint64_t add(evutil_socket_t socket, const std::string &address)
    {
        bufferevent *stream = bufferevent_socket_new(this->loop.base(), socket, BEV_OPT_CLOSE_ON_FREE);
        if (stream == nullptr) {
            return 0;
        }
        sockaddr_in remote;
        if (!address.empty()) {
            const bool started = parseAddress(address, remote)
                && bufferevent_socket_connect(stream, reinterpret_cast<sockaddr *>(&remote), sizeof(remote)) == 0;
            if (!started) {
                bufferevent_free(stream);
                return 0;
            }
        }
        const std::uint64_t id = ++this->lastConnection;
        PeerConnectionEvents events;
        events.onFrame = [this, id](const PeerFrame &frame) { this->handleFrame(id, frame); };
        events.onClosed = [this, id](const std::string &reason) { this->closeLater(id, reason); };
        ConnectionEntry &connected = this->connections[id];
        connected.connection = std::make_unique<PeerConnection>(stream, this->self, this->counters, std::move(events));
        connected.address = address;
        if (!address.empty()) {
            this->byAddress[address] = id;
        }
        this->restartIdleTimer(id);
        return id;
    }

    std::uint64_t connectionTo(const std::string &address)
    {
        const auto found = this->byAddress.find(address);
        return found != this->byAddress.end() ? found->second : this->add(-1, address);
    }

    void restartIdleTimer(std::uint64_t id)
    {
        if (ConnectionEntry &connected = this->connections.at(id); !connected.closing) {
            connected.closeTimer = this->loop.after(config::PeerIdleBound, [this, id] { this->close(id, "idle"); });
        }
    }

    void handleFrame(std::uint64_t id, const PeerFrame &frame)
    {
        this->restartIdleTimer(id);
        PeerConnection &connection = *this->connections.at(id).connection;
        if (!frame.answer) {
            connection.send({frame.id, true, this->handler(connection.peer(), frame.message)});
            return;
        }
        const auto found = this->waiting.find(frame.id);
        if (found == this->waiting.end() || found->second.connection != id) {
            ++this->counters.droppedAnswers;
            return;
        }
        const auto item = this->waiting.extract(found);
        item.mapped().done(PeerAnswer {connection.peer(), frame.message});
    }

    // Fails the request and closes its connection, since a middlebox may have dropped the connection without notice.
    void onTimeout(std::uint64_t id)
    {
        const auto item = this->waiting.extract(id);
        ++this->counters.timeouts;
        this->closeLater(item.mapped().connection, "closed because another request on the connection timed out");
        item.mapped().done(Error {ErrorKind::Timeout, "the peer did not answer in time"});
    }

    void failLater(std::uint64_t id, const Error &error)
    {
        this->waiting.at(id).timer = this->loop.after(Duration::zero(), [this, id, error] {
            const auto item = this->waiting.extract(id);
            item.mapped().done(error);
        });
    }

    // The close is deferred, since this may run inside one of the connection's own callbacks.
    void closeLater(std::uint64_t id, const std::string &reason)
    {
        const auto found = this->connections.find(id);
        if (found == this->connections.end()) {
            return;
        }
        this->forgetAddress(id, found->second.address);
        found->second.closing = true;
        found->second.closeTimer = this->loop.after(Duration::zero(), [this, id, reason] { this->close(id, reason); });
    }

    void forgetAddress(std::uint64_t id, const std::string &address)
    {
        const auto found = this->byAddress.find(address);
        if (found != this->byAddress.end() && found->second == id) {
            this->byAddress.erase(found);
        }
    }

    void close(std::uint64_t id, const std::string &reason)
    {
        const auto connected = this->connections.extract(id);
        if (connected.empty()) {
            return;
        }
        this->forgetAddress(id, connected.mapped().address);
        std::vector<std::uint64_t> lost;
        for (const auto &[request, waiting] : this->waiting) {
            if (waiting.connection == id) {
                lost.push_back(request);
            }
        }
        for (const std::uint64_t request : lost) {
            this->failLater(request, {ErrorKind::ConnectionFailed, reason});
        }
    }

    Loop &loop;
    PeerSelf self;
    PeerHandler handler;
    PeerLinkStats counters;
    evconnlistener *listener = nullptr;
    std::map<std::uint64_t, ConnectionEntry> connections;
    std::map<std::string, std::uint64_t> byAddress;
    std::map<std::uint64_t, PendingRequest> waiting;
    std::uint64_t lastConnection = 0;
    std::uint64_t lastRequest = 0;
};

} // namespace

Result<std::unique_ptr<PeerLink>>
PeerLink::listen(Loop &loop, PeerSelf self, const std::string &address, PeerHandler handler)
{
    auto link = std::make_unique<TcpPeerLink>(loop, std::move(self), std::move(handler));
    if (!link->bind(address)) {
        return Error {ErrorKind::ConnectionFailed, "cannot listen for peers on " + address};
    }
    return std::unique_ptr<PeerLink>(std::move(link));
}

} // namespace endivespan
