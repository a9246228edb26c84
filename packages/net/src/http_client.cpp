#include "http_head_p.h"
#include "net_p.h"

#include <endivespan/http_client.h>

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/http_struct.h>
#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <utility>

namespace endivespan {

namespace {

evhttp_cmd_type commandOf(const std::string &method)
{
    if (method == "POST") {
        return EVHTTP_REQ_POST;
    }
    if (method == "PUT") {
        return EVHTTP_REQ_PUT;
    }
    if (method == "DELETE") {
        return EVHTTP_REQ_DELETE;
    }
    if (method == "HEAD") {
        return EVHTTP_REQ_HEAD;
    }
    if (method == "PATCH") {
        return EVHTTP_REQ_PATCH;
    }
    return EVHTTP_REQ_GET;
}

class Pending : public HttpPending
{
public:
    Pending(Loop &loop, const HttpCall &call, HttpCallbacks callbacks)
        : loop(loop)
        , callbacks(std::move(callbacks))
        , silenceTimeout(call.silenceTimeout)
    {
        this->start(call);
    }

    ~Pending() override
    {
        if (this->connection != nullptr) {
            evhttp_connection_free(this->connection);
        }
    }

    Pending(const Pending &) = delete;
    Pending &operator=(const Pending &) = delete;

private:
    void start(const HttpCall &call)
    {
        const auto [host, port] = splitAddress(call.address);
        this->connection
            = evhttp_connection_base_new(this->loop.base(), nullptr, host.c_str(), static_cast<ev_uint16_t>(port));
        evhttp_connection_set_closecb(this->connection, &Pending::closing, this);
        evhttp_request *request = evhttp_request_new(&Pending::done, this);
        evhttp_request_set_error_cb(request, &Pending::failed);
        evhttp_request_set_header_cb(request, &Pending::headReceived);
        if (this->callbacks.onChunk) {
            evhttp_request_set_chunked_cb(request, &Pending::chunkReceived);
        }
        evbuffer_add_cb(
            bufferevent_get_input(evhttp_connection_get_bufferevent(this->connection)), &Pending::inputChanged, this);
        evkeyvalq *headers = evhttp_request_get_output_headers(request);
        evhttp_add_header(headers, "Host", call.address.c_str());
        evhttp_add_header(headers, "Connection", "close");
        for (const auto &[name, value] : call.headers) {
            evhttp_add_header(headers, name.c_str(), value.c_str());
        }
        evbuffer_add(evhttp_request_get_output_buffer(request), call.body.data(), call.body.size());
        evhttp_make_request(this->connection, request, commandOf(call.method), call.target.c_str());
        this->watchConnect(call.connectTimeout);
    }

    // evhttp has a single timeout for the whole call, so that the shorter connect timeout needs its own timer.
    void watchConnect(std::chrono::milliseconds connectTimeout)
    {
        bufferevent *stream = evhttp_connection_get_bufferevent(this->connection);
        this->connectTimer = this->loop.after(connectTimeout, [this, stream] {
            const int socket = bufferevent_getfd(stream);
            if (!isConnected(socket)) {
                this->fail({ErrorKind::ConnectionFailed, "connect timed out"}, false);
            }
        });
        this->watchSilence();
    }

    void watchSilence()
    {
        this->silenceTimer = this->loop.after(this->silenceTimeout, [this] {
            this->fail({ErrorKind::Timeout, "server sent nothing within the silence timeout"}, true);
        });
    }

    static bool isConnected(int socket)
    {
        sockaddr_storage address {};
        socklen_t size = sizeof(address);
        return socket >= 0 && getpeername(socket, reinterpret_cast<sockaddr *>(&address), &size) == 0;
    }

    // evhttp converts the status by atoi(), which turns "200x" or "4294967496" into 200, and does not keep its text.
    static void inputChanged(evbuffer *input, const evbuffer_cb_info *, void *context)
    {
        static_cast<Pending *>(context)->checkStatusLine(input);
    }

    void checkStatusLine(evbuffer *input)
    {
        std::array<char, StatusLineBytes> bytes {};
        if (this->statusLine == StatusLine::Awaited
            && evbuffer_copyout(input, bytes.data(), bytes.size()) == static_cast<ev_ssize_t>(bytes.size())) {
            const bool valid = hasThreeDigitStatus({bytes.data(), bytes.size()});
            this->statusLine = valid ? StatusLine::Valid : StatusLine::Invalid;
        }
    }

    // A negative return value makes evhttp fail the call and close its connection.
    static int headReceived(evhttp_request *request, void *context)
    {
        constexpr int Continue = 100;
        auto *self = static_cast<Pending *>(context);
        self->connectTimer.reset();
        self->watchSilence();
        const int status = evhttp_request_get_response_code(request);
        const bool validLine = self->statusLine == StatusLine::Valid;
        if (validLine && status == Continue) {
            // evhttp reads the answer that follows into the same request.
            evhttp_clear_headers(evhttp_request_get_input_headers(request));
            self->statusLine = StatusLine::Awaited;
            self->checkStatusLine(bufferevent_get_input(evhttp_connection_get_bufferevent(self->connection)));
            return 0;
        }
        // evhttp takes any other interim answer for the answer itself, and cannot skip it.
        if (!validLine || meaningOf(status) != StatusMeaning::Final) {
            self->reason = ErrorKind::ProtocolError;
            return -1;
        }
        self->answer.status = status;
        self->answer.headers = readHeaders(evhttp_request_get_input_headers(request));
        return 0;
    }

    // Called before evhttp closes the connection, which it does before it reports that the answer is complete.
    static void closing(evhttp_connection *connection, void *context)
    {
        const int socket = bufferevent_getfd(evhttp_connection_get_bufferevent(connection));
        static_cast<Pending *>(context)->unacknowledged = unacknowledgedBytes(socket);
    }

    // Returns whether the end of the connection marked the end of the answer, and came before the server had received
    // the whole request: a process that ends closes its connections in order, too.
    [[nodiscard]] bool endedEarly() const
    {
        constexpr int NoContent = 204;
        constexpr int NotModified = 304;
        const HttpHeaders &fields = this->answer.headers;
        const bool framed = fields.contains("content-length") || fields.contains("transfer-encoding")
            || this->answer.status == NoContent || this->answer.status == NotModified;
        return !framed && this->unacknowledged > 0;
    }

    static void chunkReceived(evhttp_request *request, void *context)
    {
        auto *self = static_cast<Pending *>(context);
        self->watchSilence();
        const std::string bytes = takeBuffer(evhttp_request_get_input_buffer(request));
        // The owner may destroy this call inside onChunk, which evhttp does not support while it runs its own callback;
        // the bytes are delivered from the event loop instead.
        self->undelivered += bytes;
        if (!self->deliveryPosted) {
            self->deliveryPosted = true;
            self->deliveryTimer = self->loop.after(Duration::zero(), [self] { self->deliver(); });
        }
    }

    void deliver()
    {
        this->deliveryPosted = false;
        const std::string bytes = std::exchange(this->undelivered, {});
        const auto callback = this->callbacks.onChunk;
        callback(this->answer.status, bytes);
    }

    static void failed(evhttp_request_error reason, void *context)
    {
        auto *self = static_cast<Pending *>(context);
        if (self->reason != ErrorKind::ProtocolError) {
            self->reason = reason == EVREQ_HTTP_TIMEOUT ? ErrorKind::Timeout : ErrorKind::StreamCut;
        }
        self->errorSeen = true;
    }

    static void done(evhttp_request *request, void *context)
    {
        auto *self = static_cast<Pending *>(context);
        self->silenceTimer.reset();
        self->connectTimer.reset();
        const bool whole = request != nullptr && !self->errorSeen && self->answer.status != 0 && !self->endedEarly();
        if (!whole) {
            // evhttp calls the error callback only after the connection was established.
            const bool sent = self->errorSeen || self->answer.status != 0;
            self->settleLater(sent ? self->reason : ErrorKind::ConnectionFailed, sent);
            return;
        }
        self->answer.status = evhttp_request_get_response_code(request);
        self->answer.headers = readHeaders(evhttp_request_get_input_headers(request));
        const std::string rest = takeBuffer(evhttp_request_get_input_buffer(request));
        (self->callbacks.onChunk ? self->undelivered : self->answer.body) += rest;
        self->settleTimer = self->loop.after(Duration::zero(), [self] { self->succeed(); });
    }

    void settleLater(ErrorKind kind, bool sent)
    {
        this->settleTimer = this->loop.after(Duration::zero(), [this, kind, sent] {
            this->fail({kind, failureDetail(kind, sent)}, sent);
        });
    }

    static std::string failureDetail(ErrorKind kind, bool sent)
    {
        if (kind == ErrorKind::ProtocolError) {
            return "the status of the answer is invalid";
        }
        return sent ? "connection closed before the answer was complete" : "connection refused";
    }

    void succeed()
    {
        const auto callback = this->callbacks.onDone;
        const HttpAnswer whole = std::move(this->answer);
        if (!this->undelivered.empty()) {
            // onChunk may destroy this call; in that case onDone is not called.
            const auto chunk = this->callbacks.onChunk;
            const std::string bytes = std::exchange(this->undelivered, {});
            const std::weak_ptr<int> alive = this->life;
            chunk(whole.status, bytes);
            if (alive.expired()) {
                return;
            }
        }
        if (callback) {
            callback(whole);
        }
    }

    void fail(const Error &error, bool sent)
    {
        const auto callback = this->callbacks.onFailure;
        if (this->connection != nullptr) {
            evhttp_connection_free(std::exchange(this->connection, nullptr));
        }
        this->connectTimer.reset();
        this->silenceTimer.reset();
        this->settleTimer.reset();
        if (callback) {
            callback({error, sent});
        }
    }

    enum class StatusLine {
        Awaited,
        Valid,
        Invalid,
    };

    Loop &loop;
    HttpCallbacks callbacks;
    std::chrono::milliseconds silenceTimeout;
    HttpAnswer answer;
    std::string undelivered;
    bool deliveryPosted = false;
    bool errorSeen = false;
    std::size_t unacknowledged = 0; ///< Bytes of the request that the server had not received at the end.
    StatusLine statusLine = StatusLine::Awaited;
    ErrorKind reason = ErrorKind::StreamCut;
    evhttp_connection *connection = nullptr;
    std::unique_ptr<Timer> connectTimer;
    std::unique_ptr<Timer> silenceTimer;
    std::unique_ptr<Timer> deliveryTimer;
    std::unique_ptr<Timer> settleTimer;
    std::shared_ptr<int> life = std::make_shared<int>(0);
};

} // namespace

std::unique_ptr<HttpPending> startHttpCall(Loop &loop, const HttpCall &call, HttpCallbacks callbacks)
{
    return std::make_unique<Pending>(loop, call, std::move(callbacks));
}

std::vector<EventParser::Event> EventParser::feed(std::string_view bytes)
{
    std::vector<Event> events;
    this->buffer += bytes;
    std::size_t end = 0;
    while ((end = this->buffer.find("\n\n")) != std::string::npos) {
        const std::string block = this->buffer.substr(0, end);
        this->buffer.erase(0, end + 2);
        Event event;
        std::size_t start = 0;
        while (start < block.size()) {
            const std::size_t stop = std::min(block.find('\n', start), block.size());
            const std::string_view line = std::string_view(block).substr(start, stop - start);
            start = stop + 1;
            if (line.starts_with(":")) {
                event.comment = true;
            } else if (line.starts_with("id: ")) {
                event.id = line.substr(4);
            } else if (line.starts_with("event: ")) {
                event.name = line.substr(7);
            } else if (line.starts_with("data: ")) {
                event.data += event.data.empty() ? "" : "\n";
                event.data += line.substr(6);
            }
        }
        events.push_back(std::move(event));
    }
    return events;
}

} // namespace endivespan
