#include "planned_work.h"

#include <endivespan/log_cause.h>

#include <doctest/doctest.h>

#include <algorithm>
#include <cstdlib>
#include <utility>

namespace endivespan::tests {

using namespace std::chrono_literals;
using std::chrono::milliseconds;

namespace {

constexpr int Events = 30;
constexpr auto EventPeriod = 20ms;
constexpr auto SeedTime = 5s;
constexpr std::size_t Callers = 30;
constexpr std::size_t RawCallers = 12;
constexpr auto LastMoment = 20ms; ///< Before the end of a stop; a request sent then may not be read any more.

constexpr TimePoint Never = TimePoint::max();
const std::string Cut = "CUT";
const std::string NoAnswer = "NO ANSWER";
const std::string Resume = "/resume/";

std::string eventsFrom(int first, int last)
{
    std::string text;
    for (int id = first; id <= last; ++id) {
        text += "id: " + std::to_string(id) + "\ndata: e" + std::to_string(id) + "\n\n";
    }
    return text;
}

bool isWhole(const std::string &answer)
{
    const std::size_t head = answer.find("\r\n\r\n");
    if (head == std::string::npos) {
        return false;
    }
    constexpr std::string_view Length = "Content-Length: ";
    const std::size_t length = answer.find(Length);
    return length < head
        ? answer.size() - head - 4 == std::strtoul(answer.c_str() + length + Length.size(), nullptr, 10)
        : answer.ends_with(StreamEnd);
}

} // namespace

std::size_t Draws::index(std::size_t count)
{
    return std::uniform_int_distribution<std::size_t>(0, count - 1)(this->engine);
}

milliseconds Draws::time(milliseconds least, milliseconds most)
{
    return least + milliseconds(this->index(static_cast<std::size_t>((most - least).count())));
}

PacedRunner::PacedRunner(Loop &loop, Draws &draws)
    : loop(loop)
    , draws(draws)
{
    const HttpServerLimits limits {1024 * 1024, 64 * 1024, 60s};
    this->server = std::move(HttpServer::listen(loop, "127.0.0.1:0", limits, [this](const auto &exchange) {
                                 this->take(exchange);
                             }).value());
    this->address = "127.0.0.1:" + std::to_string(this->server->port());
    this->pace = loop.every(EventPeriod, [this] { this->work(); });
}

void PacedRunner::take(const std::shared_ptr<HttpExchange> &exchange)
{
    const HttpHeaders &headers = exchange->request().headers;
    if (!headers.contains("x-endivespan-request-id")) {
        ++this->draws.counts["status checks"];
        exchange->reply(200, {{"X-Endivespan-Server-Seal", "seal"}}, exchange->request().target);
        return;
    }
    const std::string id = headers.at("x-endivespan-request-id");
    const bool isResumed = headers.contains("last-event-id");
    const bool isRepeat = !this->draws.seen.insert(id).second || isResumed;
    this->draws.counts["repeats"] += isRepeat ? 1 : 0;
    this->jobs.push_back({exchange,
                          {{"X-Endivespan-Request-Id", id}, {"X-Endivespan-Server-Seal", "seal"}},
                          isResumed ? std::stoi(headers.at("last-event-id")) + 1 : 1,
                          this->draws.index(10),
                          isRepeat && this->draws.index(10) < 3});
}

void PacedRunner::work()
{
    std::erase_if(this->jobs, [](const Job &job) { return !job.exchange->isOpen(); });
    for (std::size_t i = 0; this->loop.now() >= this->silentUntil && i < this->jobs.size(); ++i) {
        this->work(this->jobs[i]);
    }
}

void PacedRunner::work(Job &job)
{
    if (job.isRefused) {
        job.fields["X-Endivespan-Not-Executed"] = "1";
        job.exchange->reply(503, job.fields, "full");
    } else if (job.exchange->request().path.starts_with(Resume)) {
        if (!std::exchange(job.hasHead, true)) {
            job.fields["Content-Type"] = "text/event-stream";
            job.exchange->startStream(200, job.fields);
        }
        job.next <= Events ? job.exchange->sendChunk(eventsFrom(job.next, job.next)) : job.exchange->endStream();
        ++job.next;
    } else if (job.rest-- == 0) {
        job.exchange->reply(200, job.fields, "done");
    }
}

Soak::Soak(Draws &draws, World &world, SoakHosts &hosts)
    : draws(draws)
    , world(world)
    , hosts(hosts)
    , open(Callers)
    , openRaw(RawCallers)
{
    for (std::size_t i = 0; i < Runners; ++i) {
        this->runners.push_back(std::make_unique<PacedRunner>(this->world.loop, this->draws));
    }
    this->configure();
    this->world.runFor(1500ms);
    this->begin = this->nextSilence = this->nextChange = this->world.loop.now();
    this->nextReload = this->begin + this->draws.time(500ms, 2s);
    this->nextStop = this->begin + this->draws.time(300ms, 1500ms);
}

void Soak::run()
{
    while (this->world.loop.now() < this->begin + SeedTime) {
        this->world.runFor(1ms);
        this->followStops();
        this->serveCallers(true);
        this->serveRawCallers(true);
        this->disturb();
    }
    const auto isDone = [this] {
        this->followStops();
        this->serveCallers(false);
        this->serveRawCallers(false);
        return std::none_of(this->open.begin(), this->open.end(), [](const auto &call) { return call.has_value(); })
            && std::none_of(
                   this->openRaw.begin(), this->openRaw.end(), [](const auto &call) { return call.has_value(); });
    };
    CHECK(this->world.until(isDone, 15s));
}

void Soak::configure()
{
    for (std::size_t i = 0; i < Runners; ++i) {
        this->world.list(*this->world.runners[i], {{"address", this->runners[i]->address}});
    }
    this->world.configure([this](nlohmann::json &config) {
        const auto aim = this->draws.time(100ms, 800ms).count();
        updateRoutes(config, {{"timeout_ms", 12000}, {"aim_ms", aim}});
        config["limits"] = {{"idle_timeout_ms", this->draws.time(5s, 20s).count()}};
        auto more = config["routes"][0];
        more["name"] = more["path_prefix"] = "/more" + std::to_string(this->draws.index(10)) + "/";
        config["routes"].push_back(more);
    });
}

bool Soak::isDue(TimePoint &at, milliseconds least, milliseconds most)
{
    const TimePoint now = this->world.loop.now();
    const bool due = now >= at;
    at = due ? now + this->draws.time(least, most) : at;
    return due;
}

void Soak::disturb()
{
    const TimePoint now = this->world.loop.now();
    if (this->isDue(this->nextSilence, 500ms, 1s)) {
        TimePoint &until = this->runners[this->draws.index(Runners)]->silentUntil;
        until = now < until ? until : now + this->draws.time(1050ms, 1500ms);
    }
    if (this->isDue(this->nextChange, 300ms, 1s)) {
        this->configure();
    }
    if (this->isDue(this->nextReload, 1s, 2s)) {
        if (const std::size_t host = this->usableHost(); !this->isAway(host)) {
            this->hosts.reload(host, this->draws.index(2) == 0 ? 10 : 0);
        }
    }
    const auto underWay
        = std::count_if(this->stops.begin(), this->stops.end(), [](const Stop &stop) { return !stop.over; });
    if (static_cast<std::size_t>(underWay) < this->hosts.stopsAtOnce() && this->isDue(this->nextStop, 1s, 2s)) {
        this->beginStop(now);
    }
}

void Soak::beginStop(TimePoint now)
{
    if (const std::size_t host = this->draws.index(Hosts); !this->isStopping(host)) {
        this->stops.push_back({host, now});
        this->hosts.beginStop(host);
    }
}

void Soak::followStops()
{
    for (Stop &stop : this->stops) {
        const TimePoint now = this->world.loop.now();
        if (stop.ended == Never && this->hosts.hasStopped(stop.host)) {
            stop.ended = now;
            stop.restartAt = now + this->draws.time(50ms, 400ms);
            this->hosts.end(stop.host);
            ++this->draws.counts["stops"];
        } else if (!stop.restarted && now >= stop.restartAt) {
            stop.restarted = true;
            this->hosts.restart(stop.host);
        } else if (stop.restarted && !stop.over) {
            stop.over = this->world.isReady(stop.host);
        }
    }
}

bool Soak::isStopping(std::size_t host) const
{
    return std::any_of(
        this->stops.begin(), this->stops.end(), [host](const Stop &stop) { return stop.host == host && !stop.over; });
}

bool Soak::isAway(std::size_t host) const
{
    return std::any_of(this->stops.begin(), this->stops.end(), [host](const Stop &stop) {
        return stop.host == host && !stop.over && stop.ended != Never;
    });
}

std::size_t Soak::usableHost()
{
    std::size_t host = this->draws.index(Hosts);
    for (std::size_t tried = 1; tried < Hosts && this->isAway(host); ++tried) {
        host = (host + 1) % Hosts;
    }
    return host;
}

std::string Soak::drawPath()
{
    const std::size_t kind = this->draws.index(10);
    return kind < 6 ? Resume : kind < 8 ? "/again/" : "/once/";
}

void Soak::serveCallers(bool goOn)
{
    for (auto &call : this->open) {
        if (call && (this->world.answers[call->number].whole || this->world.answers[call->number].failed)) {
            this->judge(*call, this->world.answers[call->number]);
            call.reset();
        }
        if (!call && goOn) {
            const std::string path = this->drawPath();
            const bool isSame = this->draws.index(2) == 0;
            const std::string body = isSame ? "same" : std::to_string(this->world.answers.size());
            const std::size_t host = this->usableHost();
            const TimePoint now = this->world.loop.now();
            const HttpHeaders fields {{"x-endivespan-deadline-ms", "11000"}};
            call = Call {this->world.askHost(host, path, fields, body), host, path, now};
        }
    }
}

void Soak::serveRawCallers(bool goOn)
{
    const TimePoint now = this->world.loop.now();
    for (auto &call : this->openRaw) {
        if (call && now >= call->readsFrom) {
            const bool isClosed = call->socket->isClosed(0ms);
            call->got += call->socket->readUntil("never", 0ms);
            if (isClosed) {
                this->judge(*call);
                call.reset();
            }
        }
        if (!call && goOn) {
            this->startRawCall(call);
        }
    }
}

void Soak::startRawCall(std::optional<RawCall> &call)
{
    const std::size_t host = this->usableHost();
    auto socket = std::make_unique<RawSocket>(this->world.hosts[host].callerPort);
    if (!socket->isConnected()) {
        return;
    }
    const TimePoint now = this->world.loop.now();
    call.emplace();
    call->socket = std::move(socket);
    call->id = "raw" + std::to_string(this->rawCalls++);
    call->host = host;
    call->path = this->drawPath();
    call->endsSending = this->draws.index(2) == 0;
    call->sent = now;
    call->readsFrom = call->endsSending ? now : now + this->draws.time(1s, 3s);
    call->socket->send(rawRequest(call->path, call->id, 11s, "Connection: close\r\n"));
    if (call->endsSending) {
        call->socket->endSending();
    }
}

void Soak::judge(const Call &call, const CallerAnswer &answer)
{
    const char *answered = call.path == Resume ? "streams" : "served";
    const bool isUnsent = answer.failed && answer.status == 0 && !answer.lost;
    const std::string outcome = isUnsent ? "unsent"
        : answer.failed                  ? this->failure(call.host, call.sent, answer.status != 0)
        : answer.status == 200           ? answered
                                         : "refused";
    ++this->draws.counts[outcome];
    const std::chrono::duration<double> sent = call.sent - this->begin;
    const std::chrono::duration<double> end = this->world.loop.now() - this->begin;
    const std::string id = "r" + std::to_string(call.number);
    INFO(id, " ", call.path, " host-", call.host + 1, " from ", sent.count(), " to ", end.count());
    INFO(outcome, ", status ", answer.status, ", body ", answer.body);
    INFO((outcome == Cut || outcome == NoAnswer ? this->hosts.linesOf(id) : std::string()));
    CHECK(outcome != Cut);
    CHECK(outcome != NoAnswer);
    CHECK((outcome != "streams" || answer.body == eventsFrom(1, Events)));
    const RefusalAnswer &crashes = refusalAnswer(RefusalCause::IdenticalCrashes);
    CHECK(answer.body.find(crashes.name) == std::string::npos);
    CHECK(answer.body.find(crashes.why) == std::string::npos);
}

void Soak::judge(const RawCall &call)
{
    const int status = statusOf(call.got);
    const std::string kind = call.endsSending ? "half-closed " : "slow ";
    const std::string outcome
        = isWhole(call.got) ? (status == 200 ? "served" : "refused") : this->failure(call.host, call.sent, status != 0);
    ++this->draws.counts[kind + outcome];
    const std::chrono::duration<double> sent = call.sent - this->begin;
    const std::chrono::duration<double> end = this->world.loop.now() - this->begin;
    INFO(kind, call.id, " ", call.path, " host-", call.host + 1, " from ", sent.count(), " to ", end.count());
    INFO(outcome, ", got ", call.got);
    INFO((outcome == Cut || outcome == NoAnswer ? this->hosts.linesOf(call.id) : std::string()));
    CHECK(outcome != Cut);
    CHECK(outcome != NoAnswer);
}

// The first stop that ended after the request was sent is that of the process that had the request.
std::string Soak::failure(std::size_t host, TimePoint sent, bool hasBegun) const
{
    const TimePoint now = this->world.loop.now();
    for (const Stop &stop : this->stops) {
        if (stop.host == host && stop.ended >= sent) {
            const bool isLast = now >= stop.ended && sent + LastMoment >= stop.ended;
            const bool isLate = now >= stop.begun + StopTime * 5 / 6;
            return hasBegun ? (isLate ? "cut after the stop time" : Cut)
                            : (isLast ? "lost in the last moment of a stop" : NoAnswer);
        }
    }
    return hasBegun ? Cut : NoAnswer;
}

void soakSeeds(std::size_t seeds, const std::function<void(Draws &)> &soakSeed)
{
    const char *wanted = std::getenv("ENDIVESPAN_SOAK_SEEDS");
    const std::size_t last = wanted == nullptr ? seeds : std::stoul(wanted);
    for (std::size_t seed = 1; seed <= last; ++seed) {
        CAPTURE(seed);
        Draws draws {std::mt19937_64(seed)};
        soakSeed(draws);
        std::string line = "seed " + std::to_string(seed);
        for (const auto &[what, count] : draws.counts) {
            line += ", " + what + " " + std::to_string(count);
        }
        MESSAGE(line);
        CHECK(draws.counts["streams"] > 0);
        CHECK(draws.counts["repeats"] > 0);
        CHECK(draws.counts["stops"] > 0);
    }
}

} // namespace endivespan::tests
