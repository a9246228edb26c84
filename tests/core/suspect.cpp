#include <endivespan/config.h>
#include <endivespan/invariant.h>
#include <endivespan/suspect.h>

#include <doctest/doctest.h>

#include <array>
#include <rapidcheck.h>
#include <set>
#include <string>
#include <vector>

using namespace endivespan;
using namespace std::chrono_literals;

namespace {

Fingerprint request(std::size_t number)
{
    return fingerprintOf("puu", "/v1/completions", std::to_string(number));
}

struct Running {
    std::size_t host;
    SuspectUse use;
};

constexpr std::size_t Hosts = 4;
constexpr std::size_t Requests = 6;
constexpr std::uint32_t Servers = 5;

/// Hosts that ask for permits, one owner at a time, and a network that loses, repeats and delays messages.
struct World {
    TimePoint now {1h};
    SuspectOwner owner;
    std::array<SuspectHolder, Hosts> holders;
    std::vector<std::pair<std::size_t, SuspectRequest>> requests;
    std::vector<std::pair<std::size_t, SuspectPermit>> permits;
    std::vector<SuspectReturn> returns;
    std::vector<Running> running;
    std::uint64_t fence = 1;

    void step(int what, std::size_t pick)
    {
        switch (what) {
        case 0: {
            const auto host = pick % Hosts;
            const ServerHandle server {static_cast<std::uint32_t>(pick / 7 % Servers)};
            this->requests.emplace_back(host, this->holders[host].ask(request(pick % Requests), server, this->now));
            break;
        }
        case 1:
            if (!this->requests.empty()) {
                const auto [host, wanted] = this->requests[pick % this->requests.size()];
                this->permits.emplace_back(host, this->owner.request(wanted, this->now));
            }
            break;
        case 2:
            if (!this->permits.empty()) {
                const auto [host, permit] = this->permits[pick % this->permits.size()];
                if (const auto use = this->holders[host].answered(permit, this->now)) {
                    this->running.push_back({host, *use});
                }
            }
            break;
        case 3:
            if (!this->running.empty()) {
                const auto place = this->running.begin() + static_cast<std::ptrdiff_t>(pick % this->running.size());
                this->returns.push_back({place->use.fence, place->use.id});
                this->running.erase(place);
            }
            break;
        case 4:
            if (!this->returns.empty()) {
                this->owner.giveBack(this->returns[pick % this->returns.size()]);
            }
            break;
        case 5:
            if (pick % 10 == 0) {
                this->owner.disown();
                this->owner.own(++this->fence, this->now);
            }
            break;
        default:
            this->now += std::chrono::milliseconds(pick % 20'000 / (pick % 3 == 0 ? 1 : 100));
            this->owner.tick(this->now);
            std::erase_if(this->running, [this](const Running &run) { return run.use.mustEndBy <= this->now; });
        }
    }

    [[nodiscard]] bool isEachAlone() const
    {
        std::set<Fingerprint> fingerprints;
        std::set<ServerHandle> servers;
        for (const Running &run : this->running) {
            fingerprints.insert(run.use.request.fingerprint);
            servers.insert(run.use.request.server);
        }
        return fingerprints.size() == this->running.size() && servers.size() == this->running.size();
    }
};

void mergeAll(const SuspicionTable &from, SuspicionTable &to, TimePoint now)
{
    for (const std::uint64_t version : from.versionsAfter(0, 100)) {
        to.merge(*from.changedAt(version, now), now);
    }
}

} // namespace

TEST_CASE("no suspect or server has two permitted runs at once, over all hosts, owners and lost messages")
{
    std::size_t runs = 0;
    const bool held = rc::check([&runs] {
        const auto steps = *rc::gen::container<std::vector<std::pair<int, std::size_t>>>(
            400, rc::gen::pair(rc::gen::inRange(0, 7), rc::gen::inRange<std::size_t>(0, 100'000)));
        World world;
        world.owner.own(world.fence, world.now);
        world.now += 1min;
        for (const auto &[what, pick] : steps) {
            world.step(what, pick);
            runs += what == 2 ? world.running.size() : 0;
            RC_ASSERT(world.isEachAlone());
        }
    });
    CHECK(held);
    CHECK(runs > 100);
}

TEST_CASE("merging suspicions gives every host the same verdicts in any order")
{
    CHECK(rc::check([] {
        std::array<SuspicionTable, 3> tables;
        const TimePoint now {1h};
        const auto steps = *rc::gen::container<std::vector<std::pair<int, std::size_t>>>(
            60, rc::gen::pair(rc::gen::inRange(0, 3), rc::gen::inRange<std::size_t>(0, 1000)));
        for (const auto &[what, pick] : steps) {
            auto &table = tables[pick % tables.size()];
            const std::array<Fingerprint, 1> accused {request(pick / 3 % Requests)};
            if (what == 0) {
                table.recordCrash(crashIdOf("puhuja", std::to_string(pick % 4)), accused, now);
            } else if (what == 1) {
                table.clear(accused[0], now);
            } else {
                mergeAll(SuspicionTable(tables[pick / 3 % tables.size()]), table, now);
            }
        }
        for (int round = 0; round < 2; ++round) {
            for (auto &to : tables) {
                for (const SuspicionTable from : tables) { // NOLINT(performance-for-range-copy): merging changes it
                    mergeAll(from, to, now);
                }
            }
        }
        for (std::size_t number = 0; number < Requests; ++number) {
            RC_ASSERT(tables[0].verdict(request(number)) == tables[1].verdict(request(number)));
            RC_ASSERT(tables[0].verdict(request(number)) == tables[2].verdict(request(number)));
        }
    }));
}

TEST_CASE("a request is refused after it was running during two crashes, and others that were cleared are served")
{
    SuspicionTable table;
    const TimePoint now {1h};
    const std::vector<Fingerprint> running {request(0), request(1), request(2)};
    table.recordCrash(crashIdOf("puhuja-1", "a"), running, now);
    table.recordCrash(crashIdOf("puhuja-1", "a"), running, now);
    CHECK(table.verdict(request(0)) == Verdict::Suspect);
    table.clear(request(1), now);
    table.clear(request(2), now);
    table.recordCrash(crashIdOf("puhuja-2", "b"), std::vector {request(0)}, now);
    CHECK(table.verdict(request(0)) == Verdict::Refused);
    CHECK(table.verdict(request(1)) == Verdict::Free);
    CHECK(table.stats().refused == 1);

    SUBCASE("a cleared request that is running during another crash is suspect again, not refused")
    {
        table.recordCrash(crashIdOf("puhuja-3", "c"), std::vector {request(1)}, now);
        CHECK(table.verdict(request(1)) == Verdict::Suspect);
    }
    SUBCASE("suspicion expires")
    {
        table.tick(now + config::SuspectRetention);
        CHECK(table.verdict(request(0)) == Verdict::Free);
        CHECK(table.stats().entries == 0);
    }
    SUBCASE("the table is bounded and evicts the oldest entries")
    {
        for (std::size_t number = 10; number < 10 + config::SuspectTableSize; ++number) {
            table.recordCrash(crashIdOf("puhuja-4", "d"), std::vector {request(number)}, now);
        }
        CHECK(table.stats().entries == config::SuspectTableSize);
        CHECK(table.stats().evicted == 3);
        CHECK(table.verdict(request(9 + config::SuspectTableSize)) == Verdict::Suspect);
    }
}

TEST_CASE("a permit expires a fixed time after the request for it was sent")
{
    SuspectHolder holder;
    const TimePoint now {1h};
    const SuspectRequest first = holder.ask(request(0), ServerHandle {1}, now);
    const SuspectRequest second = holder.ask(request(1), ServerHandle {2}, now);
    const auto use = holder.answered({first.requestId, true, 1, 1}, now + config::SuspectPermitTtl - 1ms);
    REQUIRE(use);
    CHECK(use->expires == now + config::SuspectPermitTtl);
    CHECK_FALSE(holder.answered({first.requestId, true, 1, 1}, now));
    CHECK_FALSE(holder.answered({second.requestId, true, 1, 2}, now + config::SuspectPermitTtl));
}

TEST_CASE("a request that was cleared many times can become suspect again")
{
    SuspicionTable table;
    const TimePoint now {1h};
    for (std::size_t death = 0; death < 3 * config::CrashesKept; ++death) {
        table.recordCrash(crashIdOf("puhuja-1", std::to_string(death)), std::vector {request(0)}, now);
        CHECK(table.verdict(request(0)) == Verdict::Suspect);
        table.clear(request(0), now);
        CHECK(table.verdict(request(0)) == Verdict::Free);
    }
}

TEST_CASE("dispatch of a suspect without its permit violates the invariant")
{
    SuspicionTable table;
    const TimePoint now {1h};
    const auto before = invariantCount(Invariant::SuspectRunsAlone).violated;
    const ServerHandle server {1};
    CHECK(SuspectHolder::checkDispatch(table, request(0), server, {}, now));
    table.recordCrash(crashIdOf("puhuja-1", "a"), std::vector {request(0)}, now);
    CHECK_FALSE(SuspectHolder::checkDispatch(table, request(0), server, {}, now));
    const SuspectUse use {{1, request(0), server}, 1, 1, now + 1s, now + 31s};
    CHECK(SuspectHolder::checkDispatch(table, request(0), server, use, now));
    CHECK_FALSE(SuspectHolder::checkDispatch(table, request(0), ServerHandle {2}, use, now));
    CHECK_FALSE(SuspectHolder::checkDispatch(table, request(0), server, use, now + 1s));
    CHECK(invariantCount(Invariant::SuspectRunsAlone).violated == before + 3);
}
