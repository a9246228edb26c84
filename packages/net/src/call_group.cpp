#include <endivespan/call_group.h>

#include <utility>

namespace endivespan {

CallGroup::CallGroup(Loop &loop)
    : loop(loop)
{
}

void CallGroup::start(
    const HttpCall &call,
    const std::function<void(const std::optional<HttpAnswer> &, const std::optional<HttpFailure> &)> &done)
{
    const std::uint64_t id = this->nextId++;
    HttpCallbacks callbacks;
    // The extracted entry keeps the call alive while its callback runs.
    callbacks.onDone = [this, id, done](const HttpAnswer &answer) {
        const auto finished = this->calls.extract(id);
        done(answer, std::nullopt);
    };
    callbacks.onFailure = [this, id, done](const HttpFailure &failure) {
        const auto finished = this->calls.extract(id);
        done(std::nullopt, failure);
    };
    this->calls[id] = startHttpCall(this->loop, call, std::move(callbacks));
}

} // namespace endivespan
