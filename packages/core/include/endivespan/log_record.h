#pragma once

#include <endivespan/clock.h>

#include <cstdint>
#include <string>
#include <vector>

/// Records of the platform's log as the folds see them.
namespace endivespan {

/// One record of one stream.
struct LogRecord {
    std::uint64_t offset = 0; ///< Position in the stream, from 0 and without gaps.
    LogTime at; ///< Stamped by the log service; never falls within a stream.
    std::string bytes;
};

/// What one read of a stream returned.
struct LogBatch {
    std::vector<LogRecord> records;
    std::uint64_t next = 0; ///< Offset to read from next.
    std::uint64_t end = 0; ///< Offset of the next record to be appended, as known to the service.
    std::uint64_t oldest = 0; ///< Offset of the oldest record still kept.
    bool trimmed = false; ///< True when the wanted offset is past retention; there are no records then.
};

} // namespace endivespan
