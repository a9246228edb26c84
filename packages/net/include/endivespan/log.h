#pragma once

#include <fmt/core.h>

#include <cstdio>
#include <string_view>

/// Log lines on standard error: a fixed prefix for each part, then one short sentence.
namespace endivespan {

/// Writes "part: sentence" as one line.
/// @param part Fixed prefix of the part that speaks.
/// @param format fmt format of the sentence.
template<typename... Args>
void logLine(std::string_view part, fmt::format_string<Args...> format, Args &&...args)
{
    fmt::print(stderr, "{}: {}\n", part, fmt::format(format, std::forward<Args>(args)...));
}

} // namespace endivespan
