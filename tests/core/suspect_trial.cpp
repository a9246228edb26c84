#include <endivespan/config.h>
#include <endivespan/suspect_trial.h>

#include <doctest/doctest.h>

#include <map>
#include <set>
#include <string>
#include <vector>

using namespace endivespan;
using namespace std::chrono_literals;

namespace {

constexpr TimePoint Start {1h};

Fingerprint numbered(std::size_t number)
{
    return fingerprintOf("org", "/path", std::to_string(number));
}

Duration atOnce()
{
    return Duration::zero();
}

} // namespace

TEST_CASE("trials: each is due later than the one before, after the latest crash and the latest trial")
{
    Duration last {};
    for (std::size_t trials = 0; trials < config::TrialsMost; ++trials) {
        const auto delay = timeUntilTrial({trials, 0s}, 0s);
        REQUIRE(delay);
        CHECK(*delay > last);
        CHECK(timeUntilTrial({trials, *delay}, *delay) == Duration::zero());
        CHECK(timeUntilTrial({trials, 1h}, *delay - 1ms) == 1ms);
        CHECK((trials == 0 || timeUntilTrial({trials, *delay - 1ms}, 1h) == 1ms));
        last = *delay;
    }
    CHECK_FALSE(timeUntilTrial({config::TrialsMost, 1h}, 1h));
}

// Load pattern: a refused request that returns all the time at every host.
TEST_CASE("trials: a host asks the log for one permit at a time, and not before the next one is due")
{
    TrialPermits permits;
    const Fingerprint request = numbered(1);
    CHECK(permits.request(request, config::TrialDelay - 1ms, atOnce, Start) == TrialPermits::Answer::Denied);
    REQUIRE(permits.request(request, config::TrialDelay, atOnce, Start) == TrialPermits::Answer::Ask);
    CHECK(permits.request(request, config::TrialDelay, atOnce, Start) == TrialPermits::Answer::Denied);
    // Another host has begun a trial.
    CHECK_FALSE(permits.decide(request, {1, 0s}, config::TrialDelay, Start));
    const auto wait = timeUntilTrial({1, 0s}, config::TrialDelay);
    REQUIRE(wait);
    CHECK(permits.request(request, 1h, atOnce, Start + *wait - 1ms) == TrialPermits::Answer::Denied);
    REQUIRE(permits.request(request, 1h, atOnce, Start + *wait) == TrialPermits::Answer::Ask);
    CHECK(permits.decide(request, {1, *wait}, 1h, Start + *wait));
}

// Load pattern: a refused request that callers send to all hosts, of which one gets the permit.
TEST_CASE(
    "trials: one host asks for the permit at once, few of the others soon after, and all within the time of nine turns")
{
    for (const std::size_t count : {3U, 114U, 400U}) {
        CAPTURE(count);
        std::set<std::string> hosts;
        for (std::size_t i = 0; i < count; ++i) {
            hosts.insert("host-" + std::to_string(i));
        }
        std::map<Duration, std::size_t> turns;
        for (const std::string &host : hosts) {
            ++turns[trialTurn(host, hosts, numbered(1))];
        }
        CHECK(turns[Duration::zero()] == 1);
        CHECK(turns[config::TrialTurn] == 1);
        CHECK(turns[2 * config::TrialTurn] <= 2);
        CHECK(turns.rbegin()->first <= 9 * config::TrialTurn);
    }
    TrialPermits permits;
    const auto turn = [] { return Duration(2 * config::TrialTurn); };
    const Duration due = config::TrialDelay;
    CHECK(permits.request(numbered(1), due + 2 * config::TrialTurn - 1ms, turn, Start) == TrialPermits::Answer::Denied);
    CHECK(permits.request(numbered(1), due + 2 * config::TrialTurn, turn, Start) == TrialPermits::Answer::Ask);
}

TEST_CASE("trials: a permit that was not used serves the next request, and only that")
{
    TrialPermits permits;
    const Fingerprint request = numbered(1);
    REQUIRE(permits.request(request, 1h, atOnce, Start) == TrialPermits::Answer::Ask);
    REQUIRE(permits.decide(request, {}, 1h, Start));
    permits.granted(request, Start);
    permits.giveBack(request);
    CHECK(permits.request(request, 1h, atOnce, Start) == TrialPermits::Answer::Permitted);
    CHECK(permits.request(request, 1h, atOnce, Start) == TrialPermits::Answer::Ask);
}

// Guards against trials that begin anew because a log that was restored from a copy lacks the latest records.
TEST_CASE("trials: a host remembers more trials than a restored log has, until the request is cleared")
{
    TrialPermits permits;
    SuspicionTable suspicions;
    const Fingerprint request = numbered(1);
    suspicions.recordCrash(1, std::vector {request}, Start);
    for (std::size_t i = 0; i < config::TrialsMost; ++i) {
        const TimePoint now = Start + std::chrono::hours(i);
        REQUIRE(permits.request(request, 1h, atOnce, now) == TrialPermits::Answer::Ask);
        REQUIRE(permits.decide(request, {}, 1h, now));
        permits.granted(request, now);
    }
    const TimePoint now = Start + 24h;
    REQUIRE(permits.request(request, 1h, atOnce, now) == TrialPermits::Answer::Ask);
    CHECK_FALSE(permits.decide(request, {}, 1h, now));
    permits.tick(suspicions);
    CHECK(permits.request(request, 1h, atOnce, now) == TrialPermits::Answer::Denied);
    suspicions.clear(request, now);
    permits.tick(suspicions);
    CHECK(permits.request(request, 1h, atOnce, now) == TrialPermits::Answer::Ask);
}

TEST_CASE("trials: after a call to the log that failed another one is made only after a pause")
{
    TrialPermits permits;
    const Fingerprint request = numbered(1);
    REQUIRE(permits.request(request, 1h, atOnce, Start) == TrialPermits::Answer::Ask);
    permits.denied(request, Start);
    CHECK(permits.request(request, 1h, atOnce, Start) == TrialPermits::Answer::Denied);
    CHECK(permits.request(request, 1h, atOnce, Start + config::SuspectArchivePause) == TrialPermits::Answer::Ask);
}

TEST_CASE("trials: a later heartbeat of the same incarnation shows that a server has outlived a trial")
{
    const ServerIncarnation life {"s1", 1000};
    const TimePoint later = Start + config::ListLag + config::CrashUnsettledTime;
    const auto survivalsOfTrial = [&life] {
        TrialSurvivals survivals;
        survivals.ended(life, {numbered(1)}, Start);
        return survivals;
    };
    TrialSurvivals survivals = survivalsOfTrial();
    CHECK(survivals.heartbeat(life, 5, Start).empty());
    // The list may show a heartbeat from before the trial.
    CHECK(survivals.heartbeat(life, 6, later - 1ms).empty());
    CHECK(survivals.heartbeat(life, 6, later).empty());
    CHECK(survivals.heartbeat(life, 7, later) == std::set {numbered(1)});
    CHECK(survivals.watched().empty());

    survivals = survivalsOfTrial();
    survivals.onServerGone(life);
    CHECK(survivals.heartbeat(life, 7, later).empty());
}
