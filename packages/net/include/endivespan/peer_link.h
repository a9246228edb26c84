#pragma once

#include <endivespan/error.h>
#include <endivespan/loop.h>
#include <endivespan/peer_message.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

/// Requests and answers between the hosts of the system: Thrift frames over TCP, one connection to each peer on demand.
namespace endivespan {

/// How this host introduces itself.
struct PeerSelf {
    std::string host;
    std::uint64_t incarnation = 0;
};

/// A message of a peer, or why there is none.
struct PeerAnswer {
    std::string host; ///< Name that the peer introduced itself with.
    PeerMessage message;
};

/// Answers one request of the host @p from. Called on the loop; must not block.
using PeerHandler = std::function<PeerMessage(const std::string &from, const PeerMessage &request)>;

/// Counters of one PeerLink.
struct PeerLinkStats {
    std::size_t connections = 0;
    std::uint64_t sentBytes = 0;
    std::uint64_t receivedBytes = 0;
    std::uint64_t timeouts = 0;
    std::uint64_t droppedAnswers = 0; ///< Late, repeated or crossed ones.
    std::uint64_t badFrames = 0;
};

/// Listens for peers and asks them. A connection on which an answer fails to come in time is closed, and the next
/// request opens a new one.
class PeerLink
{
public:
    virtual ~PeerLink() = default;

    /// @returns the port that is listened on.
    [[nodiscard]] virtual int port() const = 0;

    /// Sends a request. @p done is called exactly once, never inside this function, unless the link is destroyed first.
    /// @param address "a.b.c.d:port" of the peer.
    /// @param timeout The longest wait for the answer.
    /// @param done Gets the answer, Timeout, ConnectionFailed, Overloaded when too much is queued, or ProtocolError.
    virtual void request(const std::string &address,
                         const PeerMessage &message,
                         std::chrono::milliseconds timeout,
                         std::function<void(Result<PeerAnswer>)> done)
        = 0;

    [[nodiscard]] virtual PeerLinkStats stats() const = 0;

    /// @param loop Runs the callbacks; must outlive the link.
    /// @param address "a.b.c.d:port"; port 0 takes a free one.
    /// @returns the link, or ConnectionFailed when the address cannot be bound.
    static Result<std::unique_ptr<PeerLink>>
    listen(Loop &loop, PeerSelf self, const std::string &address, PeerHandler handler);
};

} // namespace endivespan
