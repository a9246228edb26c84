#include "world.h"

#include <endivespan/config.h>

#include <doctest/doctest.h>

#include <algorithm>

using namespace endivespan;
using namespace endivespan::tests;
using namespace std::chrono_literals;

namespace {

const ForwardBounds Bounds;
constexpr auto PollTime = 800ms; ///< In which a host that polls the store sees its state.
constexpr std::size_t SharingHosts = 9; ///< Enough for one host to read for the others.

/// @returns how many hosts answer a request with another status than @p status.
std::size_t hostsWithout(World &world, int status)
{
    std::size_t count = 0;
    for (std::size_t host = 0; host < world.hosts.size(); ++host) {
        const int given = statusWithKey(world, "key", host);
        if (given != status) {
            MESSAGE(world.hosts[host].name << " answers " << given);
        }
        count += given != status ? 1 : 0;
    }
    return count;
}

/// Writes heartbeats of a runner for @p time.
void beatFor(World &world, const RunnerStandin &runner, std::chrono::milliseconds time)
{
    for (const TimePoint end = world.loop.now() + time; world.loop.now() < end; world.runFor(200ms)) {
        world.list(runner);
    }
}

} // namespace

// Guards against followers that are not told of an entry that returns unchanged.
TEST_CASE("hosts that share a reader keep a runner that is listed again after its entry was lost")
{
    World world(2, SharingHosts);
    RunnerStandin &lost = *world.runners[0];
    RunnerStandin &other = *world.runners[1];
    world.runFor(2500ms);
    SUBCASE("in a restore of the store")
    {
        world.store.put("keyed.servers", lost.id, std::nullopt);
        world.runFor(PollTime);
        world.store.copy();
        beatFor(world, lost, PollTime);
        world.store.restore();
        world.runFor(PollTime);
    }
    SUBCASE("in an outage of the store")
    {
        world.store.down = true;
        world.runFor(config::ListLapseAfter + PollTime);
        world.store.put("keyed.servers", lost.id, std::nullopt);
        world.store.down = false;
        world.runFor(PollTime);
    }
    beatFor(world, lost, Bounds.listLapse + 2 * PollTime);
    world.list(other, {{"state", "draining"}});
    world.runFor(Bounds.draining);
    const std::size_t before = lost.received.size();
    CHECK(hostsWithout(world, 200) == 0);
    CHECK(lost.received.size() - before == SharingHosts);
}

// Guards against taking what a peer that started after the restore does not know for withdrawn.
TEST_CASE("a host that is cut off from the restored store keeps an evacuation that a restarted peer does not know")
{
    World world(1, 2);
    world.store.copy();
    world.store.put("keyed.op", "evacuate/z", "{}");
    REQUIRE(
        world.until([&] { return statusWithKey(world, "key", 0) == 503 && statusWithKey(world, "key", 1) == 503; }));
    world.hosts[1].store->refuses = true;
    world.store.restore();
    world.restartHost(0);
    for (const TimePoint end = world.loop.now() + Bounds.changes; world.loop.now() < end; world.runFor(50ms)) {
        REQUIRE(statusWithKey(world, "key", 1) == 503);
    }
}

TEST_CASE("a host that starts between a restore of the store and the rewriting takes the newer state of its peers")
{
    World world(1, 2);
    world.store.copy();
    world.configure([](nlohmann::json &config) { config["tenants"][0]["api_keys"] = {"new"}; });
    REQUIRE(
        world.until([&] { return statusWithKey(world, "new", 0) == 200 && statusWithKey(world, "new", 1) == 200; }));
    world.store.restore();
    world.restartHost(1);
    world.runFor(Bounds.changes);
    CHECK(statusWithKey(world, "key", 0) == 401);
    CHECK(statusWithKey(world, "key", 1) == 401);
    CHECK(statusWithKey(world, "new", 1) == 200);
}

// Guards against taking a restored log, which may lack the naming, for evidence that nothing was named.
TEST_CASE("weights that were named before a restore of the store are not dated by their rewriting")
{
    constexpr std::chrono::milliseconds Bound = 8000ms;
    World world(1, 1, [&](ForwardBounds &bounds) { bounds.weights = Bound; });
    world.runners[0]->script = [](const ReceivedRequest &request) {
        const bool isPrompt = request.head.starts_with("POST /again/");
        return RunnerStandin::Reply {answerTo(request, isPrompt ? 200 : 503, "old")};
    };
    const HttpHeaders prompt {{"x-endivespan-model", "m"},
                              {"x-endivespan-token-count", "700,20"},
                              {"x-endivespan-prompt-prefix", "0a:600,0b:100"}};
    REQUIRE(world.answer(world.ask("/again/", prompt)).status == 200);
    const TimePoint namedAt = world.loop.now();
    // The host reads nothing between the naming and the restore.
    world.store.copy();
    world.store.restore();
    world.runFor(2900ms);
    world.store.put("keyed.op", "version/m", R"({"model":"m","version":2})");
    REQUIRE(world.until([&] { return world.answer(world.ask("/again/", prompt)).status == 200; }, 1500ms));
    world.until([&] { return world.loop.now() >= namedAt + Bound; });
    CHECK(world.answer(world.ask("/again/", prompt)).status == 503);
}

TEST_CASE("changes are in force on hosts that share a reader while the restored store refuses some of them")
{
    std::size_t refusedFrom = SharingHosts;
    std::size_t refusedStep = 1;
    SUBCASE("none")
    {
    }
    SUBCASE("those with even numbers")
    {
        refusedFrom = 0;
        refusedStep = 2;
    }
    SUBCASE("those with odd numbers")
    {
        refusedFrom = 1;
        refusedStep = 2;
    }
    World world(2, SharingHosts);
    RunnerStandin &leaver = *world.runners[0];
    world.runFor(2500ms);
    world.store.copy();
    world.configure();
    world.configure([](nlohmann::json &config) { config["tenants"][0]["api_keys"] = {"second"}; });
    world.list(leaver, {{"state", "draining"}});
    const std::string second = world.store.newest("keyed.op", "config").value_or("");
    world.runFor(Bounds.changes);
    REQUIRE(hostsWithout(world, 401) == 0);
    for (std::size_t host = refusedFrom; host < SharingHosts; host += refusedStep) {
        world.hosts[host].store->refuses = true;
    }
    world.store.restore();
    const std::size_t before = leaver.received.size();
    for (const TimePoint end = world.loop.now() + Bounds.changes; world.loop.now() < end; world.runFor(200ms)) {
        REQUIRE(hostsWithout(world, 401) == 0);
    }
    world.store.put("keyed.op", "config", second);
    world.configure([](nlohmann::json &config) { config["tenants"][0]["api_keys"] = {"third"}; });
    world.runFor(Bounds.changes);
    for (std::size_t host = 0; host < SharingHosts; ++host) {
        CAPTURE(host);
        CHECK(statusWithKey(world, "third", host) == 200);
        CHECK(statusWithKey(world, "second", host) == 401);
    }
    CHECK(leaver.received.size() == before);
}

TEST_CASE("changes are in force after two restores of the store in a row")
{
    World world(1, 2);
    world.store.copy();
    world.configure();
    world.configure([](nlohmann::json &config) { config["tenants"][0]["api_keys"] = {"second"}; });
    const std::string second = world.store.newest("keyed.op", "config").value_or("");
    world.runFor(PollTime);
    world.store.restore();
    world.runFor(PollTime);
    world.store.put("keyed.op", "config", second);
    world.configure([](nlohmann::json &config) { config["tenants"][0]["api_keys"] = {"third"}; });
    const std::string third = world.store.newest("keyed.op", "config").value_or("");
    world.runFor(PollTime);
    world.store.restore();
    for (const TimePoint end = world.loop.now() + 3s; world.loop.now() < end; world.runFor(100ms)) {
        REQUIRE(statusWithKey(world, "third", 0) == 200);
        REQUIRE(statusWithKey(world, "third", 1) == 200);
        REQUIRE(statusWithKey(world, "second", 0) == 401);
        REQUIRE(statusWithKey(world, "key", 1) == 401);
    }
    world.store.put("keyed.op", "config", third);
    world.configure([](nlohmann::json &config) { config["tenants"][0]["api_keys"] = {"fourth"}; });
    CHECK(world.until(
        [&] { return statusWithKey(world, "fourth", 0) == 200 && statusWithKey(world, "fourth", 1) == 200; },
        Bounds.changes));
}
