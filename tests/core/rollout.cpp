#include "engine_pool.h"

#include <endivespan/rollout.h>
#include <endivespan/server_table.h>

#include <doctest/doctest.h>

#include <map>
#include <random>
#include <rapidcheck.h>
#include <string>
#include <vector>

using namespace endivespan;
using namespace std::chrono_literals;

TEST_CASE("rollout: all engines reach the newest weights, a few at a time, when answers are lost")
{
    CHECK(rc::check([] {
        std::mt19937 random(*rc::gen::arbitrary<std::uint32_t>());
        ServerTable table = enginePool(18);
        std::map<std::string, EngineState> engines;
        std::map<std::string, TimePoint> loadedAt;
        for (const auto &[id, view] : table.servers()) {
            engines[id].weights["m"] = 1;
        }
        Rollout rollout(RolloutPace {5s, 1400ms});
        rollout.setTargets({{"m", 2}});
        TimePoint now = Start;
        for (; now < Start + 60s && rollout.isNeeded(table, now); now += 50ms) {
            if (now >= Start + 4s) {
                rollout.setTargets({{"m", 3}});
            }
            std::size_t loading = 0;
            for (auto &[id, state] : engines) {
                if (state.busy && now >= loadedAt[id]) {
                    state.busy = false;
                    ServerEntry entry = table.find(id)->entry;
                    ++entry.heartbeat;
                    entry.weights = state.weights;
                    table.update(entry, now);
                }
                loading += state.busy ? 1 : 0;
            }
            RC_ASSERT(loading <= 5U);
            for (int round = 0; round < 2; ++round) {
                for (const RolloutStep &step : rollout.next(table, now)) {
                    const std::string &id = step.order.server;
                    EngineState &state = engines[id];
                    const bool lost = random() % 8 == 0;
                    if (step.kind == RolloutStep::Kind::Ask) {
                        rollout.onEngineState(id, lost ? std::nullopt : std::optional(state), now);
                        continue;
                    }
                    RC_ASSERT(step.order.version > state.weights["m"] || state.busy);
                    const bool accepted = !state.busy && step.order.expected == state.ordersAccepted;
                    if (accepted) {
                        state.busy = true;
                        ++state.ordersAccepted;
                        state.weights["m"] = step.order.version;
                        loadedAt[id] = now + 1s;
                    }
                    rollout.onOrderResult(id, lost ? std::nullopt : std::optional(accepted), now);
                }
            }
        }
        RC_ASSERT_FALSE(rollout.isNeeded(table, now));
    }));
}

TEST_CASE("rollout: the order of the engines stays the same while the first ones change")
{
    ServerTable table = enginePool(18);
    const auto order = rolloutOrder(table, "m", 2);
    CHECK(order.size() == 18);
    table.reportedWeights(order[0], "m", 2);
    const auto rest = rolloutOrder(table, "m", 2);
    CHECK(rest == std::vector<std::string>(order.begin() + 1, order.end()));
}

// A version is named while the engines are still changing to the previous one.
TEST_CASE("rollout: engines with the oldest weights change first, and naming another version does not reorder them")
{
    ServerTable table = enginePool(18);
    const auto second = rolloutOrder(table, "m", 2);
    for (std::size_t i = 0; i < 5; ++i) {
        table.reportedWeights(second[i], "m", 2);
    }
    auto expected = std::vector<std::string>(second.begin() + 5, second.end());
    expected.insert(expected.end(), second.begin(), second.begin() + 5);
    CHECK(rolloutOrder(table, "m", 3) == expected);
}
