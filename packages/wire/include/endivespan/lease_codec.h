#pragma once

#include <endivespan/lease.h>

#include <optional>
#include <string>
#include <string_view>

/// Encoding of the records of the stream "leases": Thrift's compact protocol inside the record envelope.
namespace endivespan {

/// @returns the record encoded for appending to the log.
std::string encodeLeaseRecord(const LeaseRecord &record);

/// @returns the decoded record, or nothing when the bytes cannot be decoded.
std::optional<LeaseRecord> decodeLeaseRecord(std::string_view bytes);

} // namespace endivespan
