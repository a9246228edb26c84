#pragma once

#include <endivespan/call_group.h>

#include <nlohmann/json.hpp>

/// HTTP calls whose answer is a JSON object.
namespace endivespan {

/// Sends a request and parses the answer as a JSON object.
/// @param done Receives the object, the error of the call, NotFound for status 404, BackendFailed for any other status
///     than 2xx, or ProtocolError when the answer is not a JSON object.
void askJson(CallGroup &calls,
             const std::string &address,
             const std::string &method,
             const std::string &target,
             const nlohmann::json &body,
             std::function<void(const Result<nlohmann::json> &)> done);

/// Passes the result of @p parse for a JSON object to the caller; an exception of the parser becomes ProtocolError.
template<typename Parse, typename Value>
void passParsed(const Result<nlohmann::json> &body, Parse parse, const std::function<void(Result<Value>)> &done)
{
    Result<Value> outcome = Error {ErrorKind::ProtocolError, "unreadable answer"};
    try {
        outcome = body ? Result<Value>(parse(body.value())) : Result<Value>(body.error());
    } catch (const nlohmann::json::exception &problem) {
        outcome = Error {ErrorKind::ProtocolError, problem.what()};
    }
    done(outcome);
}

/// Passes the error of a call, if any, to the caller and drops the object.
inline void passVoid(const Result<nlohmann::json> &body, const std::function<void(Result<void>)> &done)
{
    if (body) {
        done(boost::outcome_v2::success());
    } else {
        done(body.error());
    }
}

} // namespace endivespan
