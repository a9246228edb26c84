#include "world.h"

#include <doctest/doctest.h>

#include <thread>

using namespace endivespan;
using namespace endivespan::tests;
using namespace std::chrono_literals;

TEST_CASE("a host that stood still while new weights were named uses no older weights past the bound")
{
    constexpr std::chrono::milliseconds Bound = 8000ms;
    World world(1, 1, [&](ForwardBounds &bounds) { bounds.weights = Bound; });
    std::size_t begun = 0;
    world.runners[0]->script = [&begun](const ReceivedRequest &request) {
        if (request.head.starts_with("POST /again/")) {
            ++begun;
            return RunnerStandin::Reply {answerTo(request, 200, "old")};
        }
        return RunnerStandin::Reply {answerTo(request, 503, "")};
    };
    const HttpHeaders prompt {{"x-endivespan-model", "m"},
                              {"x-endivespan-token-count", "700,20"},
                              {"x-endivespan-prompt-prefix", "0a:600,0b:100"}};
    REQUIRE(world.answer(world.ask("/again/", prompt)).status == 200);
    const TimePoint namedAt = world.loop.now();
    world.store.put("keyed.op", "version/m", R"({"model":"m","version":2})");
    // The whole test process, and thus the host in it, stands still.
    std::this_thread::sleep_for(3500ms);
    REQUIRE(world.until([&] { return world.answer(world.ask("/again/", prompt)).status == 200; }, 1500ms));
    world.until([&] { return world.loop.now() >= namedAt + Bound; });
    begun = 0;
    CHECK(world.answer(world.ask("/again/", prompt)).status == 503);
    CHECK(begun == 0);
}
