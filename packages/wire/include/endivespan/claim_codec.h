#pragma once

#include <endivespan/claim.h>

#include <string>
#include <string_view>
#include <utility>

/// Bytes of the claim streams: Thrift's compact protocol inside the record envelope.
namespace endivespan {

/// @param written Writer and sequence of the record.
/// @param record The record; monostate is written as one that no reader understands.
/// @returns the bytes to append.
std::string encodeClaimRecord(const AttemptId &written, const ClaimRecord &record);

/// @returns the writer and sequence with the record; monostate for bytes that cannot be read.
std::pair<AttemptId, ClaimRecord> decodeClaimRecord(std::string_view bytes);

} // namespace endivespan
