#pragma once

#include <endivespan/lease.h>

#include <optional>
#include <string>
#include <string_view>

/// Bytes of the stream `leases`: Thrift's compact protocol inside the record envelope.
namespace endivespan {

/// @returns the bytes to append.
std::string encodeLeaseRecord(const LeaseRecord &record);

/// @returns the record, or nothing for bytes that cannot be read.
std::optional<LeaseRecord> decodeLeaseRecord(std::string_view bytes);

} // namespace endivespan
