#pragma once

#include <endivespan/loop.h>
#include <endivespan/peer_link.h>

#include <cstdint>
#include <functional>
#include <string>

struct bufferevent;

/// One connection between two hosts. Each side first sends a hello; all messages are framed by a length prefix.
namespace endivespan {

/// Callbacks of a connection. onClosed is called once, after which the link destroys the connection.
struct PeerConnectionEvents {
    std::function<void(PeerFrame)> onFrame;
    std::function<void(const std::string &reason)> onClosed;
};

/// Sends and receives framed messages over one bufferevent, which it owns.
class PeerConnection
{
public:
    PeerConnection(bufferevent *stream, const PeerSelf &self, PeerLinkStats &stats, PeerConnectionEvents events);
    ~PeerConnection();
    PeerConnection(const PeerConnection &) = delete;
    PeerConnection &operator=(const PeerConnection &) = delete;

    /// Queues a message for sending.
    /// @returns false, without queuing it, when the message exceeds the frame size limit or does not fit into the send
    ///     queue.
    bool send(const PeerFrame &frame);

    /// @returns the peer's name, empty until its hello is received.
    [[nodiscard]] const std::string &peer() const;

private:
    static void onRead(bufferevent *stream, void *context);
    static void onEvent(bufferevent *stream, short what, void *context);
    void readFrames();
    bool handleFrame(const std::string &bytes);
    bool handleHello(const PeerFrame &frame);
    void close(const std::string &reason);

    bufferevent *stream;
    PeerSelf self;
    PeerLinkStats &stats;
    PeerConnectionEvents events;
    std::string peerName;
    bool closed = false;
};

} // namespace endivespan
