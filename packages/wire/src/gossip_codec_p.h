#pragma once

#include "peer_types.h"

#include <endivespan/gossip.h>

#include <optional>
#include <string>

/// Gossip messages as generated records, for the codec of peer messages.
namespace endivespan {

gen::GossipRecord packGossip(const GossipMessage &message);

/// @returns the message, or nothing when a field is out of range.
std::optional<GossipMessage> unpackGossip(const gen::GossipRecord &record);

gen::ConfigStatementRecord packStatement(const ConfigStatement &statement);
ConfigStatement unpackStatement(const gen::ConfigStatementRecord &record);

std::string packFingerprint(const Fingerprint &fingerprint);

/// @returns the fingerprint, or nothing for bytes of another size.
std::optional<Fingerprint> unpackFingerprint(const std::string &bytes);

} // namespace endivespan
