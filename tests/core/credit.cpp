#include <endivespan/config.h>
#include <endivespan/credit.h>
#include <endivespan/invariant.h>

#include <doctest/doctest.h>

#include <array>
#include <rapidcheck.h>
#include <string>
#include <variant>
#include <vector>

using namespace endivespan;
using namespace std::chrono_literals;

namespace {

constexpr ServerHandle Server {0};
constexpr CreditLimits Limits {1, 8};
constexpr std::size_t Hosts = 5;

struct ToOwner {
    std::size_t from;
    std::variant<CreditRequest, CreditReturn> message;
};

struct ToHost {
    std::size_t host;
    CreditGrant grant;
};

struct Run {
    std::size_t host;
    CreditUse use;
};

/// Hosts, one owner at a time, one server, and a network that loses, repeats and delays messages.
struct World {
    TimePoint now {1h};
    CreditOwner owner;
    std::array<CreditHolder, Hosts> purses;
    std::vector<ToOwner> toOwner;
    std::vector<ToHost> toHosts;
    std::vector<Run> runs;
    std::uint64_t fence = 1;
    int start = 0;
    std::uint32_t bears = Limits.coldConcurrency;
    std::uint32_t completedInWave = 0;

    [[nodiscard]] std::string incarnation() const
    {
        return "s" + std::to_string(this->start);
    }

    void report()
    {
        this->owner.onLoadReport(Server, this->incarnation(), static_cast<std::uint32_t>(this->runs.size()), this->now);
        for (auto &purse : this->purses) {
            purse.onLoadReport(Server, this->incarnation(), this->now);
        }
    }

    void ask(std::size_t host)
    {
        if (const auto request = this->purses[host].ask(Server, 3, this->now)) {
            this->toOwner.push_back({host, *request});
        }
    }

    void deliverToOwner(std::size_t pick, bool repeat)
    {
        if (this->toOwner.empty()) {
            return;
        }
        const std::size_t index = pick % this->toOwner.size();
        const ToOwner item = this->toOwner[index];
        if (!repeat) {
            this->toOwner.erase(this->toOwner.begin() + static_cast<std::ptrdiff_t>(index));
        }
        if (const auto *request = std::get_if<CreditRequest>(&item.message)) {
            this->toHosts.push_back({item.from, this->owner.request(*request, this->now)});
        } else {
            this->owner.giveBack(std::get<CreditReturn>(item.message));
        }
    }

    void deliverToHost(std::size_t pick, bool repeat)
    {
        if (this->toHosts.empty()) {
            return;
        }
        const std::size_t index = pick % this->toHosts.size();
        const ToHost item = this->toHosts[index];
        if (!repeat) {
            this->toHosts.erase(this->toHosts.begin() + static_cast<std::ptrdiff_t>(index));
        }
        this->purses[item.host].onGrant(item.grant, this->now);
    }

    void dispatch(std::size_t host)
    {
        if (const auto use = this->purses[host].take(Server, this->now)) {
            RC_ASSERT(this->purses[host].checkDispatch(*use, this->now));
            this->runs.push_back({host, *use});
        }
    }

    void finish(std::size_t pick, CreditOutcome outcome)
    {
        if (this->runs.empty()) {
            return;
        }
        const std::size_t index = pick % this->runs.size();
        const Run run = this->runs[index];
        this->runs.erase(this->runs.begin() + static_cast<std::ptrdiff_t>(index));
        if (outcome == CreditOutcome::Completed && ++this->completedInWave >= this->bears) {
            this->completedInWave = 0;
            this->bears *= 2;
        }
        if (const auto message = this->purses[run.host].finish(run.use, outcome)) {
            this->toOwner.push_back({run.host, *message});
        }
    }

    void restart()
    {
        while (!this->runs.empty()) {
            this->finish(0, CreditOutcome::Failed);
        }
        ++this->start;
        this->bears = Limits.coldConcurrency;
        this->completedInWave = 0;
        this->report();
    }

    void changeOwner(bool knowsWarm)
    {
        const auto warm = knowsWarm ? this->purses[0].statement(Server, this->now) : std::nullopt;
        this->owner = CreditOwner {};
        this->owner.own(Server, Limits, ++this->fence, warm, false, this->now);
    }

    void advance(Duration step)
    {
        this->now += step;
        this->owner.tick(this->now);
        std::erase_if(this->runs, [this](const Run &run) { return run.use.mustEndBy <= this->now; });
        for (std::size_t host = 0; host < Hosts; ++host) {
            for (const CreditReturn &message : this->purses[host].tick(this->now)) {
                this->toOwner.push_back({host, message});
            }
        }
    }

    [[nodiscard]] std::size_t load() const
    {
        std::size_t total = this->runs.size();
        for (const auto &purse : this->purses) {
            total += purse.usable(Server, this->now);
        }
        return total;
    }

    [[nodiscard]] bool isWarmAnywhere() const
    {
        return std::any_of(this->purses.begin(), this->purses.end(), [this](const CreditHolder &purse) {
            return purse.isWarm(Server, this->now);
        });
    }

    void step(int what, std::size_t pick)
    {
        const std::size_t host = pick % Hosts;
        switch (what) {
        case 0:
            return this->ask(host);
        case 1:
        case 2:
            return this->deliverToOwner(pick, what == 2);
        case 3:
        case 4:
            return this->deliverToHost(pick, what == 4);
        case 5:
            return this->dispatch(host);
        case 6:
        case 7:
            return this->finish(pick, CreditOutcome::Completed);
        case 8:
            return this->report();
        case 9:
            return this->toOwner.empty() ? void() : this->toOwner.pop_back();
        case 10:
            return pick % 8 == 0 ? this->restart() : void();
        case 11:
            return pick % 8 == 0 ? this->changeOwner(pick % 16 == 0) : void();
        default:
            return this->advance(std::chrono::milliseconds(pick % 1500));
        }
    }
};

World readyWorld()
{
    World world;
    world.owner.own(Server, Limits, world.fence, {}, false, world.now);
    world.advance(5s);
    world.report();
    return world;
}

} // namespace

TEST_CASE("usable credits and running requests never exceed the limit of a cold server")
{
    std::uint64_t runs = 0;
    const bool held = rc::check([&runs] {
        const auto steps = *rc::gen::container<std::vector<std::pair<int, std::size_t>>>(
            400, rc::gen::pair(rc::gen::inRange(0, 13), rc::gen::inRange<std::size_t>(0, 4000)));
        World world = readyWorld();
        for (const auto &[what, pick] : steps) {
            world.step(what, pick);
            if (!world.isWarmAnywhere()) {
                RC_ASSERT(world.load() <= std::max(world.bears, Limits.coldConcurrency));
            }
            runs += world.runs.size();
        }
    });
    CHECK(held);
    CHECK(runs > 100);
}

TEST_CASE("a cold server becomes warm by completed requests and then needs no credits")
{
    World world = readyWorld();
    for (int i = 0; i < 40 && !world.purses[0].isWarm(Server, world.now); ++i) {
        world.ask(0);
        world.deliverToOwner(0, false);
        world.deliverToHost(0, false);
        world.dispatch(0);
        world.finish(0, CreditOutcome::Completed);
        while (!world.toOwner.empty()) {
            world.deliverToOwner(0, false);
        }
        world.advance(600ms);
        world.report();
    }
    CHECK(world.purses[0].isWarm(Server, world.now));
    CHECK(world.owner.stats().warmed == 1);
    const auto statement = world.owner.statement(Server);
    REQUIRE(statement);

    SUBCASE("a server whose last load report is stale is cold")
    {
        CHECK_FALSE(world.purses[0].isWarm(Server, world.now + config::LoadReportStaleAfter + 1ms));
    }
    SUBCASE("a refused connection makes it cold, and an older warm statement does not undo that")
    {
        world.purses[0].markCold(Server);
        world.purses[0].learnWarm(*statement);
        CHECK_FALSE(world.purses[0].isWarm(Server, world.now));
    }
    SUBCASE("a restart makes it cold for the owner and the holders")
    {
        world.restart();
        CHECK_FALSE(world.purses[0].isWarm(Server, world.now));
        CHECK(world.owner.window(Server) == Limits.coldConcurrency);
        CHECK(world.owner.request({Server, 99, 1}, world.now).count == 0);
    }
}

// All servers turn cold at once while hosts hold credits or wait for them. If these were not returned, the owners would
// count them as running requests until the longest run had ended, and grant no others until then.
TEST_CASE("credits granted before a server turned cold are returned at once")
{
    CreditOwner owner;
    CreditHolder purse;
    const TimePoint now {1h};
    owner.own(Server, Limits, 1, {}, true, now);
    owner.onLoadReport(Server, "s0", 0, now);
    purse.onLoadReport(Server, "s0", now);
    const auto held = purse.ask(Server, 1, now);
    REQUIRE(held);
    const CreditGrant grant = owner.request(*held, now);
    REQUIRE(grant.count == 1);

    SUBCASE("credits that a host holds")
    {
        purse.onGrant(grant, now);
        purse.markCold(Server);
    }
    SUBCASE("credits of a grant under way, also if it arrives twice")
    {
        purse.markCold(Server);
        purse.onGrant(grant, now);
        purse.onGrant(grant, now);
    }
    SUBCASE("credits that arrive after the host has asked again")
    {
        REQUIRE(purse.ask(Server, 1, now + config::CreditAskTimeout));
        purse.onGrant(grant, now + config::CreditAskTimeout);
    }
    SUBCASE("credits that have expired when they arrive")
    {
        purse.onGrant(grant, now + config::CreditTtl);
    }
    CHECK(purse.usable(Server, now) == 0);
    const auto returns = purse.tick(now);
    REQUIRE(returns.size() == 1);
    owner.giveBack(returns.front());
    CHECK(owner.request({Server, 9, 1}, now).count == 1);
}

TEST_CASE("a grant that arrives twice returns no credits")
{
    CreditOwner owner;
    CreditHolder purse;
    const TimePoint now {1h};
    owner.own(Server, Limits, 1, {}, true, now);
    owner.onLoadReport(Server, "s0", 0, now);
    const auto asked = purse.ask(Server, 1, now);
    REQUIRE(asked);
    const CreditGrant grant = owner.request(*asked, now);
    purse.onGrant(grant, now);
    purse.onGrant(grant, now);
    CHECK(purse.tick(now).empty());
    CHECK(purse.usable(Server, now) == 1);
}

TEST_CASE("a new owner grants nothing before the credits of the earlier one have expired")
{
    World world = readyWorld();
    world.changeOwner(false);
    world.report();
    CHECK(world.owner.request({Server, 1, 1}, world.now).count == 0);
    world.advance(config::CreditTtl);
    world.report();
    CHECK(world.owner.request({Server, 2, 1}, world.now).count == 0);
    world.advance(config::LoadReportStaleAfter + config::CreditClockMargin);
    world.report();
    CHECK(world.owner.request({Server, 3, 1}, world.now).count == 1);
}

TEST_CASE("the first owner of a server grants at once, and a cold notice of a peer voids older warm statements")
{
    CreditOwner owner;
    const TimePoint now {1h};
    owner.own(Server, Limits, 1, {}, true, now);
    owner.onLoadReport(Server, "s0", 0, now);
    CHECK(owner.request({Server, 1, 3}, now).count == Limits.coldConcurrency);
    CreditHolder purse;
    purse.onLoadReport(Server, "s0", now);
    purse.learnWarm({Server, "s0", 5});
    purse.voidThrough(Server, 4);
    CHECK(purse.isWarm(Server, now));
    purse.voidThrough(Server, 5);
    CHECK_FALSE(purse.isWarm(Server, now));
    CHECK(purse.coldThrough(Server) == 5);
}

TEST_CASE("credits expire a fixed time after the request for them was sent")
{
    World world = readyWorld();
    world.ask(0);
    world.deliverToOwner(0, false);
    world.advance(config::CreditTtl - 100ms);
    world.deliverToHost(0, true);
    CHECK(world.purses[0].usable(Server, world.now) == 1);
    world.deliverToHost(0, false);
    CHECK(world.purses[0].usable(Server, world.now) == 1);
    CHECK(world.purses[0].usable(Server, world.now + 100ms) == 0);
}

TEST_CASE("requests under an earlier owner's credits count until a load report shows that they have ended")
{
    World world = readyWorld();
    world.ask(0);
    world.deliverToOwner(0, false);
    world.deliverToHost(0, false);
    world.dispatch(0);
    REQUIRE(world.runs.size() == 1);
    world.changeOwner(false);
    world.advance(5s);
    world.report();
    CHECK(world.owner.request({Server, 1, 1}, world.now).count == 0);
    world.finish(0, CreditOutcome::Completed);
    world.report();
    CHECK(world.owner.request({Server, 2, 1}, world.now).count == 1);
}

TEST_CASE("a credit that is never returned counts until its request must have ended")
{
    World world = readyWorld();
    CHECK(world.owner.request({Server, 1, 1}, world.now).count == 1);
    world.advance(config::CreditTtl + config::CreditRunBound);
    CHECK(world.owner.request({Server, 2, 1}, world.now).count == 0);
    world.advance(config::CreditClockMargin);
    CHECK(world.owner.request({Server, 3, 1}, world.now).count == 1);
    CHECK(world.owner.stats().reclaimed == 1);
}

TEST_CASE("dispatch without a valid credit violates the invariant")
{
    const auto before = invariantCount(Invariant::ColdServerWithinCredit).violated;
    World world = readyWorld();
    CHECK_FALSE(world.purses[0].checkDispatch({Server, true, 0, 0, TimePoint::max()}, world.now));
    const CreditUse expired {Server, false, 1, 1, world.now + config::CreditRunBound};
    CHECK_FALSE(world.purses[0].checkDispatch(expired, world.now));
    CHECK(invariantCount(Invariant::ColdServerWithinCredit).violated == before + 2);
}
