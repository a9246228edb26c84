#pragma once

#include <endivespan/error.h>
#include <endivespan/log_position.h>

#include <chrono>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

/// Client interface of a log service with two kinds of topics: keyed topics, which keep the newest record of each key,
/// and plain topics. Both support conditional appends. All offsets are positions, see log_position.h, since the
/// service may be restored from a copy that lacks the latest records.
namespace endivespan {

/// One record of a keyed topic.
struct KeyedRecord {
    std::string key;
    std::optional<std::string> value; ///< Unset when the key was deleted.
};

/// Result of a read.
struct KeyedBatch {
    std::vector<KeyedRecord> records;
    std::uint64_t next = 0; ///< Position to read from next.
    std::uint64_t end = 0; ///< End of the topic when the service answered.
    bool gap = false; ///< Requested records have expired or were lost in a restore: call newest() instead.
};

/// Result of a conditional append.
struct ConditionalAppend {
    bool applied = false; ///< False also when the service has been restored since the position was read.
    std::uint64_t offset = 0; ///< Position of the record; when not applied, the end of the topic.
};

/// Client for the log service. Each call invokes its callback exactly once, unless the client is destroyed first.
/// LogUnavailable means that the operation was certainly not executed, OutcomeUnknown that it may have been.
class KeyedLog
{
public:
    virtual ~KeyedLog() = default;

    /// Reads the newest record of each key.
    virtual void newest(const std::string &topic, std::function<void(Result<KeyedBatch>)> done) = 0;

    /// @returns the era of the latest answer; 0 before the first one.
    [[nodiscard]] virtual std::uint64_t era() const = 0;

    /// Reads the records from position @p from onwards.
    /// @param wait Long-poll time: how long the service may delay its answer while there are no records.
    virtual void read(const std::string &topic,
                      std::uint64_t from,
                      std::chrono::milliseconds wait,
                      std::function<void(Result<KeyedBatch>)> done)
        = 0;

    /// Sets the newest record of @p key, or deletes the key when @p value is empty.
    virtual void put(const std::string &topic,
                     const std::string &key,
                     const std::string &value,
                     std::function<void(Result<void>)> done)
        = 0;

    /// The same as put(), provided that the topic ends at position @p at.
    virtual void putAt(const std::string &topic,
                       std::uint64_t at,
                       const std::string &key,
                       const std::string &value,
                       std::function<void(Result<ConditionalAppend>)> done)
        = 0;

    /// Reads the last record of a plain topic.
    /// @param done Receives the record, with the end of the topic as next; no record when the topic is empty or its
    ///     records have expired.
    virtual void last(const std::string &topic, std::uint64_t from, std::function<void(Result<KeyedBatch>)> done) = 0;

    /// Appends to a plain topic, provided that the topic ends at position @p at.
    virtual void appendAt(const std::string &topic,
                          std::uint64_t at,
                          const std::string &value,
                          std::function<void(Result<ConditionalAppend>)> done)
        = 0;
};

} // namespace endivespan
