#include "gossip_fleet.h"

#include <doctest/doctest.h>

using namespace endivespan;
using namespace endivespan::testing;
using namespace std::chrono_literals;

namespace {

/// Makes all hosts known to each other, takes the log away from all, and waits until they know of it.
void loseLog(GossipFleet &fleet)
{
    for (const auto &to : fleet.hosts) {
        for (const auto &from : fleet.hosts) {
            to->membership.learn(from->membership.self(), fleet.now);
        }
    }
    fleet.runFor(15s);
    for (const auto &host : fleet.hosts) {
        host->logUp = false;
    }
    fleet.runFor(20s);
}

/// Cuts the first @p cutOff hosts off from all others and from the log, which all others reach again.
void endOutageForOthers(GossipFleet &fleet, std::size_t cutOff)
{
    fleet.connected = [cutOff](std::size_t a, std::size_t b) { return (a < cutOff) == (b < cutOff); };
    for (std::size_t i = cutOff; i < fleet.hosts.size(); ++i) {
        fleet.hosts[i]->logUp = true;
    }
    fleet.logEnd = 2;
}

/// @returns how long one of the first @p watched hosts goes on using its configuration, at most 20 s.
Duration longestUse(GossipFleet &fleet, std::size_t watched)
{
    const TimePoint begin = fleet.now;
    Duration longest {};
    while (fleet.now - begin < 20s) {
        fleet.round();
        for (std::size_t i = 0; i < watched; ++i) {
            longest = fleet.standing(i) == ConfigValidity::Stale ? longest : fleet.now - begin;
        }
    }
    return longest;
}

/// @returns the share of hosts and rounds of the next 20 s in which the configuration is in force.
double shareInForce(GossipFleet &fleet)
{
    std::size_t inForce = 0;
    std::size_t all = 0;
    for (const TimePoint end = fleet.now + 20s; fleet.now < end;) {
        fleet.round();
        for (std::size_t i = 0; i < fleet.hosts.size(); ++i) {
            inForce += fleet.standing(i) != ConfigValidity::Stale ? 1 : 0;
            ++all;
        }
    }
    return static_cast<double>(inForce) / static_cast<double>(all);
}

} // namespace

// Guards against reports of any age from which a host that is cut off concludes that no host reaches the log.
TEST_CASE("confirmation: hosts that are cut off in an outage of the log do not use the configuration past the bound")
{
    struct Case {
        std::size_t hosts;
        std::size_t cutOff;
    };
    for (const Case &with : {Case {3, 1}, {12, 1}, {12, 2}, {18, 1}, {18, 2}, {24, 2}, {114, 1}, {114, 2}, {396, 1}}) {
        const std::size_t hosts = with.hosts;
        const std::size_t cutOff = with.cutOff;
        CAPTURE(hosts);
        CAPTURE(cutOff);
        GossipFleet fleet(hosts);
        loseLog(fleet);
        endOutageForOthers(fleet, cutOff);
        const auto used = std::chrono::duration_cast<std::chrono::milliseconds>(longestUse(fleet, cutOff)).count();
        CHECK(used <= std::chrono::milliseconds(config::ConfigurationStalenessBound).count());
    }
}

TEST_CASE("confirmation: a host that stood still in an outage of the log uses the configuration only after a peer has "
          "answered it")
{
    GossipFleet fleet(18);
    loseLog(fleet);
    REQUIRE(fleet.standing(7) == ConfigValidity::LogDownForAll);
    GossipHost &host = *fleet.hosts[7];
    host.running = false;
    fleet.runFor(6s);
    host.membership.tick(fleet.now);
    CHECK(fleet.standing(7) == ConfigValidity::Stale);
    for (const auto &other : fleet.hosts) {
        const HostReport &report = other->membership.self();
        host.membership.learn(Heartbeat {hostIdOf(report.name), report.status}, fleet.now);
    }
    CHECK(fleet.standing(7) == ConfigValidity::Stale);
    host.running = true;
    fleet.runFor(1s);
    CHECK(fleet.standing(7) == ConfigValidity::LogDownForAll);
}

TEST_CASE("confirmation: hosts in touch with each other use the configuration during an outage of the log")
{
    for (const std::size_t hosts : {3, 12, 18, 24}) {
        CAPTURE(hosts);
        GossipFleet fleet(hosts);
        loseLog(fleet);
        CHECK(shareInForce(fleet) == 1.0);
    }
    GossipFleet large(114);
    loseLog(large);
    CHECK(shareInForce(large) >= 0.5);
}
