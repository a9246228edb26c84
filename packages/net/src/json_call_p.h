#pragma once

#include <endivespan/call_group.h>

#include <nlohmann/json.hpp>

/// Short calls with a JSON object as answer.
namespace endivespan {

/// Asks for a JSON object.
/// @param done Gets the object; NotFound for 404, BackendFailed for any other status than 2xx, or ProtocolError.
void askJson(CallGroup &calls,
             const std::string &address,
             const std::string &method,
             const std::string &target,
             const nlohmann::json &body,
             std::function<void(const Result<nlohmann::json> &)> done);

/// Passes on what @p parse makes of a JSON object; an exception of the parser becomes ProtocolError.
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

/// Passes on whether a call succeeded.
inline void passVoid(const Result<nlohmann::json> &body, const std::function<void(Result<void>)> &done)
{
    if (body) {
        done(boost::outcome_v2::success());
    } else {
        done(body.error());
    }
}

} // namespace endivespan
