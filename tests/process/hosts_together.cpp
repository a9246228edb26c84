#include "host_process.h"

#include <doctest/doctest.h>

#include <csignal>
#include <thread>

using namespace endivespan;
using namespace endivespan::harness;
using namespace std::chrono_literals;

namespace {

std::vector<std::string> smallDeployment()
{
    const std::string engine = R"(engine={"decode_ms":2,"prefill_tokens_per_s":1000000,"load_lag_ms":20})";
    return {"--runners", "4", "--order-runners", "1", "--stores", "1", "--set", engine};
}

bool hasLogged(HostProcess &host, const std::string &text)
{
    return host.process().errorText().find(text) != std::string::npos;
}

} // namespace

TEST_CASE("a host that cannot reach the log receives the configuration from a peer")
{
    Standins standins(smallDeployment());
    HostGroup hosts(standins);
    publish(standins, deploymentNote(standins));
    hosts.awaitReady(1);
    const ReservedPort noLog;
    HostOptions options;
    options.name = "entry-cut-off";
    options.domain = "hame-a";
    options.peerAddress = "127.0.0.1:0";
    options.peers = {hosts.peerAddress(0), hosts.peerAddress(1)};
    options.logAddress = noLog.address();
    HostProcess cutOff(standins, options);
    cutOff.awaitReady(1);
    CHECK(cutOff.status()["digest"] == hosts.at(0).status()["digest"]);
    CHECK(cutOff.status()["stale"] == false);
    CHECK(cutOff.status()["invariant_violations"] == 0);
    hosts.checkInvariants();
}

TEST_CASE("a lease holder that is paused beyond its lease gives up ownership when it wakes")
{
    Standins standins(smallDeployment());
    HostGroup hosts(standins);
    publish(standins, deploymentNote(standins));
    hosts.awaitReady(1);
    std::size_t holder = 0;
    REQUIRE(eventually([&] {
        for (std::size_t i = 0; i < 3; ++i) {
            if (hasLogged(hosts.at(i), "owner of ")) {
                holder = i;
                return true;
            }
        }
        return false;
    }));
    hosts.at(holder).process().signal(SIGSTOP);
    std::this_thread::sleep_for(11s);
    hosts.at(holder).process().signal(SIGCONT);
    CHECK(eventually([&] { return hasLogged(hosts.at(holder), "no longer owner of "); }));
    hosts.checkInvariants();
}
