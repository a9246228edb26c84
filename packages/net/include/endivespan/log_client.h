#pragma once

#include <endivespan/error.h>
#include <endivespan/log_record.h>
#include <endivespan/loop.h>

#include <functional>
#include <memory>
#include <string>
#include <vector>

/// Client of the platform's log service.
namespace endivespan {

/// Where an append landed.
struct LogAppendAck {
    std::uint64_t first = 0; ///< Offset of the first record of the append.
    LogTime at;
};

/// Appends to and reads from the streams of the log. One adapter exists: HTTP.
class LogClient
{
public:
    virtual ~LogClient() = default;

    /// Appends @p records as one unit.
    /// @param done Gets the place, LogUnavailable when the append was certainly not applied, or OutcomeUnknown when it
    /// may
    ///     have been.
    virtual void append(const std::string &stream,
                        const std::vector<std::string> &records,
                        std::function<void(Result<LogAppendAck>)> done)
        = 0;

    /// Reads from offset @p from on.
    /// @param wait How long the service may hold the call while there is nothing to return; zero returns at once.
    /// @param done Gets the records, or LogUnavailable.
    virtual void read(const std::string &stream,
                      std::uint64_t from,
                      std::size_t maxRecords,
                      std::chrono::milliseconds wait,
                      std::function<void(Result<LogBatch>)> done)
        = 0;

    /// @returns a client of the log service at @p address. Destroying it drops the calls under way without a report.
    static std::unique_ptr<LogClient> create(Loop &loop, const std::string &address);
};

} // namespace endivespan
