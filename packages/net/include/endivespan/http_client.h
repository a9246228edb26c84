#pragma once

#include <endivespan/http_server.h>

#include <vector>

/// HTTP/1.1 client based on evhttp; each call opens its own connection.
namespace endivespan {

/// Parameters of one call.
struct HttpCall {
    std::string address; ///< "a.b.c.d:port".
    std::string method = "GET";
    std::string target; ///< Path and query.
    HttpHeaders headers;
    std::string body;
    std::chrono::milliseconds connectTimeout {500};
    std::chrono::milliseconds silenceTimeout {
        3000}; ///< The call fails with Timeout when nothing is received for this long.
};

/// An answer. The body is empty when it was passed to HttpCallbacks::onChunk.
struct HttpAnswer {
    int status = 0;
    HttpHeaders headers;
    std::string body;
};

/// How a call failed, and whether any of the request may have reached the server.
struct HttpFailure {
    Error error;
    bool requestSent = false; ///< False only when it is certain that nothing was sent.
};

/// Callbacks of one call. onDone or onFailure is called exactly once, unless the call is cancelled first.
struct HttpCallbacks {
    std::function<void(int status, std::string_view bytes)>
        onChunk; ///< When set, receives the body piecewise as it arrives.
    std::function<void(const HttpAnswer &)> onDone; ///< The answer is complete.
    std::function<void(const HttpFailure &)> onFailure;
};

/// A pending call; destroying it closes the connection, and no callback is called any more.
class HttpPending
{
public:
    virtual ~HttpPending() = default;
};

/// Starts a call. Callbacks are never called from inside this function.
/// @returns the call; destroy it to cancel.
[[nodiscard]] std::unique_ptr<HttpPending> startHttpCall(Loop &loop, const HttpCall &call, HttpCallbacks callbacks);

/// Incremental parser for a stream of server-sent events.
class EventParser
{
public:
    /// One event. A comment is reported as an event without data and with the comment flag set.
    struct Event {
        std::string id;
        std::string name;
        std::string data;
        bool comment = false;
    };

    /// Parses the next bytes of the stream.
    /// @returns the events that these bytes complete.
    std::vector<Event> feed(std::string_view bytes);

private:
    std::string buffer;
};

} // namespace endivespan
