#pragma once

#include <optional>
#include <string_view>

/// Checks that a request head leaves no room for two readings, beyond what the parser checks.
namespace endivespan {

/// Looks for bytes that some parsers accept and others do not: bare line ends, NUL, folded lines.
/// @param bytes The head as far as it has come, from the request line on.
/// @returns what is wrong, or nothing.
std::optional<std::string_view> headBytesProblem(std::string_view bytes);

} // namespace endivespan
