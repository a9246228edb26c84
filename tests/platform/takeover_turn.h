#pragma once

#include "raw_caller.h"

#include <doctest/doctest.h>

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

/// Streams whose silent servers are replaced, and what may happen in the turn of the event loop in which they are.
namespace endivespan::tests::takeover {

using namespace std::chrono_literals;
using Reply = RunnerStandin::Reply;
using Then = Reply::Then;

constexpr auto StandbyWork = 25ms; ///< From when a standby receives its request until it writes its first event.
constexpr auto StopTime = 3000ms;
constexpr int Events = 5;
constexpr std::size_t Count = 80;
constexpr std::size_t Chosen = 40; ///< The stream whose standby sets off what concerns all streams.
constexpr std::size_t ChosenRefused = 39;

/// When something happens, from when the standby of a stream receives its request.
struct Moment {
    std::string what;
    std::chrono::milliseconds wait;
    int turns; ///< Turns of the loop after the wait; -1 for at once, before the standby has answered.
    std::size_t stream = Chosen;
};

inline const std::vector<Moment> Moments {
    {"the standby starts", 0ms, -1},
    {"the standby is refused", 0ms, -1, ChosenRefused},
    {"the first event is written", StandbyWork, 0},
    {"1 turn later", StandbyWork, 1},
    {"2 turns later", StandbyWork, 2},
    {"3 turns later", StandbyWork, 3},
};

/// Streams that usually begin 0.5 ms after each other and fall silent after their first event, so that a moment of one
/// stream is one shortly before or after the start or takeover of others. One of them is refused by its first standby;
/// more refusals would have the host spare the servers that say that they are full.
class Streams
{
public:
    explicit Streams(int attempts = 2)
        : world(6,
                1,
                [](ForwardBounds &bounds) {
                    bounds.retrySlack = 1000;
                    bounds.stopTime = StopTime;
                })
        , attempts(attempts)
    {
        if (attempts != 2) {
            this->configure([](nlohmann::json &) {});
            this->world.runFor(100ms);
        }
        for (const auto &runner : this->world.runners) {
            runner->script
                = [this, &runner = *runner](const ReceivedRequest &request) { return this->reply(runner, request); };
        }
    }

    void configure(const std::function<void(nlohmann::json &)> &change)
    {
        this->world.configure([&](nlohmann::json &config) {
            updateRoutes(config, {{"max_attempts", this->attempts}});
            change(config);
        });
    }

    /// Sends the streams and waits until all have ended.
    void run(Duration spacing = 500us)
    {
        for (std::size_t i = 0; i < Count; ++i) {
            this->timers.push_back(this->world.loop.after(i * spacing, [this, i] {
                (void)this->world.ask(
                    "/resume/", {{"x-endivespan-deadline-ms", "2900"}}, "POST", "body " + std::to_string(i));
            }));
        }
        this->world.until(
            [this] {
                std::size_t ended = 0;
                for (const CallerAnswer &answer : this->world.answers) {
                    ended += answer.whole || answer.failed ? 1 : 0;
                }
                return ended == Count || this->world.stopped;
            },
            4s);
    }

    /// Runs @p act at a @p moment of one stream.
    void at(const Moment &moment, const std::function<void()> &act)
    {
        if (moment.turns < 0) {
            return act();
        }
        this->timers.push_back(
            this->world.loop.after(moment.wait, [this, turns = moment.turns, act] { this->inTurns(turns, act); }));
    }

    /// Checks that each caller has a whole answer or a true refusal, and that no stream ran at too many runners.
    void check()
    {
        for (std::size_t i = 0; i < this->world.answers.size(); ++i) {
            const CallerAnswer &answer = this->world.answers[i];
            CAPTURE(i);
            CAPTURE(answer.status);
            this->checkOne(i, answer.body, answer.whole, answer.status);
        }
        CHECK(this->world.answers.size() == Count);
        CHECK(this->standbys > Count / 2);
    }

    void checkOne(std::size_t stream, const std::string &body, bool whole, int status)
    {
        std::string expected;
        for (int event = 1; event <= Events; ++event) {
            expected += "id: " + std::to_string(event) + "\ndata: " + this->content + "\n\n";
        }
        const std::set<std::string> &ran = this->ranAt["r" + std::to_string(stream)];
        CHECK(whole);
        CHECK((status == 503 ? ran.empty() : status == 200));
        CHECK((status == 503 || body == expected));
        CHECK(ran.size() <= static_cast<std::size_t>(this->attempts));
    }

    World world;
    std::string content = "a";
    /// Called when the first standby of a stream receives its request, before it answers.
    std::function<void(std::size_t stream, RunnerStandin &silent, RunnerStandin &standby)> onStandby;
    /// What a silent server sends after a pause.
    std::function<std::pair<std::chrono::milliseconds, std::string>(std::size_t stream)> later;
    std::set<std::string> breaking; ///< Servers that break off behind the first event, as first standby of a stream.
    std::size_t broken = 0;
    std::size_t standbys = 0;

    [[nodiscard]] std::string eventsFrom(int first, int last = Events) const
    {
        std::string bytes;
        for (int event = first; event <= last; ++event) {
            bytes += eventChunk(event, this->content);
        }
        return bytes;
    }

private:
    void inTurns(int turns, const std::function<void()> &act)
    {
        if (turns == 0) {
            return act();
        }
        this->timers.push_back(this->world.loop.after(0ms, [this, turns, act] { this->inTurns(turns - 1, act); }));
    }

    Reply reply(RunnerStandin &runner, const ReceivedRequest &request)
    {
        const std::string id = request.field("x-endivespan-request-id");
        const std::size_t stream = std::stoul(id.substr(1));
        const std::string last = request.field("last-event-id");
        if (last.empty()) {
            this->ranAt[id].insert(runner.id);
            this->silent[id] = &runner;
            const auto [pause, rest] = this->later ? this->later(stream) : std::pair(0ms, std::string());
            return {streamHead(request) + this->eventsFrom(1, 1), Then::Hang, {}, pause, rest};
        }
        const bool isFirst = this->stoodBy.insert(id).second;
        if (isFirst) {
            ++this->standbys;
            if (this->onStandby) {
                this->onStandby(stream, *this->silent[id], runner);
            }
            if (stream == ChosenRefused) {
                return {answerTo(request, 503, "full", "X-Endivespan-Not-Executed: 1\r\n")};
            }
        }
        this->ranAt[id].insert(runner.id);
        const int next = std::stoi(last) + 1;
        if (isFirst && this->breaking.contains(runner.id)) {
            ++this->broken;
            const Then breaks = stream % 3 == 0 ? Then::Reset : Then::Close;
            return {streamHead(request) + this->eventsFrom(next, next), breaks, StandbyWork};
        }
        if (stream % 2 == 0) {
            return {streamHead(request) + this->eventsFrom(next) + StreamEnd, Then::Keep, StandbyWork};
        }
        return {streamHead(request), Then::Hang, {}, StandbyWork, this->eventsFrom(next) + StreamEnd};
    }

    int attempts;
    std::map<std::string, std::set<std::string>> ranAt; ///< By request, without those that refused it.
    std::map<std::string, RunnerStandin *> silent;
    std::set<std::string> stoodBy;
    std::vector<std::unique_ptr<Timer>> timers;
};

} // namespace endivespan::tests::takeover
