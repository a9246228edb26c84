#pragma once

#include <endivespan/error.h>
#include <endivespan/fleet.h>
#include <endivespan/http_client.h>
#include <endivespan/http_server.h>

#include <chrono>
#include <string>

/// Requests to plain services, as read from a caller and as written for a backend server.
namespace endivespan {

/// One call of a plain service.
struct ServiceRequest {
    std::string service;
    std::string method;
    std::string target; ///< Path and query below the service, still encoded.
    std::string path; ///< The target without its query.
    HttpHeaders headers; ///< To be passed on.
    std::string body;
    std::string key; ///< Idempotency key; empty when the caller sent none.
    std::chrono::milliseconds deadline {0};
};

/// @param defaultDeadline For callers that name none.
/// @returns the call that @p request asks for, or BadRequest, or MethodNotAllowed.
Result<ServiceRequest> parseServiceRequest(const HttpRequest &request, std::chrono::milliseconds defaultDeadline);

/// @returns true when the call may run more than once. A path that is written in any other way than configured may not.
bool isIdempotent(const PlainService &service, const ServiceRequest &request);

/// @returns the call to send to the backend server at @p address.
HttpCall serviceCall(const ServiceRequest &request, const std::string &organisation, const std::string &address);

/// @returns the fields of a backend server's answer that belong to the caller.
HttpHeaders passedAnswerHeaders(const HttpHeaders &headers);

/// @returns true when the backend server says that it refused before any work.
bool saysNotRun(const HttpAnswer &answer);

} // namespace endivespan
