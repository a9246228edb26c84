#pragma once

#include <endivespan/config_fold.h>
#include <endivespan/error.h>

#include <string>
#include <string_view>
#include <vector>

/// Encoding of the records of the stream "config" and of the configuration that hosts send each other: Thrift's compact
/// protocol.
namespace endivespan {

/// Name of the stream that contains release notes and snapshots.
inline constexpr std::string_view ConfigStream = "config";

/// How much of a snapshot to decode.
enum class SnapshotUse {
    Head, ///< Everything except the entries and outcomes.
    Whole,
};

/// @returns @p record encoded for appending to the log.
std::string encodeConfigRecord(const ConfigRecord &record);

/// @returns the decoded record, or ProtocolError.
Result<ConfigRecord> decodeConfigRecord(std::string_view bytes, SnapshotUse use);

/// @returns the encoding of a complete configuration, given all parts of its snapshot.
std::string encodeConfigState(const std::vector<SnapshotPart> &parts);

/// @returns the decoded parts of the snapshot, or ProtocolError.
Result<std::vector<SnapshotPart>> decodeConfigState(std::string_view bytes);

} // namespace endivespan
