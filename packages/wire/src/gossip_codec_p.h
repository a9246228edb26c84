#pragma once

#include "peer_types.h"

#include <endivespan/gossip.h>

#include <cstdint>
#include <optional>
#include <string>

/// Gossip messages as generated records, for the codec of peer messages.
namespace endivespan {

// Unsigned numbers travel as their bit pattern.
std::int64_t toSigned(std::uint64_t value);
std::uint64_t toUnsigned(std::int64_t value);

/// @returns an age that a peer states; never negative, since that could make old news look fresh.
Duration unpackAge(std::int64_t microseconds);

gen::GossipRecord packGossip(const GossipMessage &message);

/// @returns the message, or nothing when a field is out of range.
std::optional<GossipMessage> unpackGossip(const gen::GossipRecord &record);

gen::ConfigStatementRecord packStatement(const ConfigStatement &statement);
ConfigStatement unpackStatement(const gen::ConfigStatementRecord &record);

std::string packFingerprint(const Fingerprint &fingerprint);

/// @returns the fingerprint, or nothing for bytes of another size.
std::optional<Fingerprint> unpackFingerprint(const std::string &bytes);

} // namespace endivespan
