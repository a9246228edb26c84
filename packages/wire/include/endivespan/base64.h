#pragma once

#include <endivespan/error.h>

#include <string>
#include <string_view>

/// Base64 encoding, which the log service uses for the bytes of records.
namespace endivespan {

/// @returns @p bytes encoded as base64 with padding.
std::string toBase64(std::string_view bytes);

/// @returns the bytes that @p text encodes, or ProtocolError when it is not valid base64.
Result<std::string> fromBase64(std::string_view text);

} // namespace endivespan
