#pragma once

#include <string_view>

/// Syntax checks of names, addresses and digests in settings and release notes.
namespace endivespan {

/// @returns true for 1 to 64 ASCII letters, digits, '.', '_' and '-', of which the first is a letter or a digit.
bool isName(std::string_view text);

/// @returns true for an IPv4 address and port such as "10.0.0.1:8080", with each number in range.
/// @param allowPortZero Whether port 0 is valid, which stands for any free port.
bool isAddress(std::string_view text, bool allowPortZero = false);

/// @returns true for 64 lower-case hexadecimal digits.
bool isSha256Hex(std::string_view text);

} // namespace endivespan
