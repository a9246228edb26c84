#pragma once

#include <endivespan/config_fold.h>
#include <endivespan/error.h>

#include <string>
#include <string_view>
#include <vector>

/// Bytes of the stream "config" and of the state that hosts hand each other: Thrift's compact protocol.
namespace endivespan {

/// Name of the stream that carries release notes and snapshots.
inline constexpr std::string_view ConfigStream = "config";

/// How much of a snapshot a reader needs.
enum class SnapshotUse {
    Head, ///< Everything but the entries and outcomes.
    Whole,
};

/// @returns the bytes to append for @p record.
std::string encodeConfigRecord(const ConfigRecord &record);

/// @returns the record written as @p bytes, or ProtocolError.
Result<ConfigRecord> decodeConfigRecord(std::string_view bytes, SnapshotUse use);

/// @returns the bytes of a whole state.
std::string encodeConfigState(const std::vector<SnapshotPart> &parts);

/// @returns the parts written as @p bytes, or ProtocolError.
Result<std::vector<SnapshotPart>> decodeConfigState(std::string_view bytes);

} // namespace endivespan
