#include "world.h"

#include <doctest/doctest.h>

using namespace endivespan;
using namespace endivespan::tests;
using namespace std::chrono_literals;

namespace {

/// Starts the only host again with load control for all services.
void controlLoad(World &world)
{
    world.endHost(0);
    world.hosts[0].settings.loadControl = LoadControl::Always;
    world.replaceHost(0);
    REQUIRE(world.node().start());
    REQUIRE(world.until([&world] { return world.isReady(); }));
}

} // namespace

// Guards against a host that sends waiting requests in the order of their arrival, or refuses one after it was sent.
TEST_CASE("under load control the more urgent request gets the place that comes free, and one without is not run")
{
    World world(1);
    RunnerStandin &runner = *world.runners[0];
    world.list(runner, {{"slots", 1}});
    world.configure([](nlohmann::json &config) {
        // Requests wait for 500 ms while nothing is known of room.
        updateRoutes(config, {{"aim_ms", 4000}, {"timeout_ms", 10000}, {"priority", 2}});
        config["tenants"].push_back({{"name", "first"}, {"api_keys", {"first"}}, {"priority", 0}});
    });
    controlLoad(world);
    world.runFor(300ms);
    auto delay = 150ms;
    runner.script = [&delay](const ReceivedRequest &request) {
        return RunnerStandin::Reply {.bytes = answerTo(request, 200, "done"), .delay = delay};
    };
    const HttpHeaders usual {{"x-endivespan-deadline-ms", "9000"}};
    const HttpHeaders urgent {{"x-endivespan-deadline-ms", "9000"}, {"api-key", "first"}};
    std::vector<std::size_t> calls {world.ask("/once/running", usual)};
    REQUIRE(world.until([&runner] { return runner.received.size() == 1; }));
    calls.push_back(world.ask("/once/usual", usual));
    world.runFor(30ms);
    calls.push_back(world.ask("/once/urgent", urgent));
    for (const std::size_t call : calls) {
        CHECK(world.answer(call).status == 200);
    }
    REQUIRE(runner.received.size() == 3);
    CHECK(runner.received[1].head.starts_with("POST /once/urgent "));
    CHECK(runner.received[2].head.starts_with("POST /once/usual "));

    delay = 3000ms;
    world.ask("/once/running", usual);
    REQUIRE(world.until([&runner] { return runner.received.size() == 4; }));
    const CallerAnswer &refused = world.answer(world.ask("/once/refused", usual));
    CHECK(refused.status == 503);
    CHECK(refused.headers.contains("retry-after"));
    CHECK(nlohmann::json::parse(refused.body)["error"]["run"] == "not-run");
    CHECK(runner.received.size() == 4);
}
