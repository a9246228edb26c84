#pragma once

#include <endivespan/error.h>
#include <endivespan/log_record.h>
#include <endivespan/loop.h>

#include <functional>
#include <memory>
#include <string>
#include <vector>

/// Client for the platform's log service.
namespace endivespan {

/// Acknowledgement of an append.
struct LogAppendAck {
    std::uint64_t first = 0; ///< Offset of the first record of the append.
    LogTime at;
};

/// Appends to and reads from the streams of the log. The only implementation uses HTTP.
class LogClient
{
public:
    virtual ~LogClient() = default;

    /// Appends @p records atomically.
    /// @param done Receives the acknowledgement, LogUnavailable when the append was certainly not applied, or
    ///     OutcomeUnknown when it may have been.
    virtual void append(const std::string &stream,
                        const std::vector<std::string> &records,
                        std::function<void(Result<LogAppendAck>)> done)
        = 0;

    /// Reads the records from offset @p from onwards.
    /// @param wait Long-poll time: how long the service may delay its answer while there are no records.
    /// @param done Receives the records, or LogUnavailable.
    virtual void read(const std::string &stream,
                      std::uint64_t from,
                      std::size_t maxRecords,
                      std::chrono::milliseconds wait,
                      std::function<void(Result<LogBatch>)> done)
        = 0;

    /// @returns a client for the log service at @p address. Destroying it cancels pending calls without calling back.
    static std::unique_ptr<LogClient> create(Loop &loop, const std::string &address);
};

} // namespace endivespan
