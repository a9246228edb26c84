#pragma once

#include <endivespan/crash_watch.h>
#include <endivespan/http_client.h>
#include <endivespan/http_server.h>
#include <endivespan/server_table.h>

#include <chrono>
#include <string_view>

/// Helpers of the sources of ForwardRun, mostly on what the answer or the failure of an attempt says.
namespace endivespan {

constexpr int StatusOk = 200;
constexpr int StatusMultiple = 300;
constexpr int StatusServerError = 500;
constexpr std::string_view FramedByClose = "close";

inline bool isSuccess(int status)
{
    return status >= StatusOk && status < StatusMultiple;
}

inline std::chrono::milliseconds toMilliseconds(Duration time)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(time);
}

/// @returns what marks the end of an answer's body: its length, its last chunk or the end of its connection.
inline std::string_view framingOf(const HttpHeaders &fields)
{
    if (fields.contains("transfer-encoding")) {
        return "chunked";
    }
    return fields.contains("content-length") ? "length" : FramedByClose;
}

/// @returns what the failure of a call that was sent says of its server. Nothing tells a silent link from a crash.
inline LossKind lossOf(const HttpFailure &failure)
{
    return failure.error.kind == ErrorKind::Timeout ? LossKind::Silent : LossKind::Broken;
}

inline AttemptOutcome attemptOutcomeOf(const HttpFailure &failure)
{
    const bool isCut = failure.error.kind == ErrorKind::StreamCut || failure.error.kind == ErrorKind::Timeout;
    return isCut ? AttemptOutcome::Unreachable : AttemptOutcome::Failed;
}

} // namespace endivespan
