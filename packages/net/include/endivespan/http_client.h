#pragma once

#include <endivespan/http_server.h>

#include <vector>

/// HTTP/1.1 client on evhttp; each call has a connection of its own.
namespace endivespan {

/// One call to make.
struct HttpCall {
    std::string address; ///< "a.b.c.d:port".
    std::string method = "GET";
    std::string target; ///< Path with query.
    HttpHeaders headers;
    std::string body;
    std::chrono::milliseconds connectTimeout {500};
    std::chrono::milliseconds silenceTimeout {3000}; ///< Without a byte for this long the call fails with Timeout.
};

/// The head and, unless chunks were taken as they came, the body of an answer.
struct HttpAnswer {
    int status = 0;
    HttpHeaders headers;
    std::string body;
};

/// How a call failed, and whether a byte of it may have reached the other side.
struct HttpFailure {
    Error error;
    bool requestSent = false; ///< False only when it is certain that nothing was sent.
};

/// What a call reports. onDone or onFailure is called exactly once, unless the call is cancelled first.
struct HttpCallbacks {
    std::function<void(int status, std::string_view bytes)> onChunk; ///< When set, takes the body as it comes.
    std::function<void(const HttpAnswer &)> onDone; ///< The answer is whole.
    std::function<void(const HttpFailure &)> onFailure;
};

/// A call under way; destroying it closes the connection and silences the callbacks.
class HttpPending
{
public:
    virtual ~HttpPending() = default;
};

/// Starts a call. The callbacks never run inside this function.
/// @returns the call; destroy it to cancel.
[[nodiscard]] std::unique_ptr<HttpPending> startHttpCall(Loop &loop, const HttpCall &call, HttpCallbacks callbacks);

/// Splits a stream of server-sent events into events.
class EventParser
{
public:
    /// One event; comments are reported with an empty data and comment set.
    struct Event {
        std::string id;
        std::string name;
        std::string data;
        bool comment = false;
    };

    /// @param bytes What came next on the stream.
    /// @returns the events that are now complete.
    std::vector<Event> feed(std::string_view bytes);

private:
    std::string buffer;
};

} // namespace endivespan
