#include <endivespan/first_event_times.h>

#include <doctest/doctest.h>

#include <functional>
#include <random>

using namespace endivespan;
using namespace std::chrono_literals;

namespace {

const FirstEventKind Essay {"essay", 3000};
constexpr Duration Spacing = 500ms; ///< Of the essay requests of one host of the contended deployment.
constexpr Duration TodaysDelay = 300ms; ///< Half of an aim of 600 ms.

/// Replays the requests of one host that follow one another, and applies the rules of second attempts to each.
class Replay
{
public:
    /// @param timeOf The time that the first server of a request needs, by the number of the request.
    /// @param other The time that the other server needs.
    /// @returns the number of second attempts.
    int run(int requests, const std::function<Duration(int)> &timeOf, Duration other)
    {
        int seconds = 0;
        for (int i = 0; i < requests; ++i) {
            seconds += this->one(timeOf(i), other) ? 1 : 0;
            this->now += Spacing;
        }
        return seconds;
    }

    /// @returns a time that is uniformly distributed around @p mean.
    Duration around(Duration mean, Duration spread)
    {
        std::uniform_int_distribution<Duration::rep> offset(-spread.count(), spread.count());
        return mean + Duration(offset(this->random));
    }

    FirstEventTimes times;
    TimePoint now {1h};
    Duration lastDelay {}; ///< Of the latest second attempt.

private:
    bool one(Duration time, Duration other)
    {
        const Duration wait = TodaysDelay + this->times.waitLeft(Essay, TodaysDelay, false, this->now);
        if (time <= wait || !this->times.isSecondFirst(Essay, wait, other, this->now)) {
            this->times.observe(Essay, time, this->now);
            return false;
        }
        this->lastDelay = wait;
        if (time <= wait + other) {
            this->times.observe(Essay, time, this->now);
        } else {
            this->times.observeGivenUp(Essay, wait + other, this->now);
            this->times.observe(Essay, other, this->now);
        }
        return true;
    }

    std::mt19937_64 random {20261204};
};

} // namespace

TEST_CASE("first event times: without enough recent samples the own delay of callers holds")
{
    FirstEventTimes times;
    const TimePoint now {1h};
    CHECK_FALSE(times.usualTime(Essay, now));
    for (int i = 0; i < 5; ++i) {
        times.observe(Essay, 400ms, now);
    }
    CHECK_FALSE(times.usualTime(Essay, now));
    CHECK(times.waitLeft(Essay, TodaysDelay, false, now) == Duration::zero());
    CHECK(times.isSecondFirst(Essay, TodaysDelay, 5s, now));
    times.observe(Essay, 400ms, now);
    CHECK(times.usualTime(Essay, now));
    CHECK_FALSE(times.usualTime(Essay, now + 20s));
}

TEST_CASE("first event times: routes and classes of prompt work do not mix")
{
    FirstEventTimes times;
    const TimePoint now {1h};
    for (int i = 0; i < 20; ++i) {
        times.observe(Essay, 400ms, now);
    }
    CHECK(times.usualTime({"essay", 2100}, now) == times.usualTime(Essay, now));
    CHECK_FALSE(times.usualTime({"essay", 12'000}, now));
    CHECK_FALSE(times.usualTime({"hint", 3000}, now));
}

TEST_CASE("first event times: times outside the range are kept at its ends")
{
    FirstEventTimes times;
    const TimePoint now {1h};
    for (int i = 0; i < 20; ++i) {
        times.observe({"slow", 0}, 10min, now);
        times.observe({"fast", 0}, 0ms, now);
    }
    CHECK(*times.usualTime({"slow", 0}, now) > 50s);
    CHECK(*times.usualTime({"fast", 0}, now) < 2ms);
    CHECK_FALSE(times.isSecondFirst({"fast", 0}, 0ms, 1h, now));
    CHECK(times.isSecondFirst({"slow", 0}, 20min, 1h, now));
}

// Guards against a third of all requests being sent to two servers of a pool whose usual time is just below the aim.
TEST_CASE("first event times: a pool whose usual time is just below the aim gets hardly any second attempts")
{
    Replay replay;
    replay.run(
        20, [&](int) { return replay.around(400ms, 50ms); }, 350ms);
    CHECK(replay.run(
              400, [&](int) { return replay.around(400ms, 50ms); }, 350ms)
          <= 20);
    CHECK(*replay.times.usualTime(Essay, replay.now) > 400ms);
    CHECK(*replay.times.usualTime(Essay, replay.now) < 500ms);
}

// Guards against requests that wait for a server which stalls, and against a delay that its requests lengthen.
TEST_CASE("first event times: requests at one server that stalls get second attempts soon")
{
    for (const int period : {60, 10, 4}) {
        CAPTURE(period);
        Replay replay;
        replay.run(
            40, [&](int) { return replay.around(400ms, 50ms); }, 350ms);
        const auto stalled = [&](int i) { return i % period == 0 ? Duration(1min) : replay.around(400ms, 50ms); };
        const int requests = 240;
        CHECK(replay.run(requests, stalled, 350ms) >= requests / period);
        CHECK(replay.lastDelay < 550ms);
        CHECK(*replay.times.usualTime(Essay, replay.now) < 550ms);
    }
}

TEST_CASE("first event times: the usual time does not count at a server that sends nothing for any request")
{
    Replay replay;
    replay.run(
        40, [&](int) { return replay.around(400ms, 50ms); }, 350ms);
    CHECK(replay.times.waitLeft(Essay, TodaysDelay, false, replay.now) > 50ms);
    CHECK(replay.times.waitLeft(Essay, TodaysDelay, true, replay.now) == Duration::zero());
}

// Guards against second attempts that load a pool further which is slow as a whole.
TEST_CASE("first event times: a pool that slows down as a whole gets no more second attempts")
{
    Replay replay;
    replay.run(
        40, [&](int) { return replay.around(400ms, 50ms); }, 350ms);
    const int before = replay.run(
        200, [&](int) { return replay.around(400ms, 50ms); }, 350ms);
    const int during = replay.run(
        200, [&](int) { return replay.around(1200ms, 150ms); }, 1100ms);
    CHECK(during <= std::max(before, 10));
    CHECK(*replay.times.usualTime(Essay, replay.now) > 1200ms);
}

TEST_CASE("first event times: a demand wave does not bring second attempts at its peaks")
{
    Replay replay;
    const auto wave = [&](int i) {
        // A period of 15 s, like the demand of the failure domains there.
        const double phase = 2 * 3.14159 * i / 30;
        return replay.around(std::chrono::duration_cast<Duration>(400ms * (1 + 0.55 * std::sin(phase))), 40ms);
    };
    replay.run(60, wave, 350ms);
    CHECK(replay.run(300, wave, 350ms) <= 24);
}

// Guards against a delay that stays long after a pool was slow for a time.
TEST_CASE("first event times: second attempts come soon again after a slow pool has recovered")
{
    Replay replay;
    replay.run(
        100, [&](int) { return replay.around(1200ms, 150ms); }, 1100ms);
    replay.run(
        100, [&](int) { return replay.around(400ms, 50ms); }, 350ms);
    CHECK(*replay.times.usualTime(Essay, replay.now) < 500ms);
    CHECK(replay.run(
              1, [](int) { return Duration(1min); }, 350ms)
          == 1);
}

TEST_CASE("first event times: no second attempt is started where the first one is expected to be done sooner")
{
    FirstEventTimes times;
    const TimePoint now {1h};
    for (int i = 0; i < 18; ++i) {
        times.observe(Essay, 400ms, now);
    }
    for (int i = 0; i < 2; ++i) {
        times.observe(Essay, 600ms, now);
    }
    CHECK(times.isSecondFirst(Essay, 450ms, 100ms, now));
    CHECK_FALSE(times.isSecondFirst(Essay, 450ms, 200ms, now));
    CHECK(times.isSecondFirst(Essay, 900ms, 200ms, now));
}
