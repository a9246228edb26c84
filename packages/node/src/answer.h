#pragma once

#include <endivespan/error.h>
#include <endivespan/http_server.h>

#include <chrono>
#include <string>

/// Answers that are the same for every kind of request.
namespace endivespan {

/// What an error answer says beside the error itself.
struct ErrorContext {
    std::string host; ///< The host that refused.
    std::string requestId;
    std::chrono::milliseconds retryAfter {0}; ///< Zero leaves the hint out.
};

/// @returns the JSON body of an error answer.
std::string errorBody(const Error &error, const ErrorContext &context);

/// @returns the header fields of an error answer, Retry-After included.
HttpHeaders errorHeaders(const Error &error, const ErrorContext &context);

/// Sends an error answer by the table of error kinds.
void replyError(HttpExchange &exchange, const Error &error, const ErrorContext &context);

/// Sends a JSON body.
void replyJson(HttpExchange &exchange, int status, const std::string &body);

/// @param random Any random number.
/// @returns a Retry-After hint for errors of @p kind, with jitter; zero where a retry does not help.
std::chrono::milliseconds retryHint(ErrorKind kind, std::uint64_t random);

} // namespace endivespan
