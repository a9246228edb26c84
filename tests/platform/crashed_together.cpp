#include "world.h"

#include <endivespan/config.h>

#include <doctest/doctest.h>

#include <algorithm>
#include <functional>
#include <memory>
#include <string>
#include <vector>

using namespace endivespan;
using namespace endivespan::tests;
using namespace std::chrono_literals;
using Then = RunnerStandin::Reply::Then;

namespace {

constexpr std::size_t Servers = 3;
constexpr std::size_t Hosts = 3;
constexpr auto DownTime = 2500ms;
constexpr auto RecoverTime = 12s; ///< From the return of the servers until requests must be served.
constexpr auto WorkTime = 300ms; ///< Of a server on one request.
constexpr auto RequestPeriod = 20ms;

/// @returns the fields of a prompt that shares these parts with others and has an own one.
HttpHeaders promptFields(const std::string &sharedParts, std::size_t number)
{
    return {{"x-endivespan-model", "m"},
            {"x-endivespan-token-count", "700,20"},
            {"x-endivespan-prompt-prefix", sharedParts + ",own" + std::to_string(number) + ":50"}};
}

/// Plain servers that crash with what they are running, and start again after DownTime.
class OutageWorld
{
public:
    using Answer = std::function<RunnerStandin::Reply(const ReceivedRequest &)>;

    explicit OutageWorld(const Answer &answer, std::size_t servers = Servers, std::size_t hosts = Hosts)
        : world(servers, hosts)
        , born(servers, 1000)
        , down(servers, false)
    {
        for (std::size_t i = 0; i < servers; ++i) {
            this->world.runners[i]->script = [this, answer, i](const ReceivedRequest &request) {
                ++this->runs;
                if (this->isDeadly && this->isDeadly(request)) {
                    this->timers.push_back(this->world.loop.after(10ms, [this, i] { this->crash(i); }));
                    return RunnerStandin::Reply {"", Then::Hang};
                }
                return answer(request);
            };
        }
        this->heartbeats = this->world.loop.every(400ms, [this] { this->listAll(); });
    }

    void crash(std::size_t number)
    {
        if (this->down[number]) {
            return;
        }
        this->down[number] = true;
        ++this->crashes;
        this->world.runners[number]->shutDown();
        this->timers.push_back(this->world.loop.after(DownTime, [this, number] {
            this->world.runners[number]->resume();
            this->down[number] = false;
            this->born[number] += 1;
            this->listAll();
        }));
    }

    /// Lets all servers crash, one @p gap after the other.
    void crashAll(std::chrono::milliseconds gap)
    {
        for (std::size_t i = 0; i < this->down.size(); ++i) {
            this->timers.push_back(this->world.loop.after(gap * static_cast<int>(i), [this, i] { this->crash(i); }));
        }
    }

    /// Sends requests by @p ask, to one host after the other, for @p time. @returns their calls.
    std::vector<std::size_t> askFor(std::chrono::milliseconds time, const std::function<std::size_t(std::size_t)> &ask)
    {
        std::vector<std::size_t> calls;
        for (const TimePoint until = this->world.loop.now() + time; this->world.loop.now() < until;) {
            calls.push_back(ask(this->asked++ % this->world.hosts.size()));
            this->world.runFor(RequestPeriod);
        }
        return calls;
    }

    /// Sends the read that all callers share.
    std::size_t read(std::size_t host)
    {
        return this->world.askHost(host, "/again/list");
    }

    std::vector<std::size_t> readFor(std::chrono::milliseconds time)
    {
        return this->askFor(time, [this](std::size_t host) { return this->read(host); });
    }

    /// @returns the share of these calls with this @p status.
    [[nodiscard]] double shareOf(int status, const std::vector<std::size_t> &calls) const
    {
        const auto found = std::count_if(calls.begin(), calls.end(), [this, status](std::size_t call) {
            return this->world.answers[call].status == status;
        });
        return static_cast<double>(found) / static_cast<double>(calls.size());
    }

    World world;
    std::function<bool(const ReceivedRequest &)> isDeadly;
    std::size_t runs = 0; ///< Requests that have reached servers.
    std::size_t crashes = 0;

private:
    void listAll()
    {
        for (std::size_t i = 0; i < this->down.size(); ++i) {
            if (!this->down[i]) {
                this->world.list(*this->world.runners[i], {{"born", this->born[i]}});
            }
        }
    }

    std::vector<std::uint64_t> born;
    std::vector<bool> down;
    std::size_t asked = 0;
    std::vector<std::unique_ptr<Timer>> timers;
    std::unique_ptr<Timer> heartbeats;
};

RunnerStandin::Reply done(const ReceivedRequest &request)
{
    return {answerTo(request, 200, "done"), Then::Keep, WorkTime};
}

bool isPoison(const ReceivedRequest &request)
{
    return request.body == "poison";
}

} // namespace

// Guards against refusing a read that many callers share for ten minutes after an outage of its servers.
TEST_CASE("a sound read that was running on all servers as they crashed is served again once they are back")
{
    for (const auto gap : {0ms, 400ms, 1200ms}) {
        CAPTURE(gap.count());
        OutageWorld outage(done);
        outage.readFor(600ms);
        outage.crashAll(gap);
        outage.readFor(gap * static_cast<int>(Servers - 1) + DownTime);
        REQUIRE(outage.crashes == Servers);
        outage.readFor(RecoverTime);
        const auto calls = outage.readFor(1s);
        outage.world.runFor(2 * WorkTime);
        CHECK(outage.shareOf(200, calls) >= 0.9);
    }
}

// Guards against records in the log by which hosts refuse a sound read after they have started again.
TEST_CASE("a sound read that was running on all servers as they crashed is served after all hosts were killed")
{
    OutageWorld outage(done);
    // No answer arrives before the crashes, so that the hosts write the suspicion at once.
    outage.readFor(WorkTime / 2);
    outage.crashAll(0ms);
    outage.readFor(1500ms);
    REQUIRE(outage.crashes == Servers);
    outage.world.restartAllHosts();
    outage.readFor(RecoverTime);
    const auto calls = outage.readFor(1s);
    outage.world.runFor(2 * WorkTime);
    CHECK(outage.shareOf(200, calls) >= 0.9);
    // The records are gone, so that a further start of all hosts refuses nothing.
    outage.world.restartAllHosts();
    const auto later = outage.readFor(500ms);
    outage.world.runFor(2 * WorkTime);
    CHECK(outage.shareOf(200, later) == 1.0);
}

// Guards against refusing prompts with a rare part, which later prompts without it make the only suspect.
TEST_CASE("prompts with a sound part that was running on all servers as they crashed are served again")
{
    std::size_t number = 0;
    OutageWorld outage([](const ReceivedRequest &request) {
        return RunnerStandin::Reply {streamHead(request) + eventChunk(1, "a") + "0\r\n\r\n", Then::Keep, WorkTime};
    });
    const auto ask = [&](const std::string &parts) {
        return outage.askFor(WorkTime / 2, [&](std::size_t host) {
            ++number;
            return outage.world.askHost(host, "/stream/", promptFields(parts, number), std::to_string(number));
        });
    };
    ask("rare:500");
    outage.crashAll(0ms);
    outage.world.runFor(DownTime + 500ms);
    REQUIRE(outage.crashes == Servers);
    ask("other:500");
    outage.world.runFor(2 * WorkTime);
    for (const TimePoint until = outage.world.loop.now() + RecoverTime; outage.world.loop.now() < until;) {
        ask("rare:500");
    }
    const auto calls = ask("rare:500");
    outage.world.runFor(2 * WorkTime);
    CHECK(outage.shareOf(200, calls) >= 0.9);
}

// Guards against refusing a sound read whose answers are no proof by themselves that their server goes on.
TEST_CASE("a sound read is served again whose servers answer with a failure or end their answers with the connection")
{
    const OutageWorld::Answer notFound = [](const ReceivedRequest &request) {
        return RunnerStandin::Reply {answerTo(request, 404, "none"), Then::Keep, WorkTime};
    };
    const OutageWorld::Answer closing = [](const ReceivedRequest &request) {
        return RunnerStandin::Reply {"HTTP/1.1 200 OK\r\nX-Endivespan-Request-Id: "
                                         + request.field("x-endivespan-request-id")
                                         + "\r\nX-Endivespan-Server-Seal: seal\r\nConnection: close\r\n\r\ndone",
                                     Then::Close,
                                     WorkTime};
    };
    for (const int status : {404, 200}) {
        CAPTURE(status);
        OutageWorld outage(status == 404 ? notFound : closing);
        outage.readFor(600ms);
        outage.crashAll(0ms);
        outage.readFor(DownTime);
        REQUIRE(outage.crashes == Servers);
        outage.readFor(RecoverTime);
        const auto calls = outage.readFor(1s);
        outage.world.runFor(2 * WorkTime);
        CHECK(outage.shareOf(status, calls) >= 0.9);
    }
}

// Guards against trials that each host counts for itself, or that a start of all hosts lets begin anew.
TEST_CASE("trials of a request that crashes its servers are counted over all hosts and through their restarts")
{
    constexpr std::size_t ManyServers = 12;
    constexpr std::size_t ManyHosts = 5;
    constexpr std::size_t SoundPerPoison = 5;
    OutageWorld outage(done, ManyServers, ManyHosts);
    outage.isDeadly = isPoison;
    std::vector<std::size_t> sound;
    std::vector<std::size_t> poison;
    const auto askBoth = [&](std::chrono::milliseconds time) {
        sound.clear();
        poison.clear();
        outage.askFor(time, [&](std::size_t host) {
            sound.push_back(outage.world.askHost(host, "/again/" + std::to_string(outage.world.answers.size())));
            if (sound.size() % SoundPerPoison == 0) {
                poison.push_back(outage.world.askHost(host, "/once/", {}, "poison"));
            }
            return sound.back();
        });
    };
    askBoth(800ms);
    outage.world.runFor(100ms);
    const std::size_t before = outage.crashes;
    REQUIRE(before >= config::ForwardCrashesUntilRefused);
    REQUIRE(before < ManyServers);
    askBoth(2500ms);
    CHECK(outage.crashes == before + 1);
    outage.world.restartAllHosts();
    askBoth(3s);
    CHECK(outage.crashes == before + 1);
    askBoth(6s);
    CHECK(outage.crashes == before + 2);
    outage.world.restartAllHosts();
    askBoth(10s);
    CHECK(outage.crashes == before + 2);
    askBoth(1s);
    outage.world.runFor(2 * WorkTime);
    CHECK(outage.shareOf(503, poison) == 1.0);
    CHECK(outage.shareOf(200, sound) == 1.0);
}

// Guards against a trial that the log may not have taken, and against giving up trials after an outage of the log.
TEST_CASE("a sound read is refused while the log takes no permit for a trial, and is served once it does")
{
    OutageWorld outage(done);
    outage.readFor(600ms);
    outage.crashAll(0ms);
    outage.readFor(500ms);
    REQUIRE(outage.crashes == Servers);
    outage.world.store.down = true;
    const std::size_t before = outage.runs;
    const auto refused = outage.readFor(DownTime + 500ms);
    CHECK(outage.runs == before);
    CHECK(outage.shareOf(503, refused) >= 0.9);
    outage.world.store.down = false;
    outage.world.store.lostAppends = 1;
    outage.readFor(RecoverTime);
    const auto calls = outage.readFor(1s);
    outage.world.runFor(2 * WorkTime);
    CHECK(outage.shareOf(200, calls) >= 0.9);
}
