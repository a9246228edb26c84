#include "engine_pool.h"

#include <endivespan/host_roster.h>
#include <endivespan/membership.h>
#include <endivespan/placement.h>
#include <endivespan/retry_share.h>
#include <endivespan/server_table.h>

#include <doctest/doctest.h>

#include <algorithm>
#include <optional>
#include <random>
#include <rapidcheck.h>
#include <string>
#include <vector>

using namespace endivespan;
using namespace std::chrono_literals;

namespace {

std::size_t mostInSecond(const std::vector<TimePoint> &sorted)
{
    std::size_t most = 0;
    for (std::size_t first = 0, last = 0; first < sorted.size(); ++first) {
        while (last < sorted.size() && sorted[last] - sorted[first] < 1s) {
            ++last;
        }
        most = std::max(most, last - first);
    }
    return most;
}

/// A fleet of hosts that all send requests to one cold server.
struct ColdFleet {
    struct Host {
        HostRoster roster;
        ServerTable table;
        Duration connectTime {}; ///< Time from the choice of the server until the request is sent.
        std::optional<TimePoint> sendsAt;
        TimePoint joinsAt;
    };

    static std::string name(std::size_t index)
    {
        return "host-" + std::to_string(index);
    }

    /// @param reachableShare Share of the hosts whose heartbeats still arrive.
    ColdFleet(std::size_t count, double reachableShare, Duration coldFor)
        : entry(engine("e"))
    {
        this->entry.coldFor = coldFor;
        Membership view({name(0), "", "", "", {}}, Start - 1h);
        for (std::size_t i = 0; i < count; ++i) {
            view.learn({name(i), "", "", "", {{1, 1}}}, Start - 1h);
        }
        view.tick(Start - 30min);
        view.tick(Start - 30min + 1ms);
        for (std::size_t i = 0; i < static_cast<std::size_t>(reachableShare * static_cast<double>(count)); ++i) {
            view.learn({name(i), "", "", "", {{1, 2}}}, Start);
        }
        this->hostIds = view.ids();
        for (std::size_t i = 0; i < count; ++i) {
            this->add(Start);
        }
        this->updateRosters();
    }

    Host &add(TimePoint joinsAt)
    {
        this->hosts.push_back({HostRoster(hostIdOf(name(this->hosts.size()))), {}, {}, {}, joinsAt});
        Host &host = this->hosts.back();
        host.table.update(this->entry, Start);
        host.roster.join(joinsAt);
        return host;
    }

    /// Adds a host that is not in the rosters of the others yet.
    void addUnknown(TimePoint joinsAt)
    {
        const std::uint64_t id = hostIdOf(name(this->hosts.size()));
        Host &host = this->add(joinsAt);
        this->hostIds.push_back(id);
        host.roster.setHosts(this->hostIds);
    }

    /// Updates the rosters of all hosts to the current list of hosts.
    void updateRosters()
    {
        for (Host &host : this->hosts) {
            host.roster.setHosts(this->hostIds);
        }
    }

    void restart(std::size_t index, TimePoint joinsAt)
    {
        Host &host = this->hosts[index];
        host.table = {};
        host.table.update(this->entry, Start);
        host.joinsAt = std::max(host.joinsAt, joinsAt);
        host.roster.join(host.joinsAt);
        host.sendsAt.reset();
    }

    /// Every @p gap, offers one request to each of @p atOnce random hosts.
    /// @returns the times at which requests were sent.
    std::vector<TimePoint> offer(double bound, TimePoint from, TimePoint to, Duration gap, std::size_t atOnce = 1)
    {
        std::vector<TimePoint> sent;
        for (TimePoint now = from; now < to; now += gap) {
            for (Host &host : this->hosts) {
                if (host.sendsAt && *host.sendsAt <= now) {
                    host.sendsAt.reset();
                    host.table.sent("e", now);
                    sent.push_back(now);
                }
            }
            for (std::size_t i = 0; i < atOnce; ++i) {
                Host &host = this->hosts[this->random() % this->hosts.size()];
                const ColdBound all {coldRights(bound), &host.roster};
                if (!host.sendsAt && ServerTable::hasColdRoom(*host.table.find("e"), all, now)) {
                    host.table.started("e", 0, now);
                    host.sendsAt = now + host.connectTime;
                }
            }
        }
        return sent;
    }

    std::mt19937 random {7};
    ServerEntry entry;
    std::vector<Host> hosts;
    std::vector<std::uint64_t> hostIds;
};

} // namespace

TEST_CASE("cold servers: up to 400 hosts stay within the limit from the start, however many hosts each can reach")
{
    for (const std::size_t hosts : {1U, 12U, 18U, 30U, 60U, 114U, 295U, 400U}) {
        for (const double reachableShare : {1.0, 0.5, 0.2}) {
            CAPTURE(hosts);
            CAPTURE(reachableShare);
            const double bound = 21.5;
            ColdFleet fleet(hosts, reachableShare, 3s);
            const auto sent = fleet.offer(bound, Start, Start + 3s, 2ms);
            CHECK(static_cast<double>(mostInSecond(sent)) <= bound);
        }
    }
}

TEST_CASE("cold servers: hosts that stall, restart and join stay within the limit in any second")
{
    CHECK(rc::check([] {
        const auto hosts = *rc::gen::inRange<std::size_t>(1, 300);
        const double bound = *rc::gen::inRange(3, 60);
        std::mt19937 random(*rc::gen::arbitrary<std::uint32_t>());
        ColdFleet fleet(hosts, 1.0, 60s);
        TimePoint toldAt = Start;
        std::vector<TimePoint> sent;
        for (TimePoint now = Start; now < Start + 20s; now += 500ms) {
            const std::size_t host = random() % fleet.hosts.size();
            switch (random() % 4) {
            case 0:
                fleet.hosts[host].connectTime = std::chrono::milliseconds(random() % 150);
                break;
            case 1:
                fleet.restart(host, now + config::HostReturnDelay);
                break;
            case 2:
                fleet.addUnknown(now + config::HostJoinDelay);
                break;
            default:
                break;
            }
            if (now - toldAt >= config::HostReadPeriod) {
                toldAt = now;
                fleet.updateRosters();
            }
            const auto part = fleet.offer(bound, now, now + 500ms, std::chrono::milliseconds(1 + random() % 20));
            sent.insert(sent.end(), part.begin(), part.end());
        }
        std::sort(sent.begin(), sent.end());
        RC_ASSERT(static_cast<double>(mostInSecond(sent)) <= bound);
    }));
}

TEST_CASE("cold servers: hosts with waiting requests use at least four fifths of the limit, for 12 to 400 hosts")
{
    for (const std::size_t hosts : {12U, 18U, 30U, 114U, 139U, 295U, 400U}) {
        CAPTURE(hosts);
        ColdFleet fleet(hosts, 1.0, 11s);
        const auto sent = fleet.offer(21.5, Start, Start + 10s, 2ms, hosts);
        CHECK(static_cast<double>(sent.size()) >= 0.8 * 21.5 * 10);
    }
}

TEST_CASE("cold servers: a request that waits for its connection holds its right until a second after it is sent")
{
    HostRoster roster(1);
    roster.join(Start);
    const ColdBound bound {1, &roster};
    ServerTable table;
    ServerEntry cold = engine("e");
    cold.coldFor = 60s;
    table.update(cold, Start);
    table.started("e", 0, Start);
    CHECK_FALSE(ServerTable::hasColdRoom(*table.find("e"), bound, Start + 5s));
    table.sent("e", Start + 5s);
    CHECK_FALSE(ServerTable::hasColdRoom(*table.find("e"), bound, Start + 6s));
    CHECK(ServerTable::hasColdRoom(*table.find("e"), bound, Start + 6s + config::ColdSpanMargin));
    table.started("e", 0, Start + 7s);
    table.notSent("e");
    CHECK(ServerTable::hasColdRoom(*table.find("e"), bound, Start + 7s));
}

TEST_CASE("cold servers: requests sent shortly before a server became cold count towards the limit")
{
    HostRoster roster(1);
    roster.join(Start);
    const ColdBound bound {1, &roster};
    ServerTable table;
    table.update(engine("e", 1, 1), Start);
    table.started("e", 0, Start);
    table.sent("e", Start);
    table.reportedCold("e", 999, 3s, Start);
    CHECK(ServerTable::hasColdRoom(*table.find("e"), bound, Start));
    table.reportedCold("e", 1000, 3s, Start);
    CHECK_FALSE(ServerTable::hasColdRoom(*table.find("e"), bound, Start + 500ms));
    ServerEntry restarted = engine("e", 1, 1);
    restarted.born = 2000;
    restarted.coldFor = 3s;
    table.update(restarted, Start + 600ms);
    CHECK_FALSE(ServerTable::hasColdRoom(*table.find("e"), bound, Start + 900ms));
    CHECK(ServerTable::hasColdRoom(*table.find("e"), bound, Start + 2s));
}

TEST_CASE("cold servers: after an evacuation servers count as cold until a new list entry can have arrived")
{
    ServerTable table = enginePool(1);
    table.setEvacuated({"z"}, Start);
    CHECK_FALSE(ServerTable::isCold(*table.find("e0"), Start + 1s));
    table.setEvacuated({}, Start + 1s);
    table.update(engine("e0", 1, 2), Start + 1500ms);
    CHECK(ServerTable::isCold(*table.find("e0"), Start + 3s));
    CHECK_FALSE(ServerTable::isCold(*table.find("e0"), Start + 1s + config::ListLag));
}

TEST_CASE("cold servers: an idle one is preferred to a crowded pool if the host holds a right, and not used otherwise")
{
    HostRoster roster(1);
    ServerTable table = enginePool(200);
    for (int i = 0; i < 200; ++i) {
        table.reportedLoad("e" + std::to_string(i), {64, 10, 64}, Start);
    }
    ServerEntry cold = engine("cold");
    cold.coldFor = 60s;
    table.update(cold, Start);
    PlacementNeed need = promptNeed(7);
    need.hosts = 295;
    need.meanRequests = 74;
    need.maxWaiting = 14;
    need.memoryTokens = 100'000;
    need.coldBound = {19, &roster};
    const auto placement = makeExpectedStartPlacement();
    for (std::uint64_t random = 0; random < 50; ++random) {
        CHECK(placement->choose(table, need, random, Start).server != "cold");
    }
    roster.join(Start);
    for (std::uint64_t random = 0; random < 50; ++random) {
        CHECK(placement->choose(table, need, random, Start).server == "cold");
    }
    const auto choice = placement->choose(table, need, 0, Start);
    CHECK(choice.cold == 0);
}

TEST_CASE("cold servers: an unreachable server counts as cold until its next heartbeat")
{
    ServerTable table = enginePool(1);
    CHECK_FALSE(ServerTable::isCold(*table.find("e0"), Start));
    table.started("e0", 0, Start);
    table.ended("e0", AttemptOutcome::Unreachable, Start);
    CHECK(ServerTable::isCold(*table.find("e0"), Start + 30s));
    table.update(engine("e0", 1, 1), Start + 1s);
    CHECK(ServerTable::isCold(*table.find("e0"), Start + 30s));
    table.update(engine("e0", 1, 2), Start + 1s);
    CHECK_FALSE(ServerTable::isCold(*table.find("e0"), Start + 30s));
}

TEST_CASE("retry share: hosts whose requests all fail stay within the common budget together")
{
    CHECK(rc::check([] {
        const auto hosts = *rc::gen::inRange<std::size_t>(1, 25);
        const RetryBounds bounds {0.2, 126, 10s};
        std::vector<RetryShare> shares(hosts, RetryShare(bounds));
        for (RetryShare &share : shares) {
            share.enableSlackFrom(Start);
        }
        std::mt19937 random(*rc::gen::arbitrary<std::uint32_t>());
        const int rate = 1 + static_cast<int>(random() % 300);
        std::vector<TimePoint> requests;
        std::vector<TimePoint> repeats;
        for (TimePoint now = Start; now < Start + 40s; now += std::chrono::microseconds(1'000'000 / rate)) {
            // The load drops by half for 10 s.
            if (now > Start + 15s && now < Start + 25s && random() % 2 == 0) {
                continue;
            }
            RetryShare &share = shares[random() % hosts];
            share.countRequest("s", now);
            requests.push_back(now);
            if (share.tryTake("s", hosts, now)) {
                repeats.push_back(now);
            }
        }
        const auto count = [](const std::vector<TimePoint> &times, TimePoint from, TimePoint to) {
            return static_cast<double>(std::lower_bound(times.begin(), times.end(), to)
                                       - std::lower_bound(times.begin(), times.end(), from));
        };
        for (TimePoint from = Start; from < Start + 30s; from += 500ms) {
            const double asked = std::max({count(requests, from, from + 10s),
                                           count(requests, from - 10s, from),
                                           count(requests, from - 5s, from + 5s)});
            RC_ASSERT(count(repeats, from, from + 10s) <= 0.2 * asked + 126);
        }
    }));
}

TEST_CASE("retry share: hosts that have lost contact with others and then all restart stay within the common budget")
{
    const RetryBounds bounds {0.2, 292, 10s};
    for (const std::size_t hosts : {12U, 114U, 295U}) {
        CAPTURE(hosts);
        const ColdFleet fleet(hosts, 0.2, 3s);
        std::vector<RetryShare> shares(hosts, RetryShare(bounds));
        for (RetryShare &share : shares) {
            share.enableSlackFrom(Start);
        }
        std::vector<TimePoint> repeats;
        std::size_t requests = 0;
        for (TimePoint now = Start; now < Start + 10s; now += 10ms) {
            if (now == Start + 5s) {
                for (RetryShare &share : shares) {
                    share = RetryShare(bounds);
                    share.enableSlackFrom(now + bounds.window);
                }
            }
            const auto host = static_cast<std::size_t>((now - Start) / 10ms) % hosts;
            shares[host].countRequest("s", now);
            ++requests;
            for (int again = 0; again < 30; ++again) {
                if (shares[host].tryTake("s", fleet.hosts[host].roster.size(), now)) {
                    repeats.push_back(now);
                }
            }
        }
        CHECK(static_cast<double>(repeats.size()) <= bounds.ratio * static_cast<double>(requests) + bounds.slack);
    }
}
