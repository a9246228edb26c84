#include "world.h"

#include <doctest/doctest.h>

#include <functional>

using namespace endivespan;
using namespace endivespan::tests;
using namespace std::chrono_literals;
using Then = RunnerStandin::Reply::Then;

namespace {

constexpr auto DownTime = 2500ms;
constexpr auto StableWindow = 3000ms;
constexpr std::size_t EndsUntilBound = 3;
constexpr std::size_t RetriesAllowed = 3;

/// Runners that fail on each request with the body "poison" and start again after DownTime.
class PoisonWorld
{
public:
    /// How a runner fails on a poison request.
    struct Ending {
        std::string name;
        std::function<std::string(const ReceivedRequest &)> bytes; ///< Returns what the runner sends before it fails.
        bool silent = false; ///< The runner stops answering, but its connections stay open.
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

    /// @returns how many poison requests reached runners later than StableWindow after the third failure.
    [[nodiscard]] std::size_t lateArrivals() const
    {
        std::size_t late = 0;
        for (const TimePoint at : this->arrivals) {
            late += this->endedAt.size() >= EndsUntilBound && at > this->endedAt[EndsUntilBound - 1] + StableWindow;
        }
        return late;
    }

    World world;

private:
    RunnerStandin::Reply serve(std::size_t number, const ReceivedRequest &request)
    {
        if (request.body != "poison") {
            const bool stream = request.head.starts_with("POST /resume/") || request.head.starts_with("POST /stream/");
            return {stream ? streamHead(request) + eventChunk(1, "a") + "0\r\n\r\n" : answerTo(request, 200, "done")};
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
