#include "service_request.h"

#include <endivespan/config.h>

#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <charconv>
#include <string_view>

namespace endivespan {

namespace {

constexpr std::string_view ServicesPrefix = "/services/";
constexpr std::string_view KeyHeader = "idempotency-key";
constexpr std::string_view DeadlineHeader = "x-endivespan-deadline-ms";
constexpr std::int64_t MaxDeadlineMs = 600'000;
constexpr int ServiceUnavailable = 503;

// Headers that are not forwarded: they concern a single connection, or are set by this system.
constexpr std::array<std::string_view, 16> OwnHeaders {"authorization",
                                                       "connection",
                                                       "content-length",
                                                       "expect",
                                                       "host",
                                                       "idempotency-key",
                                                       "keep-alive",
                                                       "proxy-authorization",
                                                       "proxy-connection",
                                                       "te",
                                                       "trailer",
                                                       "transfer-encoding",
                                                       "upgrade",
                                                       "x-endivespan-deadline-ms",
                                                       "x-organisation",
                                                       "date"};

constexpr std::array<std::string_view, 6> Methods {"GET", "HEAD", "POST", "PUT", "DELETE", "PATCH"};

HttpHeaders passedHeaders(const HttpHeaders &headers)
{
    HttpHeaders passed;
    for (const auto &[name, value] : headers) {
        const bool own = std::find(OwnHeaders.begin(), OwnHeaders.end(), name) != OwnHeaders.end();
        if (!own && passed.size() < config::MaxServiceHeaders) {
            passed[name] = value;
        }
    }
    return passed;
}

bool isPrintable(std::string_view text)
{
    return std::all_of(text.begin(), text.end(), [](char letter) { return letter > ' ' && letter < '\x7f'; });
}

Result<std::string> readKey(const HttpHeaders &headers)
{
    const auto found = headers.find(std::string(KeyHeader));
    if (found == headers.end()) {
        return std::string();
    }
    const std::string &key = found->second;
    if (key.empty() || key.size() > config::MaxIdempotencyKeyBytes || !isPrintable(key)) {
        return Error {ErrorKind::BadRequest, "Idempotency-Key must be 1 to 255 printable characters"};
    }
    return key;
}

Result<std::chrono::milliseconds> readDeadline(const HttpHeaders &headers, std::chrono::milliseconds otherwise)
{
    const auto found = headers.find(std::string(DeadlineHeader));
    if (found == headers.end()) {
        return otherwise;
    }
    const std::string &text = found->second;
    std::int64_t value = 0;
    const auto [end, problem] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (problem != std::errc() || end != text.data() + text.size() || value < 1 || value > MaxDeadlineMs) {
        return Error {ErrorKind::BadRequest, "X-Endivespan-Deadline-Ms must be a number from 1 to 600000"};
    }
    return std::chrono::milliseconds(value);
}

} // namespace

Result<ServiceRequest> parseServiceRequest(const HttpRequest &request, std::chrono::milliseconds defaultDeadline)
{
    if (std::find(Methods.begin(), Methods.end(), request.method) == Methods.end()) {
        return Error {ErrorKind::MethodNotAllowed, "use GET, HEAD, POST, PUT, DELETE or PATCH"};
    }
    // The target is forwarded unchanged, so only a form that the backend server cannot interpret differently is
    // accepted.
    if (!request.target.starts_with(ServicesPrefix) || !isPrintable(request.target)) {
        return Error {ErrorKind::BadRequest, "the path must have the form /services/NAME/PATH"};
    }
    const std::string rest = request.target.substr(ServicesPrefix.size());
    const std::size_t nameEnd = std::min(rest.find_first_of("/?"), rest.size());
    ServiceRequest call;
    call.service = rest.substr(0, nameEnd);
    call.target = rest.substr(nameEnd);
    if (!call.target.starts_with('/')) {
        call.target.insert(0, 1, '/');
    }
    call.path = call.target.substr(0, call.target.find('?'));
    call.method = request.method;
    call.headers = passedHeaders(request.headers);
    call.body = request.body;
    auto key = readKey(request.headers);
    if (!key) {
        return key.error();
    }
    call.key = std::move(key.value());
    const auto deadline = readDeadline(request.headers, defaultDeadline);
    if (!deadline) {
        return deadline.error();
    }
    call.deadline = deadline.value();
    return call;
}

bool isIdempotent(const PlainService &service, const ServiceRequest &request)
{
    if (request.method == "GET" || request.method == "HEAD") {
        return true;
    }
    return request.method == "POST" && service.idempotentPaths.contains(request.path);
}

HttpCall serviceCall(const ServiceRequest &request, const std::string &organisation, const std::string &address)
{
    HttpCall call;
    call.address = address;
    call.method = request.method;
    call.target = request.target;
    call.headers = request.headers;
    call.headers["x-organisation"] = organisation;
    if (!request.key.empty()) {
        call.headers[std::string(KeyHeader)] = request.key;
    }
    call.body = request.body;
    call.connectTimeout = config::ConnectTimeout;
    return call;
}

HttpHeaders passedAnswerHeaders(const HttpHeaders &headers)
{
    return passedHeaders(headers);
}

bool saysNotRun(const HttpAnswer &answer)
{
    if (answer.status != ServiceUnavailable) {
        return false;
    }
    const auto body = nlohmann::json::parse(answer.body, nullptr, false);
    return body.is_object() && body.contains("ran") && body["ran"] == false;
}

} // namespace endivespan
