#pragma once

#include <endivespan/clock.h>

#include <cstdint>
#include <string>
#include <vector>

/// Records of the platform's log, in the form in which the folds receive them.
namespace endivespan {

/// One record of one stream.
struct LogRecord {
    std::uint64_t offset = 0; ///< Position in the stream, from 0 and without gaps.
    LogTime at; ///< Time stamp of the log service; never decreases within a stream.
    std::string bytes;
};

/// Result of one read of a stream.
struct LogBatch {
    std::vector<LogRecord> records;
    std::uint64_t next = 0; ///< Offset to read from next.
    std::uint64_t end = 0; ///< Offset that the next appended record receives, at the time of the read.
    std::uint64_t oldest = 0; ///< Offset of the oldest record still kept.
    bool trimmed = false; ///< True when the log has dropped the requested offset; there are no records then.
};

} // namespace endivespan
