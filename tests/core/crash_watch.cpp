#include "gossip_fleet.h"

#include <endivespan/config.h>
#include <endivespan/crash_watch.h>

#include <doctest/doctest.h>

#include <algorithm>
#include <array>
#include <vector>

using namespace endivespan;
using namespace endivespan::testing;
using namespace std::chrono_literals;

namespace {

constexpr TimePoint Start {std::chrono::hours(1)};
const ServerIncarnation First {"puhuja-1", 1000};

Fingerprint request(std::size_t number)
{
    return fingerprintOf("puu", "/v1/completions", std::to_string(number));
}

std::vector<CrashFinding> unreachableAfter(CrashWatch &watch, Duration time)
{
    const TimePoint now = Start + time;
    for (const ServerIncarnation &life : watch.takeDue(now)) {
        watch.unreachable(life);
    }
    return watch.takeFindings(now);
}

/// @returns the number of hosts on which enough crashes are recorded to refuse the request.
std::size_t hostsThatRefuse(GossipFleet &fleet, const Fingerprint &poison)
{
    return static_cast<std::size_t>(std::count_if(fleet.hosts.begin(), fleet.hosts.end(), [&poison](const auto &host) {
        return host->suspicions.openCrashes(poison) >= config::ForwardCrashesUntilRefused;
    }));
}

} // namespace

TEST_CASE("crashes: an unreachable server makes all its lost requests suspect, and only once")
{
    CrashWatch watch;
    watch.recordLoss(First, request(1), LossKind::Broken, Start);
    watch.recordLoss(First, request(2), LossKind::Broken, Start + 10ms);
    CHECK(watch.unsettled(request(1), Start) == 1);
    CHECK(unreachableAfter(watch, config::CrashProbeDelay - 1ms).empty());
    const auto findings = unreachableAfter(watch, config::CrashProbeDelay + 10ms);
    REQUIRE(findings.size() == 1);
    CHECK(findings[0].running == std::vector {request(1), request(2)});
    CHECK_FALSE(findings[0].retracted);
    CHECK(watch.unsettled(request(1), Start) == 0);
    CHECK(unreachableAfter(watch, 5s).empty());
}

// Guards against requests that are refused as crashing because all sound servers fell silent for a second.
TEST_CASE(
    "crashes: silence of a server is no crash unless its address cannot be reached for a while or the list shows one")
{
    CrashWatch watch;
    watch.recordLoss(First, request(1), LossKind::Silent, Start);
    CHECK(watch.unsettled(request(1), Start) == 0);
    Duration time = config::CrashProbeDelay;
    for (std::uint32_t i = 1; i < config::CrashProbes; ++i, time += config::CrashProbePeriod) {
        CHECK(unreachableAfter(watch, time).empty());
    }
    const auto findings = unreachableAfter(watch, time);
    REQUIRE(findings.size() == 1);
    CHECK(findings[0].running == std::vector {request(1)});

    CrashWatch reached;
    reached.recordLoss(First, request(1), LossKind::Silent, Start);
    CHECK(unreachableAfter(reached, config::CrashProbeDelay).empty());
    reached.reachable(First);
    CHECK(unreachableAfter(reached, config::CrashProbeDelay + config::CrashProbePeriod).empty());
    CHECK(unreachableAfter(reached, config::CrashProbeDelay + 2 * config::CrashProbePeriod).empty());
    reached.onServerGone(First);
    CHECK(reached.takeFindings(Start + 3s).size() == 1);
}

TEST_CASE("crashes: an attempt that breaks off after a silence counts at the first failed connection")
{
    CrashWatch watch;
    watch.recordLoss(First, request(1), LossKind::Silent, Start);
    watch.recordLoss(First, request(1), LossKind::Broken, Start + 10ms);
    CHECK(watch.unsettled(request(1), Start + 10ms) == 1);
    CHECK(unreachableAfter(watch, config::CrashProbeDelay + 10ms).size() == 1);
}

TEST_CASE("crashes: a later answer from the server drops losses, unless its bytes may have been sent before the crash")
{
    CrashWatch watch;
    watch.recordLoss(First, request(1), LossKind::Broken, Start);
    watch.onAnswerBytes(First, Start + config::CrashLastBytes - 1ms);
    CHECK(watch.unsettled(request(1), Start) == 1);
    watch.onAnswerBytes(First, Start + config::CrashLastBytes);
    CHECK(watch.unsettled(request(1), Start) == 0);
    CHECK(unreachableAfter(watch, 1s).empty());
}

TEST_CASE("crashes: a later start in the list of servers counts as a crash, also seconds after the loss")
{
    CrashWatch watch;
    watch.recordLoss(First, request(1), LossKind::Broken, Start);
    CHECK(watch.takeDue(Start + 1s).size() == 1);
    CHECK(watch.takeFindings(Start + 8s).empty());
    watch.onServerGone(First);
    const auto findings = watch.takeFindings(Start + 8s);
    REQUIRE(findings.size() == 1);
    CHECK(findings[0].evidence == CrashEvidence::Listed);
    CHECK(findings[0].death == crashIdOf("puhuja-1", "1000"));
    CHECK(watch.watched().empty());
}

TEST_CASE("crashes: later heartbeats of an unreachable server withdraw the crash report")
{
    CrashWatch watch;
    SuspicionTable table;
    watch.recordLoss(First, request(1), LossKind::Broken, Start);
    watch.heartbeat(First, 7, Start);
    for (const CrashFinding &finding : unreachableAfter(watch, 1s)) {
        table.recordCrash(finding.death, finding.running, Start + 1s);
    }
    CHECK(table.openCrashes(request(1)) == 1);
    watch.heartbeat(First, 8, Start + 1s);
    CHECK(watch.takeFindings(Start + 1s).empty());
    watch.onAnswerBytes(First, Start + 3s);
    watch.heartbeat(First, 9, Start + config::ListLag);
    const auto findings = watch.takeFindings(Start + config::ListLag);
    REQUIRE(findings.size() == 1);
    CHECK(findings[0].retracted);
    table.retractCrash(findings[0].death, findings[0].running, Start + config::ListLag);
    CHECK(table.openCrashes(request(1)) == 0);
}

TEST_CASE("crashes: losses are bounded and expire")
{
    CrashWatch watch;
    for (std::size_t i = 0; i < 2 * config::CrashWatchServers; ++i) {
        for (std::size_t j = 0; j < 2; ++j) {
            watch.recordLoss({"s" + std::to_string(i), 1}, request(j), LossKind::Broken, Start);
        }
    }
    CHECK(watch.stats().watched == config::CrashWatchServers);
    for (std::size_t j = 0; j < 2 * config::CrashWatchRequests; ++j) {
        watch.recordLoss({"s1", 1}, request(j), LossKind::Broken, Start);
    }
    watch.onServerGone({"s1", 1});
    CHECK(watch.takeFindings(Start)[0].running.size() == config::CrashWatchRequests);
    CHECK(watch.takeFindings(Start + config::CrashWatchTime).empty());
    CHECK(watch.stats().watched == 0);
}

// Each of three hosts records one crash under the same request. No host refuses it until gossip has spread all three,
// along with the suspicions of many requests that happened to run beside it.
TEST_CASE("crashes: three crashes recorded by three hosts reach all hosts within the bound")
{
    constexpr Duration Bound = 3s;
    constexpr Duration Detection = config::CrashProbeDelay + config::ForwardConnectTimeout + config::ForwardTickPeriod;
    for (const std::size_t hosts : {12U, 139U, 295U}) {
        CAPTURE(hosts);
        GossipFleet fleet(hosts);
        for (const auto &to : fleet.hosts) {
            for (const auto &from : fleet.hosts) {
                to->membership.learn(from->membership.self(), fleet.now);
            }
        }
        gossipFor(fleet, 5s);
        const Fingerprint poison = request(0);
        for (std::size_t death = 0; death < 3; ++death) {
            std::vector<Fingerprint> running;
            for (std::size_t i = 1; i <= 8; ++i) {
                running.push_back(request(100 * death + i));
            }
            running.push_back(poison);
            fleet.hosts[4 * death]->suspicions.recordCrash(
                crashIdOf("s" + std::to_string(death), "1"), running, fleet.now);
        }
        gossipFor(fleet, Bound - Detection);
        CHECK(hostsThatRefuse(fleet, poison) == hosts);
        for (const auto &host : fleet.hosts) {
            CHECK(host->suspicions.openCrashes(request(1)) < config::ForwardCrashesUntilRefused);
        }
    }
}

TEST_CASE("crashes: a restarted host receives refused requests ahead of many other suspicions")
{
    GossipFleet fleet(12);
    gossipFor(fleet, 5s);
    const Fingerprint poison = request(0);
    for (std::size_t i = 1; i < 2000; ++i) {
        fleet.hosts[i % 12]->suspicions.recordCrash(crashIdOf("s", "1"), std::array {request(i)}, fleet.now);
    }
    for (const char *server : {"a", "b", "c"}) {
        fleet.hosts[1]->suspicions.recordCrash(crashIdOf(server, "1"), std::array {poison}, fleet.now);
    }
    gossipFor(fleet, 20s);
    REQUIRE(hostsThatRefuse(fleet, poison) == 12);
    fleet.add(3, 2);
    gossipFor(fleet, 3s);
    CHECK(hostsThatRefuse(fleet, poison) == 12);
}

TEST_CASE("crashes: many suspects do not evict a refused request")
{
    SuspicionTable table;
    for (const char *server : {"a", "b", "c"}) {
        table.recordCrash(crashIdOf(server, "1"), std::array {request(0)}, Start);
    }
    for (std::size_t i = 1; i <= config::SuspectTableSize + 10; ++i) {
        table.recordCrash(crashIdOf("d", "1"), std::array {request(i)}, Start);
    }
    CHECK(table.openCrashes(request(0)) == 3);
    CHECK(table.stats().entries == config::SuspectTableSize);
    CHECK(table.refusedAfter(0, 10).size() == 1);
}
