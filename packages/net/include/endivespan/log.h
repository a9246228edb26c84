#pragma once

#include <fmt/core.h>

#include <string_view>

/// Log lines on standard error: the name of a component, then one short sentence.
namespace endivespan {

/// Writes a line to standard error. Never blocks and never throws: while the reader of the lines is gone or too slow,
/// lines are dropped, and their number is written with the next line that can be written.
void writeLogLine(std::string_view line) noexcept;

/// Writes "component: sentence" as one line.
/// @param component Name of the component that logs.
/// @param format fmt format string of the sentence.
template<typename... Args>
void logLine(std::string_view component, fmt::format_string<Args...> format, Args &&...args)
{
    writeLogLine(fmt::format("{}: {}\n", component, fmt::format(format, std::forward<Args>(args)...)));
}

} // namespace endivespan
