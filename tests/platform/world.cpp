#include "world.h"

#include <endivespan/base64.h>
#include <endivespan/config.h>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>

#include <algorithm>
#include <ctime>
#include <stdexcept>
#include <unistd.h>

namespace endivespan::tests {

using nlohmann::json;
using namespace std::chrono_literals;

namespace {

constexpr auto WatchPeriod = 10ms;
constexpr auto StandstillLeast = 100ms; ///< A loop that is late by less is only busy.
const HttpServerLimits WideLimits {16 * 1024 * 1024, 64 * 1024, std::chrono::seconds(60)};

std::string offsetBytes(std::uint64_t value)
{
    std::string bytes;
    for (int shift = 56; shift >= 0; shift -= 8) {
        bytes += static_cast<char>((value >> static_cast<unsigned>(shift)) & 0xffU);
    }
    return bytes;
}

std::string loopback(int port)
{
    return "127.0.0.1:" + std::to_string(port);
}

Duration cpuTime()
{
    return std::chrono::microseconds(std::clock() * (1'000'000 / CLOCKS_PER_SEC));
}

} // namespace

int freePort()
{
    const int probe = socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in place {};
    place.sin_family = AF_INET;
    place.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    if (bind(probe, reinterpret_cast<sockaddr *>(&place), sizeof(place)) != 0) {
        throw std::runtime_error("cannot bind a loopback port");
    }
    socklen_t size = sizeof(place);
    getsockname(probe, reinterpret_cast<sockaddr *>(&place), &size);
    close(probe);
    return ntohs(place.sin_port);
}

StoreStandin::StoreStandin(Loop &loop)
    : loop(loop)
{
    auto listening
        = HttpServer::listen(loop, "127.0.0.1:0", WideLimits, [this](const auto &exchange) { this->handle(exchange); });
    this->server = std::move(listening.value());
}

std::string StoreStandin::address() const
{
    return loopback(this->server->port());
}

StoreStandin::Access &StoreStandin::addAccess()
{
    Access &access = *this->accesses.emplace_back(std::make_unique<Access>());
    auto listening = HttpServer::listen(this->loop, "127.0.0.1:0", WideLimits, [this, &access](const auto &exchange) {
        this->handle(access, exchange);
    });
    access.server = std::move(listening.value());
    return access;
}

void StoreStandin::handle(const Access &access, const std::shared_ptr<HttpExchange> &exchange)
{
    if (access.silent) {
        this->held.push_back(exchange);
    } else if (access.refuses) {
        this->reply(*exchange, 503);
    } else if (access.resets) {
        exchange->abort();
    } else if (access.delay > 0ms) {
        this->timers.push_back(this->loop.after(access.delay, [this, exchange] { this->handle(exchange); }));
    } else {
        this->handle(exchange);
    }
}

void StoreStandin::put(const std::string &name, const std::string &key, const std::optional<std::string> &value)
{
    Topic &topic = this->topics[name];
    const std::uint64_t offset = topic.first + topic.records.size();
    topic.records.push_back(platform::encodeKeyed(key, value.value_or("")));
    if (value) {
        topic.newest[key] = {*value, offset};
    } else {
        topic.newest.erase(key);
    }
}

void StoreStandin::forgetHistory(const std::string &name)
{
    Topic &topic = this->topics[name];
    topic.first += topic.records.size();
    topic.records.clear();
}

std::vector<std::string> StoreStandin::plain(const std::string &topic) const
{
    const auto found = this->topics.find(topic);
    return found == this->topics.end() ? std::vector<std::string> {} : found->second.records;
}

std::optional<std::string> StoreStandin::newest(const std::string &name, const std::string &key) const
{
    const auto topic = this->topics.find(name);
    if (topic == this->topics.end()) {
        return std::nullopt;
    }
    const auto entry = topic->second.newest.find(key);
    return entry == topic->second.newest.end() ? std::nullopt : std::optional(entry->second.first);
}

void StoreStandin::copy()
{
    this->copied = this->topics;
}

void StoreStandin::restore()
{
    this->topics = this->copied;
    ++this->era;
}

void StoreStandin::handle(const std::shared_ptr<HttpExchange> &exchange)
{
    const HttpRequest &request = exchange->request();
    if (this->silent) {
        this->held.push_back(exchange);
        return;
    }
    if (this->down) {
        this->reply(*exchange, 503);
        return;
    }
    const std::string name = request.query.contains("topic") ? request.query.at("topic") : "";
    if (request.path == "/v1/log-newest") {
        this->readNewest(*exchange, name);
    } else if (request.path == "/v1/log-read") {
        const auto wait = std::chrono::milliseconds(std::stol(request.query.at("wait_ms")));
        this->read(exchange, name, this->loop.now() + wait);
    } else if (request.path == "/v1/log-append") {
        this->append(*exchange, name);
    } else {
        this->reply(*exchange, 404);
    }
}

void StoreStandin::reply(HttpExchange &exchange, int status, const std::string &body)
{
    exchange.reply(status, {{"Store-Era", std::to_string(this->era)}}, body);
}

void StoreStandin::readNewest(HttpExchange &exchange, const std::string &name)
{
    const auto found = this->topics.find(name);
    if (found == this->topics.end()) {
        this->reply(exchange, 404);
        return;
    }
    const Topic &topic = found->second;
    json items = json::array();
    for (const auto &[key, entry] : topic.newest) {
        items.push_back({{"key", key}, {"value", toBase64(entry.first)}, {"offset", entry.second}});
    }
    const json body {{"items", items}, {"has_more", false}, {"end", topic.first + topic.records.size()}};
    this->reply(exchange, 200, body.dump());
}

void StoreStandin::read(const std::shared_ptr<HttpExchange> &exchange, const std::string &name, TimePoint until)
{
    const auto found = this->topics.find(name);
    const Topic &topic = found == this->topics.end() ? Topic {} : found->second;
    const std::uint64_t from = std::stoul(exchange->request().query.at("from"));
    const std::uint64_t end = topic.first + topic.records.size();
    if (from < topic.first || from > end) {
        this->reply(*exchange, 410, json {{"first", topic.first}}.dump());
        return;
    }
    if (from < end || this->loop.now() >= until) {
        std::string body = offsetBytes(end) + offsetBytes(topic.first);
        for (std::uint64_t i = from; i < end; ++i) {
            body += platform::encodeRecord(topic.records[i - topic.first]);
        }
        this->reply(*exchange, 200, body);
        return;
    }
    this->timers.push_back(this->loop.after(5ms, [this, exchange, name, until, begun = this->era] {
        if (begun == this->era) {
            this->read(exchange, name, until);
        } else {
            exchange->abort();
        }
    }));
}

void StoreStandin::append(HttpExchange &exchange, const std::string &name)
{
    const HttpRequest &request = exchange.request();
    Topic &topic = this->topics[name];
    const std::uint64_t end = topic.first + topic.records.size();
    if (request.query.contains("at") && std::stoul(request.query.at("at")) != end) {
        this->reply(exchange, 412, json {{"end", end}}.dump());
        return;
    }
    const std::string content = request.body.substr(4);
    if (name.starts_with("keyed.")) {
        const auto size = static_cast<unsigned char>(content[0]);
        const std::string value = content.substr(1 + size);
        this->put(name, content.substr(1, size), value.empty() ? std::nullopt : std::optional(value));
    } else {
        topic.records.push_back(content);
    }
    if (this->lostAppends > 0) {
        --this->lostAppends;
        exchange.abort();
        return;
    }
    this->reply(exchange, 200, json {{"offset", end}, {"end", end + 1}}.dump());
}

std::string ReceivedRequest::field(const std::string &name) const
{
    const std::string start = "\r\n" + name + ": ";
    const std::size_t at = this->head.find(start);
    if (at == std::string::npos) {
        return "";
    }
    const std::size_t begin = at + start.size();
    return this->head.substr(begin, this->head.find("\r\n", begin) - begin);
}

RunnerStandin::RunnerStandin(Loop &loop, std::string id)
    : id(std::move(id))
    , script([](const ReceivedRequest &request) { return Reply {answerTo(request, 200, "done")}; })
    , loop(loop)
{
    this->listen(0);
}

void RunnerStandin::listen(int wantedPort)
{
    sockaddr_in place {};
    place.sin_family = AF_INET;
    place.sin_port = htons(static_cast<std::uint16_t>(wantedPort));
    place.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    this->listener = evconnlistener_new_bind(this->loop.base(),
                                             &RunnerStandin::accepted,
                                             this,
                                             LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE,
                                             64,
                                             reinterpret_cast<sockaddr *>(&place),
                                             sizeof(place));
    if (this->listener == nullptr) {
        throw std::runtime_error("stand-in of a runner cannot listen on its port");
    }
    socklen_t size = sizeof(place);
    getsockname(evconnlistener_get_fd(this->listener), reinterpret_cast<sockaddr *>(&place), &size);
    this->port = ntohs(place.sin_port);
}

RunnerStandin::~RunnerStandin()
{
    this->shutDown();
}

void RunnerStandin::stopListening()
{
    if (this->listener != nullptr) {
        evconnlistener_free(this->listener);
        this->listener = nullptr;
    }
}

void RunnerStandin::stopAnswering()
{
    this->stopListening();
    this->silent = true;
}

void RunnerStandin::resume()
{
    this->silent = false;
    this->listen(this->port);
}

void RunnerStandin::shutDown()
{
    this->stopListening();
    while (!this->connections.empty()) {
        this->drop(this->connections.begin()->first);
    }
}

std::string RunnerStandin::address() const
{
    return loopback(this->port);
}

void RunnerStandin::accepted(evconnlistener *, int socket, sockaddr *, int, void *context)
{
    auto *self = static_cast<RunnerStandin *>(context);
    bufferevent *stream = bufferevent_socket_new(self->loop.base(), socket, BEV_OPT_CLOSE_ON_FREE);
    bufferevent_setcb(stream, &RunnerStandin::onRead, nullptr, &RunnerStandin::onEvent, self);
    bufferevent_enable(stream, EV_READ | EV_WRITE);
    self->connections[stream] = {stream, "", 0, ++self->connectionCount};
}

void RunnerStandin::onEvent(bufferevent *stream, short, void *context)
{
    auto *self = static_cast<RunnerStandin *>(context);
    if (const std::size_t current = self->connections.at(stream).current; current > 0) {
        self->received[current - 1].callerGone = true;
    }
    self->drop(stream);
}

void RunnerStandin::drop(bufferevent *stream)
{
    if (this->connections.erase(stream) > 0) {
        bufferevent_free(stream);
    }
}

void RunnerStandin::onRead(bufferevent *stream, void *context)
{
    auto *self = static_cast<RunnerStandin *>(context);
    Connection &connection = self->connections.at(stream);
    char buffer[65536];
    while (const std::size_t got = bufferevent_read(stream, buffer, sizeof(buffer))) {
        connection.input.append(buffer, got);
    }
    if (!self->silent) {
        self->serve(stream);
    }
    const auto found = self->connections.find(stream);
    if (self->slowReading && found != self->connections.end() && !found->second.input.empty()) {
        bufferevent_disable(stream, EV_READ);
    }
}

void RunnerStandin::readSlowly()
{
    constexpr auto Pause = 100ms; // For one read, of 16 KiB at most.
    this->slowReading = this->loop.every(Pause, [this] { this->enableReading(); });
    // Connections that are accepted have the buffer of the listener.
    const int bytes = 4096;
    setsockopt(evconnlistener_get_fd(this->listener), SOL_SOCKET, SO_RCVBUF, &bytes, sizeof(bytes));
}

void RunnerStandin::readOn()
{
    this->slowReading.reset();
    this->enableReading();
}

void RunnerStandin::enableReading()
{
    for (const auto &[stream, connection] : this->connections) {
        bufferevent_enable(stream, EV_READ);
    }
}

void RunnerStandin::serve(bufferevent *stream)
{
    Connection &connection = this->connections.at(stream);
    const std::size_t end = connection.input.find("\r\n\r\n");
    if (end == std::string::npos) {
        return;
    }
    ReceivedRequest request;
    request.head = connection.input.substr(0, end + 2);
    request.connection = connection.number;
    const std::string length = request.field("content-length");
    const std::size_t size = length.empty() ? 0 : std::stoul(length);
    if (connection.input.size() < end + 4 + size) {
        return;
    }
    request.body = connection.input.substr(end + 4, size);
    connection.input.erase(0, end + 4 + size);
    this->received.push_back(request);
    connection.current = this->received.size();
    const Reply reply = this->script(request);
    if (reply.delay.count() == 0) {
        this->send(stream, reply);
        return;
    }
    this->sendLater(stream, connection.number, reply.delay, reply);
}

void RunnerStandin::sendLater(bufferevent *stream,
                              std::uint64_t number,
                              std::chrono::milliseconds delay,
                              const Reply &reply)
{
    this->closing.push_back(this->loop.after(delay, [this, stream, number, reply] {
        const auto found = this->connections.find(stream);
        if (found != this->connections.end() && found->second.number == number) {
            this->send(stream, reply);
        }
    }));
}

void RunnerStandin::send(bufferevent *stream, const Reply &reply)
{
    Connection &connection = this->connections.at(stream);
    switch (reply.then) {
    case Reply::Then::Keep:
        bufferevent_write(stream, reply.bytes.data(), reply.bytes.size());
        connection.current = 0;
        break;
    case Reply::Then::Hang:
        bufferevent_write(stream, reply.bytes.data(), reply.bytes.size());
        if (!reply.rest.empty()) {
            this->sendLater(stream, connection.number, reply.pause, {reply.rest});
        }
        break;
    case Reply::Then::Close:
    case Reply::Then::Reset:
        // Bypasses the output buffer, which is discarded when the bufferevent is freed.
        (void)::send(bufferevent_getfd(stream), reply.bytes.data(), reply.bytes.size(), MSG_NOSIGNAL);
        if (reply.then == Reply::Then::Close) {
            this->drop(stream);
        } else {
            this->closing.push_back(this->loop.after(20ms, [this, stream] {
                if (this->connections.contains(stream)) {
                    const linger off {1, 0};
                    setsockopt(bufferevent_getfd(stream), SOL_SOCKET, SO_LINGER, &off, sizeof(off));
                    this->drop(stream);
                }
            }));
        }
        break;
    }
}

std::string answerTo(const ReceivedRequest &request, int status, const std::string &body, const std::string &fields)
{
    return "HTTP/1.1 " + std::to_string(status) + " X\r\nX-Endivespan-Request-Id: "
        + request.field("x-endivespan-request-id") + "\r\nX-Endivespan-Server-Seal: seal\r\n" + fields
        + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

std::string streamHead(const ReceivedRequest &request)
{
    return "HTTP/1.1 200 OK\r\nX-Endivespan-Request-Id: " + request.field("x-endivespan-request-id")
        + "\r\nX-Endivespan-Server-Seal: seal\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
}

std::string eventChunk(int id, const std::string &data)
{
    const std::string event = "id: " + std::to_string(id) + "\ndata: " + data + "\n\n";
    char size[16];
    std::snprintf(size, sizeof(size), "%zx", event.size());
    return std::string(size) + "\r\n" + event + "\r\n";
}

World::World(std::size_t count,
             std::size_t hostCount,
             const std::function<void(ForwardBounds &)> &change,
             LoadControl loadControl)
    : store(this->loop)
    , loadControl(loadControl)
    , callers(HttpPool::create(this->loop, 5s))
{
    this->watchedAt = this->loop.now();
    this->watchedCpu = cpuTime();
    this->watch = this->loop.every(WatchPeriod, [this] { this->noteStandstill(); });
    this->bounds.retrySlack = 100;
    this->bounds.stopTime = 6s;
    if (change) {
        change(this->bounds);
    }
    for (std::size_t i = 0; i < count; ++i) {
        this->runners.push_back(std::make_unique<RunnerStandin>(this->loop, "i-" + std::to_string(i)));
        this->list(*this->runners.back());
    }
    this->configure();
    this->hosts.resize(hostCount);
    for (std::size_t i = 0; i < hostCount; ++i) {
        this->hosts[i].name = "host-" + std::to_string(i + 1);
        this->startHost(this->hosts[i]);
    }
    for (std::size_t i = 0; i < hostCount; ++i) {
        this->until([this, i] { return this->isReady(i); });
    }
    // A host has its share of the limits that all hosts divide once it has read the list of hosts again.
    this->runFor(config::HostReadAgain + 100ms);
}

World::~World()
{
    this->calls.clear();
    for (WorldHost &host : this->hosts) {
        host.node.reset();
    }
}

ForwardNode &World::node()
{
    return *this->hosts[0].node;
}

int World::callerPort() const
{
    return this->hosts[0].callerPort;
}

void World::startHost(WorldHost &host)
{
    host.store = &this->store.addAccess();
    ForwardSettings settings;
    settings.host = host.name;
    settings.region = "r";
    settings.failureDomain = "z";
    host.callerPort = freePort();
    host.readinessPort = freePort();
    settings.listenCallers = loopback(host.callerPort);
    settings.listenReadiness = loopback(host.readinessPort);
    settings.listenPeers = "127.0.0.1:0";
    settings.listenMetrics = "127.0.0.1:0";
    settings.logAddress = loopback(host.store->server->port());
    settings.firstStart = true;
    settings.bounds = this->bounds;
    settings.loadControl = this->loadControl;
    host.settings = settings;
    this->makeHost(host);
    const auto started = host.node->start();
    if (!started) {
        throw std::runtime_error(started.error().detail);
    }
}

void World::makeHost(WorldHost &host)
{
    const ForwardSettings &settings = host.settings;
    host.log = std::make_unique<platform::KeyedLogClient>(this->loop, settings.logAddress);
    host.engines = std::make_unique<platform::RunnerControl>(this->loop);
    host.node = ForwardNode::create(
        this->loop, settings, {this->requests, this->records, *host.log, *host.engines, *host.engines}, [this] {
            this->stopped = true;
            this->loop.stop();
        });
}

void World::replaceHost(std::size_t host)
{
    this->hosts[host].node.reset();
    this->makeHost(this->hosts[host]);
}

void World::endHost(std::size_t host)
{
    WorldHost &ended = this->hosts[host];
    ended.node.reset();
    // Their pending calls would go on and call the tasks of the node.
    ended.log.reset();
    ended.engines.reset();
}

void World::restartHost(std::size_t host)
{
    this->endHost(host);
    this->startHost(this->hosts[host]);
}

void World::restartAllHosts()
{
    for (WorldHost &host : this->hosts) {
        host.node.reset();
    }
    for (WorldHost &host : this->hosts) {
        this->startHost(host);
    }
    for (std::size_t i = 0; i < this->hosts.size(); ++i) {
        this->until([this, i] { return this->isReady(i); });
    }
}

bool World::until(const std::function<bool()> &condition, std::chrono::milliseconds patience)
{
    const TimePoint end = this->loop.now() + patience;
    bool holds = condition();
    while (!holds && this->loop.now() < end) {
        this->runFor(2ms);
        holds = condition();
    }
    return holds;
}

void World::runFor(std::chrono::milliseconds time)
{
    const auto timer = this->loop.after(time, [this] { this->loop.stop(); });
    this->loop.run();
}

void World::runUntil(TimePoint start, std::chrono::milliseconds time)
{
    this->until([this, start, time] { return this->loop.now() >= start + time + this->stoodStill(start); },
                std::chrono::minutes(1));
}

Duration World::stoodStill(TimePoint start)
{
    this->noteStandstill();
    Duration still {};
    for (const auto &[at, length] : this->standstills) {
        still += at > start ? std::min(length, at - start) : Duration::zero();
    }
    return still;
}

void World::noteStandstill()
{
    const TimePoint now = this->loop.now();
    const Duration cpu = cpuTime();
    const Duration idle = now - this->watchedAt - (cpu - this->watchedCpu) - WatchPeriod;
    if (idle >= StandstillLeast) {
        this->standstills.emplace_back(now, idle);
    }
    this->watchedAt = now;
    this->watchedCpu = cpu;
}

void World::list(const RunnerStandin &runner, const json &changes)
{
    json entry {{"service", "llm"},
                {"address", runner.address()},
                {"zone", "z"},
                {"version", "v1"},
                {"slots", 64},
                {"state", "ready"},
                {"cold_ms", 0},
                {"models", json::array({json {{"name", "m"}, {"version", 1}}})},
                {"seq", ++this->heartbeat},
                {"born", 1000}};
    entry.update(changes);
    this->store.put("keyed.servers", runner.id, entry.dump());
}

void World::configure(const std::function<void(json &)> &change)
{
    const auto route = [](const char *path, const char *type, int attempts, bool resumable) {
        return json {{"name", path},
                     {"host", "h.example"},
                     {"path_prefix", path},
                     {"type", type},
                     {"timeout_ms", 3000},
                     {"aim_ms", 400},
                     {"priority", 1},
                     {"service", "llm"},
                     {"public", false},
                     {"max_attempts", attempts},
                     {"resumable", resumable}};
    };
    json config {{"version", ++this->configVersion},
                 {"routes",
                  json::array({route("/once/", "non_idempotent", 1, false),
                               route("/again/", "idempotent", 2, false),
                               route("/stream/", "streaming", 1, false),
                               route("/resume/", "streaming", 2, true)})},
                 {"services", json::array({json {{"name", "llm"}, {"engine", {{"slots", 64}}}}})},
                 {"tenants", json::array({json {{"name", "org"}, {"api_keys", json::array({"key"})}}})}};
    if (change) {
        change(config);
    }
    this->store.put("keyed.op", "config", config.dump());
}

std::size_t
World::ask(const std::string &path, const HttpHeaders &headers, const std::string &method, const std::string &body)
{
    PooledCall call;
    call.address = loopback(this->callerPort());
    call.method = method;
    call.target = path;
    call.headers = headers;
    call.body = body;
    return this->send(std::move(call));
}

std::size_t
World::askHost(std::size_t host, const std::string &path, const HttpHeaders &headers, const std::string &body)
{
    PooledCall call;
    call.address = loopback(this->hosts[host].callerPort);
    call.method = "POST";
    call.target = path;
    call.headers = headers;
    call.body = body;
    return this->send(std::move(call));
}

std::size_t World::send(PooledCall call)
{
    const std::size_t number = this->answers.size();
    this->answers.emplace_back();
    const HttpHeaders usual {{"host", "h.example"},
                             {"x-endivespan-request-id", "r" + std::to_string(number)},
                             {"x-endivespan-deadline-ms", "2000"},
                             {"api-key", "key"}};
    call.headers.insert(usual.begin(), usual.end());
    this->calls.push_back(
        this->callers->start(std::move(call),
                             {[this, number](int status, const HttpHeaders &fields) {
                                  this->answers[number].status = status;
                                  this->answers[number].headers = fields;
                              },
                              [this, number](std::string_view bytes) { this->answers[number].body += bytes; },
                              [this, number] { this->answers[number].whole = true; },
                              [this, number](const HttpFailure &failure) {
                                  this->answers[number].failed = true;
                                  this->answers[number].lost = failure.requestSent;
                              }}));
    return number;
}

void World::disconnect(std::size_t call)
{
    this->calls[call].reset();
}

bool World::isReady(std::size_t host)
{
    bool done = false;
    bool ready = false;
    PooledCall call;
    call.address = loopback(this->hosts[host].readinessPort);
    call.target = "/v1/ready";
    const auto pending = this->callers->start(std::move(call),
                                              {[&ready](int status, const HttpHeaders &) { ready = status == 200; },
                                               {},
                                               [&done] { done = true; },
                                               [&done](const HttpFailure &) { done = true; }});
    const TimePoint end = this->loop.now() + 2s;
    while (!done && this->loop.now() < end) {
        this->runFor(2ms);
    }
    return ready;
}

const CallerAnswer &World::answer(std::size_t call)
{
    this->until([this, call] { return this->answers[call].whole || this->answers[call].failed; });
    return this->answers[call];
}

void updateRoutes(json &config, const json &fields)
{
    for (auto &route : config["routes"]) {
        route.update(fields);
    }
}

int statusWithKey(World &world, const std::string &key, std::size_t host)
{
    return world.answer(world.askHost(host, "/again/", {{"api-key", key}})).status;
}

std::size_t receivedWithin(World &world, const RunnerStandin &runner, std::chrono::milliseconds time)
{
    const std::size_t before = runner.received.size();
    for (const TimePoint end = world.loop.now() + time; world.loop.now() < end;) {
        world.ask("/again/");
        world.runFor(10ms);
    }
    return runner.received.size() - before;
}

} // namespace endivespan::tests
