#pragma once

#include <optional>
#include <string>
#include <string_view>

/// Text helpers.
namespace endivespan {

/// @returns @p text with the letters A to Z in lower case; other bytes stay.
std::string lowerCase(std::string_view text);

/// @returns the content of a file, or nothing when it cannot be opened.
std::optional<std::string> readFile(const std::string &path);

} // namespace endivespan
