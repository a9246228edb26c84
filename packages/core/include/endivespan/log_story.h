#pragma once

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

/// Reads the structured lines of many hosts and tells what became of one request, and why.
namespace endivespan {

/// One structured line.
struct LogEntry {
    double at = 0; ///< Unix time in seconds.
    std::string host;
    std::string event;
    std::map<std::string, std::string> fields; ///< All but these three.
    std::string text; ///< The line without anything before it.

    /// @returns a field, or nothing in its place.
    [[nodiscard]] std::string field(const std::string &name) const;
};

/// @returns the entry of a line, which may have other text before it, or nothing when it is no structured line.
std::optional<LogEntry> parseLogLine(std::string_view line);

/// Lines of any number of hosts.
class LogBook
{
public:
    /// Takes a line. Others than structured ones are passed over.
    void add(std::string_view line);

    /// Puts the lines in order of time. Call it once, after the last add().
    void finish();

    /// @returns the lines that name @p request, in order of time.
    [[nodiscard]] std::vector<const LogEntry *> story(const std::string &request) const;

    /// @returns the first cause of what became of @p request in one sentence, as far as the lines show it; nothing when
    ///     no line names it.
    [[nodiscard]] std::optional<std::string> cause(const std::string &request) const;

    [[nodiscard]] std::size_t size() const;

private:
    /// Lines from @p before seconds before @p entry until @p after seconds later.
    [[nodiscard]] std::vector<const LogEntry *> around(const LogEntry &entry, double before, double after) const;
    [[nodiscard]] std::string causeOfStale(const LogEntry &last) const;
    [[nodiscard]] std::string causeOfRefusal(const LogEntry &last) const;
    [[nodiscard]] std::string causeOfFailure(const LogEntry &last, const std::string &server) const;
    [[nodiscard]] std::optional<std::string> pauseOf(const LogEntry &last) const;

    std::vector<LogEntry> entries;
};

} // namespace endivespan
