#include "world.h"

#include <doctest/doctest.h>

#include <thread>

using namespace endivespan;
using namespace endivespan::tests;
using namespace std::chrono_literals;

namespace {

const ForwardBounds Bounds;

/// Lets the whole test process, and thus the host in it, stand still.
void standStill()
{
    std::this_thread::sleep_for(3500ms);
}

} // namespace

// Guards against a pause that is taken for an outage of the list of servers.
TEST_CASE("a host that stood still uses no server past the bound that was removed meanwhile")
{
    World world(2);
    const RunnerStandin &gone = *world.runners[0];
    REQUIRE(receivedWithin(world, gone, 500ms) > 0);
    SUBCASE("between two reads of the list")
    {
    }
    SUBCASE("while a read of the list is under way")
    {
        world.hosts[0].store->delay = 100ms;
        world.runFor(1s);
    }
    SUBCASE("after a read of the list that failed")
    {
        world.hosts[0].store->refuses = true;
        world.runFor(800ms);
        world.hosts[0].store->refuses = false;
    }
    world.store.put("keyed.servers", gone.id, std::nullopt);
    standStill();
    receivedWithin(world, gone, Bounds.draining);
    CHECK(receivedWithin(world, gone, 500ms) == 0);
}

TEST_CASE("a host keeps a server whose entry was lost in an outage of the log")
{
    World world(2);
    const RunnerStandin &lost = *world.runners[0];
    REQUIRE(receivedWithin(world, lost, 500ms) > 0);
    StoreStandin::Access &store = *world.hosts[0].store;
    bool &fault = [&store]() -> bool & {
        bool *chosen = &store.refuses;
        SUBCASE("that refuses reads")
        {
        }
        SUBCASE("that does not answer reads")
        {
            chosen = &store.silent;
        }
        return *chosen;
    }();
    fault = true;
    world.runFor(3200ms);
    world.store.put("keyed.servers", lost.id, std::nullopt);
    fault = false;
    receivedWithin(world, lost, 600ms);
    CHECK(receivedWithin(world, lost, 1000ms) > 0);
}
