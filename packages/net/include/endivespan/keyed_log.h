#pragma once

#include <endivespan/error.h>

#include <chrono>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

/// Topics of a log that keep the newest record of each key, and plain topics with conditional appends.
namespace endivespan {

/// One record of a keyed topic.
struct KeyedRecord {
    std::string key;
    std::optional<std::string> value; ///< Nothing: the key is dropped.
};

/// What a read brought.
struct KeyedBatch {
    std::vector<KeyedRecord> records;
    std::uint64_t next = 0; ///< Offset to read from next.
    std::uint64_t end = 0; ///< Of the topic, when the service answered.
    bool gap = false; ///< Records that were asked for are gone: read the newest of each key instead.
};

/// Where a conditional append landed, or that the end was another.
struct ConditionalAppend {
    bool applied = false;
    std::uint64_t offset = 0; ///< Of the record; when not applied, the end.
};

/// Client of the log service. All calls report exactly once, unless the log is destroyed first; LogUnavailable says
/// that certainly nothing was done, OutcomeUnknown that it may have been.
class KeyedLog
{
public:
    virtual ~KeyedLog() = default;

    /// Reads the newest record of each key.
    virtual void newest(const std::string &topic, std::function<void(Result<KeyedBatch>)> done) = 0;

    /// Reads records from offset @p from on.
    /// @param wait How long the service may hold the call while there are none.
    virtual void read(const std::string &topic,
                      std::uint64_t from,
                      std::chrono::milliseconds wait,
                      std::function<void(Result<KeyedBatch>)> done)
        = 0;

    /// Sets the newest record of @p key.
    virtual void put(const std::string &topic,
                     const std::string &key,
                     const std::string &value,
                     std::function<void(Result<void>)> done)
        = 0;

    /// Reads the last record of a plain topic.
    /// @param done Gets it with the end of the topic as next; no record when the topic is empty or its records expired.
    virtual void last(const std::string &topic, std::uint64_t from, std::function<void(Result<KeyedBatch>)> done) = 0;

    /// Appends to a plain topic if it ends at @p at.
    virtual void appendAt(const std::string &topic,
                          std::uint64_t at,
                          const std::string &value,
                          std::function<void(Result<ConditionalAppend>)> done)
        = 0;
};

} // namespace endivespan
