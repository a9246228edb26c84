#include "net_p.h"

#include <endivespan/config.h>
#include <endivespan/http_server.h>

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>

#include <algorithm>
#include <cctype>
#include <utility>

namespace endivespan {

namespace {

constexpr int AllMethods = EVHTTP_REQ_GET | EVHTTP_REQ_POST | EVHTTP_REQ_HEAD | EVHTTP_REQ_PUT | EVHTTP_REQ_DELETE
    | EVHTTP_REQ_PATCH | EVHTTP_REQ_OPTIONS;

std::string methodName(evhttp_cmd_type command)
{
    switch (command) {
    case EVHTTP_REQ_GET:
        return "GET";
    case EVHTTP_REQ_POST:
        return "POST";
    case EVHTTP_REQ_HEAD:
        return "HEAD";
    case EVHTTP_REQ_PUT:
        return "PUT";
    case EVHTTP_REQ_DELETE:
        return "DELETE";
    case EVHTTP_REQ_PATCH:
        return "PATCH";
    default:
        return "OPTIONS";
    }
}

std::map<std::string, std::string> parseQuery(const char *text)
{
    std::map<std::string, std::string> fields;
    evkeyvalq parsed;
    if (text != nullptr && evhttp_parse_query_str(text, &parsed) == 0) {
        for (const evkeyval *entry = parsed.tqh_first; entry != nullptr; entry = entry->next.tqe_next) {
            fields[entry->key] = entry->value;
        }
        evhttp_clear_headers(&parsed);
    }
    return fields;
}

std::string decodedPath(const char *path)
{
    std::size_t size = 0;
    char *decoded = evhttp_uridecode(path == nullptr ? "/" : path, 0, &size);
    std::string text = decoded == nullptr ? std::string("/") : std::string(decoded, size);
    std::free(decoded);
    return text;
}

// evhttp stops reading while a request is answered, so it would not notice a caller that goes. Reading goes on here
// with a low watermark that is never reached, because evhttp bears no input in that state; each connection serves one
// request.
void watchForClose(evhttp_connection *connection)
{
    bufferevent *stream = evhttp_connection_get_bufferevent(connection);
    bufferevent_setwatermark(stream, EV_READ, config::MaxBodyBytes, config::MaxHeaderBytes);
    const timeval writeTimeout {config::CallerReadTimeout.count(), 0};
    bufferevent_set_timeouts(stream, nullptr, &writeTimeout);
    bufferevent_enable(stream, EV_READ);
}

class Server;

class Exchange : public HttpExchange
{
public:
    Exchange(Server &server, evhttp_request *raw);

    const HttpRequest &request() const override
    {
        return this->received;
    }

    void reply(int status, const HttpHeaders &headers, std::string_view body) override;
    void startStream(int status, const HttpHeaders &headers) override;
    void sendChunk(std::string_view bytes) override;
    void endStream() override;
    void abort() override;

    void onClosed(std::function<void()> callback) override
    {
        this->closed = std::move(callback);
    }

    bool isOpen() const override
    {
        return this->raw != nullptr;
    }

    std::size_t backlogBytes() const override;

    bool usesConnection(const evhttp_connection *other) const
    {
        return this->connection == other;
    }

    void connectionClosed();

private:
    void writeHeaders(const HttpHeaders &headers);
    void finish();

    Server &server;
    evhttp_request *raw;
    evhttp_connection *connection;
    HttpRequest received;
    std::function<void()> closed;
};

class Server : public HttpServer
{
public:
    Server(Loop &loop, HttpHandler handler)
        : loop(loop)
        , handler(std::move(handler))
        , http(evhttp_new(loop.base()))
    {
    }

    ~Server() override
    {
        // Freeing the server closes every connection; nobody is told any more.
        this->open.clear();
        evhttp_free(this->http);
    }

    Server(const Server &) = delete;
    Server &operator=(const Server &) = delete;

    bool bind(const std::string &address, const HttpServerLimits &limits)
    {
        const auto [host, portNumber] = splitAddress(address);
        evhttp_set_allowed_methods(this->http, AllMethods);
        evhttp_set_max_body_size(this->http, static_cast<ev_ssize_t>(limits.maxBodyBytes));
        evhttp_set_max_headers_size(this->http, static_cast<ev_ssize_t>(limits.maxHeaderBytes));
        evhttp_set_timeout(this->http, static_cast<int>(limits.readTimeout.count()));
        evhttp_set_gencb(this->http, &Server::receive, this);
        this->socket = evhttp_bind_socket_with_handle(this->http, host.c_str(), static_cast<ev_uint16_t>(portNumber));
        if (this->socket == nullptr) {
            return false;
        }
        this->boundPort = localPort(evhttp_bound_socket_get_fd(this->socket));
        return true;
    }

    int port() const override
    {
        return this->boundPort;
    }

    void stopAccepting() override
    {
        if (this->socket != nullptr) {
            evhttp_del_accept_socket(this->http, this->socket);
            this->socket = nullptr;
        }
    }

    std::size_t openExchanges() const override
    {
        return this->open.size();
    }

    void forget(evhttp_request *raw)
    {
        this->open.erase(raw);
    }

    Loop &loop;

private:
    static void receive(evhttp_request *raw, void *context)
    {
        auto *server = static_cast<Server *>(context);
        auto exchange = std::make_shared<Exchange>(*server, raw);
        server->open[raw] = exchange;
        evhttp_connection_set_closecb(evhttp_request_get_connection(raw), &Server::connectionClosed, server);
        watchForClose(evhttp_request_get_connection(raw));
        server->handler(exchange);
    }

    static void connectionClosed(evhttp_connection *connection, void *context)
    {
        auto *server = static_cast<Server *>(context);
        std::vector<std::shared_ptr<Exchange>> gone;
        for (const auto &[raw, exchange] : server->open) {
            if (exchange->usesConnection(connection)) {
                gone.push_back(exchange);
            }
        }
        for (const auto &exchange : gone) {
            exchange->connectionClosed();
        }
    }

    HttpHandler handler;
    evhttp *http;
    evhttp_bound_socket *socket = nullptr;
    int boundPort = 0;
    std::map<evhttp_request *, std::shared_ptr<Exchange>> open;
};

Exchange::Exchange(Server &server, evhttp_request *raw)
    : server(server)
    , raw(raw)
    , connection(evhttp_request_get_connection(raw))
{
    const evhttp_uri *uri = evhttp_request_get_evhttp_uri(raw);
    this->received.method = methodName(evhttp_request_get_command(raw));
    this->received.path = decodedPath(evhttp_uri_get_path(uri));
    this->received.target = evhttp_request_get_uri(raw);
    this->received.query = parseQuery(evhttp_uri_get_query(uri));
    this->received.headers = readHeaders(evhttp_request_get_input_headers(raw));
    this->received.body = takeBuffer(evhttp_request_get_input_buffer(raw));
    char *peer = nullptr;
    ev_uint16_t peerPort = 0;
    evhttp_connection_get_peer(evhttp_request_get_connection(raw), &peer, &peerPort);
    this->received.peer = peer == nullptr ? "" : peer;
}

void Exchange::writeHeaders(const HttpHeaders &headers)
{
    evhttp_add_header(evhttp_request_get_output_headers(this->raw), "Connection", "close");
    for (const auto &[name, value] : headers) {
        evhttp_add_header(evhttp_request_get_output_headers(this->raw), name.c_str(), value.c_str());
    }
}

void Exchange::finish()
{
    this->server.forget(std::exchange(this->raw, nullptr));
    this->closed = nullptr;
}

void Exchange::reply(int status, const HttpHeaders &headers, std::string_view body)
{
    if (this->raw == nullptr) {
        return;
    }
    this->writeHeaders(headers);
    evbuffer_add(evhttp_request_get_output_buffer(this->raw), body.data(), body.size());
    evhttp_request *answered = this->raw;
    this->finish();
    evhttp_send_reply(answered, status, nullptr, nullptr);
}

void Exchange::startStream(int status, const HttpHeaders &headers)
{
    if (this->raw == nullptr) {
        return;
    }
    this->writeHeaders(headers);
    evhttp_send_reply_start(this->raw, status, nullptr);
}

void Exchange::sendChunk(std::string_view bytes)
{
    if (this->raw == nullptr || bytes.empty()) {
        return;
    }
    evbuffer *chunk = evbuffer_new();
    evbuffer_add(chunk, bytes.data(), bytes.size());
    evhttp_send_reply_chunk(this->raw, chunk);
    evbuffer_free(chunk);
}

void Exchange::endStream()
{
    if (this->raw == nullptr) {
        return;
    }
    evhttp_request *answered = this->raw;
    this->finish();
    evhttp_send_reply_end(answered);
}

void Exchange::abort()
{
    if (this->raw == nullptr) {
        return;
    }
    evhttp_connection *connection = evhttp_request_get_connection(this->raw);
    this->finish();
    evhttp_connection_free(connection);
}

std::size_t Exchange::backlogBytes() const
{
    if (this->raw == nullptr) {
        return 0;
    }
    bufferevent *stream = evhttp_connection_get_bufferevent(evhttp_request_get_connection(this->raw));
    return evbuffer_get_length(bufferevent_get_output(stream));
}

void Exchange::connectionClosed()
{
    const auto callback = std::exchange(this->closed, nullptr);
    evhttp_request *request = this->raw;
    this->finish();
    // evhttp takes a request that is being answered off a failed connection and leaves it to its user.
    if (evhttp_request_get_connection(request) == nullptr) {
        evhttp_request_free(request);
    }
    if (callback) {
        callback();
    }
}

} // namespace

Result<std::unique_ptr<HttpServer>>
HttpServer::listen(Loop &loop, const std::string &address, const HttpServerLimits &limits, HttpHandler handler)
{
    auto server = std::make_unique<Server>(loop, std::move(handler));
    if (!server->bind(address, limits)) {
        return Error {ErrorKind::ConnectionFailed, "cannot listen on " + address};
    }
    return std::unique_ptr<HttpServer>(std::move(server));
}

HttpServerLimits defaultHttpServerLimits()
{
    return {config::MaxBodyBytes, config::MaxHeaderBytes, config::CallerReadTimeout};
}

} // namespace endivespan
