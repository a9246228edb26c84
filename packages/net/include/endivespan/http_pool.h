#pragma once

#include <endivespan/http_client.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

/// HTTP/1.1 client that keeps connections open and streams answers, over libevent's bufferevents with Boost.Beast's
/// parser.
namespace endivespan {

/// One call on a kept or new connection.
struct PooledCall {
    std::string address; ///< "a.b.c.d:port".
    std::string method = "GET";
    std::string target; ///< Path with query, sent as it is.
    HttpHeaders headers; ///< Without framing fields; Host is the address unless given.
    std::string body;
    std::chrono::milliseconds connectTimeout {500};
    /// Tells whether an answer belongs to this call; one that does not is thrown away. Unset: each one does.
    std::function<bool(int status, const HttpHeaders &headers)> belongs;
};

/// What a call reports. onDone or onFailure is called exactly once, unless the call is cancelled first.
struct PooledCallbacks {
    std::function<void(int status, const HttpHeaders &headers)> onHead;
    std::function<void(std::string_view bytes)> onBody;
    std::function<void()> onDone; ///< The answer is whole.
    std::function<void(const HttpFailure &)> onFailure;
    std::function<void()> onSent {}; ///< The whole request has gone out; must not end the call.
};

/// Counters of one HttpPool.
struct HttpPoolStats {
    std::uint64_t opened = 0; ///< Connections.
    std::uint64_t reused = 0;
    std::uint64_t strayAnswers = 0; ///< Answers that belonged to no call.
};

/// Connections to any number of servers.
class HttpPool
{
public:
    virtual ~HttpPool() = default;

    /// Starts a call. The callbacks never run inside this function.
    /// @returns the call; destroying it closes its connection unless the answer is complete.
    [[nodiscard]] virtual std::unique_ptr<HttpPending> start(PooledCall call, PooledCallbacks callbacks) = 0;

    /// Tries to connect to @p address without sending anything. The connection is kept for later calls.
    /// @param done Gets whether something listens there; never called inside this function, after the pool's end, nor
    ///     where this host could make no socket, which says nothing of the server.
    virtual void reach(const std::string &address, std::chrono::milliseconds timeout, std::function<void(bool)> done)
        = 0;

    /// Closes the idle connections to @p address.
    virtual void closeIdle(const std::string &address) = 0;

    [[nodiscard]] virtual HttpPoolStats stats() const = 0;

    /// @param idleTime How long an idle connection is kept, unless its server names a shorter time.
    static std::unique_ptr<HttpPool> create(Loop &loop, std::chrono::milliseconds idleTime);
};

} // namespace endivespan
