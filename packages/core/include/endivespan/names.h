#pragma once

#include <string_view>

/// The form of names and addresses in settings and release notes.
namespace endivespan {

/// @returns true for 1 to 64 letters, digits, '.', '_' and '-', the first one a letter or a digit.
bool isName(std::string_view text);

/// @returns true for "a.b.c.d:port" with each number in range.
/// @param allowPortZero Whether port 0 may be written to take a free one.
bool isAddress(std::string_view text, bool allowPortZero = false);

/// @returns true for 64 lower-case hexadecimal digits.
bool isSha256Hex(std::string_view text);

} // namespace endivespan
