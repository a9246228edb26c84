#include "engine_pool.h"

#include <endivespan/rollout.h>
#include <endivespan/server_table.h>
#include <endivespan/weight_history.h>

#include <doctest/doctest.h>

#include <algorithm>
#include <map>
#include <random>
#include <rapidcheck.h>
#include <string>
#include <vector>

using namespace endivespan;
using namespace std::chrono_literals;

namespace {

/// A pool of engines that load weights as a rollout orders.
struct LoadingPool {
    LoadingPool(std::size_t engines, Duration away)
        : away(away)
        , table(enginePool(engines))
    {
        for (std::size_t i = 0; i < engines; ++i) {
            this->states["e" + std::to_string(i)].weights["m"] = 1;
        }
    }

    /// Lets the engines and @p rollout work until @p now.
    void step(Rollout &rollout, TimePoint now)
    {
        for (auto &[id, state] : this->states) {
            if (state.busy && now >= this->doneAt[id]) {
                state.busy = false;
                state.weights["m"] = this->loads[id];
                this->table.reportedWeights(id, "m", this->loads[id]);
            }
        }
        for (int round = 0; round < 2; ++round) {
            for (const RolloutStep &step : rollout.next(this->table, now)) {
                EngineState &state = this->states[step.order.server];
                if (step.kind == RolloutStep::Kind::Ask) {
                    rollout.onEngineState(step.order.server, state, now);
                    continue;
                }
                state.busy = true;
                ++state.ordersAccepted;
                this->loads[step.order.server] = step.order.version;
                this->doneAt[step.order.server] = now + this->away;
                rollout.onOrderResult(step.order.server, true, now);
            }
        }
    }

    [[nodiscard]] std::size_t count(bool loading, std::uint64_t version) const
    {
        return static_cast<std::size_t>(
            std::count_if(this->states.begin(), this->states.end(), [loading, version](const auto &entry) {
                return entry.second.busy == loading && entry.second.weights.at("m") == version;
            }));
    }

    Duration away;
    ServerTable table;
    std::map<std::string, EngineState> states;
    std::map<std::string, std::uint64_t> loads; ///< Version being loaded, by engine.
    std::map<std::string, TimePoint> doneAt; ///< By engine.
};

} // namespace

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
        rollout.setTargets({{"m", {2, 0}}});
        TimePoint now = Start;
        for (; now < Start + 60s && rollout.isNeeded(table, now); now += 50ms) {
            if (now >= Start + 4s) {
                rollout.setTargets({{"m", {3, 0}}});
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

TEST_CASE("rollout: engines whose weights may no longer be used are not kept waiting for those that serve")
{
    constexpr Duration UsableFor = 7500ms;
    LoadingPool pool(18, 3s);
    WeightHistory weights;
    weights.recordVersion("m", 1, TimePoint {});
    weights.recordVersion("m", 2, Start);
    Rollout rollout(RolloutPace {5s, 1400ms});
    std::size_t mostAway = 0;
    TimePoint now = Start;
    for (; now < Start + UsableFor; now += 20ms) {
        rollout.setTargets(rolloutTargets(weights, UsableFor, now));
        pool.step(rollout, now);
        mostAway = std::max(mostAway, pool.count(true, 1));
    }
    CHECK(mostAway == 5);
    REQUIRE(pool.count(false, 1) > 0);
    for (; now < Start + UsableFor + 100ms; now += 20ms) {
        rollout.setTargets(rolloutTargets(weights, UsableFor, now));
        pool.step(rollout, now);
    }
    CHECK(pool.count(false, 1) == 0);
    for (; now < Start + UsableFor + 3200ms; now += 20ms) {
        rollout.setTargets(rolloutTargets(weights, UsableFor, now));
        pool.step(rollout, now);
    }
    CHECK(pool.count(false, 2) == 18);
}

TEST_CASE("rollout: engines that still serve wait for their turn while others load weights after their use has ended")
{
    LoadingPool pool(18, 3s);
    const std::vector<std::string> order = rolloutOrder(pool.table, "m", 3);
    for (std::size_t i = 8; i < 18; ++i) {
        pool.states[order[i]].weights["m"] = 2;
        pool.table.reportedWeights(order[i], "m", 2);
    }
    Rollout rollout(RolloutPace {5s, 1400ms});
    rollout.setTargets({{"m", {3, 2}}});
    pool.step(rollout, Start);
    CHECK(pool.count(true, 1) == 8);
    CHECK(pool.count(true, 2) == 5);
}
