#pragma once

#include "peer_types.h"

#include <endivespan/gossip.h>

#include <cstdint>
#include <optional>
#include <string>

/// Conversion between gossip messages and generated Thrift records, for the codec of peer messages.
namespace endivespan {

// Thrift has no unsigned integers; they are encoded as signed integers with the same bit pattern.
std::int64_t toSigned(std::uint64_t value);
std::uint64_t toUnsigned(std::int64_t value);

/// @returns the age received from a peer, but at least zero: with a negative age, old information would appear newer
/// than
///     it is.
Duration unpackAge(std::int64_t microseconds);

gen::GossipRecord packGossip(const GossipMessage &message);

/// @returns the message, or nothing when a field is out of range.
std::optional<GossipMessage> unpackGossip(const gen::GossipRecord &record);

gen::ConfigStatementRecord packStatement(const ConfigStatement &statement);
ConfigStatement unpackStatement(const gen::ConfigStatementRecord &record);

std::string packFingerprint(const Fingerprint &fingerprint);

/// @returns the fingerprint, or nothing when the number of bytes is wrong.
std::optional<Fingerprint> unpackFingerprint(const std::string &bytes);

} // namespace endivespan
