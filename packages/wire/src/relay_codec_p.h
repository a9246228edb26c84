#pragma once

#include "peer_types.h"

#include <endivespan/relay.h>

#include <optional>

/// Conversion between relay messages and generated Thrift records, for the codec of peer messages.
namespace endivespan {

gen::RelayAskRecord packRelayAsk(const RelayAsk &ask);
RelayAsk unpackRelayAsk(const gen::RelayAskRecord &record);

gen::RelayReplyRecord packRelayReply(const RelayReply &reply);

/// @returns the reply, or nothing when a field is out of range.
std::optional<RelayReply> unpackRelayReply(const gen::RelayReplyRecord &record);

} // namespace endivespan
