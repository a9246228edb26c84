#include "standin.h"

#include <endivespan/log.h>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>

#include <charconv>
#include <unistd.h>
#include <utility>

namespace endivespan::standins {

namespace {

const HttpServerLimits ServerLimits {16 * 1024 * 1024, 64 * 1024, std::chrono::seconds(60)};
constexpr std::chrono::milliseconds ControlAnswerTime {20}; ///< For the answer to a control call to get out.

// A bound socket that does not listen keeps the port while the stand-in is down: callers are refused, and nobody else
// gets the port.
int reservePort(const std::string &requested, std::string &bound)
{
    const auto colon = requested.rfind(':');
    const std::string host = requested.substr(0, colon);
    std::uint16_t port = 0;
    if (colon != std::string::npos) {
        std::from_chars(requested.data() + colon + 1, requested.data() + requested.size(), port);
    }
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    if (inet_pton(AF_INET, host.c_str(), &address.sin_addr) != 1) {
        return -1;
    }
    const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int enabled = 1;
    setsockopt(socket, SOL_SOCKET, SO_REUSEADDR, &enabled, sizeof(enabled));
    socklen_t size = sizeof(address);
    if (bind(socket, reinterpret_cast<sockaddr *>(&address), size) != 0
        || getsockname(socket, reinterpret_cast<sockaddr *>(&address), &size) != 0) {
        close(socket);
        return -1;
    }
    bound = host + ":" + std::to_string(ntohs(address.sin_port));
    return socket;
}

} // namespace

void replyJson(const ExchangePtr &exchange, int status, const json &body)
{
    exchange->reply(status, {{"Content-Type", "application/json"}}, body.dump() + "\n");
}

json bodyOf(const ExchangePtr &exchange)
{
    json body = json::parse(exchange->request().body, nullptr, false);
    return body.is_object() ? body : json(json::value_t::discarded);
}

StandIn::StandIn(Loop &loop, std::string kind, std::string name)
    : loop(loop)
    , standInKind(std::move(kind))
    , standInName(std::move(name))
{
    this->newIncarnation();
    this->addCommonSettings();
}

StandIn::~StandIn()
{
    if (this->reservedSocket >= 0) {
        close(this->reservedSocket);
    }
}

void StandIn::addCommonSettings()
{
    this->setting("freeze", this->frozen);
    this->setting("answer_delay_ms", this->answerDelay);
    this->setting("restart_ms", this->restartTime);
    this->action("restart", [this](const json &) { this->dieAfter(ControlAnswerTime); });
    this->action("down", [this](const json &value) {
        this->down = value.get<bool>();
        this->lifeTimer
            = this->loop.after(ControlAnswerTime, [this] { this->down ? this->goDown() : this->comeBack(); });
    });
}

void StandIn::assign(const json &value, Duration &target)
{
    target = std::chrono::duration_cast<Duration>(std::chrono::duration<double, std::milli>(value.get<double>()));
}

bool StandIn::open(const std::string &requested)
{
    this->reservedSocket = reservePort(requested, this->boundAddress);
    return this->reservedSocket >= 0 && this->listen();
}

bool StandIn::listen()
{
    auto opened = HttpServer::listen(
        this->loop, this->boundAddress, ServerLimits, [this](const ExchangePtr &exchange) { this->receive(exchange); });
    if (!opened) {
        return false;
    }
    this->server = std::move(opened.value());
    return true;
}

std::string StandIn::control(const json &changes)
{
    if (!changes.is_object()) {
        return "control takes a JSON object";
    }
    for (const auto &[name, value] : changes.items()) {
        const auto found = this->settings.find(name);
        if (found == this->settings.end()) {
            return "unknown setting " + name + " for " + this->standInKind;
        }
        try {
            found->second(value);
        } catch (const json::exception &problem) {
            return name + ": " + problem.what();
        }
    }
    return {};
}

void StandIn::receive(const ExchangePtr &exchange)
{
    const std::string &path = exchange->request().path;
    if (path == "/control") {
        this->receiveControl(exchange);
    } else if (path == "/counts") {
        replyJson(exchange, 200, this->counts());
    } else if (this->frozen || this->dying) {
        return;
    } else if (this->answerDelay > Duration::zero()) {
        this->later(this->answerDelay, [this, exchange] { this->handle(exchange); });
    } else {
        this->handle(exchange);
    }
}

void StandIn::receiveControl(const ExchangePtr &exchange)
{
    const std::string problem = this->control(bodyOf(exchange));
    if (problem.empty()) {
        replyJson(exchange, 200, json::object());
    } else {
        replyJson(exchange, 400, {{"error", problem}});
    }
}

void StandIn::later(Duration delay, std::function<void()> callback)
{
    const std::uint64_t id = this->nextTimer++;
    this->timers[id] = this->loop.after(delay, [this, id, callback = std::move(callback)] {
        const auto finished = this->timers.extract(id);
        callback();
    });
}

void StandIn::crash()
{
    this->dying = true;
    // A server cannot be freed inside a callback of its own.
    this->dieAfter(Duration::zero());
}

void StandIn::dieAfter(Duration delay)
{
    this->lifeTimer = this->loop.after(delay, [this] {
        this->goDown();
        this->lifeTimer = this->loop.after(this->restartTime, [this] { this->comeBack(); });
    });
}

void StandIn::goDown()
{
    this->timers.clear();
    this->dropWork();
    this->server.reset();
    this->newIncarnation();
    this->dying = false;
    logLine("standin", "{} is down", this->standInName);
}

void StandIn::comeBack()
{
    if (this->down || this->server != nullptr) {
        return;
    }
    if (!this->listen()) {
        logLine("standin", "{} cannot listen on {} again", this->standInName, this->boundAddress);
        return;
    }
    logLine("standin", "{} is up as {}", this->standInName, this->incarnationName);
}

void StandIn::newIncarnation()
{
    ++this->incarnations;
    this->incarnationName
        = this->standInName + "-" + std::to_string(getpid()) + "-" + std::to_string(this->incarnations);
}

} // namespace endivespan::standins
