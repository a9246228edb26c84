#include "http_head_p.h"
#include "net_p.h"

#include <endivespan/config.h>
#include <endivespan/http_pool.h>
#include <endivespan/text.h>

#include <arpa/inet.h>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <algorithm>
#include <cctype>
#include <cerrno>
#include <charconv>
#include <limits>
#include <map>
#include <optional>
#include <utility>
#include <vector>

namespace endivespan {

namespace {

namespace http = boost::beast::http;

using Parser = http::response_parser<http::string_body>;

HttpHeaders headersOf(const Parser &parser)
{
    HttpHeaders headers;
    for (const auto &field : parser.get()) {
        const auto [entry, isNew] = headers.emplace(lowerCase(viewOf(field.name_string())), viewOf(field.value()));
        if (!isNew) {
            entry->second.append(", ").append(viewOf(field.value()));
        }
    }
    return headers;
}

// Returns the time that "Keep-Alive: timeout=N" grants, in whole seconds.
std::optional<std::chrono::seconds> keepAliveTime(const HttpHeaders &headers)
{
    constexpr std::string_view Key = "timeout=";
    const auto found = headers.find("keep-alive");
    if (found == headers.end()) {
        return std::nullopt;
    }
    const std::string &text = found->second;
    const std::size_t at = text.find(Key);
    if (at == std::string::npos) {
        return std::nullopt;
    }
    int seconds = 0;
    const char *begin = text.data() + at + Key.size();
    if (std::from_chars(begin, text.data() + text.size(), seconds).ec != std::errc()) {
        return std::nullopt;
    }
    return std::chrono::seconds(seconds);
}

std::string requestHead(const PooledCall &call)
{
    std::string out = call.method + " " + call.target + " HTTP/1.1\r\n";
    if (!call.headers.contains("host")) {
        out += "host: " + call.address + "\r\n";
    }
    for (const auto &[name, value] : call.headers) {
        out += name;
        out += ": ";
        out += value;
        out += "\r\n";
    }
    if (!call.body.empty() || call.method == "POST" || call.method == "PUT" || call.method == "PATCH") {
        out += "content-length: " + std::to_string(call.body.size()) + "\r\n";
    }
    out += "\r\n";
    return out;
}

// Appends a body without a copy of it. The buffer keeps it until it was written.
void appendBody(evbuffer *output, const HttpBody &body)
{
    const std::string_view bytes = body.view();
    if (bytes.size() <= config::ShortRequestBytes) {
        evbuffer_add(output, bytes.data(), bytes.size());
        return;
    }
    evbuffer_add_reference(
        output,
        bytes.data(),
        bytes.size(),
        [](const void *, std::size_t, void *kept) { delete static_cast<HttpBody *>(kept); },
        new HttpBody(body));
}

// Sets how long sent bytes may stay unacknowledged. The kernel counts the time in which the server reads nothing as
// well, once its receive window is full, so that a request that may fill the window needs more time than a short one.
void setUnacknowledgedTimeout(int socket, std::size_t requestBytes)
{
    const bool fillsWindow = requestBytes > config::ShortRequestBytes;
    const auto timeout = fillsWindow ? config::UnreadTimeout : config::UnacknowledgedTimeout;
    const int milliseconds = static_cast<int>(std::chrono::milliseconds(timeout).count());
    setsockopt(socket, IPPROTO_TCP, TCP_USER_TIMEOUT, &milliseconds, sizeof(milliseconds));
}

// Detects unreachable servers: the kernel closes the connection when sent bytes are not acknowledged in time or
// keep-alive probes are not answered.
void enableDeadPeerDetection(int socket)
{
    const int on = 1;
    const int idle = static_cast<int>(config::KeepAliveProbeIdle.count());
    const int probes = config::KeepAliveProbes;
    setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    setsockopt(socket, SOL_SOCKET, SO_KEEPALIVE, &on, sizeof(on));
    setsockopt(socket, IPPROTO_TCP, TCP_KEEPIDLE, &idle, sizeof(idle));
    setsockopt(socket, IPPROTO_TCP, TCP_KEEPINTVL, &idle, sizeof(idle));
    setsockopt(socket, IPPROTO_TCP, TCP_KEEPCNT, &probes, sizeof(probes));
}

// Returns whether bytes, an end or an error wait to be read from a connection. On an idle connection the loop may not
// have read them yet; once another call is sent there, they would be taken for its answer.
bool hasInput(int socket)
{
    char byte = 0;
    return recv(socket, &byte, sizeof(byte), MSG_PEEK | MSG_DONTWAIT) >= 0 || (errno != EAGAIN && errno != EWOULDBLOCK);
}

class Pool;

/// One call and its state, shared between its HttpPending and its connection.
struct Call {
    PooledCall call;
    PooledCallbacks callbacks;
    std::size_t requestSize = 0;
    bool ended = false; ///< Set on completion or failure; its connection may already serve another call.
};

class Connection
{
public:
    Connection(Pool &pool, std::uint64_t id, std::string address);
    ~Connection();
    Connection(const Connection &) = delete;
    Connection &operator=(const Connection &) = delete;

    /// Starts connecting.
    /// @returns false when the address is invalid or the socket cannot be created or connected.
    bool connect(std::chrono::milliseconds timeout);
    void serve(std::shared_ptr<Call> next);
    void close();

    /// Sets the callback that receives whether the connection was established, for a connection opened without a call.
    void onReached(std::function<void(bool)> done)
    {
        this->reached = std::move(done);
    }

    const std::string &address() const
    {
        return this->serverAddress;
    }

    std::uint64_t number() const
    {
        return this->id;
    }

    bool isUsable(TimePoint now) const
    {
        return this->stream != nullptr && this->call == nullptr && now < this->usableUntil
            && !hasInput(bufferevent_getfd(this->stream));
    }

private:
    static void onRead(bufferevent *stream, void *context);
    static void onWritten(bufferevent *stream, void *context);
    static void onEvent(bufferevent *stream, short what, void *context);
    void read();
    bool parse();
    bool handleHead();
    [[nodiscard]] bool isRequestReceived() const;
    void complete();
    void fail(ErrorKind kind, std::string detail);
    /// @param error Error of the socket; 0 when the server closed the connection in order.
    void onDisconnected(int error);
    void reportReached(bool isReached);

    Pool &pool;
    std::uint64_t id;
    std::string serverAddress;
    bufferevent *stream = nullptr;
    std::shared_ptr<Call> call;
    std::unique_ptr<Parser> parser;
    std::unique_ptr<Timer> connectTimer;
    std::function<void(bool)> reached;
    HttpHeaders headers;
    bool connected = false;
    bool headHandled = false;
    bool stray = false;
    TimePoint usableUntil;
};

class Pool : public HttpPool
{
public:
    Pool(Loop &loop, std::chrono::milliseconds idleTime)
        : loop(loop)
        , idleTime(idleTime)
    {
    }

    std::unique_ptr<HttpPending> start(PooledCall call, PooledCallbacks callbacks) override;
    void reach(const std::string &address, std::chrono::milliseconds timeout, std::function<void(bool)> done) override;
    void closeIdle(const std::string &address) override;

    HttpPoolStats stats() const override
    {
        return this->counters;
    }

    /// Removes a connection from the pool and destroys it once the current callbacks have returned.
    void retire(std::uint64_t id)
    {
        const auto found = this->connections.find(id);
        if (found == this->connections.end()) {
            return;
        }
        this->retired.push_back(std::move(found->second));
        this->connections.erase(found);
        this->retireTimer = this->loop.after(Duration::zero(), [this] { this->retired.clear(); });
    }

    void keepIdle(Connection &connection)
    {
        this->idle[connection.address()].push_back(connection.number());
    }

    void cancel(std::uint64_t id)
    {
        if (const auto found = this->connections.find(id); found != this->connections.end()) {
            found->second->close();
        }
    }

    Loop &loop;
    const std::chrono::milliseconds idleTime;
    HttpPoolStats counters;

private:
    Connection *takeIdle(const std::string &address);
    Connection *open(const std::string &address, std::chrono::milliseconds timeout);

    static constexpr std::uint64_t NoConnection = 0;

    std::uint64_t nextId = NoConnection + 1;
    std::map<std::uint64_t, std::unique_ptr<Connection>> connections;
    std::map<std::string, std::vector<std::uint64_t>> idle;
    std::vector<std::unique_ptr<Connection>> retired;
    std::unique_ptr<Timer> retireTimer;
    std::map<std::uint64_t, std::unique_ptr<Timer>> failures;
    std::uint64_t nextFailure = 1;
};

class Pending : public HttpPending
{
public:
    Pending(Pool &pool, std::uint64_t connection, const std::shared_ptr<Call> &call)
        : pool(pool)
        , connection(connection)
        , call(call)
    {
    }

    ~Pending() override
    {
        if (const auto running = this->call.lock(); running && !running->ended) {
            running->callbacks = {};
            this->pool.cancel(this->connection);
        }
    }

    Pending(const Pending &) = delete;
    Pending &operator=(const Pending &) = delete;

private:
    Pool &pool;
    std::uint64_t connection;
    std::weak_ptr<Call> call;
};

Connection::Connection(Pool &pool, std::uint64_t id, std::string address)
    : pool(pool)
    , id(id)
    , serverAddress(std::move(address))
{
}

Connection::~Connection()
{
    if (this->stream != nullptr) {
        bufferevent_free(this->stream);
    }
}

bool Connection::connect(std::chrono::milliseconds timeout)
{
    const auto [host, port] = splitAddress(this->serverAddress);
    sockaddr_in target {};
    target.sin_family = AF_INET;
    target.sin_port = htons(static_cast<std::uint16_t>(port));
    if (inet_pton(AF_INET, host.c_str(), &target.sin_addr) != 1) {
        return false;
    }
    this->stream = bufferevent_socket_new(this->pool.loop.base(), -1, BEV_OPT_CLOSE_ON_FREE);
    bufferevent_setcb(this->stream, &Connection::onRead, &Connection::onWritten, &Connection::onEvent, this);
    if (bufferevent_socket_connect(this->stream, reinterpret_cast<const sockaddr *>(&target), sizeof(target)) != 0) {
        return false;
    }
    enableDeadPeerDetection(bufferevent_getfd(this->stream));
    setUnacknowledgedTimeout(bufferevent_getfd(this->stream), 0);
    bufferevent_enable(this->stream, EV_READ | EV_WRITE);
    this->connectTimer
        = this->pool.loop.after(timeout, [this] { this->fail(ErrorKind::ConnectionFailed, "connect timed out"); });
    ++this->pool.counters.opened;
    return true;
}

void Connection::serve(std::shared_ptr<Call> next)
{
    this->call = std::move(next);
    this->parser.reset();
    this->headHandled = false;
    this->stray = false;
    PooledCall &sent = this->call->call;
    const std::string head = requestHead(sent);
    this->call->requestSize = head.size() + sent.body.size();
    setUnacknowledgedTimeout(bufferevent_getfd(this->stream), this->call->requestSize);
    evbuffer *output = bufferevent_get_output(this->stream);
    evbuffer_add(output, head.data(), head.size());
    appendBody(output, sent.body);
    // The output holds them for as long as they are needed.
    sent.headers.clear();
    sent.body = {};
}

void Connection::close()
{
    if (this->stream != nullptr) {
        bufferevent_free(std::exchange(this->stream, nullptr));
    }
    this->connectTimer.reset();
    this->call.reset();
    this->pool.retire(this->id);
}

void Connection::onRead(bufferevent *, void *context)
{
    static_cast<Connection *>(context)->read();
}

// Called when the output buffer is empty.
void Connection::onWritten(bufferevent *, void *context)
{
    if (const auto current = static_cast<Connection *>(context)->call; current && current->callbacks.onSent) {
        current->callbacks.onSent();
    }
}

void Connection::onEvent(bufferevent *, short what, void *context)
{
    auto *self = static_cast<Connection *>(context);
    if ((what & BEV_EVENT_CONNECTED) != 0) {
        self->connected = true;
        self->connectTimer.reset();
        self->reportReached(true);
    } else if ((what & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) != 0) {
        self->onDisconnected((what & BEV_EVENT_ERROR) != 0 ? EVUTIL_SOCKET_ERROR() : 0);
    }
}

void Connection::reportReached(bool isReached)
{
    const auto done = std::exchange(this->reached, {});
    if (!done) {
        return;
    }
    if (isReached) {
        this->usableUntil = this->pool.loop.now() + this->pool.idleTime;
        this->pool.keepIdle(*this);
    }
    done(isReached);
}

void Connection::read()
{
    // Unsolicited bytes cannot be attributed to a request, so that the connection is not usable any more.
    if (this->call == nullptr) {
        this->close();
        return;
    }
    while (this->stream != nullptr && this->call != nullptr
           && evbuffer_get_length(bufferevent_get_input(this->stream)) > 0) {
        if (!this->parse()) {
            return;
        }
    }
}

// Parses the buffered input. Returns false when more input is needed, the call is complete or the connection is closed.
bool Connection::parse()
{
    evbuffer *input = bufferevent_get_input(this->stream);
    if (this->parser == nullptr) {
        this->parser = std::make_unique<Parser>();
        this->parser->eager(true);
        // Not boost::none: Beast 1.74 reports any length as beyond it when the input ends with the head.
        this->parser->body_limit(std::numeric_limits<std::uint64_t>::max());
        this->parser->skip(this->call->call.method == "HEAD");
        this->headHandled = false;
        this->stray = false;
    }
    const std::size_t size = evbuffer_get_length(input);
    boost::beast::error_code error;
    const std::size_t used = this->parser->put(boost::asio::const_buffer(evbuffer_pullup(input, -1), size), error);
    evbuffer_drain(input, used);
    if (error && error != http::error::need_more) {
        this->fail(ErrorKind::ProtocolError, error.message());
        return false;
    }
    if (!this->headHandled && this->parser->is_header_done() && !this->handleHead()) {
        return false;
    }
    const std::shared_ptr<Call> current = this->call;
    if (this->headHandled && !this->parser->get().body().empty()) {
        const std::string bytes = std::exchange(this->parser->get().body(), {});
        if (const auto onBody = current->callbacks.onBody; onBody && !this->stray) {
            onBody(bytes);
        }
        if (this->call != current) {
            return false;
        }
    }
    if (this->parser->is_done()) {
        if (this->stray) {
            this->parser.reset();
            return true;
        }
        this->complete();
        return false;
    }
    // The parser takes a chunk size line, and the trailer, only as a whole.
    if (used == 0 && size > config::AnswerLineBytes) {
        this->fail(ErrorKind::ProtocolError, "a chunk size or trailer of the answer exceeds the size limit");
        return false;
    }
    return used > 0;
}

// Handles the head of an answer. Returns false when the answer is invalid or the owner has cancelled the call.
bool Connection::handleHead()
{
    this->headHandled = true;
    this->headers = headersOf(*this->parser);
    const int status = this->parser->get().result_int();
    const std::shared_ptr<Call> current = this->call;
    const StatusMeaning meaning = meaningOf(status);
    if (meaning == StatusMeaning::Invalid) {
        this->fail(ErrorKind::ProtocolError, "invalid status " + std::to_string(status));
        return false;
    }
    const bool interim = meaning == StatusMeaning::Interim;
    this->stray = interim || (current->call.belongs && !current->call.belongs(status, this->headers));
    if (this->stray) {
        this->pool.counters.strayAnswers += interim ? 0 : 1;
        return true;
    }
    if (const auto onHead = current->callbacks.onHead) {
        onHead(status, this->headers);
    }
    return this->call == current;
}

void Connection::complete()
{
    const bool flushed = evbuffer_get_length(bufferevent_get_output(this->stream)) == 0;
    const bool clean = evbuffer_get_length(bufferevent_get_input(this->stream)) == 0;
    const bool reusable = flushed && clean && this->parser->keep_alive() && !this->parser->need_eof();
    const std::shared_ptr<Call> finished = std::move(this->call);
    finished->ended = true;
    this->parser.reset();
    if (reusable) {
        std::chrono::milliseconds time = this->pool.idleTime;
        if (const auto granted = keepAliveTime(this->headers)) {
            time = std::min<std::chrono::milliseconds>(time, *granted - config::KeepAliveMargin);
        }
        this->usableUntil = this->pool.loop.now() + time;
        this->pool.keepIdle(*this);
    } else {
        this->close();
    }
    if (const auto onDone = finished->callbacks.onDone) {
        onDone();
    }
}

void Connection::fail(ErrorKind kind, std::string detail)
{
    const std::shared_ptr<Call> failed = this->call;
    const std::size_t unsent = this->stream == nullptr ? 0 : evbuffer_get_length(bufferevent_get_output(this->stream));
    // Whoever has begun to answer may have run the request, whatever the answer is worth.
    const bool answered = kind == ErrorKind::ProtocolError || (this->headHandled && !this->stray);
    const bool sent = this->connected && failed && (answered || unsent < failed->requestSize);
    this->close();
    this->reportReached(false);
    if (failed) {
        failed->ended = true;
    }
    if (failed && failed->callbacks.onFailure) {
        const auto onFailure = failed->callbacks.onFailure;
        onFailure({Error {kind, std::move(detail)}, sent});
    }
}

// Returns whether the kernel of the server has the whole request. It acknowledges all that it has when it reports the
// end of the connection, so that what is unacknowledged then arrived later or never.
bool Connection::isRequestReceived() const
{
    return evbuffer_get_length(bufferevent_get_output(this->stream)) == 0
        && unacknowledgedBytes(bufferevent_getfd(this->stream)) == 0;
}

void Connection::onDisconnected(int error)
{
    if (this->call == nullptr) {
        this->close();
        this->reportReached(false);
        return;
    }
    if (!this->connected) {
        this->fail(ErrorKind::ConnectionFailed, "cannot connect");
        return;
    }
    // An answer without a length is complete when the server closes its connection, but not when the connection is
    // reset or the server did not receive the whole request: a process that ends closes its connections in order, too.
    if (error == 0 && this->isRequestReceived() && this->headHandled && !this->stray && this->parser != nullptr
        && this->parser->need_eof()) {
        boost::beast::error_code problem;
        this->parser->put_eof(problem);
        if (!problem && this->parser->is_done()) {
            this->complete();
            return;
        }
    }
    if (error == ETIMEDOUT) {
        this->fail(ErrorKind::Timeout, "nothing was acknowledged in time");
        return;
    }
    this->fail(ErrorKind::StreamCut, error != 0 ? "connection reset" : "connection closed");
}

Connection *Pool::takeIdle(const std::string &address)
{
    const auto found = this->idle.find(address);
    if (found == this->idle.end()) {
        return nullptr;
    }
    Connection *taken = nullptr;
    auto &numbers = found->second;
    while (!numbers.empty() && taken == nullptr) {
        const std::uint64_t number = numbers.back();
        numbers.pop_back();
        const auto entry = this->connections.find(number);
        if (entry == this->connections.end()) {
            continue;
        }
        if (entry->second->isUsable(this->loop.now())) {
            taken = entry->second.get();
        } else {
            entry->second->close();
        }
    }
    if (numbers.empty()) {
        this->idle.erase(found);
    }
    return taken;
}

// Returns null when the connection attempt cannot be started.
Connection *Pool::open(const std::string &address, std::chrono::milliseconds timeout)
{
    const std::uint64_t id = this->nextId++;
    auto made = std::make_unique<Connection>(*this, id, address);
    if (!made->connect(timeout)) {
        return nullptr;
    }
    return this->connections.emplace(id, std::move(made)).first->second.get();
}

void Pool::reach(const std::string &address, std::chrono::milliseconds timeout, std::function<void(bool)> done)
{
    if (Connection *connection = this->open(address, timeout); connection != nullptr) {
        connection->onReached(std::move(done));
    }
}

void Pool::closeIdle(const std::string &address)
{
    if (const auto found = this->idle.find(address); found != this->idle.end()) {
        const auto numbers = std::move(found->second);
        this->idle.erase(found);
        for (const std::uint64_t number : numbers) {
            this->cancel(number);
        }
    }
}

std::unique_ptr<HttpPending> Pool::start(PooledCall call, PooledCallbacks callbacks)
{
    auto running = std::make_shared<Call>(Call {std::move(call), std::move(callbacks)});
    Connection *connection = this->takeIdle(running->call.address);
    if (connection != nullptr) {
        ++this->counters.reused;
    } else {
        connection = this->open(running->call.address, running->call.connectTimeout);
    }
    if (connection == nullptr) {
        const std::uint64_t number = this->nextFailure++;
        // The timer's callback owns the call until onFailure has been called.
        this->failures[number] = this->loop.after(Duration::zero(), [this, number, running] {
            const auto timer = std::move(this->failures[number]);
            this->failures.erase(number);
            running->ended = true;
            if (const auto onFailure = running->callbacks.onFailure) {
                onFailure({Error {ErrorKind::ConnectionFailed, "cannot connect"}, false});
            }
        });
        return std::make_unique<Pending>(*this, NoConnection, running);
    }
    auto pending = std::make_unique<Pending>(*this, connection->number(), running);
    connection->serve(std::move(running));
    return pending;
}

} // namespace

std::unique_ptr<HttpPool> HttpPool::create(Loop &loop, std::chrono::milliseconds idleTime)
{
    return std::make_unique<Pool>(loop, idleTime);
}

} // namespace endivespan
