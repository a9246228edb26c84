#pragma once

#include <endivespan/loop.h>

#include <fmt/format.h>

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>

/// Structured logging of key=value pairs, one line for each event. The amount of output is limited, and writing never
/// blocks.
namespace endivespan {

/// Priority of a log line when not all lines can be written.
enum class LogRank {
    Routine, ///< Rate-limited for each event name and second; suppressed lines are counted.
    Failure, ///< Dropped only when the buffer is full.
};

/// One log line being built; appended to the log when it goes out of scope.
class LogLine;

/// Buffers log lines and writes them to a descriptor without blocking. When the reader of the descriptor stops, lines
/// are dropped but callers are not delayed.
class EventLog
{
public:
    /// @param host Name of this host, part of every line.
    /// @param descriptor Receives the lines; set to non-blocking while the log exists.
    EventLog(Loop &loop, std::string host, int descriptor);
    ~EventLog();
    EventLog(const EventLog &) = delete;
    EventLog &operator=(const EventLog &) = delete;

    /// Starts a line.
    /// @param event Name of the event, in lower case with underscores.
    LogLine line(std::string_view event, LogRank rank = LogRank::Routine);

    /// @returns the number of lines suppressed so far.
    [[nodiscard]] std::uint64_t suppressed() const;

    /// Writes as much as the descriptor accepts without blocking.
    void flush();

private:
    friend class LogLine;
    bool admit(std::string_view event, LogRank rank);
    void append(std::string_view line);
    void reportSuppressed();

    struct Bound {
        std::int64_t second = 0;
        std::uint32_t lines = 0;
        std::uint64_t suppressed = 0;
    };

    Loop &loop;
    std::string host;
    int descriptor;
    int oldFlags;
    std::string buffer;
    std::map<std::string, Bound, std::less<>> bounds;
    std::uint64_t suppressedLines = 0;
    std::unique_ptr<Timer> flushTimer;
};

/// Adds fields to one line, which is appended to the log on destruction.
class LogLine
{
public:
    LogLine(EventLog *log, std::string start)
        : log(log)
        , text(std::move(start))
    {
    }
    ~LogLine();
    LogLine(const LogLine &) = delete;
    LogLine &operator=(const LogLine &) = delete;

    /// Adds a field; values that contain blanks, quotes, line ends or '=' are quoted.
    LogLine &with(std::string_view key, std::string_view value);
    LogLine &with(std::string_view key, std::uint64_t value);

    /// Adds a duration in milliseconds.
    LogLine &with(std::string_view key, Duration value);

private:
    EventLog *log; ///< Null when the line is suppressed.
    std::string text;
};

} // namespace endivespan
