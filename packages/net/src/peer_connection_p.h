#pragma once

#include <endivespan/loop.h>
#include <endivespan/peer_link.h>

#include <cstdint>
#include <functional>
#include <string>

struct bufferevent;

/// One connection between two hosts: length-framed messages after a hello in each direction.
namespace endivespan {

/// What a connection tells its link. Closing is told once; the connection is destroyed by the link afterwards.
struct PeerConnectionEvents {
    std::function<void(PeerFrame)> onFrame;
    std::function<void(const std::string &reason)> onClosed;
};

/// Frames messages over one bufferevent, which it owns.
class PeerConnection
{
public:
    PeerConnection(bufferevent *stream, const PeerSelf &self, PeerLinkStats &stats, PeerConnectionEvents events);
    ~PeerConnection();
    PeerConnection(const PeerConnection &) = delete;
    PeerConnection &operator=(const PeerConnection &) = delete;

    /// @returns false when too much is queued already.
    bool send(const PeerFrame &frame);

    /// @returns the peer's name, empty before its hello.
    [[nodiscard]] const std::string &peer() const;

private:
    static void onRead(bufferevent *stream, void *context);
    static void onEvent(bufferevent *stream, short what, void *context);
    void readFrames();
    bool takeFrame(const std::string &bytes);
    bool greet(const PeerFrame &frame);
    void close(const std::string &reason);

    bufferevent *stream;
    PeerSelf self;
    PeerLinkStats &stats;
    PeerConnectionEvents events;
    std::string peerName;
    bool closed = false;
};

} // namespace endivespan
