#include "json_call_p.h"

#include <endivespan/config.h>

#include <utility>

namespace endivespan {

namespace {

using nlohmann::json;

Result<json> readObject(const HttpAnswer &answer)
{
    if (answer.status / 100 != 2) {
        const ErrorKind kind = answer.status == 404 ? ErrorKind::NotFound : ErrorKind::BackendFailed;
        return Error {kind, "unexpected HTTP status " + std::to_string(answer.status)};
    }
    json fields = json::parse(answer.body, nullptr, false);
    if (!fields.is_object()) {
        return Error {ErrorKind::ProtocolError, "answer is not a JSON object"};
    }
    return fields;
}

} // namespace

void askJson(CallGroup &calls,
             const std::string &address,
             const std::string &method,
             const std::string &target,
             const json &body,
             std::function<void(const Result<json> &)> done)
{
    HttpCall call;
    call.address = address;
    call.method = method;
    call.target = target;
    call.body = body.is_null() ? "" : body.dump();
    call.connectTimeout = config::ConnectTimeout;
    call.silenceTimeout = config::StreamSilenceTimeout;
    calls.start(call, [done = std::move(done)](const auto &answer, const auto &failure) {
        if (failure) {
            done(failure->error);
        } else {
            done(readObject(*answer));
        }
    });
}

} // namespace endivespan
