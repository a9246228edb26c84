#pragma once

#include <endivespan/loop.h>

#include <fmt/format.h>

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>

/// Structured log lines on standard output: key=value, one line for each event, bounded and never blocking.
namespace endivespan {

/// How much a line matters when there is room for few.
enum class LogRank {
    Routine, ///< Bounded in number for each event and second; the surplus is counted.
    Failure, ///< Dropped only when the buffer is full.
};

/// One line under construction; written when it goes out of scope.
class LogLine;

/// Owns the buffer between the tasks and standard output. A reader that stops costs lines, never time.
class EventLog
{
public:
    /// @param descriptor Where the lines go; made non-blocking while the log exists.
    EventLog(Loop &loop, std::string host, int descriptor);
    ~EventLog();
    EventLog(const EventLog &) = delete;
    EventLog &operator=(const EventLog &) = delete;

    /// Begins a line.
    /// @param event What happened, in lower case with underscores.
    LogLine line(std::string_view event, LogRank rank = LogRank::Routine);

    /// @returns lines that were left out so far.
    [[nodiscard]] std::uint64_t suppressed() const;

    /// Writes what the descriptor takes now.
    void flush();

private:
    friend class LogLine;
    bool admit(std::string_view event, LogRank rank);
    void take(std::string_view line);
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

/// Adds fields to one line.
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

    /// Adds a field; texts with spaces or quotes are quoted.
    LogLine &with(std::string_view key, std::string_view value);
    LogLine &with(std::string_view key, std::uint64_t value);

    /// Adds a time in milliseconds.
    LogLine &with(std::string_view key, Duration value);

private:
    EventLog *log; ///< Null when the line is left out.
    std::string text;
};

} // namespace endivespan
