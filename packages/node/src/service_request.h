#pragma once

#include <endivespan/error.h>
#include <endivespan/fleet.h>
#include <endivespan/http_client.h>
#include <endivespan/http_server.h>

#include <chrono>
#include <string>

/// Requests to plain services: parsing them, and building the calls to backend servers.
namespace endivespan {

/// A parsed and validated call of a plain service.
struct ServiceRequest {
    std::string service;
    std::string method;
    std::string target; ///< Path and query below the service name, still percent-encoded.
    std::string path; ///< The target without the query.
    HttpHeaders headers; ///< Headers to forward to the backend server.
    std::string body;
    std::string key; ///< Idempotency key; empty when the caller sent none.
    std::chrono::milliseconds deadline {0};
};

/// @param defaultDeadline Used when the request has no deadline header.
/// @returns the call, or BadRequest, or MethodNotAllowed.
Result<ServiceRequest> parseServiceRequest(const HttpRequest &request, std::chrono::milliseconds defaultDeadline);

/// @returns true when the call may run more than once. Paths are compared literally: one that is spelled differently
/// from the configured idempotent path is not idempotent.
bool isIdempotent(const PlainService &service, const ServiceRequest &request);

/// @returns the HTTP call to send to the backend server at @p address.
HttpCall serviceCall(const ServiceRequest &request, const std::string &organisation, const std::string &address);

/// @returns the headers of a backend server's answer that are forwarded to the caller.
HttpHeaders passedAnswerHeaders(const HttpHeaders &headers);

/// @returns true when the backend server states in its answer that it refused the request without running it.
bool saysNotRun(const HttpAnswer &answer);

} // namespace endivespan
