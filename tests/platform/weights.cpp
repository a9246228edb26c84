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

namespace {

const HttpHeaders Prompt {{"x-endivespan-model", "m"},
                          {"x-endivespan-token-count", "700,20"},
                          {"x-endivespan-prompt-prefix", "0a:600,0b:100"}};

constexpr std::chrono::milliseconds WeightsBound = 8000ms;

/// Two hosts and one runner, which keeps its old weights.
struct RolloutWorld {
    RolloutWorld()
        : world(1, 2, [](ForwardBounds &bounds) { bounds.weights = WeightsBound; })
    {
        this->world.runners[0]->script = [this](const ReceivedRequest &request) {
            if (request.head.starts_with("POST /again/")) {
                ++this->begun;
                return RunnerStandin::Reply {answerTo(request, 200, "old")};
            }
            return RunnerStandin::Reply {answerTo(request, 503, "")};
        };
    }

    void nameWeights()
    {
        this->namedAt = this->world.loop.now();
        this->world.store.put("keyed.op", "version/m", R"({"model":"m","version":2})");
    }

    int status(std::size_t host)
    {
        return this->world.answer(this->world.askHost(host, "/again/", Prompt)).status;
    }

    /// @returns whether a prompt is served with the old weights by a host at the end of the bound.
    bool isServedAtBound()
    {
        this->world.until([this] { return this->world.loop.now() >= this->namedAt + WeightsBound; });
        this->begun = 0;
        const bool served = this->status(0) == 200 || this->status(1) == 200;
        return served || this->begun > 0;
    }

    World world;
    TimePoint namedAt;
    std::size_t begun = 0;
};

} // namespace

TEST_CASE("a host that starts during a rollout uses older weights until the bound, like its peers")
{
    RolloutWorld rollout;
    rollout.nameWeights();
    rollout.world.runFor(1000ms);
    REQUIRE(rollout.status(0) == 200);
    rollout.world.restartHost(1);
    REQUIRE(rollout.world.until([&] { return rollout.world.isReady(1); }));
    CHECK(rollout.world.until([&] { return rollout.status(1) == 200; }, 1000ms));
    CHECK(rollout.world.loop.now() - rollout.namedAt < 4s);
    CHECK_FALSE(rollout.isServedAtBound());
}

TEST_CASE("a host that starts during a rollout while hosts stand still uses no older weights past the bound")
{
    RolloutWorld rollout;
    rollout.nameWeights();
    rollout.world.runFor(300ms);
    rollout.world.restartHost(1);
    // Both hosts run for 1 ms at a time, so that they stand still between question, answer and use of the answer.
    while (rollout.world.loop.now() - rollout.namedAt < 4500ms) {
        rollout.world.runFor(1ms);
        std::this_thread::sleep_for(20ms);
    }
    CHECK_FALSE(rollout.isServedAtBound());
}

TEST_CASE("a host that starts during a rollout without peers uses no older weights")
{
    RolloutWorld rollout;
    rollout.nameWeights();
    rollout.world.runFor(300ms);
    rollout.world.hosts[0].node.reset();
    rollout.world.hosts[0].log.reset();
    rollout.world.restartHost(1);
    REQUIRE(rollout.world.until([&] { return rollout.world.isReady(1); }));
    rollout.begun = 0;
    CHECK_FALSE(rollout.world.until([&] { return rollout.status(1) != 503; }, 1500ms));
    CHECK(rollout.begun == 0);
}
