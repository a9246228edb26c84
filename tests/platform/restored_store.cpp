#include "world.h"

#include <endivespan/config.h>

#include <doctest/doctest.h>

#include <algorithm>
#include <map>

using namespace endivespan;
using namespace endivespan::tests;
using namespace std::chrono_literals;

namespace {

const ForwardBounds Bounds;
constexpr auto PollTime = 800ms; ///< In which a host that polls the store sees its state.

void setKey(World &world, const std::string &key)
{
    world.configure([&key](nlohmann::json &config) { config["tenants"][0]["api_keys"] = {key}; });
}

bool allAccept(World &world, const std::string &key)
{
    for (std::size_t host = 0; host < world.hosts.size(); ++host) {
        if (statusWithKey(world, key, host) != 200) {
            return false;
        }
    }
    return true;
}

/// Writes records that change nothing to the operators' topic.
void growOperatorTopic(StoreStandin &store, std::size_t records)
{
    for (std::size_t i = 0; i < records; ++i) {
        store.put("keyed.op", "evacuate/elsewhere", std::nullopt);
    }
}

/// Writes heartbeats of a runner.
void beat(World &world, const RunnerStandin &runner, std::size_t times)
{
    for (std::size_t i = 0; i < times; ++i) {
        world.list(runner);
    }
}

/// Sends repeatable requests until the runner receives one. @returns false if it receives none within @p patience.
bool isUsedWithin(World &world, const RunnerStandin &runner, std::chrono::milliseconds patience)
{
    const std::size_t before = runner.received.size();
    return world.until(
        [&] {
            world.ask("/again/");
            return runner.received.size() > before;
        },
        patience);
}

/// An order as a runner received it.
struct ReceivedOrder {
    TimePoint at;
    std::string runner;
    std::string holder;
    std::uint64_t fence = 0;
    bool accepted = false;
};

/// Runners that load new weights when ordered and refuse orders with a lower fence than they have seen.
class LoadingRunners
{
public:
    /// @param loadTime Time from an order until its runner lists the new version.
    LoadingRunners(World &world, std::chrono::milliseconds loadTime)
        : world(world)
        , loadTime(loadTime)
    {
        for (const auto &runner : world.runners) {
            RunnerStandin *standin = runner.get();
            this->states[standin->id].version = 1;
            runner->script = [this, standin](const ReceivedRequest &request) {
                if (request.head.starts_with("GET /v1/report")) {
                    return RunnerStandin::Reply {answerTo(request, 200, this->report(this->states[standin->id]))};
                }
                if (request.head.starts_with("POST /v1/order")) {
                    return RunnerStandin::Reply {answerTo(request, this->order(*standin, request.body), "")};
                }
                return RunnerStandin::Reply {answerTo(request, 200, "done")};
            };
        }
    }

    void name(std::uint64_t version)
    {
        this->world.store.put("keyed.op", "version/m", nlohmann::json {{"model", "m"}, {"version", version}}.dump());
    }

    void listAll()
    {
        for (const auto &runner : this->world.runners) {
            this->list(*runner);
        }
    }

    [[nodiscard]] bool allHave(std::uint64_t version) const
    {
        return std::all_of(this->states.begin(), this->states.end(), [version](const auto &state) {
            return state.second.version == version;
        });
    }

    /// @returns the shortest time between two orders of different hosts.
    [[nodiscard]] Duration shortestHandover() const
    {
        Duration shortest = Duration::max();
        for (const ReceivedOrder &a : this->orders) {
            for (const ReceivedOrder &b : this->orders) {
                if (a.holder != b.holder && a.at <= b.at) {
                    shortest = std::min(shortest, b.at - a.at);
                }
            }
        }
        return shortest;
    }

    [[nodiscard]] std::string text() const
    {
        std::string lines;
        for (const ReceivedOrder &order : this->orders) {
            const auto since = std::chrono::duration_cast<std::chrono::milliseconds>(order.at - this->begin);
            lines += "\n" + std::to_string(since.count()) + " ms " + order.holder + " to " + order.runner + ", fence "
                + std::to_string(order.fence) + (order.accepted ? "" : ", refused");
        }
        return lines;
    }

    std::vector<ReceivedOrder> orders;

private:
    struct State {
        std::uint64_t version = 0;
        std::uint64_t accepted = 0; ///< Number of orders.
        std::uint64_t highestFence = 0;
        bool busy = false;
    };

    [[nodiscard]] static std::string report(const State &state)
    {
        return nlohmann::json {
            {"busy", state.busy}, {"seq", state.accepted}, {"models", {{{"name", "m"}, {"version", state.version}}}}}
            .dump();
    }

    int order(const RunnerStandin &runner, const std::string &body)
    {
        const auto fields = nlohmann::json::parse(body);
        State &state = this->states[runner.id];
        const auto fence = fields.at("fence").get<std::uint64_t>();
        int status = 202;
        if (fence < state.highestFence) {
            status = 412;
        } else if (state.busy || fields.at("expected").get<std::uint64_t>() != state.accepted) {
            status = 409;
        }
        state.highestFence = std::max(state.highestFence, fence);
        this->orders.push_back(
            {this->world.loop.now(), runner.id, fields.at("holder").get<std::string>(), fence, status == 202});
        if (status == 202) {
            ++state.accepted;
            state.busy = true;
            const auto version = fields.at("version").get<std::uint64_t>();
            this->loads.push_back(this->world.loop.after(this->loadTime, [this, &runner, version] {
                this->states[runner.id].busy = false;
                this->states[runner.id].version = version;
                this->list(runner);
            }));
        }
        return status;
    }

    void list(const RunnerStandin &runner)
    {
        this->world.list(runner, {{"models", {{{"name", "m"}, {"version", this->states.at(runner.id).version}}}}});
    }

    World &world;
    std::chrono::milliseconds loadTime;
    TimePoint begin = this->world.loop.now();
    std::map<std::string, State> states;
    std::vector<std::unique_ptr<Timer>> loads;
};

/// Copies the store and then sets one key after the other, until all hosts accept the last one.
/// @returns the record of the last configuration.
std::string copyThenSetKeys(World &world, const std::vector<std::string> &keys)
{
    world.store.copy();
    for (const std::string &key : keys) {
        setKey(world, key);
    }
    REQUIRE(world.until([&] { return allAccept(world, keys.back()); }));
    return world.store.newest("keyed.op", "config").value_or("");
}

} // namespace

// Guards against followers whose offset is past the end of the restored topic.
TEST_CASE("a host does not return to an older configuration of a restored store, and follows the newer ones")
{
    World world(1, 3);
    const std::string fourth = copyThenSetKeys(world, {"second", "third", "fourth"});
    world.store.restore();
    for (const TimePoint end = world.loop.now() + 1s; world.loop.now() < end; world.runFor(50ms)) {
        for (std::size_t host = 0; host < world.hosts.size(); ++host) {
            REQUIRE(statusWithKey(world, "fourth", host) == 200);
            REQUIRE(statusWithKey(world, "key", host) == 401);
        }
    }
    world.store.put("keyed.op", "config", fourth);
    world.runFor(300ms);
    CHECK(allAccept(world, "fourth"));
    setKey(world, "fifth");
    CHECK(world.until([&] { return allAccept(world, "fifth"); }, Bounds.changes));
    CHECK(statusWithKey(world, "fourth") == 401);
}

// Guards against followers that take the offset that they had read up to for the same place in the restored topic.
TEST_CASE("a configuration is not missed when the restored topic is already longer than what a host had read")
{
    World world(1);
    const std::string fourth = copyThenSetKeys(world, {"second", "third", "fourth"});
    world.store.restore();
    world.store.put("keyed.op", "config", fourth);
    setKey(world, "fifth");
    growOperatorTopic(world.store, 5);
    CHECK(world.until([&] { return allAccept(world, "fifth"); }, Bounds.changes));
    CHECK(statusWithKey(world, "fourth") == 401);
}

// Guards against comparing offsets of before and after the restore.
TEST_CASE("a host does not return to the state of a peer that has not read the restored store")
{
    World world(1, 2);
    const std::string fourth = copyThenSetKeys(world, {"second", "third", "fourth"});
    world.hosts[1].store->refuses = true;
    world.store.restore();
    world.store.put("keyed.op", "config", fourth);
    setKey(world, "fifth");
    CHECK(world.until([&] { return statusWithKey(world, "fifth") == 200; }, Bounds.changes));
    world.hosts[0].store->refuses = true;
    world.runFor(1s);
    world.hosts[0].store->refuses = false;
    world.hosts[1].store->refuses = false;
    setKey(world, "sixth");
    CHECK(world.until([&] { return allAccept(world, "sixth"); }, Bounds.changes));
    CHECK(statusWithKey(world, "fifth", 0) == 401);
    CHECK(statusWithKey(world, "fifth", 1) == 401);
}

TEST_CASE("a route that is added after a restore of the store is served")
{
    World world(1);
    world.store.copy();
    world.configure();
    world.configure();
    world.runFor(300ms);
    const std::string newest = world.store.newest("keyed.op", "config").value_or("");
    world.store.restore();
    world.runFor(300ms);
    world.store.put("keyed.op", "config", newest);
    CHECK(world.answer(world.ask("/added/")).status == 404);
    world.configure([](nlohmann::json &config) {
        nlohmann::json route = config["routes"][0];
        route["name"] = route["path_prefix"] = "/added/";
        config["routes"].push_back(route);
    });
    CHECK(world.until([&world] { return world.answer(world.ask("/added/")).status == 200; }, Bounds.changes));
}

TEST_CASE("a key withdrawn before a restore of the store is not accepted again")
{
    World world(1);
    world.store.copy();
    setKey(world, "new");
    REQUIRE(world.until([&world] { return statusWithKey(world, "key") == 401; }));
    const std::string newest = world.store.newest("keyed.op", "config").value_or("");
    world.store.restore();
    world.runFor(200ms);
    growOperatorTopic(world.store, 2);
    for (const TimePoint end = world.loop.now() + 1500ms; world.loop.now() < end; world.runFor(50ms)) {
        REQUIRE(statusWithKey(world, "key") == 401);
    }
    world.store.put("keyed.op", "config", newest);
    world.runFor(300ms);
    CHECK(statusWithKey(world, "key") == 401);
    CHECK(statusWithKey(world, "new") == 200);
}

TEST_CASE("runners that are listed or drain after a restore of the store are followed")
{
    World world(2);
    RunnerStandin &first = *world.runners[0];
    RunnerStandin &second = *world.runners[1];
    world.store.put("keyed.servers", second.id, std::nullopt);
    world.runFor(PollTime);
    REQUIRE(receivedWithin(world, second, 300ms) == 0);
    world.store.copy();
    beat(world, first, 10);
    world.runFor(PollTime);
    world.store.restore();
    world.runFor(PollTime);
    beat(world, first, 1);
    world.list(second);
    CHECK(isUsedWithin(world, second, Bounds.draining));
    world.list(first, {{"state", "draining"}});
    receivedWithin(world, first, Bounds.draining);
    CHECK(receivedWithin(world, first, 500ms) == 0);
}

TEST_CASE("a runner that left before a restore of the store gets no requests for its older entry")
{
    World world(2);
    RunnerStandin &leaver = *world.runners[0];
    RunnerStandin &other = *world.runners[1];
    bool removed = false;
    SUBCASE("its entry was draining")
    {
    }
    SUBCASE("its entry was draining and then removed")
    {
        removed = true;
    }
    REQUIRE(isUsedWithin(world, leaver, 2s));
    world.store.copy();
    world.list(leaver, {{"state", "draining"}});
    world.runFor(PollTime);
    if (removed) {
        world.store.put("keyed.servers", leaver.id, std::nullopt);
        world.runFor(PollTime);
    }
    REQUIRE(receivedWithin(world, leaver, 300ms) == 0);
    world.store.restore();
    CHECK(receivedWithin(world, leaver, PollTime) == 0);
    beat(world, other, 10);
    CHECK(receivedWithin(world, leaver, Bounds.draining) == 0);
    world.list(leaver, {{"born", 2000}, {"seq", 1}});
    CHECK(isUsedWithin(world, leaver, Bounds.draining));
}

TEST_CASE("a runner whose entry a restore of the store lost gets requests until it is listed again")
{
    World world(3);
    RunnerStandin &lost = *world.runners[0];
    RunnerStandin &gone = *world.runners[1];
    RunnerStandin &other = *world.runners[2];
    world.store.put("keyed.servers", lost.id, std::nullopt);
    world.store.put("keyed.servers", gone.id, std::nullopt);
    world.runFor(PollTime);
    world.store.copy();
    world.list(lost);
    world.list(gone);
    REQUIRE(isUsedWithin(world, lost, 2s));
    REQUIRE(isUsedWithin(world, gone, 2s));
    bool shorter = false;
    SUBCASE("the topic is longer than before when the host reads it")
    {
    }
    SUBCASE("the topic is shorter than before when the host reads it")
    {
        shorter = true;
    }
    world.store.restore();
    const TimePoint restoredAt = world.loop.now();
    if (shorter) {
        CHECK(receivedWithin(world, lost, PollTime) > 0);
    }
    beat(world, other, 4);
    CHECK(receivedWithin(world, lost, PollTime) > 0);
    CHECK(receivedWithin(world, lost, 300ms) > 0);
    world.list(lost);
    CHECK(receivedWithin(world, lost, Bounds.listLapse) > 0);
    // The entry that is not written again is dropped.
    world.until([&] { return world.loop.now() >= restoredAt + Bounds.listLapse + 2 * PollTime; });
    CHECK(receivedWithin(world, lost, 300ms) > 0);
    CHECK(receivedWithin(world, gone, 300ms) == 0);
}

TEST_CASE("an evacuation that a restore of the store lost stays in force until it is written again, and ends later")
{
    World world(1);
    world.store.copy();
    world.store.put("keyed.op", "evacuate/z", "{}");
    REQUIRE(world.until([&world] { return world.answer(world.ask("/again/")).status == 503; }));
    const std::string config = world.store.newest("keyed.op", "config").value_or("");
    world.store.restore();
    CHECK(receivedWithin(world, *world.runners[0], 200ms) == 0);
    world.store.put("keyed.op", "config", config);
    CHECK(receivedWithin(world, *world.runners[0], 800ms) == 0);
    world.store.put("keyed.op", "evacuate/z", "{}");
    CHECK(receivedWithin(world, *world.runners[0], 500ms) == 0);
    world.store.put("keyed.op", "evacuate/z", std::nullopt);
    CHECK(isUsedWithin(world, *world.runners[0], Bounds.changes));
}

// Guards against fences that are offsets of a topic whose offsets go back.
TEST_CASE("runners get new weights after a restore of the store that lost records of the order lease")
{
    std::size_t hosts = 3;
    bool keepsSome = false;
    SUBCASE("all records, one host")
    {
        hosts = 1;
    }
    SUBCASE("all records, three hosts")
    {
    }
    SUBCASE("the newest records, three hosts")
    {
        keepsSome = true;
    }
    World world(4, hosts);
    LoadingRunners runners(world, 100ms);
    std::uint64_t version = 1;
    if (keepsSome) {
        runners.name(++version);
        REQUIRE(world.until([&] { return runners.allHave(version); }, Bounds.weights));
    }
    world.store.copy();
    runners.name(++version);
    REQUIRE(world.until([&] { return runners.allHave(version); }, Bounds.weights));
    world.runFor(PollTime);
    world.store.restore();
    world.runFor(200ms);
    runners.name(version);
    runners.listAll();
    world.runFor(PollTime);
    runners.name(++version);
    INFO(runners.text());
    CHECK(world.until([&] { return runners.allHave(version); }, Bounds.weights));
    CHECK(runners.shortestHandover() >= Bounds.leaseGap);
}

TEST_CASE("two hosts do not order new weights within the lease gap when the store is restored during a rollout")
{
    constexpr auto Gap = 1500ms;
    World world(6, 3, [&](ForwardBounds &bounds) { bounds.leaseGap = Gap; });
    LoadingRunners runners(world, 400ms);
    std::uint64_t version = 2;
    std::size_t ordersBefore = 1;
    SUBCASE("after the first order")
    {
    }
    SUBCASE("after the third order")
    {
        ordersBefore = 3;
    }
    SUBCASE("after the first order of a later rollout")
    {
        runners.name(version);
        REQUIRE(world.until([&] { return runners.allHave(version); }, Bounds.weights));
        world.runFor(PollTime);
        ++version;
        runners.orders.clear();
    }
    world.store.copy();
    runners.name(version);
    REQUIRE(world.until([&] { return runners.orders.size() >= ordersBefore; }, Bounds.weights));
    world.store.restore();
    runners.listAll();
    runners.name(version);
    INFO(runners.text());
    CHECK(world.until([&] { return runners.allHave(version); }, Bounds.weights));
    CHECK(runners.shortestHandover() >= Gap);
}

TEST_CASE("a host writes its record to the list of hosts again when a restore of the store lost it")
{
    World world(1);
    const auto record = world.store.newest("keyed.hosts", "host-1");
    REQUIRE(record);
    world.store.put("keyed.hosts", "host-1", std::nullopt);
    world.store.copy();
    world.store.restore();
    CHECK(world.until([&] { return world.store.newest("keyed.hosts", "host-1") == record; },
                      config::HostReadPeriod + 1s));
}
