#pragma once

#include <endivespan/error.h>
#include <endivespan/http_server.h>

#include <chrono>
#include <string>

/// HTTP answers that do not depend on the kind of request: errors and JSON bodies.
namespace endivespan {

/// Fields of an error answer that do not come from the Error.
struct ErrorContext {
    std::string host; ///< Name of the host that sends the answer.
    std::string requestId;
    std::chrono::milliseconds retryAfter {0}; ///< Hint for the caller; zero omits it.
};

/// @returns the JSON body of an error answer.
std::string errorBody(const Error &error, const ErrorContext &context);

/// @returns the header fields of an error answer, Retry-After included.
HttpHeaders errorHeaders(const Error &error, const ErrorContext &context);

/// Sends an error answer with the HTTP status that errorAnswer() gives for the kind of @p error.
void replyError(HttpExchange &exchange, const Error &error, const ErrorContext &context);

/// Sends @p body as an application/json answer.
void replyJson(HttpExchange &exchange, int status, const std::string &body);

/// @param random Random number that the jitter is derived from.
/// @returns the Retry-After hint for errors of @p kind, with jitter; zero for kinds where a retry does not help.
std::chrono::milliseconds retryHint(ErrorKind kind, std::uint64_t random);

} // namespace endivespan
