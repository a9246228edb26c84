#pragma once

#include <endivespan/http_client.h>

#include <map>
#include <optional>

/// Keeps short calls alive until they are answered.
namespace endivespan {

/// Owns calls under way; destroying the group drops them without a report.
class CallGroup
{
public:
    explicit CallGroup(Loop &loop);

    /// Starts a call whose whole answer or failure goes to @p done; exactly one of the two is set.
    void start(const HttpCall &call,
               const std::function<void(const std::optional<HttpAnswer> &, const std::optional<HttpFailure> &)> &done);

private:
    Loop &loop;
    std::uint64_t nextId = 0;
    std::map<std::uint64_t, std::unique_ptr<HttpPending>> calls;
};

} // namespace endivespan
