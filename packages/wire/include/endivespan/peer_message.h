#pragma once

#include <endivespan/credit.h>
#include <endivespan/error.h>
#include <endivespan/gossip.h>
#include <endivespan/relay.h>
#include <endivespan/suspect.h>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

/// Messages between the hosts of the system, and their encoding.
namespace endivespan {

/// Handshake: the first message that each side sends on a connection.
struct PeerHello {
    std::int32_t protocol = 0;
    std::string host;
    std::uint64_t incarnation = 0;

    bool operator==(const PeerHello &) const = default;
};

/// Requests credits from the owner of a cold backend server.
struct CreditAsk {
    std::string server;
    std::uint64_t requestId = 0;
    std::uint32_t wanted = 0;

    bool operator==(const CreditAsk &) const = default;
};

/// Answers a CreditAsk.
struct CreditReply {
    std::string server;
    std::uint64_t requestId = 0;
    std::uint64_t fence = 0;
    std::uint64_t firstId = 0;
    std::uint32_t count = 0;
    std::optional<std::string> warmIncarnation;
    std::uint64_t warmEpoch = 0;

    bool operator==(const CreditReply &) const = default;
};

/// Returns one credit to the owner; answered by PeerAck.
struct CreditBack {
    std::string server;
    std::uint64_t fence = 0;
    std::uint64_t id = 0;
    CreditOutcome outcome = CreditOutcome::Unused;

    bool operator==(const CreditBack &) const = default;
};

/// Requests a permit to run a suspect from the owner of the suspects.
struct SuspectAsk {
    std::uint64_t requestId = 0;
    Fingerprint fingerprint;
    std::string server;

    bool operator==(const SuspectAsk &) const = default;
};

/// Answers a SuspectAsk.
struct SuspectReply {
    std::uint64_t requestId = 0;
    bool granted = false;
    std::uint64_t fence = 0;
    std::uint64_t id = 0;

    bool operator==(const SuspectReply &) const = default;
};

/// Returns a permit to the owner; answered by PeerAck.
struct SuspectBack {
    std::uint64_t fence = 0;
    std::uint64_t id = 0;

    bool operator==(const SuspectBack &) const = default;
};

/// Requests the configuration of a peer that holds a newer one than up to the offset; with 0 in any case.
struct ConfigAsk {
    std::uint64_t heldOffset = 0;

    bool operator==(const ConfigAsk &) const = default;
};

/// Answers a ConfigAsk. The state is empty when the peer holds nothing newer.
struct ConfigReply {
    std::uint64_t offset = 0;
    std::string state; ///< Encoded by encodeConfigState().

    bool operator==(const ConfigReply &) const = default;
};

/// Acknowledges a message.
struct PeerAck {
    bool operator==(const PeerAck &) const = default;
};

using PeerMessage = std::variant<PeerHello,
                                 GossipMessage,
                                 CreditAsk,
                                 CreditReply,
                                 CreditBack,
                                 SuspectAsk,
                                 SuspectReply,
                                 SuspectBack,
                                 ConfigAsk,
                                 ConfigReply,
                                 RelayAsk,
                                 RelayReply,
                                 PeerAck>;

/// One message on a connection.
struct PeerFrame {
    std::uint64_t id = 0; ///< Chosen by the sender of the request, repeated in the answer.
    bool answer = false;
    PeerMessage message;
};

/// @returns the encoding of @p frame, without the length prefix.
std::string encodePeerFrame(const PeerFrame &frame);

/// @returns the decoded frame, or ProtocolError.
Result<PeerFrame> decodePeerFrame(std::string_view bytes);

} // namespace endivespan
