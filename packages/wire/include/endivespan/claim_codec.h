#pragma once

#include <endivespan/claim.h>

#include <string>
#include <string_view>
#include <utility>

/// Encoding of the records of the claim streams: Thrift's compact protocol inside the record envelope.
namespace endivespan {

/// Encodes a record for appending to the log.
/// @param recordId Writer and sequence number of the record.
/// @param record The record; monostate is encoded with a kind that no reader recognises.
std::string encodeClaimRecord(const AttemptId &recordId, const ClaimRecord &record);

/// Decodes a record.
/// @returns the writer and sequence number, and the record; the record is monostate when it cannot be decoded or its
/// kind
///     is unknown.
std::pair<AttemptId, ClaimRecord> decodeClaimRecord(std::string_view bytes);

} // namespace endivespan
