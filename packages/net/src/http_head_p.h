#pragma once

#include <optional>
#include <string_view>

/// Checks against request smuggling that go beyond those of the parser.
namespace endivespan {

/// Checks a request head for bytes that HTTP parsers interpret differently: a CR or LF on its own, NUL, folded lines.
/// @param bytes The part of the head received so far, starting with the request line.
/// @returns a description of the problem, or nothing.
std::optional<std::string_view> headBytesProblem(std::string_view bytes);

} // namespace endivespan
