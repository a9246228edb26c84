#pragma once

#include <endivespan/error.h>

#include <string>
#include <string_view>

/// Base64 as used by the log service for record bytes.
namespace endivespan {

/// @returns @p bytes in base64 with padding.
std::string toBase64(std::string_view bytes);

/// @returns the bytes written as @p text, or ProtocolError.
Result<std::string> fromBase64(std::string_view text);

} // namespace endivespan
