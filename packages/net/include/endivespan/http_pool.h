#pragma once

#include <endivespan/http_body.h>
#include <endivespan/http_client.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

/// HTTP/1.1 client with persistent connections and streamed answers, based on libevent's bufferevents and the parser of
/// Boost.Beast.
namespace endivespan {

/// Parameters of one call, which uses an idle connection of the pool or a new one.
struct PooledCall {
    std::string address; ///< "a.b.c.d:port".
    std::string method = "GET";
    std::string target; ///< Path and query, sent unchanged.
    HttpHeaders headers; ///< Must not contain Content-Length or Transfer-Encoding; Host defaults to the address.
    HttpBody body;
    std::chrono::milliseconds connectTimeout {500};
    /// Returns whether an answer belongs to this call; other answers are discarded. When unset, every answer is
    /// accepted.
    std::function<bool(int status, const HttpHeaders &headers)> belongs;
};

/// Callbacks of one call. onDone or onFailure is called exactly once, unless the call is cancelled first. The kind of a
/// failure is ConnectionFailed, StreamCut when the server closed or reset the connection, Timeout when the link or the
/// server acknowledged nothing, or ProtocolError.
struct PooledCallbacks {
    std::function<void(int status, const HttpHeaders &headers)> onHead;
    std::function<void(std::string_view bytes)> onBody;
    std::function<void()> onDone; ///< The answer is complete.
    std::function<void(const HttpFailure &)> onFailure;
    std::function<void()> onSent {}; ///< The whole request was written to the socket; must not cancel the call.
};

/// Counters of one HttpPool.
struct HttpPoolStats {
    std::uint64_t opened = 0; ///< Connections opened.
    std::uint64_t reused = 0; ///< Calls that were sent on an idle connection.
    std::uint64_t strayAnswers = 0; ///< Answers discarded because they belonged to no call.
};

/// Pool of connections to any number of servers.
class HttpPool
{
public:
    virtual ~HttpPool() = default;

    /// Starts a call. Callbacks are never called from inside this function.
    /// @returns the call. Destroying it cancels the call and closes its connection, unless the answer is complete.
    [[nodiscard]] virtual std::unique_ptr<HttpPending> start(PooledCall call, PooledCallbacks callbacks) = 0;

    /// Connects to @p address without sending anything. An established connection is kept for later calls.
    /// @param done Receives whether the connection was established. Never called from inside this function or after the
    ///     pool is destroyed, nor when this host fails to create a socket, since that says nothing about the server.
    virtual void reach(const std::string &address, std::chrono::milliseconds timeout, std::function<void(bool)> done)
        = 0;

    /// Closes the idle connections to @p address.
    virtual void closeIdle(const std::string &address) = 0;

    [[nodiscard]] virtual HttpPoolStats stats() const = 0;

    /// @param idleTime How long an idle connection is kept open. A shorter timeout in the server's Keep-Alive header
    /// takes
    ///     precedence.
    static std::unique_ptr<HttpPool> create(Loop &loop, std::chrono::milliseconds idleTime);
};

} // namespace endivespan
