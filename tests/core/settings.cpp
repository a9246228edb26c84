#include <endivespan/settings.h>

#include <doctest/doctest.h>

using namespace endivespan;

namespace {

constexpr std::string_view Whole = R"(host: entry-1
region: fi
failure_domain: hame-a
listen: {callers: "127.0.0.1:0", peers: 127.0.0.1:8081}
log: {address: 127.0.0.1:9000}
host_list: {address: 127.0.0.1:9001}
weight_store: {address: 127.0.0.1:9002}
peers: [127.0.0.1:8082, 127.0.0.1:8083]
policy:
  routing: least_loaded
  keeping: lru
limits:
  requests_in_flight: 12
  max_body: 2MiB
  default_deadline: 4s
  claim_snapshot: 90s
)";

} // namespace

TEST_CASE("whole settings are read")
{
    const auto settings = parseSettings(Whole, "host.yaml");
    REQUIRE(settings);
    CHECK(settings.value().host == "entry-1");
    CHECK(settings.value().failureDomain == "hame-a");
    CHECK(settings.value().listen.callers == "127.0.0.1:0");
    CHECK(settings.value().logAddress == "127.0.0.1:9000");
    CHECK(settings.value().peers.size() == 2);
    CHECK(settings.value().routing == RoutingPolicy::LeastLoaded);
    CHECK(settings.value().keeping == KeepingPolicy::Lru);
    CHECK(settings.value().limits.requestsInFlight == 12);
    CHECK(settings.value().limits.claimSnapshotPeriod == std::chrono::seconds(90));
    CHECK(settings.value().limits.maxBodyBytes == 2 * 1024 * 1024);
    CHECK(settings.value().limits.defaultDeadline == std::chrono::seconds(4));
}

TEST_CASE("all problems of one file are reported together")
{
    const auto settings = parseSettings("host: entry 1\nhost: x\nlog: 5\n", "host.yaml");
    REQUIRE(!settings);
    CHECK(problemText(settings.error().at(5)).starts_with("host.yaml:1:7: 'host' in the settings is 'entry 1'"));
    CHECK(settings.error().size() == 8);
}
