#include "rig.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <sys/wait.h>

#include <algorithm>
#include <array>
#include <cctype>
#include <cerrno>
#include <csignal>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <filesystem>
#include <poll.h>
#include <sstream>
#include <unistd.h>
#include <utility>

namespace rig {

namespace {

using std::chrono::seconds;

constexpr auto HeartbeatPeriod = milliseconds(1200);
constexpr std::size_t LengthBytes = 4;

std::string lower(std::string text)
{
    std::transform(
        text.begin(), text.end(), text.begin(), [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
    return text;
}

std::string trimmed(std::string text)
{
    while (!text.empty() && std::isspace(static_cast<unsigned char>(text.back())) != 0) {
        text.pop_back();
    }
    std::size_t begin = 0;
    while (begin < text.size() && std::isspace(static_cast<unsigned char>(text[begin])) != 0) {
        ++begin;
    }
    return text.substr(begin);
}

std::string bigEndian(std::uint64_t value, std::size_t bytes)
{
    std::string text;
    for (std::size_t i = bytes; i > 0; --i) {
        text += static_cast<char>((value >> (8 * (i - 1))) & 0xffU);
    }
    return text;
}

std::string base64(const std::string &bytes)
{
    constexpr const char *Digits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string text;
    for (std::size_t i = 0; i < bytes.size(); i += 3) {
        std::uint32_t group = 0;
        const std::size_t count = std::min<std::size_t>(3, bytes.size() - i);
        for (std::size_t k = 0; k < 3; ++k) {
            group = (group << 8U) | (k < count ? static_cast<unsigned char>(bytes[i + k]) : 0U);
        }
        for (std::size_t k = 0; k < 4; ++k) {
            text += k <= count ? Digits[(group >> (18 - 6 * k)) & 0x3fU] : '=';
        }
    }
    return text;
}

sockaddr_in loopback(int port)
{
    sockaddr_in place {};
    place.sin_family = AF_INET;
    place.sin_port = htons(static_cast<std::uint16_t>(port));
    place.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    return place;
}

std::uint64_t wallMilliseconds()
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return static_cast<std::uint64_t>(std::chrono::duration_cast<milliseconds>(now).count());
}

} // namespace

std::string Message::field(const std::string &name) const
{
    const auto found = this->fields.find(name);
    return found == this->fields.end() ? std::string() : found->second;
}

std::string Message::method() const
{
    return this->line.substr(0, this->line.find(' '));
}

std::string Message::target() const
{
    const std::size_t begin = this->line.find(' ') + 1;
    return this->line.substr(begin, this->line.find(' ', begin) - begin);
}

std::string Message::query(const std::string &name) const
{
    const std::string all = this->target();
    std::size_t at = all.find('?');
    while (at != std::string::npos) {
        const std::size_t end = all.find('&', at + 1);
        const std::string one = all.substr(at + 1, end == std::string::npos ? end : end - at - 1);
        if (one.rfind(name + "=", 0) == 0) {
            return one.substr(name.size() + 1);
        }
        at = end;
    }
    return {};
}

int Message::status() const
{
    const std::size_t at = this->line.find(' ');
    return at == std::string::npos ? 0 : std::atoi(this->line.c_str() + at + 1);
}

Channel::Channel(int socket)
    : descriptor(socket)
{
    const int on = 1;
    setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
}

Channel::~Channel()
{
    ::close(this->descriptor);
}

int Channel::socket() const
{
    return this->descriptor;
}

bool Channel::send(const std::string &bytes)
{
    std::size_t sent = 0;
    while (sent < bytes.size()) {
        const ssize_t size = ::send(this->descriptor, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
        if (size < 0 && errno == EINTR) {
            continue;
        }
        if (size <= 0) {
            return false;
        }
        sent += static_cast<std::size_t>(size);
    }
    return true;
}

bool Channel::fill(Clock::time_point until)
{
    if (this->ended) {
        return false;
    }
    const auto left = std::chrono::duration_cast<milliseconds>(until - Clock::now()).count();
    pollfd state {this->descriptor, POLLIN, 0};
    const int wait = static_cast<int>(std::clamp<std::int64_t>(left, 0, 1000 * 3600));
    if (poll(&state, 1, wait) <= 0) {
        return false;
    }
    std::array<char, 65536> bytes {};
    const ssize_t size = recv(this->descriptor, bytes.data(), bytes.size(), 0);
    if (size <= 0) {
        this->ended = true;
        this->isReset = size < 0;
        return false;
    }
    this->input.append(bytes.data(), static_cast<std::size_t>(size));
    return true;
}

bool Channel::takeLine(std::string &line, Clock::time_point until)
{
    std::size_t from = 0;
    while (true) {
        const std::size_t end = this->input.find("\r\n", from);
        if (end != std::string::npos) {
            line = this->input.substr(0, end);
            this->input.erase(0, end + 2);
            return true;
        }
        from = this->input.empty() ? 0 : this->input.size() - 1;
        if (!this->fill(until)) {
            return false;
        }
    }
}

bool Channel::takeBytes(std::size_t count, std::string &out, Clock::time_point until)
{
    while (this->input.size() < count) {
        if (!this->fill(until)) {
            out += std::exchange(this->input, {});
            return false;
        }
    }
    out += this->input.substr(0, count);
    this->input.erase(0, count);
    return true;
}

bool Channel::takeChunks(std::string &out, Clock::time_point until)
{
    std::string line;
    while (this->takeLine(line, until)) {
        const std::size_t size = std::strtoul(line.c_str(), nullptr, 16);
        if (size == 0) {
            return this->takeLine(line, until);
        }
        if (!this->takeBytes(size, out, until) || !this->takeLine(line, until)) {
            return false;
        }
    }
    return false;
}

std::optional<Message> Channel::receive(milliseconds patience)
{
    const auto until = Clock::now() + patience;
    Message message;
    if (!this->takeLine(message.line, until)) {
        return std::nullopt;
    }
    std::string line;
    for (bool isWhole = this->takeLine(line, until); !line.empty() || !isWhole; isWhole = this->takeLine(line, until)) {
        if (!isWhole) {
            return std::nullopt;
        }
        const std::size_t colon = std::min(line.find(':'), line.size());
        message.fields[lower(line.substr(0, colon))] = trimmed(line.substr(std::min(colon + 1, line.size())));
    }
    const bool isAnswer = message.line.rfind("HTTP/", 0) == 0;
    if (lower(message.field("transfer-encoding")) == "chunked") {
        message.whole = this->takeChunks(message.body, until);
    } else if (message.fields.count("content-length") > 0) {
        message.whole = this->takeBytes(std::stoul(message.field("content-length")), message.body, until);
    } else if (isAnswer && message.status() != 204 && message.status() != 304) {
        while (this->fill(until)) { }
        message.body = std::exchange(this->input, {});
        message.whole = this->ended && !this->isReset;
    } else {
        message.whole = true;
    }
    return message;
}

std::string Channel::receiveRaw(milliseconds time)
{
    const auto until = Clock::now() + time;
    while (this->fill(until)) { }
    return std::exchange(this->input, {});
}

void Channel::shutDown() const
{
    ::shutdown(this->descriptor, SHUT_WR);
}

void Channel::reset() const
{
    const linger now {1, 0};
    setsockopt(this->descriptor, SOL_SOCKET, SO_LINGER, &now, sizeof(now));
}

Listener::Listener(Serve serve, int receiveBuffer)
    : serve(std::move(serve))
    , descriptor(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
{
    if (receiveBuffer > 0) {
        setsockopt(this->descriptor, SOL_SOCKET, SO_RCVBUF, &receiveBuffer, sizeof(receiveBuffer));
    }
    sockaddr_in place = loopback(0);
    socklen_t size = sizeof(place);
    if (bind(this->descriptor, reinterpret_cast<sockaddr *>(&place), size) != 0 || listen(this->descriptor, 512) != 0
        || getsockname(this->descriptor, reinterpret_cast<sockaddr *>(&place), &size) != 0) {
        std::exit(2);
    }
    this->boundPort = ntohs(place.sin_port);
    this->acceptor = std::thread([this] { this->accept(); });
}

Listener::~Listener()
{
    this->close();
}

void Listener::close()
{
    if (this->closing.exchange(true)) {
        return;
    }
    ::shutdown(this->descriptor, SHUT_RDWR);
    this->acceptor.join();
    ::close(this->descriptor);
    {
        const std::lock_guard lock(this->mutex);
        for (const auto &weak : this->channels) {
            if (const auto channel = weak.lock()) {
                ::shutdown(channel->socket(), SHUT_RDWR);
            }
        }
    }
    for (std::thread &thread : this->threads) {
        thread.join();
    }
}

void Listener::accept()
{
    while (!this->closing) {
        const int socket = accept4(this->descriptor, nullptr, nullptr, SOCK_CLOEXEC);
        if (socket < 0) {
            continue;
        }
        auto channel = std::make_shared<Channel>(socket);
        const std::lock_guard lock(this->mutex);
        std::erase_if(this->channels, [](const auto &weak) { return weak.expired(); });
        this->channels.push_back(channel);
        this->threads.emplace_back([this, channel = std::move(channel)]() mutable {
            this->serve(*channel);
            channel.reset();
        });
    }
}

int Listener::port() const
{
    return this->boundPort;
}

std::string Listener::address() const
{
    return "127.0.0.1:" + std::to_string(this->boundPort);
}

Store::Store()
    : listener([this](Channel &channel) { this->serve(channel); })
{
}

std::string Store::address() const
{
    return this->listener.address();
}

std::uint64_t Store::add(const std::string &name, const std::string &content)
{
    Topic &topic = this->topics[name];
    const std::uint64_t offset = topic.records.size();
    topic.records.push_back(content);
    if (name.rfind("keyed.", 0) == 0 && !content.empty()) {
        const std::size_t size = static_cast<unsigned char>(content[0]);
        const std::string key = content.substr(1, size);
        const std::string value = content.substr(std::min(1 + size, content.size()));
        if (value.empty()) {
            topic.newest.erase(key);
        } else {
            topic.newest[key] = {value, offset};
        }
    }
    return offset;
}

void Store::put(const std::string &topic, const std::string &key, const std::string &value)
{
    const std::lock_guard lock(this->mutex);
    this->add(topic, std::string(1, static_cast<char>(key.size())) + key + value);
    this->changed.notify_all();
}

void Store::serve(Channel &channel)
{
    while (const auto call = channel.receive()) {
        if (this->silent) {
            continue;
        }
        if (!channel.send(this->answer(*call))) {
            return;
        }
    }
}

std::string Store::answer(const Message &call)
{
    const std::string path = call.target().substr(0, call.target().find('?'));
    if (path == "/v1/log-newest") {
        return this->readNewest(call);
    }
    if (path == "/v1/log-read") {
        return this->read(call);
    }
    if (path == "/v1/log-append") {
        return this->append(call);
    }
    return answerText(404, "");
}

std::string Store::readNewest(const Message &call)
{
    const std::lock_guard lock(this->mutex);
    const Topic &topic = this->topics[call.query("topic")];
    std::string items;
    for (const auto &[key, entry] : topic.newest) {
        items += items.empty() ? "" : ",";
        items += R"({"key":")" + key + R"(","value":")" + base64(entry.first) + R"(","offset":)"
            + std::to_string(entry.second) + "}";
    }
    return answerText(
        200, R"({"items":[)" + items + R"(],"has_more":false,"end":)" + std::to_string(topic.records.size()) + "}");
}

std::string Store::read(const Message &call)
{
    std::unique_lock lock(this->mutex);
    const std::string name = call.query("topic");
    const std::uint64_t from = std::strtoull(call.query("from").c_str(), nullptr, 10);
    const milliseconds wait(std::strtol(call.query("wait_ms").c_str(), nullptr, 10));
    this->changed.wait_for(lock, wait, [this, &name, from] { return this->topics[name].records.size() > from; });
    const Topic &topic = this->topics[name];
    std::string body = bigEndian(topic.records.size(), 8) + bigEndian(0, 8);
    for (std::size_t i = from; i < topic.records.size() && body.size() < 1024 * 1024; ++i) {
        body += bigEndian(topic.records[i].size(), LengthBytes) + topic.records[i];
    }
    return answerText(200, body);
}

std::string Store::append(const Message &call)
{
    const std::lock_guard lock(this->mutex);
    const std::string name = call.query("topic");
    const std::uint64_t end = this->topics[name].records.size();
    const std::string at = call.query("at");
    if (!at.empty() && std::strtoull(at.c_str(), nullptr, 10) != end) {
        return answerText(412, R"({"end":)" + std::to_string(end) + "}");
    }
    for (std::size_t i = 0; i + LengthBytes <= call.body.size();) {
        std::size_t size = 0;
        for (std::size_t k = 0; k < LengthBytes; ++k) {
            size = (size << 8U) | static_cast<unsigned char>(call.body[i + k]);
        }
        this->add(name, call.body.substr(i + LengthBytes, size));
        i += LengthBytes + size;
    }
    this->changed.notify_all();
    return answerText(200,
                      R"({"offset":)" + std::to_string(end) + R"(,"end":)"
                          + std::to_string(this->topics[name].records.size()) + "}");
}

Runner::Runner(Store &store, std::string id, std::string service, std::string model, Handler handler, int receiveBuffer)
    : id(std::move(id))
    , store(store)
    , service(std::move(service))
    , model(std::move(model))
    , handler(std::move(handler))
    , born(wallMilliseconds())
    , listener([this](Channel &channel) { this->serve(channel); }, receiveBuffer)
{
    this->beats = std::thread([this] {
        std::unique_lock lock(this->mutex);
        while (!this->ended) {
            this->beat();
            this->wake.wait_for(lock, HeartbeatPeriod, [this] { return this->ended; });
        }
    });
}

Runner::~Runner()
{
    {
        const std::lock_guard lock(this->mutex);
        this->ended = true;
    }
    this->wake.notify_all();
    this->beats.join();
    this->listener.close();
}

std::string Runner::address() const
{
    return this->listener.address();
}

std::string Runner::entry()
{
    std::string text = R"({"service":")" + this->service + R"(","address":")" + this->address()
        + R"(","zone":"z1","version":"v1","slots":8,"state":"ready","cold_ms":0,)";
    if (!this->model.empty()) {
        text += R"("stage":"prefill_decode","models":[{"name":")" + this->model + R"(","version":1,"adapters":[]}],)";
    }
    return text + R"("seq":)" + std::to_string(++this->sequence) + R"(,"born":)" + std::to_string(this->born) + "}";
}

void Runner::beat()
{
    this->store.put("keyed.servers", this->id, this->entry());
}

void Runner::serve(Channel &channel)
{
    while (const auto request = channel.receive()) {
        if (!request->whole) {
            return;
        }
        if (const std::string wanted = request->field("x-endivespan-expect-instance");
            !wanted.empty() && wanted != this->id) {
            channel.send(answerText(421, "", "X-Endivespan-Instance-Id: " + this->id + "\r\n"));
            continue;
        }
        if (request->target() == "/health") {
            channel.send(answerText(200, "", "X-Endivespan-Instance-Id: " + this->id + "\r\n"));
            continue;
        }
        this->handler(channel, *request);
    }
}

Host::Host(const Store &store, Options given)
    : options(std::move(given))
    , callers(freePort())
    , readiness(freePort())
{
    std::string pattern = (std::filesystem::temp_directory_path() / "review-XXXXXX").string();
    if (mkdtemp(pattern.data()) == nullptr) {
        std::exit(2);
    }
    this->folder = pattern;
    this->start(store);
}

// The settings follow the template of the deploy file.
void Host::start(const Store &store)
{
    const std::string path = this->folder + "/settings.yaml";
    std::ofstream(path) << "host: \"" << this->options.name << "\"\nregion: \"r1\"\nfailure_domain: \""
                        << this->options.zone << "\"\nlisten:\n  callers: \"127.0.0.1:" << this->callers
                        << "\"\n  readiness: \"127.0.0.1:" << this->readiness
                        << "\"\n  peers: \"127.0.0.1:" << freePort() << "\"\n  metrics: \"127.0.0.1:" << freePort()
                        << "\"\nlog:\n  address: \"" << store.address() << "\"\n"
                        << (this->options.isFirstStart ? "first_start: true\n" : "")
                        << "bounds:\n  stop_time: 8s\n  changes: 2000ms\n"
                        << "  draining: 2000ms\n  revocation: 5000ms\n  strict_revocation: true\n  weights: "
                        << this->options.weightsMs << "ms\n"
                        << "  lease_gap: 3000ms\n  retry_ratio: 0.2\n  retry_slack: 104\n  retry_window: 10s\n"
                        << "  cold_factor: 1.5\n  cold_slack: 5\nlimits:\n  memory: " << this->options.memoryMiB
                        << "MiB\n";
    const std::string program = "target/platform/endivespan-platform";
    this->process = fork();
    if (this->process == 0) {
        const int log = open((this->folder + "/log.txt").c_str(), O_WRONLY | O_CREAT | O_TRUNC, 0644);
        dup2(log, STDOUT_FILENO);
        dup2(log, STDERR_FILENO);
        execl(program.c_str(), program.c_str(), path.c_str(), nullptr);
        _exit(127);
    }
}

Host::~Host()
{
    if (this->isRunning()) {
        ::kill(this->process, SIGKILL);
    }
    this->awaitEnd();
}

void Host::awaitEnd()
{
    if (!this->hasEnded) {
        waitpid(this->process, &this->status, 0);
        this->hasEnded = true;
    }
    if (std::getenv("KEEP_LOGS") == nullptr) {
        std::error_code ignored;
        std::filesystem::remove_all(this->folder, ignored);
    }
}

bool Host::awaitReady(milliseconds patience) const
{
    const auto until = Clock::now() + patience;
    while (Clock::now() < until) {
        if (const auto channel = connectTo(this->readiness)) {
            channel->send("GET /v1/ready HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
            if (const auto answer = channel->receive(seconds(1)); answer && answer->status() == 200) {
                return true;
            }
        }
        std::this_thread::sleep_for(milliseconds(50));
    }
    return false;
}

void Host::signal(int number) const
{
    ::kill(this->process, number);
}

bool Host::isRunning()
{
    if (!this->hasEnded && waitpid(this->process, &this->status, WNOHANG) == this->process) {
        this->hasEnded = true;
    }
    return !this->hasEnded;
}

std::string Host::ending()
{
    if (this->isRunning()) {
        return "running";
    }
    return WIFSIGNALED(this->status) ? "ended by signal " + std::to_string(WTERMSIG(this->status))
                                     : "exit code " + std::to_string(WEXITSTATUS(this->status));
}

std::size_t Host::peakMemory() const
{
    std::ifstream text("/proc/" + std::to_string(this->process) + "/status");
    for (std::string line; std::getline(text, line);) {
        if (line.rfind("VmHWM:", 0) == 0) {
            return std::stoul(line.substr(6)) * 1024;
        }
    }
    return 0;
}

int Host::callerPort() const
{
    return this->callers;
}

Record::Record(const std::string &path)
    : file(path)
{
}

void Record::line(const std::string &text)
{
    const std::lock_guard lock(this->mutex);
    const auto at = std::chrono::duration_cast<milliseconds>(Clock::now() - this->began).count();
    this->file << at << " ms  " << text << std::endl;
}

std::unique_ptr<Channel> connectTo(int port, int receiveBuffer)
{
    const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (receiveBuffer > 0) {
        setsockopt(socket, SOL_SOCKET, SO_RCVBUF, &receiveBuffer, sizeof(receiveBuffer));
    }
    const sockaddr_in place = loopback(port);
    if (connect(socket, reinterpret_cast<const sockaddr *>(&place), sizeof(place)) != 0) {
        ::close(socket);
        return nullptr;
    }
    return std::make_unique<Channel>(socket);
}

int freePort()
{
    const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in place = loopback(0);
    socklen_t size = sizeof(place);
    if (bind(socket, reinterpret_cast<sockaddr *>(&place), size) != 0
        || getsockname(socket, reinterpret_cast<sockaddr *>(&place), &size) != 0) {
        std::exit(2);
    }
    ::close(socket);
    return ntohs(place.sin_port);
}

bool hasTrouble()
{
    const char *value = std::getenv("TROUBLE");
    return value == nullptr || std::string(value) != "0";
}

std::string answerText(int status, const std::string &body, const std::string &fields)
{
    return "HTTP/1.1 " + std::to_string(status) + " X\r\nContent-Length: " + std::to_string(body.size()) + "\r\n"
        + fields + "\r\n" + body;
}

std::string sealed(const Message &request, int status, const std::string &body, const std::string &fields)
{
    const std::string id = request.field("x-endivespan-request-id");
    return answerText(
        status, body, "X-Endivespan-Request-Id: " + id + "\r\nX-Endivespan-Server-Seal: seal." + id + "\r\n" + fields);
}

std::string config(int version,
                   const std::vector<ConfigRoute> &routes,
                   const std::vector<ConfigTenant> &tenants,
                   const std::vector<std::string> &engines)
{
    std::ostringstream text;
    text << std::boolalpha << R"({"version":)" << version << R"(,"routes":[)";
    std::vector<std::string> services;
    for (std::size_t i = 0; i < routes.size(); ++i) {
        const ConfigRoute &route = routes[i];
        text << (i == 0 ? "" : ",") << R"({"name":"r)" << i << R"(","host":"h.example","path_prefix":")" << route.prefix
             << R"(","type":")" << route.type << R"(","timeout_ms":)" << route.timeoutMs
             << R"(,"aim_ms":600,"priority":1,"service":")" << route.service << R"(","max_attempts":)" << route.attempts
             << R"(,"public":)" << route.isPublic << R"(,"sticky":true,"resumable":)" << route.resumable
             << R"(,"target_gap_ms":400})";
        if (std::find(services.begin(), services.end(), route.service) == services.end()) {
            services.push_back(route.service);
        }
    }
    text << R"(],"services":[)";
    for (std::size_t i = 0; i < services.size(); ++i) {
        const bool isEngine = std::find(engines.begin(), engines.end(), services[i]) != engines.end();
        text
            << (i == 0 ? "" : ",") << R"({"name":")" << services[i]
            << R"(","health_path":"/health","max_conns":700,"protocol":"h1","tls":false,"cold_s":0.0,"cold_per_s":0.0)";
        if (isEngine) {
            text << R"(,"engine":{"slots":64,"kv_capacity_tokens":131597,"kv_token_bytes":35136})";
        }
        text << "}";
    }
    text << R"(],"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,)"
         << R"("idle_timeout_ms":15000},"tenants":[)";
    for (std::size_t i = 0; i < tenants.size(); ++i) {
        text << (i == 0 ? "" : ",") << R"({"name":")" << tenants[i].name << R"(","api_keys":[")" << tenants[i].key
             << R"("],"priority":1,"isolated":)" << tenants[i].isolated << "}";
    }
    text << "]}";
    return text.str();
}

std::string requestHead(const std::string &method,
                        const std::string &path,
                        const std::string &id,
                        const std::string &key,
                        int deadlineMs,
                        const std::string &fields)
{
    return method + " " + path + " HTTP/1.1\r\nHost: h.example\r\nX-Endivespan-Request-Id: " + id
        + "\r\nApi-Key: " + key + "\r\nX-Endivespan-Deadline-Ms: " + std::to_string(deadlineMs) + "\r\n" + fields;
}

} // namespace rig
