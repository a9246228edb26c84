#include "world.h"

#include <endivespan/config.h>

#include <doctest/doctest.h>

#include <algorithm>
#include <functional>
#include <random>

using namespace endivespan;
using namespace endivespan::tests;
using namespace std::chrono_literals;
using Then = RunnerStandin::Reply::Then;

namespace {

constexpr auto DownTime = 2500ms;
constexpr auto StableWindow = 3000ms;
constexpr std::size_t EndsUntilBound = 3;
constexpr std::size_t RetriesAllowed = 3;

bool hasPoisonBody(const ReceivedRequest &request)
{
    return request.body == "poison";
}

/// Runners that fail on each poison request and start again after DownTime.
class PoisonWorld
{
public:
    /// How a runner fails on a poison request.
    struct Ending {
        std::string name;
        std::function<std::string(const ReceivedRequest &)> bytes; ///< Returns what the runner sends before it fails.
        bool silent = false; ///< The runner stops answering, but its connections stay open.
        std::function<bool(const ReceivedRequest &)> isPoison = hasPoisonBody;
        std::chrono::milliseconds work {}; ///< How long a runner works on any other request.
    };

    PoisonWorld(std::size_t count, const Ending &ending, std::size_t hosts = 1)
        : world(count, hosts)
        , ending(ending)
    {
        for (std::size_t i = 0; i < count; ++i) {
            this->world.runners[i]->script
                = [this, i](const ReceivedRequest &request) { return this->serve(i, request); };
        }
    }

    [[nodiscard]] std::size_t ends() const
    {
        return this->endedAt.size();
    }

    /// @returns how many poison requests reached runners later than StableWindow after the failure with this number.
    [[nodiscard]] std::size_t lateArrivals(std::size_t failure = EndsUntilBound) const
    {
        std::size_t late = 0;
        for (const TimePoint at : this->arrivals) {
            late += this->endedAt.size() >= failure && at > this->endedAt[failure - 1] + StableWindow;
        }
        return late;
    }

    /// @returns whether @p time has passed since the last one of the first @p most failures, of at least @p least.
    [[nodiscard]] bool isPast(std::size_t least, std::size_t most, Duration time)
    {
        const std::size_t failure = std::min(this->endedAt.size(), most);
        return failure >= least && this->world.loop.now() > this->endedAt[failure - 1] + time;
    }

    /// Lets a runner fail without a poison request.
    void crash(std::size_t number)
    {
        this->end(number);
    }

    World world;

private:
    RunnerStandin::Reply serve(std::size_t number, const ReceivedRequest &request)
    {
        if (!this->ending.isPoison(request)) {
            const bool stream = request.head.starts_with("POST /resume/") || request.head.starts_with("POST /stream/");
            return {stream ? streamHead(request) + eventChunk(1, "a") + "0\r\n\r\n" : answerTo(request, 200, "done"),
                    Then::Keep,
                    this->ending.work};
        }
        this->arrivals.push_back(this->world.loop.now());
        this->timers.push_back(this->world.loop.after(10ms, [this, number] { this->end(number); }));
        return {this->ending.bytes(request), Then::Hang};
    }

    void end(std::size_t number)
    {
        RunnerStandin &runner = *this->world.runners[number];
        if (this->down.contains(number)) {
            return;
        }
        this->down.insert(number);
        this->endedAt.push_back(this->world.loop.now());
        if (this->ending.silent) {
            runner.stopAnswering();
        } else {
            runner.shutDown();
        }
        this->timers.push_back(this->world.loop.after(DownTime, [this, &runner, number] {
            runner.shutDown();
            runner.resume();
            this->down.erase(number);
            this->world.list(runner, {{"born", 1000 + ++this->starts}, {"seq", 1}});
        }));
    }

    Ending ending;
    std::vector<TimePoint> arrivals;
    std::vector<TimePoint> endedAt;
    std::set<std::size_t> down;
    std::vector<std::unique_ptr<Timer>> timers;
    std::uint64_t starts = 0;
};

std::string nothing(const ReceivedRequest &)
{
    return "";
}

std::string headAndEvent(const ReceivedRequest &request)
{
    return streamHead(request) + eventChunk(1, "a");
}

} // namespace

// Guards against a poison request that is never suspected because its runners begin to answer before they fail.
TEST_CASE("a request on which three runners have failed is sent to no further runners")
{
    struct Case {
        PoisonWorld::Ending ending;
        std::string path;
    };
    const PoisonWorld::Ending early {"before the first byte", nothing};
    const PoisonWorld::Ending late {"in the stream", headAndEvent};
    const PoisonWorld::Ending silent {"silently", nothing, true};
    for (const Case &test : std::vector<Case> {{early, "/once/"},
                                               {early, "/again/"},
                                               {late, "/stream/"},
                                               {late, "/resume/"},
                                               {silent, "/once/"},
                                               {silent, "/resume/"}}) {
        CAPTURE(test.ending.name);
        CAPTURE(test.path);
        PoisonWorld poison(8, test.ending);
        std::size_t innocent = 0;
        const TimePoint until = poison.world.loop.now() + 8s;
        while (poison.world.loop.now() < until) {
            poison.world.ask(test.path, {}, "POST", "poison");
            innocent = poison.world.ask("/again/", {}, "POST", "innocent");
            poison.world.runFor(200ms);
        }
        CHECK(poison.world.answer(innocent).status == 200);
        CHECK(poison.ends() >= EndsUntilBound);
        CHECK(poison.lateArrivals() <= RetriesAllowed);
    }
}

TEST_CASE("a request on which three runners have failed is sent to no further runners by any host")
{
    constexpr std::size_t Hosts = 5;
    PoisonWorld poison(10, {"in the stream", headAndEvent}, Hosts);
    poison.world.runFor(1500ms);
    std::size_t innocent = 0;
    const TimePoint until = poison.world.loop.now() + 8s;
    for (std::size_t asked = 0; poison.world.loop.now() < until; ++asked) {
        poison.world.askHost(asked % Hosts, "/resume/", {}, "poison");
        innocent = poison.world.askHost((asked + 1) % Hosts, "/again/", {}, "innocent");
        poison.world.runFor(100ms);
    }
    CHECK(poison.world.answer(innocent).status == 200);
    CHECK(poison.ends() >= EndsUntilBound);
    CHECK(poison.lateArrivals() <= RetriesAllowed);
}

// Guards against suspicions that only the memory of the hosts holds.
TEST_CASE("a request on which three runners have failed is sent to no further runners after all hosts were killed")
{
    constexpr std::size_t Hosts = 6;
    PoisonWorld poison(12, {"before the first byte", nothing}, Hosts);
    std::size_t asked = 0;
    const auto askFor = [&](std::chrono::milliseconds time) {
        std::size_t innocent = 0;
        for (const TimePoint until = poison.world.loop.now() + time; poison.world.loop.now() < until; ++asked) {
            poison.world.askHost(asked % Hosts, "/once/", {}, "poison");
            innocent = poison.world.askHost((asked + 1) % Hosts, "/again/", {}, "innocent");
            poison.world.runFor(100ms);
        }
        return innocent;
    };
    askFor(2s);
    REQUIRE(poison.ends() >= EndsUntilBound);
    // The runners are back, and what reaches them from here on comes past the bound.
    poison.world.runFor(StableWindow);
    poison.world.restartAllHosts();
    const std::size_t innocent = askFor(4s);
    CHECK(poison.lateArrivals() <= RetriesAllowed);
    CHECK(poison.world.answer(innocent).status == 200);
}

namespace {

constexpr std::size_t EndsUntilPartBound = 5; ///< Hosts refuse a part after config::PartCrashesUntilRefused already.
constexpr auto SoundWork = 60ms;

/// Callers of requests with prompts, none like another, at random hosts.
class PromptTraffic
{
public:
    PromptTraffic(PoisonWorld &poison, std::size_t hosts)
        : poison(poison)
        , hosts(hosts)
    {
    }

    std::size_t ask(const std::string &path, const std::string &sharedParts)
    {
        const std::string number = std::to_string(++this->asked);
        return this->poison.world.askHost(this->random() % this->hosts,
                                          path,
                                          {{"x-endivespan-model", "m"},
                                           {"x-endivespan-token-count", "700,20"},
                                           {"x-endivespan-prompt-prefix", sharedParts + ",own" + number + ":50"}},
                                          "prompt " + number);
    }

    /// Asks a sound request with @p first and one of ten documents.
    std::size_t askSound(const std::string &first)
    {
        return this->ask(this->random() % 2 == 0 ? "/stream/" : "/resume/",
                         first + ":100,doc" + std::to_string(this->random() % 10) + ":500");
    }

    /// @returns the number of these calls that were answered with this status.
    [[nodiscard]] std::size_t answeredWith(int status, const std::vector<std::size_t> &calls) const
    {
        return static_cast<std::size_t>(std::count_if(calls.begin(), calls.end(), [this, status](std::size_t call) {
            return this->poison.world.answers[call].status == status;
        }));
    }

    /// @returns the share of these calls whose answer began.
    [[nodiscard]] double began(const std::vector<std::size_t> &calls) const
    {
        return calls.empty() ? 0
                             : static_cast<double>(this->answeredWith(200, calls)) / static_cast<double>(calls.size());
    }

private:
    PoisonWorld &poison;
    std::size_t hosts;
    std::size_t asked = 0;
    std::mt19937_64 random {7};
};

} // namespace

// Guards against suspicions that never add up, since no request with the part is like another.
TEST_CASE("requests that share a part on which runners fail are sent to no further runners, and sound ones are served")
{
    constexpr std::size_t Hosts = 5;
    struct Case {
        std::string name;
        std::vector<std::string> deadly; ///< Shared parts of the poison requests, in turn.
    };
    for (const Case &test : std::vector<Case> {{"second part", {"first1:100,dead:500"}},
                                               {"with any first part", {"first1:100,dead:500", "first2:100,dead:500"}},
                                               {"first part", {"dead:100,doc1:500", "dead:100,doc2:500"}},
                                               {"two parts", {"first1:100,dead1:500", "first1:100,dead2:500"}}}) {
        CAPTURE(test.name);
        PoisonWorld poison(12,
                           {test.name,
                            headAndEvent,
                            false,
                            [](const ReceivedRequest &request) {
                                return request.field("x-endivespan-prompt-prefix").find("dead") != std::string::npos;
                            },
                            SoundWork},
                           Hosts);
        PromptTraffic traffic(poison, Hosts);
        std::vector<std::size_t> before;
        std::vector<std::size_t> beside;
        std::vector<std::size_t> deadly; // Asked when hosts must refuse them.
        for (int i = 0; i < 100; ++i) {
            before.push_back(traffic.askSound("first1"));
            poison.world.runFor(20ms);
        }
        const std::size_t bound = EndsUntilPartBound * test.deadly.size();
        const TimePoint until = poison.world.loop.now() + 16s;
        for (std::size_t step = 0; poison.world.loop.now() < until; ++step) {
            const bool isBound = poison.isPast(config::PartCrashesUntilRefused, EndsUntilPartBound, 2 * StableWindow);
            if (step % 10 == 0) {
                const std::size_t call = traffic.ask("/stream/", test.deadly[step / 10 % test.deadly.size()]);
                if (isBound) {
                    deadly.push_back(call);
                }
            }
            const std::size_t sound = traffic.askSound("first1");
            if (isBound) {
                beside.push_back(sound);
            }
            poison.world.runFor(20ms);
        }
        poison.world.runFor(1s);
        CHECK(poison.ends() >= config::PartCrashesUntilRefused);
        CHECK(poison.lateArrivals(bound) <= RetriesAllowed);
        CHECK(deadly.size() >= 10);
        CHECK(traffic.answeredWith(503, deadly) + RetriesAllowed >= deadly.size());
        CHECK(beside.size() >= 20);
        CHECK(traffic.began(beside) >= traffic.began(before) / 2);
    }
}

// Guards against refusing a part that is in every request after crashes that no request has caused.
TEST_CASE("parts of prompts are not refused because all runners have lost power three times")
{
    constexpr std::size_t Hosts = 3;
    constexpr std::size_t Runners = 6;
    PoisonWorld poison(
        Runners, {"power", nothing, false, [](const ReceivedRequest &) { return false; }, SoundWork}, Hosts);
    PromptTraffic traffic(poison, Hosts);
    const auto askFor = [&](std::chrono::milliseconds time) {
        std::vector<std::size_t> calls;
        const TimePoint until = poison.world.loop.now() + time;
        while (poison.world.loop.now() < until) {
            calls.push_back(traffic.askSound("first1"));
            poison.world.runFor(20ms);
        }
        return calls;
    };
    for (int loss = 0; loss < 3; ++loss) {
        askFor(300ms);
        for (std::size_t i = 0; i < Runners; ++i) {
            poison.crash(i);
        }
        askFor(DownTime + 1500ms);
        const auto calls = askFor(1s);
        poison.world.runFor(500ms);
        CAPTURE(loss);
        CHECK(traffic.began(calls) >= 0.9);
    }
}
