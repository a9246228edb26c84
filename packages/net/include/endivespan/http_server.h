#pragma once

#include <endivespan/config.h>
#include <endivespan/error.h>
#include <endivespan/loop.h>

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <string_view>

/// HTTP/1.1 server over libevent's bufferevents with Boost.Beast's parser: strict, keeps connections open.
namespace endivespan {

/// Header fields by lower-case name.
using HttpHeaders = std::map<std::string, std::string>;

/// One request as received.
struct HttpRequest {
    std::string method;
    std::string path; ///< Decoded, without the query.
    std::string target; ///< Path and query as received.
    std::map<std::string, std::string> query;
    HttpHeaders headers;
    std::string body;
    std::string peer; ///< IP number of the caller.
};

/// One request and the answer to it. Keep the shared pointer until the answer is complete.
class HttpExchange
{
public:
    virtual ~HttpExchange() = default;

    [[nodiscard]] virtual const HttpRequest &request() const = 0;

    /// Sends a whole answer. Does nothing after the caller has gone.
    virtual void reply(int status, const HttpHeaders &headers, std::string_view body) = 0;

    /// Starts a chunked answer.
    virtual void startStream(int status, const HttpHeaders &headers) = 0;

    /// Sends one chunk of a started answer.
    virtual void sendChunk(std::string_view bytes) = 0;

    /// Completes a started answer.
    virtual void endStream() = 0;

    /// Closes the connection without completing the answer, so that the caller sees it was cut.
    virtual void abort() = 0;

    /// Makes this the last answer of its connection.
    virtual void closeAfterAnswer() = 0;

    /// Sets what is called once when the caller goes before the answer is complete.
    virtual void onClosed(std::function<void()> callback) = 0;

    /// @returns false once the answer is complete or the caller has gone.
    [[nodiscard]] virtual bool isOpen() const = 0;

    /// @returns bytes accepted by sendChunk() that the caller's connection has not taken yet.
    [[nodiscard]] virtual std::size_t backlogBytes() const = 0;
};

using HttpHandler = std::function<void(const std::shared_ptr<HttpExchange> &)>;

/// Bounds that the server puts on its callers.
struct HttpServerLimits {
    std::size_t maxBodyBytes;
    std::size_t maxHeaderBytes;
    std::chrono::milliseconds readTimeout; ///< For the head of a request, and between two parts of its body.
    std::chrono::milliseconds idleTimeout = config::CallerIdleTimeout; ///< Between two requests on a connection.
    std::set<std::string> singleFields {}; ///< Lower-case header fields that may come once only, beside HTTP's own.
};

/// Listens on one address and hands each complete request to a handler.
class HttpServer
{
public:
    virtual ~HttpServer() = default;

    /// @returns the port that is listened on.
    [[nodiscard]] virtual int port() const = 0;

    /// Stops accepting connections; open exchanges go on.
    virtual void stopAccepting() = 0;

    /// Takes new bounds for requests that begin from now on.
    virtual void setLimits(const HttpServerLimits &limits) = 0;

    /// From now on each answer is the last one of its connection.
    virtual void closeAfterAnswers() = 0;

    /// Closes the connections on which no request has begun.
    virtual void closeIdle() = 0;

    /// @returns the connections that callers hold open.
    [[nodiscard]] virtual std::size_t connections() const = 0;

    /// @returns the exchanges whose answer is not complete.
    [[nodiscard]] virtual std::size_t openExchanges() const = 0;

    /// @param loop Runs the callbacks; must outlive the server.
    /// @param address "a.b.c.d:port"; port 0 takes a free one.
    /// @param limits Bounds on callers.
    /// @param handler Called for each complete request.
    /// @returns the server, or ConnectionFailed when the address cannot be bound.
    static Result<std::unique_ptr<HttpServer>>
    listen(Loop &loop, const std::string &address, const HttpServerLimits &limits, HttpHandler handler);
};

/// @returns bounds from config.h.
HttpServerLimits defaultHttpServerLimits();

} // namespace endivespan
