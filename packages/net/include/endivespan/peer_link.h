#pragma once

#include <endivespan/error.h>
#include <endivespan/loop.h>
#include <endivespan/peer_message.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

/// Requests and answers between the hosts of the system: Thrift messages over TCP, with one connection to each peer,
/// opened on demand.
namespace endivespan {

/// Identity of this host, sent in the hello of each connection.
struct PeerSelf {
    std::string host;
    std::uint64_t incarnation = 0;
};

/// Answer of a peer to a request.
struct PeerAnswer {
    std::string host; ///< Name of the peer, from its hello.
    PeerMessage message;
};

/// Handles one request of the host @p from and returns the answer. Called on the event loop; must not block.
using PeerHandler = std::function<PeerMessage(const std::string &from, const PeerMessage &request)>;

/// Counters of one PeerLink.
struct PeerLinkStats {
    std::size_t connections = 0;
    std::uint64_t sentBytes = 0;
    std::uint64_t receivedBytes = 0;
    std::uint64_t timeouts = 0;
    std::uint64_t droppedAnswers = 0; ///< Late or duplicate answers, and answers received on another connection.
    std::uint64_t badFrames = 0;
};

/// Accepts connections from peers and sends requests to them. When an answer is not received in time, the connection is
/// closed, and the next request opens a new one.
class PeerLink
{
public:
    virtual ~PeerLink() = default;

    /// @returns the port that the link listens on.
    [[nodiscard]] virtual int port() const = 0;

    /// Sends a request. @p done is called exactly once unless the link is destroyed first, and never from inside this
    /// function.
    /// @param address "a.b.c.d:port" of the peer.
    /// @param timeout Maximum time to wait for the answer.
    /// @param done Receives the answer, Timeout, ConnectionFailed, or Overloaded when the message exceeds the frame
    /// size
    ///     limit or does not fit into the send queue.
    virtual void request(const std::string &address,
                         const PeerMessage &message,
                         std::chrono::milliseconds timeout,
                         std::function<void(Result<PeerAnswer>)> done)
        = 0;

    [[nodiscard]] virtual PeerLinkStats stats() const = 0;

    /// @param loop Runs the callbacks; must outlive the link.
    /// @param address "a.b.c.d:port"; port 0 selects a free port.
    /// @returns the link, or ConnectionFailed when the address cannot be bound.
    static Result<std::unique_ptr<PeerLink>>
    listen(Loop &loop, PeerSelf self, const std::string &address, PeerHandler handler);
};

} // namespace endivespan
