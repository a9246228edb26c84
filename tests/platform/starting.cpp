#include "world.h"

#include <endivespan/forward_starter.h>

#include <doctest/doctest.h>

#include <optional>

using namespace endivespan;
using namespace endivespan::tests;
using namespace std::chrono_literals;

namespace {

constexpr auto Patience = 5s;

/// Listens in the place of an earlier process.
std::unique_ptr<HttpServer> takeAddress(World &world, const std::string &address)
{
    auto server = HttpServer::listen(world.loop, address, {1024, 1024, 1s}, [](const auto &) {});
    return std::move(server.value());
}

} // namespace

// Guards against a process that ends because the one before it has not ended yet.
TEST_CASE("a host whose listen address is taken starts once the address is free")
{
    World world(1);
    world.replaceHost(0);
    // The address that is tried last: those that were taken before it have to be given up between two tries.
    auto earlier = takeAddress(world, world.hosts[0].settings.listenReadiness);
    bool gaveUp = false;
    ForwardStarter starter(world.loop, world.node(), Patience, [&gaveUp] { gaveUp = true; });
    starter.start();
    world.runFor(2500ms);
    CHECK_FALSE(starter.isStarted());
    earlier.reset();
    CHECK(world.until([&starter] { return starter.isStarted(); }, 2s));
    CHECK(world.until([&world] { return world.isReady(); }));
    CHECK(world.answer(world.ask("/once/")).status == 200);
    CHECK_FALSE(gaveUp);
}

TEST_CASE("a host whose listen address stays taken gives up")
{
    World world(1);
    world.replaceHost(0);
    const auto earlier = takeAddress(world, world.hosts[0].settings.listenCallers);
    bool gaveUp = false;
    ForwardStarter starter(world.loop, world.node(), 1500ms, [&gaveUp] { gaveUp = true; });
    starter.start();
    CHECK(world.until([&gaveUp] { return gaveUp; }, 4s));
    CHECK_FALSE(starter.isStarted());
}
