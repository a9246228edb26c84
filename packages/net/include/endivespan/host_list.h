#pragma once

#include <endivespan/error.h>
#include <endivespan/loop.h>

#include <functional>
#include <memory>
#include <string>
#include <vector>

/// Client for the platform's list of hosts, which may lag behind the actual state.
namespace endivespan {

/// State of one host as the platform reports it.
enum class PlatformState {
    Live,
    Leaving,
    Gone,
};

/// One entry of the host list.
struct PlatformHost {
    std::string name;
    PlatformState state = PlatformState::Live;
};

/// Reads the host list. The only implementation uses HTTP.
class HostListSource
{
public:
    virtual ~HostListSource() = default;

    /// Reads the whole list.
    /// @param done Receives the list, or an error: Timeout, ConnectionFailed or StreamCut of the HTTP call, NotFound or
    ///     BackendFailed for an HTTP error status, or ProtocolError for an unreadable answer.
    virtual void read(std::function<void(Result<std::vector<PlatformHost>>)> done) = 0;

    /// @returns a source that reads from @p address. Destroying it cancels pending calls without calling back.
    static std::unique_ptr<HostListSource> create(Loop &loop, const std::string &address);
};

} // namespace endivespan
