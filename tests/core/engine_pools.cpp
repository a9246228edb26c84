#include <endivespan/engine_model.h>
#include <endivespan/placement.h>
#include <endivespan/rollout.h>
#include <endivespan/server_table.h>

#include <doctest/doctest.h>

#include <algorithm>
#include <cmath>
#include <random>

using namespace endivespan;
using namespace std::chrono_literals;
using Milliseconds = std::chrono::duration<double, std::milli>;

namespace {

constexpr TimePoint Start {std::chrono::hours(1)};

/// A pool of engines, and how they load weights.
struct PoolKind {
    std::size_t engines;
    std::size_t parallelLoads; ///< Number of simultaneous loads above which each load takes longer.
    Duration load; ///< Duration of one load when at most that many run.
    Duration bound; ///< Maximum time from the naming of new weights until no engine has older ones.
};

ServerTable poolOf(std::size_t count)
{
    ServerTable table;
    for (std::size_t i = 0; i < count; ++i) {
        ServerEntry entry;
        entry.id = "e" + std::to_string(i);
        entry.service = "llm";
        entry.address = "10.0.0.1:80";
        entry.domain = "z";
        entry.born = 1000;
        entry.heartbeat = 1;
        entry.slots = 16;
        entry.weights["m"] = 1;
        table.update(entry, Start);
    }
    return table;
}

struct RolloutResult {
    Duration time {};
    std::size_t mostAway = 0;
};

/// Simulates a rollout of two versions that are named 4 s apart. Some answers are lost, among them all answers of one
/// engine in the first 3 s.
RolloutResult simulateRollout(const PoolKind &pool, std::uint32_t seed)
{
    struct Engine {
        EngineState state;
        TimePoint runsEnd; ///< When its runs have ended and the load begins.
        double remaining = 0; ///< Remaining load time in milliseconds, if no other engine slows it down.
    };
    std::mt19937 random(seed);
    ServerTable table = poolOf(pool.engines);
    std::map<std::string, Engine> engines;
    for (const auto &[id, view] : table.servers()) {
        engines[id].state.weights["m"] = 1;
    }
    Rollout rollout({pool.bound / 2, config::StartEngineAway});
    rollout.setTargets({{"m", 2}});
    constexpr Duration Step = 20ms;
    RolloutResult result;
    TimePoint now = Start;
    for (; now < Start + 60s && (now < Start + 4s || rollout.isNeeded(table, now)); now += Step) {
        if (now >= Start + 4s) {
            rollout.setTargets({{"m", 3}});
        }
        const auto loading = std::count_if(engines.begin(), engines.end(), [now](const auto &entry) {
            return entry.second.state.busy && now >= entry.second.runsEnd;
        });
        const double slower = std::max(1.0, static_cast<double>(loading) / static_cast<double>(pool.parallelLoads));
        std::size_t away = 0;
        for (auto &[id, engine] : engines) {
            away += engine.state.busy ? 1 : 0;
            if (!engine.state.busy || now < engine.runsEnd) {
                continue;
            }
            engine.remaining -= Milliseconds(Step).count() / slower;
            if (engine.remaining <= 0) {
                engine.state.busy = false;
                ServerEntry entry = table.find(id)->entry;
                ++entry.heartbeat;
                entry.weights = engine.state.weights;
                table.update(entry, now);
            }
        }
        result.mostAway = std::max(result.mostAway, away);
        for (const RolloutStep &step : rollout.next(table, now)) {
            const std::string &id = step.order.server;
            Engine &engine = engines[id];
            const bool lost = random() % 20 == 0 || (id == "e0" && now < Start + 3s);
            if (step.kind == RolloutStep::Kind::Ask) {
                rollout.onEngineState(id, lost ? std::nullopt : std::optional(engine.state), now);
                continue;
            }
            const bool accepted = !engine.state.busy && step.order.expected == engine.state.ordersAccepted;
            if (accepted) {
                engine.state.busy = true;
                ++engine.state.ordersAccepted;
                engine.state.weights["m"] = step.order.version;
                engine.runsEnd = now + std::chrono::milliseconds(random() % 600);
                engine.remaining = Milliseconds(pool.load).count();
            }
            rollout.onOrderResult(id, lost ? std::nullopt : std::optional(accepted), now);
        }
    }
    result.time = now - Start;
    return result;
}

/// Returns a model that has observed the first tokens of prompts of three sizes, at engines with the given prefill
/// rate. Some prompts wait in a queue, and for a quarter of them the shared parts are not cached.
EngineModel trainedModel(double tokensPerMillisecond, std::size_t prompts, std::uint32_t seed)
{
    EngineModel model;
    std::mt19937 random(seed);
    std::lognormal_distribution<double> queue(1.0, 1.2); // Milliseconds.
    std::lognormal_distribution<double> spread(0.0, 0.6);
    for (std::size_t i = 0; i < prompts; ++i) {
        constexpr std::array<double, 3> Means {180, 500, 2900};
        const double own = Means.at(random() % 3) * spread(random);
        const bool isCached = random() % 4 != 0;
        const double read = own + (isCached ? 0 : 3 * own);
        const double time = 12 + read / tokensPerMillisecond + 4 * queue(random);
        model.observeFirstToken(static_cast<std::uint64_t>(own),
                                static_cast<std::uint64_t>(4 * own),
                                std::chrono::duration_cast<Duration>(Milliseconds(time)));
    }
    return model;
}

} // namespace

// Guards against a rollout that misses its bound or takes too many engines out of service. In each pool, loads get
// slower once more than a certain number of engines load at the same time.
TEST_CASE("rollout: pools of any size change within the bound while three quarters of their engines serve")
{
    const std::vector<PoolKind> pools {{12, 2, 1100ms, 12s},
                                       {18, 3, 970ms, 10s},
                                       {112, 22, 1100ms, 15s},
                                       {140, 28, 970ms, 12s},
                                       {204, 40, 970ms, 12s},
                                       {620, 120, 970ms, 12s}};
    for (const PoolKind &pool : pools) {
        for (std::uint32_t seed = 1; seed <= 5; ++seed) {
            CAPTURE(pool.engines);
            CAPTURE(seed);
            const RolloutResult result = simulateRollout(pool, seed);
            // The second version is named after 4 s, and its bound starts then.
            CHECK(result.time < 4s + pool.bound);
            CHECK(result.mostAway <= (pool.engines + 3) / 4);
        }
    }
}

TEST_CASE("rollout: slowly loading engines do not take more than the allowed share of the pool out of service")
{
    const RolloutResult result = simulateRollout({40, 10, 3s, 20s}, 1);
    CHECK(result.mostAway <= 10);
    CHECK(result.time < 24s);
}

// The rates include those of engines that the first deployments do not have.
TEST_CASE("engine model: estimates the prefill rate of fast and slow engines from their answers")
{
    for (const double rate : {125.0, 54.6, 20.0}) {
        CAPTURE(rate);
        for (std::uint32_t seed = 1; seed <= 5; ++seed) {
            const double seen = trainedModel(rate, 600, seed).rates().prefillTokensPerMillisecond;
            CHECK(seen > rate / 2);
            CHECK(seen < rate * 2);
        }
    }
}

TEST_CASE("engine model: prompts of a single size leave the prefill rate at its initial value")
{
    EngineModel model;
    for (int i = 0; i < 200; ++i) {
        model.observeFirstToken(500, 2000, 30ms);
    }
    CHECK(model.rates().prefillTokensPerMillisecond == config::StartPrefillTokensPerMillisecond);
    CHECK(model.rates().promptTokens < config::StartPromptTokens);
}

TEST_CASE("engine model: a few very slow answers do not halve the estimated prefill rate")
{
    EngineModel model = trainedModel(100, 600, 1);
    const double before = model.rates().prefillTokensPerMillisecond;
    for (int i = 0; i < 20; ++i) {
        model.observeFirstToken(2900, 12000, 8s);
    }
    const double after = model.rates().prefillTokensPerMillisecond;
    CHECK(after > before / 2);
}

TEST_CASE("placement: a prefix is recomputed elsewhere when the engine that caches it is busy, if engines prefill fast "
          "enough")
{
    ServerTable table = poolOf(8);
    const auto placement = makeExpectedStartPlacement();
    const auto choosesOther = [&](double rate) {
        PlacementNeed need;
        need.service = "llm";
        need.model = "m";
        need.prefixHash = 77;
        need.sharedTokens = 2000;
        need.ownTokens = 100;
        need.domain = "z";
        need.rates.prefillTokensPerMillisecond = rate;
        const std::string preferred = placement->choose(table, need, 1, Start).server;
        table.reportedLoad(preferred, {20, 0, 16}, Start);
        const std::string next = placement->choose(table, need, 1, Start).server;
        table.reportedLoad(preferred, {0, 0, 16}, Start);
        return next != preferred;
    };
    CHECK(choosesOther(125));
    CHECK_FALSE(choosesOther(20));
}

// Replays a service whose requests differ in length: essays of 11,992 prompt tokens that run for 1.2 s and hints of 827
// tokens that run for 0.3 s, both with answers far below the allowed length. Guards against engines that count as full
// of requests of a mean size.
TEST_CASE("engine model: memory is estimated by kind of request, and by duration over all kinds")
{
    EngineModel model;
    CHECK(model.requestTokens("essay", 11'992, 400) == 12'392);
    for (int i = 0; i < 200; ++i) {
        model.observeAnswerLength("essay", 40 + i % 5);
        model.observeAnswerLength("hint", 32);
    }
    const double essay = model.requestTokens("essay", 11'992, 400);
    const double hint = model.requestTokens("hint", 827, 400);
    CHECK(essay > 12'031);
    CHECK(essay < 12'037);
    CHECK(hint == doctest::Approx(859));
    CHECK(model.requestTokens("essay", 11'992, 10) == 12'002);
    CHECK(model.requestTokens("check", 2000, 10) == 2010);
    // An essay is sampled four times as often as a hint, since it runs four times as long.
    for (int i = 0; i < 5000; ++i) {
        const bool isEssay = i % 5 != 0;
        model.observeMemoryUse(isEssay ? 12'392 : 1227, isEssay ? essay : hint);
    }
    CHECK(model.rates().learnedTokensPerRun == doctest::Approx(0.8 * essay + 0.2 * hint).epsilon(0.03));
    CHECK(model.rates().tokensPerRun > model.rates().learnedTokensPerRun);
}
