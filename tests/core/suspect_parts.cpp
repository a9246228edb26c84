#include "gossip_fleet.h"

#include <endivespan/suspect.h>

#include <doctest/doctest.h>

#include <random>

using namespace endivespan;
using namespace endivespan::testing;
using namespace std::chrono_literals;

namespace {

constexpr TimePoint Start {1h};
constexpr Duration Later = config::PartSoundMemory + 1s;
const std::string Service = "llm";

Fingerprint part(const std::string &name)
{
    return partFingerprintOf("m", name);
}

SuspectKeys keys(const std::vector<std::string> &parts)
{
    static std::size_t number = 0;
    SuspectKeys all {fingerprintOf("org", "/", std::to_string(++number)), {}};
    for (const std::string &name : parts) {
        all.parts.push_back(part(name));
    }
    return all;
}

void crash(SuspicionTable &table, std::size_t number, const std::vector<std::string> &parts, TimePoint at)
{
    const SuspectKeys lost = keys(parts);
    std::vector<Fingerprint> running = lost.parts;
    running.push_back(lost.request);
    table.recordCrash(crashIdOf("s" + std::to_string(number), "1"), running, at);
}

bool isRefused(const SuspicionTable &table, const std::vector<std::string> &parts, TimePoint now)
{
    return table.findRefusedPart(Service, keys(parts), now).has_value();
}

} // namespace

TEST_CASE("suspects: a part is refused after three crashes, where requests without it have been answered since")
{
    SuspicionTable table;
    for (std::size_t i = 0; i < config::PartCrashesUntilRefused; ++i) {
        CHECK_FALSE(isRefused(table, {"dead"}, Start));
        crash(table, i, {"dead"}, Start);
    }
    CHECK_FALSE(isRefused(table, {"dead"}, Start));
    table.recordAnswer(Service, keys({"other"}), Start - 1ms, Start + 1s);
    CHECK_FALSE(isRefused(table, {"dead"}, Start + 1s));
    table.recordAnswer("another service", keys({"other"}), Start + 1ms, Start + 1s);
    CHECK_FALSE(isRefused(table, {"dead"}, Start + 1s));
    table.recordAnswer(Service, keys({"other"}), Start + 1ms, Start + 1s);
    CHECK(isRefused(table, {"first", "dead"}, Start + 1s));
    CHECK_FALSE(isRefused(table, {"first"}, Start + 1s));
    table.tick(Start + config::SuspectRetention);
    CHECK_FALSE(isRefused(table, {"dead"}, Start + config::SuspectRetention));
}

TEST_CASE("suspects: an answer clears its parts also of crashes that are learned later, and protects them for a time")
{
    SuspicionTable table;
    const TimePoint now = Start + 1s;
    table.recordAnswer(Service, keys({"sound"}), Start, now);
    crash(table, 0, {"sound"}, Start);
    CHECK(table.openCrashes(part("sound")) == 0);
    table.merge({part("sound"), {1, 2, 3}, {}, 1s}, now);
    CHECK(table.openCrashes(part("sound")) == 0);
    table.merge({part("sound"), {4, 5, 6}, {}, Duration::zero()}, now);
    CHECK(table.openCrashes(part("sound")) == 3);
    table.recordAnswer(Service, keys({"other"}), now + 1ms, now + 1ms);
    CHECK_FALSE(isRefused(table, {"sound"}, now + config::PartSoundTime - 1ms));
    CHECK(isRefused(table, {"sound"}, now + config::PartSoundTime));
}

TEST_CASE("suspects: of two parts in the same crashes only requests with both are refused, until one is told apart")
{
    SuspicionTable table;
    for (std::size_t i = 0; i < 4; ++i) {
        crash(table, i, {"first", "dead"}, Start);
    }
    table.recordAnswer(Service, keys({"other"}), Start + 1ms, Start + 1ms);
    const TimePoint now = Start + Later;
    CHECK(isRefused(table, {"first", "dead"}, now));
    CHECK_FALSE(isRefused(table, {"first", "sound"}, now));
    CHECK_FALSE(isRefused(table, {"second", "dead"}, now));
    SUBCASE("by an answer")
    {
        table.recordAnswer(Service, keys({"first", "sound"}), now, now);
        CHECK(isRefused(table, {"second", "dead"}, now));
        CHECK_FALSE(isRefused(table, {"first", "sound"}, now));
    }
    SUBCASE("by a crash")
    {
        crash(table, 4, {"second", "dead"}, now);
        CHECK(isRefused(table, {"second", "dead"}, now));
        CHECK_FALSE(isRefused(table, {"first", "sound"}, now));
    }
}

TEST_CASE("suspects: a part that is often answered is not refused beside two parts that crash servers")
{
    SuspicionTable table;
    TimePoint now = Start;
    for (std::size_t i = 0; i < 2 * config::CrashesKept; ++i) {
        now += 500ms;
        crash(table, i, {"first", i % 2 == 0 ? "dead1" : "dead2"}, now);
        CHECK_FALSE(isRefused(table, {"first", "sound"}, now));
        table.recordAnswer(Service, keys({"first", "sound"}), now, now + 300ms);
    }
    CHECK(isRefused(table, {"first", "dead1"}, now));
    CHECK(isRefused(table, {"first", "dead2"}, now));
}

// Guards against parts that stay refused after an outage of all servers, since nothing with them can be answered.
TEST_CASE("suspects: after all servers have crashed at once, parts that are in many requests are not refused")
{
    SuspicionTable table;
    for (std::size_t i = 0; i < 18; ++i) {
        for (std::size_t k = 0; k < 3; ++k) {
            crash(table, i, {"everywhere", "first" + std::to_string(k), "doc" + std::to_string(3 * i + k)}, Start);
        }
    }
    const TimePoint now = Start + 5s;
    CHECK_FALSE(isRefused(table, {"everywhere", "first0", "doc99"}, now));
    table.recordAnswer(Service, keys({"everywhere", "first1", "doc98"}), now, now);
    CHECK_FALSE(isRefused(table, {"everywhere", "first0", "doc99"}, now));
}

// Each crash accuses two dozen requests and their parts; answers clear the sound ones at other hosts.
TEST_CASE("suspects: all hosts refuse a part soon after the fifth crash, and serve sound requests beside it")
{
    constexpr Duration Detection = config::CrashProbeDelay + config::ForwardConnectTimeout + config::ForwardTickPeriod;
    constexpr std::size_t Crashes = 5;
    constexpr std::size_t BesideACrash = 24;
    struct Size {
        std::size_t hosts;
        Duration bound;
    };
    for (const Size &size : std::vector<Size> {{12, 3s}, {18, 3s}, {114, 4s}, {295, 5s}}) {
        CAPTURE(size.hosts);
        GossipFleet fleet(size.hosts);
        for (const auto &to : fleet.hosts) {
            for (const auto &from : fleet.hosts) {
                to->membership.learn(from->membership.self(), fleet.now);
            }
        }
        std::mt19937_64 random(7);
        const auto soundParts = [&random] {
            return std::vector {"first" + std::to_string(random() % 3), "doc" + std::to_string(random() % 400)};
        };
        const auto serve = [&fleet, &soundParts](Duration time) {
            for (const TimePoint end = fleet.now + time; fleet.now < end;) {
                const TimePoint before = fleet.now;
                gossipFor(fleet, 200ms);
                for (const auto &host : fleet.hosts) {
                    host->suspicions.recordAnswer(Service, keys(soundParts()), before, fleet.now);
                }
            }
        };
        serve(5s);
        for (std::size_t number = 0; number < Crashes; ++number) {
            for (std::size_t i = 0; i < BesideACrash; ++i) {
                crash(fleet.hosts[random() % fleet.hosts.size()]->suspicions, number, soundParts(), fleet.now);
            }
            crash(fleet.hosts[random() % fleet.hosts.size()]->suspicions, number, {"first0", "dead"}, fleet.now);
            serve(600ms);
        }
        serve(size.bound - Detection - 600ms);
        std::size_t refusing = 0;
        std::size_t soundRefused = 0;
        for (const auto &host : fleet.hosts) {
            refusing += isRefused(host->suspicions, {"first0", "dead"}, fleet.now) ? 1 : 0;
            soundRefused += isRefused(host->suspicions, soundParts(), fleet.now) ? 1 : 0;
        }
        CHECK(refusing == size.hosts);
        CHECK(soundRefused == 0);
    }
}
