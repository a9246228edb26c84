#include "service_cluster.h"

#include <doctest/doctest.h>

#include <csignal>

using namespace endivespan;
using namespace endivespan::harness;

namespace {

bool isReplay(const CallResult &result)
{
    return result.headers.contains("idempotent-replay");
}

} // namespace

TEST_CASE("an order sent through two hosts at the same time runs once")
{
    ServiceCluster cluster(2);
    cluster.controlServers({{"run_ms", 100}});
    const std::uint64_t before = cluster.runs();
    constexpr std::size_t Pairs = 10;
    CallGroup group;
    for (std::size_t i = 0; i < Pairs; ++i) {
        const std::string key = "order-" + std::to_string(i);
        group.start(cluster.order(0, key));
        group.start(cluster.order(1, key));
    }
    const auto &results = group.finish();
    for (std::size_t i = 0; i < Pairs; ++i) {
        const CallResult &first = results[2 * i];
        const CallResult &second = results[2 * i + 1];
        CHECK_MESSAGE((first.status == 200 || errorKind(first) == "in_progress"), first.body);
        CHECK_MESSAGE((second.status == 200 || errorKind(second) == "in_progress"), second.body);
        CHECK((first.status == 200 || second.status == 200));
        if (first.status == 200 && second.status == 200) {
            CHECK(first.body == second.body);
        }
    }
    CHECK(cluster.runs() == before + Pairs);
    CHECK_FALSE(cluster.ranTwice());

    // Repeats get the complete recorded answer at every host.
    const std::string answer = results[0].status == 200 ? results[0].body : results[1].body;
    for (std::size_t host = 0; host < 2; ++host) {
        const CallResult again = cluster.callUntil(cluster.order(host, "order-0"), 200);
        CHECK(isReplay(again));
        CHECK(again.body == answer);
        CHECK(runHeader(again) == "ran");
    }
    const CallResult reused = call(cluster.order(0, "order-0", R"({"other":1})"));
    CHECK(errorKind(reused) == "key_reused");
    CHECK(runHeader(reused) == "not-run");
    CHECK(cluster.runs() == before + Pairs);
}

TEST_CASE("a call without an idempotency key is assigned one, with which its answer is replayed")
{
    ServiceCluster cluster(2);
    const CallResult first = call(cluster.serviceCall(0, "POST", "/order", "{}"));
    REQUIRE(first.status == 200);
    const auto key = first.headers.find("idempotency-key");
    REQUIRE(key != first.headers.end());
    const CallResult again = cluster.callUntil(cluster.order(1, key->second), 200);
    CHECK(isReplay(again));
    CHECK(again.body == first.body);
    CHECK_FALSE(cluster.ranTwice());
}

TEST_CASE("an order runs once although answers of the log are lost")
{
    ServiceCluster cluster(1);
    const std::uint64_t before = cluster.runs();
    for (int i = 0; i < 5; ++i) {
        cluster.standins.control("log", {{"lose_answers", 1}});
        const CallResult result = call(cluster.order(0, "lossy-" + std::to_string(i)));
        CHECK_MESSAGE(result.status == 200, result.body);
    }
    CHECK(cluster.runs() == before + 5);
    CHECK_FALSE(cluster.ranTwice());
}

TEST_CASE("an order is refused as not run while the log is down, and runs afterwards")
{
    for (const std::string kind : {"refuse", "close", "silent"}) {
        CAPTURE(kind);
        ServiceCluster cluster(2);
        REQUIRE(call(cluster.order(0, "before")).status == 200);
        const std::uint64_t before = cluster.runs();
        cluster.standins.control("log", {{"outage", kind}});
        for (std::size_t host = 0; host < 2; ++host) {
            const CallResult refused = call(cluster.order(host, "during"));
            CHECK(errorKind(refused) == "log_unavailable");
            CHECK(runHeader(refused) == "not-run");
            CHECK(refused.headers.contains("retry-after"));
        }
        CHECK(call(cluster.serviceCall(0, "GET", "/status", "")).status == 200);
        const CallResult recorded = call(cluster.order(0, "before"));
        CHECK(isReplay(recorded));
        cluster.standins.control("log", {{"outage", "none"}});
        CHECK(cluster.callUntil(cluster.order(1, "during"), 200).status == 200);
        CHECK_FALSE(cluster.ranTwice());
        CHECK(cluster.runs() == before + 2);
    }
}

TEST_CASE("the outcome is unknown after the host that ran the order was killed")
{
    ServiceCluster cluster(2);
    const std::uint64_t before = cluster.runs();
    cluster.controlServers({{"run_ms", 1500}});
    HttpCall order = cluster.order(0, "killed");
    order.headers["X-Endivespan-Deadline-Ms"] = "3000";
    CallGroup group;
    group.start(order);
    group.runFor(std::chrono::milliseconds(700));
    cluster.hosts[0]->signal(SIGKILL);
    group.finish();
    HttpCall again = cluster.order(1, "killed");
    const CallResult early = call(again);
    CHECK(errorKind(early) == "in_progress");
    CHECK(runHeader(early) == "unknown");
    const CallResult late = cluster.callUntil(again, 502);
    CHECK(errorKind(late) == "outcome_unknown");
    CHECK(runHeader(late) == "unknown");
    CHECK(cluster.runs() == before + 1);
    CHECK_FALSE(cluster.ranTwice());
}

TEST_CASE("an order is not sent again after its server crashed or stopped answering")
{
    ServiceCluster cluster(2);
    const std::uint64_t before = cluster.runs();
    cluster.controlServers({{"crash_after", 1}});
    const CallResult crashed = call(cluster.order(0, "crashed"));
    CHECK(errorKind(crashed) == "outcome_unknown");
    CHECK(errorKind(cluster.callUntil(cluster.order(1, "crashed"), 502)) == "outcome_unknown");
    CHECK(cluster.runs() == before + 1);

    cluster.controlServers({{"crash_after", 0}, {"silent_next", 1}});
    HttpCall order = cluster.order(0, "silent");
    order.headers["X-Endivespan-Deadline-Ms"] = "1000";
    const CallResult silent = cluster.callUntil(order, 502);
    CHECK(errorKind(silent) == "outcome_unknown");
    CHECK_FALSE(cluster.ranTwice());
}

TEST_CASE("an order that its server refused before running it can be sent again")
{
    ServiceCluster cluster(1);
    const std::uint64_t before = cluster.runs();
    cluster.controlServers({{"refuse_next", 1}});
    const CallResult refused = call(cluster.order(0, "again"));
    CHECK(errorKind(refused) == "overloaded");
    CHECK(runHeader(refused) == "not-run");
    cluster.controlServers({{"refuse_next", 0}});
    CHECK(cluster.callUntil(cluster.order(0, "again"), 200).status == 200);
    CHECK(cluster.runs() == before + 1);
}

TEST_CASE("a repeatable call is sent to another server when one fails")
{
    ServiceCluster cluster(1);
    cluster.standins.control("verstas-1", {{"crash_before", 1}});
    cluster.standins.control("verstas-2", {{"refuse_next", 1}});
    for (int i = 0; i < 6; ++i) {
        CHECK(call(cluster.serviceCall(0, "POST", "/quote", "{}")).status == 200);
    }
}

TEST_CASE("an order stays claimed after the log has trimmed the records of its claim")
{
    ServiceCluster cluster(2, "{claim_snapshot: 300ms}");
    // The second host is paused until the log has trimmed the records of the claim.
    cluster.hosts[1]->signal(SIGSTOP);
    cluster.standins.control("log", {{"retain_ms", 1500}});
    const CallResult first = call(cluster.order(0, "kept"));
    REQUIRE(first.status == 200);
    const auto before = cluster.runs();
    CHECK(eventually([&cluster] {
        const json streams = cluster.standins.counts("log").at("streams");
        for (const auto &[name, stream] : streams.items()) {
            // Claim and outcome are the first two records of their stream.
            if (name.starts_with("claims-") && stream.at("oldest") > 2) {
                return true;
            }
        }
        return false;
    }));
    cluster.hosts[1]->signal(SIGCONT);
    for (std::size_t host = 0; host < 2; ++host) {
        const CallResult again = cluster.callUntil(cluster.order(host, "kept"), 200);
        CHECK(isReplay(again));
        CHECK(again.body == first.body);
    }
    CHECK(cluster.runs() == before);
    CHECK_FALSE(cluster.ranTwice());
}

TEST_CASE("a stopping host finishes an order and records its answer")
{
    ServiceCluster cluster(2);
    cluster.controlServers({{"run_ms", 800}});
    CallGroup group;
    group.start(cluster.order(0, "stopping"));
    group.runFor(std::chrono::milliseconds(400));
    cluster.hosts[0]->signal(SIGTERM);
    const CallResult first = group.finish()[0];
    CHECK(first.status == 200);
    CHECK(cluster.hosts[0]->waitExit() == 0);
    const CallResult again = cluster.callUntil(cluster.order(1, "stopping"), 200);
    CHECK(isReplay(again));
    CHECK(again.body == first.body);
    CHECK_FALSE(cluster.ranTwice());
}

TEST_CASE("a repeatable call that one server ran is not called not run when the others refuse it")
{
    ServiceCluster cluster(1);
    const std::uint64_t before = cluster.runs();
    cluster.standins.control("verstas-1", {{"crash_after", 1}});
    for (const std::string server : {"verstas-2", "verstas-3"}) {
        cluster.standins.control(server, {{"refuse_next", 1000}});
    }
    std::size_t calls = 0;
    CallResult result;
    REQUIRE(eventually([&] {
        result = call(cluster.serviceCall(0, "POST", "/quote", "{}"));
        ++calls;
        return cluster.runs() > before;
    }));
    CAPTURE(calls);
    CHECK_MESSAGE(errorKind(result) == "backend_failed", result.body);
    CHECK(runHeader(result) == "unknown");
    CHECK(result.status == 502);
}
