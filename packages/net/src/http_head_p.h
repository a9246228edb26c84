#pragma once

#include <cstddef>
#include <optional>
#include <string_view>

/// Checks of messages that go beyond those of the parsers.
namespace endivespan {

/// What the status of an answer says of the answer.
enum class StatusMeaning {
    Interim, ///< 1xx except 101: the answer to the request follows.
    Final, ///< 200 to 599.
    Invalid, ///< No server may send it; 101 only answers requests for another protocol, which no client here sends.
};

StatusMeaning meaningOf(int status);

constexpr std::size_t StatusLineBytes = 13; ///< Bytes of a status line up to the one that follows the status.

/// Checks that the status of an answer consists of exactly three digits.
/// @param bytes The first bytes of the answer, at least StatusLineBytes.
bool hasThreeDigitStatus(std::string_view bytes);

/// @returns how many of the bytes written to a connected socket the peer has not acknowledged, or 0 if this is unknown.
std::size_t unacknowledgedBytes(int socket);

/// Checks a request head for bytes that HTTP parsers interpret differently: a CR or LF on its own, NUL, folded lines.
/// @param bytes The part of the head received so far, starting with the request line.
/// @returns a description of the problem, or nothing.
std::optional<std::string_view> headBytesProblem(std::string_view bytes);

} // namespace endivespan
