#include "peer_connection_p.h"

#include <endivespan/config.h>

#include <arpa/inet.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>

#include <utility>

namespace endivespan {

namespace {

constexpr std::size_t LengthBytes = sizeof(std::uint32_t);

} // namespace

PeerConnection::PeerConnection(bufferevent *stream,
                               const PeerSelf &self,
                               PeerLinkStats &stats,
                               PeerConnectionEvents events)
    : stream(stream)
    , self(self)
    , stats(stats)
    , events(std::move(events))
{
    ++this->stats.connections;
    bufferevent_setcb(stream, &PeerConnection::onRead, nullptr, &PeerConnection::onEvent, this);
    bufferevent_setwatermark(stream, EV_READ, 0, config::MaxPeerFrameBytes + LengthBytes);
    bufferevent_enable(stream, EV_READ | EV_WRITE);
    this->send({0, false, PeerHello {config::PeerProtocol, self.host, self.incarnation}});
}

PeerConnection::~PeerConnection()
{
    --this->stats.connections;
    bufferevent_free(this->stream);
}

const std::string &PeerConnection::peer() const
{
    return this->peerName;
}

bool PeerConnection::send(const PeerFrame &frame)
{
    const std::string bytes = encodePeerFrame(frame);
    evbuffer *output = bufferevent_get_output(this->stream);
    const bool fits = bytes.size() <= config::MaxPeerFrameBytes
        && evbuffer_get_length(output) + bytes.size() <= config::MaxPeerQueueBytes;
    if (!fits) {
        return false;
    }
    const std::uint32_t length = htonl(static_cast<std::uint32_t>(bytes.size()));
    evbuffer_add(output, &length, sizeof(length));
    evbuffer_add(output, bytes.data(), bytes.size());
    this->stats.sentBytes += sizeof(length) + bytes.size();
    return true;
}

void PeerConnection::onRead(bufferevent *, void *context)
{
    static_cast<PeerConnection *>(context)->readFrames();
}

void PeerConnection::onEvent(bufferevent *, short what, void *context)
{
    if ((what & (BEV_EVENT_EOF | BEV_EVENT_ERROR | BEV_EVENT_TIMEOUT)) != 0) {
        static_cast<PeerConnection *>(context)->close("connection closed");
    }
}

void PeerConnection::readFrames()
{
    evbuffer *input = bufferevent_get_input(this->stream);
    while (!this->closed && evbuffer_get_length(input) >= LengthBytes) {
        std::uint32_t length = 0;
        evbuffer_copyout(input, &length, sizeof(length));
        length = ntohl(length);
        if (length > config::MaxPeerFrameBytes) {
            ++this->stats.badFrames;
            return this->close("received a frame above the size limit");
        }
        if (evbuffer_get_length(input) < LengthBytes + length) {
            return;
        }
        evbuffer_drain(input, LengthBytes);
        std::string bytes(length, '\0');
        evbuffer_remove(input, bytes.data(), bytes.size());
        this->stats.receivedBytes += LengthBytes + length;
        if (!this->handleFrame(bytes)) {
            ++this->stats.badFrames;
            return this->close("received an invalid frame");
        }
    }
}

bool PeerConnection::handleFrame(const std::string &bytes)
{
    auto frame = decodePeerFrame(bytes);
    if (!frame) {
        return false;
    }
    if (this->peerName.empty()) {
        return this->handleHello(frame.value());
    }
    this->events.onFrame(std::move(frame.value()));
    return true;
}

bool PeerConnection::handleHello(const PeerFrame &frame)
{
    const auto *hello = std::get_if<PeerHello>(&frame.message);
    if (hello == nullptr || hello->protocol != config::PeerProtocol || hello->host.empty()) {
        return false;
    }
    this->peerName = hello->host;
    return true;
}

void PeerConnection::close(const std::string &reason)
{
    if (std::exchange(this->closed, true)) {
        return;
    }
    bufferevent_disable(this->stream, EV_READ | EV_WRITE);
    this->events.onClosed(reason);
}

} // namespace endivespan
