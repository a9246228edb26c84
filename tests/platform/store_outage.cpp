#include "world.h"

#include <doctest/doctest.h>

#include <algorithm>

using namespace endivespan;
using namespace endivespan::tests;
using namespace std::chrono_literals;

namespace {

constexpr auto RevocationBound = 5000ms; ///< Default of ForwardBounds::revocation.

void withdrawKey(nlohmann::json &config)
{
    config["tenants"][0]["api_keys"] = {"new"};
    config["routes"][1]["public"] = true;
}

/// Waits past the bound, then @returns the statuses that all hosts answer to requests on @p path within 2 s.
std::vector<int> statusesAfterBound(World &world, TimePoint withdrawnAt, const std::string &path)
{
    std::vector<int> statuses;
    world.runUntil(withdrawnAt, RevocationBound);
    for (const TimePoint end = world.loop.now() + 2s; world.loop.now() < end;) {
        for (std::size_t host = 0; host < world.hosts.size(); ++host) {
            statuses.push_back(world.answer(world.askHost(host, path)).status);
        }
        world.runFor(100ms);
    }
    return statuses;
}

void refuseAll(World &world, bool refuses)
{
    for (const WorldHost &host : world.hosts) {
        host.store->refuses = refuses;
    }
}

} // namespace

// Guards against a key that was withdrawn as the store failed and is accepted for as long as no host reaches the store.
TEST_CASE("a key that is withdrawn while no host reaches the store is not accepted past the bound")
{
    World world(1, 3);
    world.configure([](nlohmann::json &config) { config["routes"][1]["public"] = true; });
    world.runFor(300ms);
    refuseAll(world, true);
    world.runFor(50ms);
    world.configure(withdrawKey);
    const TimePoint withdrawnAt = world.loop.now();
    const std::vector<int> statuses = statusesAfterBound(world, withdrawnAt, "/once/");
    CHECK(std::all_of(statuses.begin(), statuses.end(), [](int status) { return status == 503; }));
    CHECK_FALSE(world.isReady());
    // A route that needs no key is served on.
    CHECK(world.answer(world.ask("/again/")).status == 200);
    refuseAll(world, false);
    CHECK(world.until([&world] { return world.isReady(); }));
    CHECK(world.answer(world.ask("/once/")).status == 401);
    CHECK(world.answer(world.ask("/once/", {{"api-key", "new"}})).status == 200);
}

TEST_CASE("where the bound on withdrawn keys is not strict, keys are accepted while no host reaches the store")
{
    World world(1, 3, [](ForwardBounds &bounds) { bounds.strictRevocation = false; });
    refuseAll(world, true);
    const std::vector<int> statuses = statusesAfterBound(world, world.loop.now(), "/once/");
    CHECK(std::all_of(statuses.begin(), statuses.end(), [](int status) { return status == 200; }));
    CHECK(world.isReady());
}
