#include "command.h"

#include <endivespan/names.h>

namespace endivespan::cli {

Result<HttpAnswer> get(const std::string &address, const std::string &target)
{
    Loop loop;
    HttpCall call;
    call.address = address;
    call.target = target;
    Result<HttpAnswer> result = Error {ErrorKind::Timeout, "no answer"};
    HttpCallbacks callbacks;
    callbacks.onDone = [&loop, &result](const HttpAnswer &answer) {
        result = answer;
        loop.stop();
    };
    callbacks.onFailure = [&loop, &result](const HttpFailure &failure) {
        result = failure.error;
        loop.stop();
    };
    const auto pending = startHttpCall(loop, call, std::move(callbacks));
    loop.run();
    return result;
}

std::string addressProblem(const std::string &text)
{
    return isAddress(text) ? "" : "'" + text + "' is not an address such as 10.0.0.1:8080";
}

} // namespace endivespan::cli
