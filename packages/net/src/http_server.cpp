#include "http_head_p.h"
#include "net_p.h"
#include "request_body_p.h"

#include <endivespan/byte_budget.h>
#include <endivespan/config.h>
#include <endivespan/http_server.h>
#include <endivespan/log.h>
#include <endivespan/text.h>

#include <arpa/inet.h>
#include <boost/beast/http/parser.hpp>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>
#include <event2/listener.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/ioctl.h>
#include <sys/resource.h>
#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <cctype>
#include <cerrno>
#include <cstring>
#include <poll.h>
#include <set>
#include <utility>
#include <vector>

namespace endivespan {

namespace {

namespace http = boost::beast::http;

using Parser = http::request_parser<RequestBody>;

constexpr std::string_view HeadEnd = "\r\n\r\n";
constexpr std::string_view ContinueAnswer = "HTTP/1.1 100 Continue\r\n\r\n";

enum Status {
    BadRequest = 400,
    RequestTimeout = 408,
    BodyTooLarge = 413,
    HeadTooLarge = 431,
    NotImplemented = 501,
    Unavailable = 503,
    VersionNotSupported = 505,
};

std::map<std::string, std::string> parseQuery(const std::string &text)
{
    std::map<std::string, std::string> fields;
    evkeyvalq parsed;
    if (!text.empty() && evhttp_parse_query_str(text.c_str(), &parsed) == 0) {
        for (const evkeyval *entry = parsed.tqh_first; entry != nullptr; entry = entry->next.tqe_next) {
            fields[entry->key] = entry->value;
        }
        evhttp_clear_headers(&parsed);
    }
    return fields;
}

std::string decodedPath(const std::string &path)
{
    std::size_t size = 0;
    char *decoded = evhttp_uridecode(path.empty() ? "/" : path.c_str(), 0, &size);
    std::string text = decoded == nullptr ? std::string("/") : std::string(decoded, size);
    std::free(decoded);
    return text;
}

bool hasBody(int status)
{
    return status >= 200 && status != 204 && status != 304;
}

bool isFramingField(std::string_view name)
{
    const std::string lower = lowerCase(name);
    return lower == "content-length" || lower == "transfer-encoding" || lower == "connection" || lower == "keep-alive";
}

void appendHead(std::string &out, int status, const HttpHeaders &headers)
{
    const auto reason = viewOf(http::obsolete_reason(http::int_to_status(static_cast<unsigned>(status))));
    out += "HTTP/1.1 " + std::to_string(status) + " ";
    out += reason;
    out += "\r\n";
    for (const auto &[name, value] : headers) {
        if (!isFramingField(name)) {
            out.append(name).append(": ").append(value).append("\r\n");
        }
    }
}

ByteBudgetLimits budgetLimits(const HttpServerLimits &limits)
{
    rlimit descriptors {};
    getrlimit(RLIMIT_NOFILE, &descriptors);
    return {limits.requestBytes,
            descriptors.rlim_cur / config::IncompleteDescriptorsPart,
            descriptors.rlim_cur / config::RefusedDescriptorsPart,
            config::SmallRequestBytes,
            limits.requestBytes / config::SmallRequestsPart};
}

// Returns the memory that a head takes in all the forms in which it is held until its request is over. A field without
// a value takes many times its size.
std::size_t headMemory(std::size_t size, const Parser::value_type &head)
{
    const auto fields = static_cast<std::size_t>(std::distance(head.begin(), head.end()));
    return size * config::HeadCopies + fields * config::HeaderFieldBytes;
}

/// Counts what a request holds until it is destroyed, which may be long after its connection was lost.
class HeldRequest
{
public:
    HeldRequest(std::shared_ptr<ByteBudget> budget, std::uint64_t id, std::size_t bytes)
        : budget(std::move(budget))
        , id(id)
    {
        this->budget->record(id, ByteBudget::Phase::Complete, bytes);
    }

    ~HeldRequest()
    {
        this->budget->remove(this->id);
    }

    HeldRequest(const HeldRequest &) = delete;
    HeldRequest &operator=(const HeldRequest &) = delete;

private:
    std::shared_ptr<ByteBudget> budget;
    std::uint64_t id;
};

class Server;
class Connection;

class Exchange : public HttpExchange
{
public:
    Exchange(Connection &connection, HttpRequest request, std::unique_ptr<HeldRequest> held)
        : connection(&connection)
        , received(std::move(request))
        , held(std::move(held))
    {
    }

    const HttpRequest &request() const override
    {
        return this->received;
    }

    void reply(int status, const HttpHeaders &headers, std::string_view body) override;
    void startStream(int status, const HttpHeaders &headers) override;
    void sendChunk(std::string_view bytes) override;
    void endStream() override;
    void abort() override;
    void closeAfterAnswer() override;

    void onClosed(std::function<void(CallerLoss)> callback) override
    {
        this->closed = std::move(callback);
    }

    void onInputEnded(std::function<void()> callback) override
    {
        this->inputEnded = std::move(callback);
    }

    bool isOpen() const override
    {
        return this->connection != nullptr;
    }

    std::size_t backlogBytes() const override;

    /// Handles the loss of the caller's connection; calls the closed callback unless @p silent.
    void onConnectionLost(CallerLoss loss, bool silent)
    {
        this->connection = nullptr;
        this->inputEnded = nullptr;
        if (const auto callback = std::exchange(this->closed, nullptr); callback && !silent) {
            callback(loss);
        }
    }

    /// @returns whether the exchange goes on after the end of the caller's input.
    bool reportInputEnd()
    {
        const auto callback = std::exchange(this->inputEnded, nullptr);
        if (!callback) {
            this->onConnectionLost(CallerLoss::Disconnected, false);
            return false;
        }
        callback();
        return true;
    }

private:
    Connection *finish()
    {
        this->closed = nullptr;
        this->inputEnded = nullptr;
        return std::exchange(this->connection, nullptr);
    }

    Connection *connection;
    HttpRequest received;
    std::unique_ptr<HeldRequest> held;
    std::function<void(CallerLoss)> closed;
    std::function<void()> inputEnded;
};

/// One caller's connection; processes its requests one at a time.
class Connection
{
public:
    Connection(Server &server, std::uint64_t id, evutil_socket_t socket, std::string peer);
    ~Connection();
    Connection(const Connection &) = delete;
    Connection &operator=(const Connection &) = delete;

    void write(std::string_view bytes);
    void onAnswerComplete();
    void abort();
    void closeAfterAnswer();
    /// Returns the last lines of an answer's header, which say for how long the connection is kept. It is closed only
    /// behind an answer that says so.
    [[nodiscard]] std::string endOfHead();
    [[nodiscard]] bool isIdle() const;
    /// Returns whether bytes from the caller wait to be read, or bytes to the caller to be written.
    [[nodiscard]] bool hasQueuedBytes() const;
    void restartIdleTimer();
    [[nodiscard]] bool isAnswering() const;
    [[nodiscard]] std::size_t backlogBytes() const;
    /// Reports what the connection holds to the budget of the server.
    void account();
    /// Refuses the request, which is incomplete, to free its memory. The connection may be destroyed.
    void refuseIncomplete();
    /// Returns whether bytes from the caller wait in the kernel.
    [[nodiscard]] bool hasUnreadBytes() const;

private:
    enum class State {
        Reading,
        Answering,
        Draining, ///< The last answer is being sent; further input is discarded.
    };

    static void onRead(bufferevent *stream, void *context);
    static void onWritten(bufferevent *stream, void *context);
    static void onEvent(bufferevent *stream, short what, void *context);
    void parse();
    bool parseHead();
    bool acceptHead();
    bool parseBody();
    void reject(int status, std::string_view reason, const HttpHeaders &headers = {});
    void dispatch();
    void compactInput();
    [[nodiscard]] ByteBudget::Phase phase() const;
    [[nodiscard]] std::size_t requestBytes() const;
    [[nodiscard]] bool collectHeaders(HttpRequest &request, std::string_view &problem) const;
    void setState(State next);
    void updateTimeouts();
    void drain();
    void onReadTimeout();
    void onWriteTimeout();
    void onInputEnd();
    void watchForReset();
    void remove(CallerLoss how = CallerLoss::Disconnected);
    /// Returns whether bytes from the caller wait to be parsed, here or in the kernel.
    [[nodiscard]] bool hasInput() const;
    /// Returns whether the next request waits until the caller has read more of the answers before.
    [[nodiscard]] bool isHeldBack() const;
    [[nodiscard]] bool isReset() const;

    Server &server;
    std::uint64_t id;
    bufferevent *stream;
    std::string peer;
    State state = State::Reading;
    std::unique_ptr<Parser> parser;
    bool headComplete = false;
    bool readingRequest = false; ///< Bytes of the next request were received.
    bool isFresh = true; ///< No byte was received yet.
    bool isRefused = false; ///< A request was rejected before it was passed to the handler.
    std::size_t headBytes = 0; ///< As headMemory() returns, for the request that is being received.
    TimePoint refusedAt;
    bool keepOpen = true;
    bool closeAnnounced = false; ///< The header of an answer has said that the connection is closed after it.
    bool parsing = false;
    bool inputEnded = false; ///< The caller has closed its sending direction.
    std::unique_ptr<Timer> resetCheck; ///< While a caller whose input has ended is answered.
    CallerLoss loss = CallerLoss::Disconnected; ///< Reported to the exchange when the connection is destroyed.
    TimePoint requestBegan;
    std::shared_ptr<Exchange> exchange;
};

class Server : public HttpServer
{
public:
    Server(Loop &loop, HttpServerLimits limits, HttpHandler handler)
        : loop(loop)
        , budget(std::make_shared<ByteBudget>(budgetLimits(limits)))
        , handler(std::move(handler))
        , bounds(std::move(limits))
    {
    }

    ~Server() override
    {
        // Exchanges must not call back during destruction.
        this->silent = true;
        this->closeListener();
        this->open.clear();
    }

    Server(const Server &) = delete;
    Server &operator=(const Server &) = delete;

    bool bind(const std::string &address)
    {
        const auto [host, portNumber] = splitAddress(address);
        sockaddr_in place {};
        place.sin_family = AF_INET;
        place.sin_port = htons(static_cast<std::uint16_t>(portNumber));
        if (inet_pton(AF_INET, host.c_str(), &place.sin_addr) != 1) {
            return false;
        }
        this->listener = evconnlistener_new_bind(this->loop.base(),
                                                 &Server::accepted,
                                                 this,
                                                 LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE | LEV_OPT_CLOSE_ON_EXEC,
                                                 config::CallerBacklog,
                                                 reinterpret_cast<const sockaddr *>(&place),
                                                 sizeof(place));
        if (this->listener == nullptr) {
            return false;
        }
        evconnlistener_set_error_cb(this->listener, &Server::acceptFailed);
        this->boundPort = localPort(evconnlistener_get_fd(this->listener));
        return true;
    }

    int port() const override
    {
        return this->boundPort;
    }

    void stopAccepting() override
    {
        if (this->listener != nullptr) {
            this->acceptQueued();
            this->closeListener();
        }
    }

    void setLimits(const HttpServerLimits &limits) override
    {
        const std::chrono::milliseconds before = this->idleTimeout();
        if (limits.idleTimeout < this->bounds.idleTimeout) {
            this->earlierIdleTimeout = before;
            this->earlierIdleUntil = this->loop.now() + before;
        }
        this->bounds = limits;
        this->budget->setLimits(budgetLimits(limits));
        if (this->idleTimeout() > before) {
            for (const auto &[id, connection] : this->open) {
                connection->restartIdleTimer();
            }
        }
    }

    /// Returns the idle timeout. After it was lowered the earlier one holds for as long as a caller may count on it.
    [[nodiscard]] std::chrono::milliseconds idleTimeout() const
    {
        return this->loop.now() < this->earlierIdleUntil ? std::max(this->earlierIdleTimeout, this->bounds.idleTimeout)
                                                         : this->bounds.idleTimeout;
    }

    void closeAfterAnswers() override
    {
        this->closing = true;
    }

    void closeIdle() override
    {
        std::erase_if(this->open, [](const auto &entry) { return entry.second->isIdle(); });
    }

    bool hasQueuedBytes() const override
    {
        return std::any_of(
            this->open.begin(), this->open.end(), [](const auto &entry) { return entry.second->hasQueuedBytes(); });
    }

    std::size_t connections() const override
    {
        return this->open.size();
    }

    std::size_t openExchanges() const override
    {
        return static_cast<std::size_t>(std::count_if(
            this->open.begin(), this->open.end(), [](const auto &entry) { return entry.second->isAnswering(); }));
    }

    HttpRequestStats requestStats() const override
    {
        return {this->budget->held(), this->budget->incomplete(), this->refused};
    }

    /// Refuses incomplete requests until those of all callers are within the limits. Destroys connections.
    void enforceBudget()
    {
        std::size_t passedOver = 0;
        while (const auto id = this->budget->toRefuse()) {
            Connection &connection = *this->open.at(*id);
            // A caller whose bytes have not been read yet is no slower than this process.
            if (passedOver < config::RefusalsPassedOver && connection.hasUnreadBytes()) {
                ++passedOver;
                connection.account();
                continue;
            }
            this->refuse(*id);
        }
        while (const auto id = this->budget->toClose()) {
            this->remove(*id);
        }
    }

    /// Makes room for a request that has been received and is counted as incomplete for the last time, by refusing
    /// others. @returns false when it was refused itself.
    bool admit(std::uint64_t admitted)
    {
        while (const auto id = this->budget->toRefuse()) {
            this->refuse(*id);
            if (*id == admitted) {
                return false;
            }
        }
        return true;
    }

    /// Returns the account of a request that has been admitted.
    std::unique_ptr<HeldRequest> hold(std::size_t bytes)
    {
        return std::make_unique<HeldRequest>(this->budget, this->nextId++, bytes);
    }

    /// Returns whether the requests of all callers hold much of what they may, so that none should be buffered ahead.
    [[nodiscard]] bool isCrowded() const
    {
        return this->budget->held() > this->bounds.requestBytes / config::CrowdedPart;
    }

    [[nodiscard]] const HttpServerLimits &limits() const
    {
        return this->bounds;
    }

    [[nodiscard]] bool isSilent() const
    {
        return this->silent;
    }

    [[nodiscard]] bool isClosing() const
    {
        return this->closing;
    }

    void handle(const std::shared_ptr<HttpExchange> &exchange)
    {
        this->handler(exchange);
    }

    void remove(std::uint64_t id)
    {
        this->open.erase(id);
    }

    Loop &loop;
    std::shared_ptr<ByteBudget> budget; ///< Shared with requests that outlive the server.

private:
    void refuse(std::uint64_t id)
    {
        ++this->refused;
        this->open.at(id)->refuseIncomplete();
    }

    static void accepted(evconnlistener *, evutil_socket_t socket, sockaddr *address, int, void *context)
    {
        auto *server = static_cast<Server *>(context);
        char text[INET_ADDRSTRLEN] = "";
        inet_ntop(AF_INET, &reinterpret_cast<sockaddr_in *>(address)->sin_addr, text, sizeof(text));
        const int on = 1;
        setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
        const std::uint64_t id = server->nextId++;
        server->open.emplace(id, std::make_unique<Connection>(*server, id, socket, text));
        server->enforceBudget();
    }

    // Closing the listening socket resets the connections that wait to be accepted, whose callers may have sent a
    // request already.
    void acceptQueued()
    {
        while (true) {
            sockaddr_in place {};
            socklen_t size = sizeof(place);
            const int socket = accept4(evconnlistener_get_fd(this->listener),
                                       reinterpret_cast<sockaddr *>(&place),
                                       &size,
                                       SOCK_NONBLOCK | SOCK_CLOEXEC);
            if (socket < 0 && (errno == EINTR || errno == ECONNABORTED)) {
                continue;
            }
            if (socket < 0) {
                return;
            }
            Server::accepted(this->listener, socket, reinterpret_cast<sockaddr *>(&place), sizeof(place), this);
        }
    }

    void closeListener()
    {
        if (this->listener != nullptr) {
            evconnlistener_free(std::exchange(this->listener, nullptr));
        }
    }

    // Pauses accepting. When the process is out of file descriptors, the listening socket stays readable and the event
    // loop would retry accept() in a busy loop.
    static void acceptFailed(evconnlistener *listener, void *context)
    {
        auto *server = static_cast<Server *>(context);
        logLine("http", "cannot accept a connection: {}", evutil_socket_error_to_string(EVUTIL_SOCKET_ERROR()));
        evconnlistener_disable(listener);
        server->acceptTimer = server->loop.after(config::AcceptPause, [server] {
            if (server->listener != nullptr) {
                evconnlistener_enable(server->listener);
            }
        });
    }

    HttpHandler handler;
    HttpServerLimits bounds;
    std::chrono::milliseconds earlierIdleTimeout {};
    TimePoint earlierIdleUntil;
    evconnlistener *listener = nullptr;
    std::unique_ptr<Timer> acceptTimer;
    int boundPort = 0;
    bool closing = false;
    bool silent = false;
    std::uint64_t nextId = 1;
    std::uint64_t refused = 0; ///< Incomplete requests refused by the budget.
    std::map<std::uint64_t, std::unique_ptr<Connection>> open;
};

void Exchange::reply(int status, const HttpHeaders &headers, std::string_view body)
{
    if (this->connection == nullptr) {
        return;
    }
    std::string out;
    appendHead(out, status, headers);
    if (hasBody(status)) {
        out += "Content-Length: " + std::to_string(body.size()) + "\r\n";
    }
    out += this->connection->endOfHead();
    if (hasBody(status) && this->received.method != "HEAD") {
        out += body;
    }
    Connection *answering = this->finish();
    answering->write(out);
    answering->onAnswerComplete();
}

void Exchange::startStream(int status, const HttpHeaders &headers)
{
    if (this->connection == nullptr) {
        return;
    }
    std::string out;
    appendHead(out, status, headers);
    out += "Transfer-Encoding: chunked\r\n";
    out += this->connection->endOfHead();
    this->connection->write(out);
}

void Exchange::sendChunk(std::string_view bytes)
{
    if (this->connection == nullptr || bytes.empty()) {
        return;
    }
    char size[24];
    std::string out(size, static_cast<std::size_t>(std::snprintf(size, sizeof(size), "%zx\r\n", bytes.size())));
    out += bytes;
    out += "\r\n";
    this->connection->write(out);
}

void Exchange::endStream()
{
    if (this->connection == nullptr) {
        return;
    }
    Connection *answering = this->finish();
    answering->write("0\r\n\r\n");
    answering->onAnswerComplete();
}

void Exchange::abort()
{
    if (this->connection != nullptr) {
        this->finish()->abort();
    }
}

void Exchange::closeAfterAnswer()
{
    if (this->connection != nullptr) {
        this->connection->closeAfterAnswer();
    }
}

std::size_t Exchange::backlogBytes() const
{
    return this->connection == nullptr ? 0 : this->connection->backlogBytes();
}

Connection::Connection(Server &server, std::uint64_t id, evutil_socket_t socket, std::string peer)
    : server(server)
    , id(id)
    , stream(bufferevent_socket_new(server.loop.base(), socket, BEV_OPT_CLOSE_ON_FREE))
    , peer(std::move(peer))
{
    bufferevent_setcb(this->stream, &Connection::onRead, &Connection::onWritten, &Connection::onEvent, this);
    this->updateTimeouts();
    bufferevent_enable(this->stream, EV_READ | EV_WRITE);
    this->account();
}

Connection::~Connection()
{
    this->server.budget->remove(this->id);
    // libevent closes the socket of a freed bufferevent only after the current callbacks. While many connections are
    // accepted, descriptors would run out meanwhile.
    const evutil_socket_t socket = bufferevent_getfd(this->stream);
    bufferevent_setfd(this->stream, -1);
    evutil_closesocket(socket);
    bufferevent_free(this->stream);
    if (this->exchange) {
        this->exchange->onConnectionLost(this->loss, this->server.isSilent());
    }
}

void Connection::write(std::string_view bytes)
{
    bufferevent_write(this->stream, bytes.data(), bytes.size());
}

std::string Connection::endOfHead()
{
    // Requests that were sent ahead are answered before the connection is closed.
    this->closeAnnounced = !this->keepOpen || (this->server.isClosing() && !this->hasInput());
    if (this->closeAnnounced) {
        return "Connection: close\r\n\r\n";
    }
    // A request that is sent as late as a caller is told arrives before the idle timeout.
    const auto kept = std::chrono::floor<std::chrono::seconds>(this->server.idleTimeout() - config::KeepAliveMargin);
    return kept.count() > 0 ? "Keep-Alive: timeout=" + std::to_string(kept.count()) + "\r\n\r\n" : "\r\n";
}

void Connection::closeAfterAnswer()
{
    this->keepOpen = false;
}

bool Connection::isIdle() const
{
    return this->state == State::Reading && !this->readingRequest && !this->hasInput();
}

bool Connection::hasInput() const
{
    return evbuffer_get_length(bufferevent_get_input(this->stream)) > 0 || this->hasUnreadBytes();
}

bool Connection::isHeldBack() const
{
    return this->state == State::Reading && !this->readingRequest && this->backlogBytes() > config::PipelinedAnswerBytes
        && evbuffer_get_length(bufferevent_get_input(this->stream)) > 0;
}

bool Connection::hasUnreadBytes() const
{
    int bytes = 0;
    return ioctl(bufferevent_getfd(this->stream), FIONREAD, &bytes) == 0 && bytes > 0;
}

bool Connection::isReset() const
{
    pollfd state {bufferevent_getfd(this->stream), 0, 0};
    return poll(&state, 1, 0) > 0 && (state.revents & (POLLERR | POLLHUP)) != 0;
}

bool Connection::hasQueuedBytes() const
{
    return this->backlogBytes() > 0 || (this->state == State::Reading && this->hasUnreadBytes());
}

void Connection::restartIdleTimer()
{
    if (this->state == State::Reading && !this->readingRequest) {
        this->updateTimeouts();
    }
}

bool Connection::isAnswering() const
{
    return this->state == State::Answering;
}

std::size_t Connection::backlogBytes() const
{
    return evbuffer_get_length(bufferevent_get_output(this->stream));
}

void Connection::onAnswerComplete()
{
    this->exchange.reset();
    this->resetCheck.reset();
    this->readingRequest = false;
    if (this->closeAnnounced) {
        this->drain();
        return;
    }
    this->headBytes = 0;
    this->setState(State::Reading);
    // A pipelined request is parsed once the current callbacks have returned.
    if (!this->parsing && (this->inputEnded || evbuffer_get_length(bufferevent_get_input(this->stream)) > 0)) {
        bufferevent_trigger(this->stream, EV_READ, BEV_TRIG_IGNORE_WATERMARKS | BEV_TRIG_DEFER_CALLBACKS);
    }
}

// The bytes queued so far are still sent; the caller recognises the truncated answer by its missing end.
void Connection::abort()
{
    this->exchange.reset();
    this->resetCheck.reset();
    this->drain();
}

// Closing a socket with unread input makes the kernel reset the connection, and the caller might lose the answer.
// Therefore only the sending direction is shut down, and input is discarded until the caller closes.
void Connection::drain()
{
    this->setState(State::Draining);
    if (this->backlogBytes() == 0) {
        bufferevent_trigger(this->stream, EV_WRITE, BEV_TRIG_DEFER_CALLBACKS);
    }
}

void Connection::setState(State next)
{
    this->state = next;
    this->updateTimeouts();
    this->account();
}

ByteBudget::Phase Connection::phase() const
{
    if (this->state == State::Reading) {
        return this->isHeldBack() ? ByteBudget::Phase::Complete : ByteBudget::Phase::Incomplete;
    }
    // After the end of the input no request can become complete.
    const bool hasLeft = this->state == State::Draining && this->inputEnded && this->backlogBytes() == 0;
    return this->isRefused || hasLeft ? ByteBudget::Phase::Refused : ByteBudget::Phase::Complete;
}

std::size_t Connection::requestBytes() const
{
    std::size_t bytes = this->headBytes + evbuffer_get_length(bufferevent_get_input(this->stream));
    if (this->parser) {
        bytes += this->parser->get().body().capacity();
    }
    return bytes;
}

void Connection::account()
{
    // Between two requests a connection may stay open for as long as the idle timeout says. It has been told so, and a
    // request may be on its way.
    if (this->state == State::Reading && !this->readingRequest && !this->isFresh && !this->isHeldBack()) {
        this->server.budget->remove(this->id);
        return;
    }
    this->server.budget->record(this->id, this->phase(), config::CallerConnectionBytes + this->requestBytes());
}

void Connection::refuseIncomplete()
{
    if (!this->readingRequest) {
        this->remove();
        return;
    }
    const std::uint64_t wait = config::RefusedRetryLeast + this->id % (config::RefusedRetrySpread + 1);
    this->reject(
        Unavailable, "too many requests at once; this one has not run", {{"Retry-After", std::to_string(wait)}});
}

void Connection::updateTimeouts()
{
    const HttpServerLimits &limits = this->server.limits();
    std::chrono::milliseconds read = this->server.idleTimeout();
    std::size_t most = this->server.isCrowded() ? config::PipelinedBytesLeast : config::PipelinedBytes;
    if (this->state == State::Draining) {
        read = config::CallerLingerTime;
    } else if (this->readingRequest) {
        read = limits.readTimeout;
        most = limits.maxHeaderBytes + config::PipelinedBytes;
    }
    const timeval readWait = toTimeval(read);
    const timeval writeWait = toTimeval(limits.writeTimeout);
    bufferevent_set_timeouts(this->stream, this->state == State::Answering ? nullptr : &readWait, &writeWait);
    bufferevent_setwatermark(this->stream, EV_READ, 0, most);
}

void Connection::onRead(bufferevent *, void *context)
{
    auto *self = static_cast<Connection *>(context);
    if (self->state == State::Reading) {
        self->parse();
        self->compactInput();
    } else if (self->state == State::Draining) {
        evbuffer *input = bufferevent_get_input(self->stream);
        evbuffer_drain(input, evbuffer_get_length(input));
        if (self->isRefused && self->server.loop.now() - self->refusedAt > config::RefusedSendTime) {
            self->remove();
            return;
        }
    }
    self->account();
    self->server.enforceBudget(); // May destroy this connection.
}

// The rest of a chunk's size would otherwise keep the memory of a whole read.
void Connection::compactInput()
{
    evbuffer *input = bufferevent_get_input(this->stream);
    const std::size_t size = evbuffer_get_length(input);
    if (this->state != State::Reading || size == 0 || size > config::ShortInputBytes) {
        return;
    }
    std::array<char, config::ShortInputBytes> rest {};
    evbuffer_remove(input, rest.data(), size);
    // A bufferevent lets no one but itself add to the end of its input.
    evbuffer_prepend(input, rest.data(), size);
}

void Connection::onWritten(bufferevent *, void *context)
{
    auto *self = static_cast<Connection *>(context);
    if (self->state == State::Reading && evbuffer_get_length(bufferevent_get_input(self->stream)) > 0) {
        bufferevent_trigger(self->stream, EV_READ, BEV_TRIG_IGNORE_WATERMARKS | BEV_TRIG_DEFER_CALLBACKS);
    }
    if (self->state != State::Draining) {
        return;
    }
    if (self->inputEnded) {
        self->remove();
    } else {
        shutdown(bufferevent_getfd(self->stream), SHUT_WR);
    }
}

void Connection::onEvent(bufferevent *, short what, void *context)
{
    auto *self = static_cast<Connection *>(context);
    if ((what & BEV_EVENT_TIMEOUT) != 0) {
        (what & BEV_EVENT_READING) != 0 ? self->onReadTimeout() : self->onWriteTimeout();
    } else if ((what & BEV_EVENT_EOF) != 0) {
        self->onInputEnd();
    } else {
        self->remove();
    }
}

// The end of the input does not tell whether the caller has left or only has nothing more to send. What was read is
// answered.
void Connection::onInputEnd()
{
    const bool isNew = !std::exchange(this->inputEnded, true);
    if (this->state == State::Reading) {
        this->parse();
    } else if (this->state == State::Draining && this->backlogBytes() == 0) {
        this->remove();
    } else if (this->state == State::Answering && isNew) {
        this->watchForReset();
    }
}

// libevent reads no more after the end of the input, so that it would not notice a reset before the next write.
void Connection::watchForReset()
{
    this->resetCheck = this->server.loop.every(config::CallerResetCheckPeriod, [this] {
        if (this->isReset()) {
            this->remove();
        }
    });
    const std::shared_ptr<Exchange> held = this->exchange;
    if (!held->reportInputEnd()) {
        this->abort();
    }
}

void Connection::onReadTimeout()
{
    // The process may have been paused. What arrived meanwhile counts as received in time.
    if (this->state == State::Reading && this->hasUnreadBytes()) {
        bufferevent_enable(this->stream, EV_READ);
        return;
    }
    if (this->state == State::Reading && this->readingRequest) {
        this->reject(RequestTimeout, "request not received in time");
        bufferevent_enable(this->stream, EV_READ);
        return;
    }
    // The caller is still reading its answer. If it stops reading, the write timeout closes the connection.
    if (this->state != State::Answering && this->backlogBytes() > 0) {
        bufferevent_enable(this->stream, EV_READ);
        return;
    }
    this->remove();
}

void Connection::onWriteTimeout()
{
    // The process may have been paused. What the caller read meanwhile counts as read in time.
    pollfd state {bufferevent_getfd(this->stream), POLLOUT, 0};
    if (poll(&state, 1, 0) > 0 && (state.revents & POLLOUT) != 0) {
        bufferevent_enable(this->stream, EV_WRITE);
        return;
    }
    this->remove(CallerLoss::Stalled);
}

void Connection::remove(CallerLoss how)
{
    this->loss = how;
    if (const std::size_t unsent = this->backlogBytes(); unsent > 0 && this->state != State::Answering) {
        logLine("http",
                "{} bytes of an answer to {} were not sent: {}",
                unsent,
                this->peer,
                how == CallerLoss::Stalled ? "the caller read nothing for too long" : "the caller disconnected");
    }
    this->server.remove(this->id);
}

void Connection::parse()
{
    if (this->parsing) {
        return;
    }
    this->parsing = true;
    evbuffer *input = bufferevent_get_input(this->stream);
    while (this->state == State::Reading && evbuffer_get_length(input) > 0 && !this->isHeldBack()) {
        if (!this->readingRequest) {
            this->readingRequest = true;
            this->isFresh = false;
            this->requestBegan = this->server.loop.now();
            this->parser.reset();
            this->headComplete = false;
            this->updateTimeouts();
        }
        if (!(this->headComplete ? this->parseBody() : this->parseHead())) {
            break;
        }
    }
    this->parsing = false;
    if (this->inputEnded && this->state == State::Reading && !this->isHeldBack()) {
        this->drain();
    }
}

// Parses the head of a request. Returns false when more input is needed or the request was rejected.
bool Connection::parseHead()
{
    evbuffer *input = bufferevent_get_input(this->stream);
    const std::size_t most = this->server.limits().maxHeaderBytes;
    const auto *bytes = reinterpret_cast<const char *>(evbuffer_pullup(input, -1));
    const std::string_view all(bytes, evbuffer_get_length(input));
    // Some clients send an extra line end after a body; it is skipped.
    if (all.starts_with("\r\n")) {
        evbuffer_drain(input, 2);
        return true;
    }
    const std::size_t end = all.find(HeadEnd);
    const std::string_view head = all.substr(0, end == std::string_view::npos ? end : end + HeadEnd.size());
    if (const auto problem = headBytesProblem(head)) {
        this->reject(BadRequest, *problem);
        return false;
    }
    if (head.size() > most) {
        this->reject(HeadTooLarge, "request head too large");
        return false;
    }
    if (end == std::string_view::npos) {
        if (this->server.loop.now() - this->requestBegan > this->server.limits().readTimeout) {
            this->reject(RequestTimeout, "request head not received in time");
        }
        return false;
    }
    this->parser = std::make_unique<Parser>();
    this->parser->header_limit(static_cast<std::uint32_t>(most));
    this->parser->body_limit(this->server.limits().maxBodyBytes);
    this->parser->eager(true);
    boost::beast::error_code error;
    const std::size_t used = this->parser->put(boost::asio::const_buffer(head.data(), head.size()), error);
    if (error == http::error::body_limit) {
        this->reject(BodyTooLarge, "request body too large");
        return false;
    }
    if ((error && error != http::error::need_more) || used != head.size() || !this->parser->is_header_done()) {
        this->reject(BadRequest, error ? error.message() : "malformed request head");
        return false;
    }
    evbuffer_drain(input, used);
    this->headBytes = headMemory(used, this->parser->get());
    this->headComplete = true;
    return this->acceptHead();
}

bool Connection::acceptHead()
{
    const auto &request = this->parser->get();
    if (request.version() != 11) {
        this->reject(VersionNotSupported, "only HTTP/1.1 is supported");
        return false;
    }
    if (request.count(http::field::host) != 1) {
        this->reject(BadRequest, "exactly one Host header is required");
        return false;
    }
    if (request.count(http::field::content_length) + request.count(http::field::transfer_encoding) > 1) {
        this->reject(BadRequest, "conflicting Content-Length or Transfer-Encoding headers");
        return false;
    }
    // Some parsers accept a list of equal lengths as one length and others reject it; this ambiguity allows request
    // smuggling.
    if (const auto length = request.find(http::field::content_length); length != request.end()) {
        const std::string_view digits = viewOf(length->value());
        if (!std::all_of(digits.begin(), digits.end(), [](unsigned char c) { return std::isdigit(c) != 0; })) {
            this->reject(BadRequest, "Content-Length is not a number");
            return false;
        }
    }
    if (const auto coding = request.find(http::field::transfer_encoding);
        coding != request.end() && lowerCase(viewOf(coding->value())) != "chunked") {
        this->reject(NotImplemented, "unsupported transfer coding");
        return false;
    }
    if (this->parser->is_done()) {
        this->dispatch();
        return true;
    }
    if (const auto expect = request.find(http::field::expect);
        expect != request.end() && lowerCase(viewOf(expect->value())) == "100-continue") {
        this->write(ContinueAnswer);
    }
    return true;
}

bool Connection::parseBody()
{
    evbuffer *input = bufferevent_get_input(this->stream);
    const std::size_t size = evbuffer_get_length(input);
    boost::beast::error_code error;
    const std::size_t used = this->parser->put(boost::asio::const_buffer(evbuffer_pullup(input, -1), size), error);
    evbuffer_drain(input, used);
    if (error == http::error::body_limit) {
        this->reject(BodyTooLarge, "request body too large");
        return false;
    }
    if (error && error != http::error::need_more) {
        this->reject(BadRequest, error.message());
        return false;
    }
    if (this->parser->is_done()) {
        this->dispatch();
        return true;
    }
    return used > 0;
}

bool Connection::collectHeaders(HttpRequest &request, std::string_view &problem) const
{
    for (const auto &field : this->parser->get()) {
        const std::string name = lowerCase(viewOf(field.name_string()));
        const std::string_view value = viewOf(field.value());
        const auto [entry, isNew] = request.headers.emplace(name, value);
        if (isNew) {
            continue;
        }
        if (this->server.limits().singleFields.contains(name)) {
            problem = "header field repeated that may occur only once";
            return false;
        }
        entry->second.append(", ").append(value);
    }
    return true;
}

void Connection::dispatch()
{
    const auto &message = this->parser->get();
    HttpRequest request;
    request.method = viewOf(message.method_string());
    request.target = viewOf(message.target());
    const std::size_t query = request.target.find('?');
    request.path = decodedPath(request.target.substr(0, query));
    if (query != std::string::npos) {
        request.query = parseQuery(request.target.substr(query + 1));
    }
    request.peer = this->peer;
    std::string_view problem;
    if (!this->collectHeaders(request, problem)) {
        this->reject(BadRequest, problem);
        return;
    }
    // Until it is over the request is counted on its own, with all that it will hold; it cannot be refused any more.
    const std::size_t bytes = config::RequestRunBytes + this->headBytes + this->parser->get().body().capacity();
    this->server.budget->record(this->id, ByteBudget::Phase::Incomplete, config::CallerConnectionBytes + bytes);
    if (!this->server.admit(this->id)) {
        return;
    }
    this->keepOpen = this->keepOpen && message.keep_alive();
    request.body = this->parser->get().body().take();
    this->parser.reset();
    this->headBytes = 0;
    this->exchange = std::make_shared<Exchange>(*this, std::move(request), this->server.hold(bytes));
    this->setState(State::Answering);
    const std::shared_ptr<Exchange> held = this->exchange;
    this->server.handle(held);
    if (this->inputEnded && this->state == State::Answering) {
        this->watchForReset();
    }
}

// Rejects a request and closes the connection. The request was not passed to a handler, so that it certainly was not
// executed.
void Connection::reject(int status, std::string_view reason, const HttpHeaders &headers)
{
    std::string out;
    HttpHeaders fields = headers;
    fields["Content-Type"] = "text/plain";
    appendHead(out, status, fields);
    out += "Content-Length: " + std::to_string(reason.size()) + "\r\nConnection: close\r\n\r\n";
    out += reason;
    this->write(out);
    // The connection stays open until the caller has read the refusal; what was received is freed now.
    this->parser.reset();
    this->headBytes = 0;
    evbuffer *input = bufferevent_get_input(this->stream);
    evbuffer_drain(input, evbuffer_get_length(input));
    this->isRefused = true;
    this->refusedAt = this->server.loop.now();
    this->drain();
}

} // namespace

Result<std::unique_ptr<HttpServer>>
HttpServer::listen(Loop &loop, const std::string &address, const HttpServerLimits &limits, HttpHandler handler)
{
    auto server = std::make_unique<Server>(loop, limits, std::move(handler));
    if (!server->bind(address)) {
        return Error {ErrorKind::ConnectionFailed, "cannot listen on " + address};
    }
    return std::unique_ptr<HttpServer>(std::move(server));
}

HttpServerLimits defaultHttpServerLimits()
{
    HttpServerLimits limits {config::MaxBodyBytes, config::MaxHeaderBytes, config::CallerReadTimeout};
    limits.singleFields = {"authorization", "content-type", "idempotency-key"};
    return limits;
}

} // namespace endivespan
