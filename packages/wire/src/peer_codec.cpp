#include "gossip_codec_p.h"
#include "peer_types.h"
#include "relay_codec_p.h"
#include "thrift_p.h"

#include <endivespan/peer_message.h>

namespace endivespan {

namespace {

/// Visitor that stores a message in the corresponding field of the frame record.
struct Packer {
    gen::PeerFrameRecord &frame;

    void operator()(const PeerHello &message) const
    {
        gen::PeerHelloRecord record;
        record.protocol = message.protocol;
        record.host = message.host;
        record.incarnation = toSigned(message.incarnation);
        this->frame.__set_hello(record);
    }

    void operator()(const GossipMessage &message) const
    {
        this->frame.__set_gossip(packGossip(message));
    }

    void operator()(const CreditAsk &message) const
    {
        gen::CreditAskRecord record;
        record.server = message.server;
        record.requestId = toSigned(message.requestId);
        record.wanted = static_cast<std::int32_t>(message.wanted);
        this->frame.__set_creditAsk(record);
    }

    void operator()(const CreditReply &message) const
    {
        gen::CreditReplyRecord record;
        record.server = message.server;
        record.requestId = toSigned(message.requestId);
        record.fence = toSigned(message.fence);
        record.firstId = toSigned(message.firstId);
        record.count = static_cast<std::int32_t>(message.count);
        if (message.warmIncarnation) {
            record.__set_warmIncarnation(*message.warmIncarnation);
            record.__set_warmEpoch(toSigned(message.warmEpoch));
        }
        this->frame.__set_creditReply(record);
    }

    void operator()(const CreditBack &message) const
    {
        gen::CreditBackRecord record;
        record.server = message.server;
        record.fence = toSigned(message.fence);
        record.id = toSigned(message.id);
        record.outcome = static_cast<std::int32_t>(message.outcome);
        this->frame.__set_creditBack(record);
    }

    void operator()(const SuspectAsk &message) const
    {
        gen::SuspectAskRecord record;
        record.requestId = toSigned(message.requestId);
        record.fingerprint = packFingerprint(message.fingerprint);
        record.server = message.server;
        this->frame.__set_suspectAsk(record);
    }

    void operator()(const SuspectReply &message) const
    {
        gen::SuspectReplyRecord record;
        record.requestId = toSigned(message.requestId);
        record.granted = message.granted;
        record.fence = toSigned(message.fence);
        record.id = toSigned(message.id);
        this->frame.__set_suspectReply(record);
    }

    void operator()(const SuspectBack &message) const
    {
        gen::SuspectBackRecord record;
        record.fence = toSigned(message.fence);
        record.id = toSigned(message.id);
        this->frame.__set_suspectBack(record);
    }

    void operator()(const ConfigAsk &message) const
    {
        gen::ConfigAskRecord record;
        record.heldOffset = toSigned(message.heldOffset);
        this->frame.__set_configAsk(record);
    }

    void operator()(const ConfigReply &message) const
    {
        gen::ConfigReplyRecord record;
        record.offset = toSigned(message.offset);
        record.state = message.state;
        this->frame.__set_configReply(record);
    }

    void operator()(const RelayAsk &message) const
    {
        this->frame.__set_relayAsk(packRelayAsk(message));
    }

    void operator()(const RelayReply &message) const
    {
        this->frame.__set_relayReply(packRelayReply(message));
    }

    void operator()(const PeerAck &) const
    {
        this->frame.__set_ack({});
    }
};

std::optional<PeerMessage> unpackCredit(const gen::PeerFrameRecord &frame)
{
    if (frame.__isset.creditAsk) {
        const auto &ask = frame.creditAsk;
        return CreditAsk {ask.server, toUnsigned(ask.requestId), static_cast<std::uint32_t>(ask.wanted)};
    }
    if (frame.__isset.creditReply) {
        const auto &from = frame.creditReply;
        CreditReply reply;
        reply.server = from.server;
        reply.requestId = toUnsigned(from.requestId);
        reply.fence = toUnsigned(from.fence);
        reply.firstId = toUnsigned(from.firstId);
        reply.count = static_cast<std::uint32_t>(from.count);
        if (from.__isset.warmIncarnation) {
            reply.warmIncarnation = from.warmIncarnation;
            reply.warmEpoch = toUnsigned(from.warmEpoch);
        }
        return reply;
    }
    const auto &back = frame.creditBack;
    if (back.outcome < 0 || back.outcome > static_cast<std::int32_t>(CreditOutcome::Unused)) {
        return {};
    }
    return CreditBack {
        back.server, toUnsigned(back.fence), toUnsigned(back.id), static_cast<CreditOutcome>(back.outcome)};
}

std::optional<PeerMessage> unpackSuspect(const gen::PeerFrameRecord &frame)
{
    if (frame.__isset.suspectAsk) {
        const auto &ask = frame.suspectAsk;
        const auto fingerprint = unpackFingerprint(ask.fingerprint);
        if (!fingerprint) {
            return {};
        }
        return SuspectAsk {toUnsigned(ask.requestId), *fingerprint, ask.server};
    }
    if (frame.__isset.suspectReply) {
        const auto &reply = frame.suspectReply;
        return SuspectReply {toUnsigned(reply.requestId), reply.granted, toUnsigned(reply.fence), toUnsigned(reply.id)};
    }
    return SuspectBack {toUnsigned(frame.suspectBack.fence), toUnsigned(frame.suspectBack.id)};
}

std::optional<PeerMessage> unpack(const gen::PeerFrameRecord &frame)
{
    const auto &set = frame.__isset;
    if (set.hello) {
        return PeerHello {frame.hello.protocol, frame.hello.host, toUnsigned(frame.hello.incarnation)};
    }
    if (set.gossip) {
        auto message = unpackGossip(frame.gossip);
        return message ? std::optional<PeerMessage>(std::move(*message)) : std::nullopt;
    }
    if (set.creditAsk || set.creditReply || set.creditBack) {
        return unpackCredit(frame);
    }
    if (set.suspectAsk || set.suspectReply || set.suspectBack) {
        return unpackSuspect(frame);
    }
    if (set.configAsk) {
        return ConfigAsk {toUnsigned(frame.configAsk.heldOffset)};
    }
    if (set.configReply) {
        return ConfigReply {toUnsigned(frame.configReply.offset), frame.configReply.state};
    }
    if (set.relayAsk) {
        return unpackRelayAsk(frame.relayAsk);
    }
    if (set.relayReply) {
        auto reply = unpackRelayReply(frame.relayReply);
        return reply ? std::optional<PeerMessage>(std::move(*reply)) : std::nullopt;
    }
    return set.ack ? std::optional<PeerMessage>(PeerAck {}) : std::nullopt;
}

} // namespace

std::string encodePeerFrame(const PeerFrame &frame)
{
    gen::PeerFrameRecord record;
    record.id = toSigned(frame.id);
    record.answer = frame.answer;
    std::visit(Packer {record}, frame.message);
    return encodeThrift(record);
}

Result<PeerFrame> decodePeerFrame(std::string_view bytes)
{
    const auto record = decodeThrift<gen::PeerFrameRecord>(bytes);
    if (!record) {
        return Error {ErrorKind::ProtocolError, "peer frame cannot be decoded"};
    }
    auto message = unpack(*record);
    if (!message) {
        return Error {ErrorKind::ProtocolError, "peer frame contains no known message"};
    }
    return PeerFrame {toUnsigned(record->id), record->answer, std::move(*message)};
}

} // namespace endivespan
