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

/// HTTP/1.1 server with persistent connections and strict parsing, based on libevent's bufferevents and the parser of
/// Boost.Beast.
namespace endivespan {

/// Header fields, keyed by lower-case name.
using HttpHeaders = std::map<std::string, std::string>;

/// One request as received.
struct HttpRequest {
    std::string method;
    std::string path; ///< Decoded, without the query.
    std::string target; ///< Path and query as received.
    std::map<std::string, std::string> query;
    HttpHeaders headers;
    std::string body;
    std::string peer; ///< IP address of the caller.
};

/// How a caller's connection was lost.
enum class CallerLoss {
    Disconnected, ///< The caller closed or reset it.
    Stalled, ///< The caller read nothing of its answer for too long.
};

/// One request and its answer. The handler must keep the shared pointer until the answer is complete.
class HttpExchange
{
public:
    virtual ~HttpExchange() = default;

    [[nodiscard]] virtual const HttpRequest &request() const = 0;

    /// Sends a complete answer. Does nothing when the caller has disconnected.
    virtual void reply(int status, const HttpHeaders &headers, std::string_view body) = 0;

    /// Starts a chunked answer.
    virtual void startStream(int status, const HttpHeaders &headers) = 0;

    /// Sends one chunk of an answer that startStream() started.
    virtual void sendChunk(std::string_view bytes) = 0;

    /// Completes an answer that startStream() started.
    virtual void endStream() = 0;

    /// Closes the connection without completing the answer, so that the caller recognises it as truncated.
    virtual void abort() = 0;

    /// Closes the connection after this answer, if its header is yet to be sent, otherwise after the next one.
    virtual void closeAfterAnswer() = 0;

    /// Sets the callback that is called once when the caller's connection is lost before the answer is complete.
    virtual void onClosed(std::function<void(CallerLoss)> callback) = 0;

    /// Sets the callback that is called once when the caller closes its sending direction before the answer is
    /// complete. Whether it still reads shows only after the next bytes of the answer are sent; onClosed is called if
    /// it does not. Without this callback the end of the input counts as the loss of the connection.
    virtual void onInputEnded(std::function<void()> callback) = 0;

    /// @returns false once the answer is complete or the caller has disconnected.
    [[nodiscard]] virtual bool isOpen() const = 0;

    /// @returns the number of bytes queued by sendChunk() and not yet written to the socket.
    [[nodiscard]] virtual std::size_t backlogBytes() const = 0;
};

using HttpHandler = std::function<void(const std::shared_ptr<HttpExchange> &)>;

/// Limits on the requests and connections of callers.
struct HttpServerLimits {
    std::size_t maxBodyBytes;
    std::size_t maxHeaderBytes;
    std::chrono::milliseconds readTimeout; ///< For the whole head of a request, and between two reads of its body.
    std::chrono::milliseconds idleTimeout = config::CallerIdleTimeout; ///< Between two requests on a connection.
    std::set<std::string> singleFields {}; ///< Lower-case names of header fields that must not repeat,
                                           ///< besides those that HTTP itself restricts.
    std::chrono::milliseconds writeTimeout = config::CallerReadTimeout; ///< For which a caller may read nothing.
    std::size_t requestBytes = config::RequestBytes; ///< Of the requests of all callers together, complete or not.
};

/// What a server holds of the requests of its callers, and what it has refused for that reason.
struct HttpRequestStats {
    std::size_t bytes = 0; ///< Held now.
    std::size_t incomplete = 0; ///< Connections on which a request, or the first byte of one, is awaited now.
    std::uint64_t refused = 0; ///< Incomplete requests refused for lack of memory or connections, ever.
};

/// Listens on one address and passes each complete request to a handler.
class HttpServer
{
public:
    virtual ~HttpServer() = default;

    /// @returns the port that the server listens on.
    [[nodiscard]] virtual int port() const = 0;

    /// Accepts the connections that wait, then stops accepting; open exchanges continue.
    virtual void stopAccepting() = 0;

    /// Replaces the limits; applies to requests that start from now on. A longer idle timeout applies to open
    /// connections too; a shorter one once callers can no longer count on the earlier one.
    virtual void setLimits(const HttpServerLimits &limits) = 0;

    /// Closes each connection after the next answer whose header has yet to be sent and can say so.
    virtual void closeAfterAnswers() = 0;

    /// Closes the connections on which no request is being received or answered, and no bytes of one have arrived.
    virtual void closeIdle() = 0;

    /// @returns whether bytes of callers have arrived and are not read yet, or bytes of answers are not sent yet.
    [[nodiscard]] virtual bool hasQueuedBytes() const = 0;

    /// @returns the number of open connections.
    [[nodiscard]] virtual std::size_t connections() const = 0;

    /// @returns the number of exchanges whose answer is not complete.
    [[nodiscard]] virtual std::size_t openExchanges() const = 0;

    [[nodiscard]] virtual HttpRequestStats requestStats() const = 0;

    /// @param loop Runs the callbacks; must outlive the server.
    /// @param address "a.b.c.d:port"; port 0 selects a free port.
    /// @param limits Limits on requests and connections.
    /// @param handler Called for each complete request.
    /// @returns the server, or ConnectionFailed when the address cannot be bound.
    static Result<std::unique_ptr<HttpServer>>
    listen(Loop &loop, const std::string &address, const HttpServerLimits &limits, HttpHandler handler);
};

/// @returns the limits from config.h.
HttpServerLimits defaultHttpServerLimits();

} // namespace endivespan
