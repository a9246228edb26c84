#pragma once

#include <endivespan/http_client.h>

#include <map>
#include <optional>

/// Ownership of HTTP calls until they complete.
namespace endivespan {

/// Owns pending HTTP calls, so that the caller need not keep an HttpPending for each. Destroying the group cancels them
/// without calling back.
class CallGroup
{
public:
    explicit CallGroup(Loop &loop);

    /// Starts a call.
    /// @param done Called once with either the complete answer or the failure; exactly one of the two is set.
    void start(const HttpCall &call,
               const std::function<void(const std::optional<HttpAnswer> &, const std::optional<HttpFailure> &)> &done);

private:
    Loop &loop;
    std::uint64_t nextId = 0;
    std::map<std::uint64_t, std::unique_ptr<HttpPending>> calls;
};

} // namespace endivespan
