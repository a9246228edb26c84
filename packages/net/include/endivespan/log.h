#pragma once

#include <fmt/core.h>

#include <cstdio>
#include <string_view>

/// Log lines on standard error: the name of a component, then one short sentence.
namespace endivespan {

/// Writes "component: sentence" as one line.
/// @param component Name of the component that logs.
/// @param format fmt format string of the sentence.
template<typename... Args>
void logLine(std::string_view component, fmt::format_string<Args...> format, Args &&...args)
{
    fmt::print(stderr, "{}: {}\n", component, fmt::format(format, std::forward<Args>(args)...));
}

} // namespace endivespan
