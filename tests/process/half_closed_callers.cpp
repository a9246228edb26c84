#include "host_process.h"
#include "raw_socket.h"
#include "service_cluster.h"

#include <doctest/doctest.h>

#include <string>

using namespace endivespan;
using namespace endivespan::harness;

namespace {

/// A caller that sends one request and may then close its sending direction.
class HalfClosedCaller
{
public:
    explicit HalfClosedCaller(const HttpCall &wanted)
        : socket(std::stoi(wanted.address.substr(wanted.address.find(':') + 1)))
    {
        REQUIRE(this->socket.isConnected());
        std::string bytes = wanted.method + " " + wanted.target + " HTTP/1.1\r\nHost: a\r\n";
        for (const auto &[name, value] : wanted.headers) {
            bytes.append(name).append(": ").append(value).append("\r\n");
        }
        this->socket.send(bytes + "Content-Length: " + std::to_string(wanted.body.size()) + "\r\n\r\n" + wanted.body);
    }

    void endSending() const
    {
        this->socket.endSending();
    }

    /// @returns all bytes until the host closes the connection in order; an empty text if it does not within WaitLimit.
    [[nodiscard]] std::string readAll()
    {
        const bool isWhole = this->socket.isClosed(WaitLimit) && !this->socket.isReset();
        return isWhole ? this->socket.readUntil("never") : "";
    }

private:
    tests::RawSocket socket;
};

bool has(const std::string &text, const std::string &part)
{
    return text.find(part) != std::string::npos;
}

int runningOrders(const ServiceCluster &cluster)
{
    int running = 0;
    for (const std::string server : {"verstas-1", "verstas-2", "verstas-3"}) {
        running += call(cluster.standins.address(server), "GET", "/load").parsed()["running"].get<int>();
    }
    return running;
}

/// Three hosts in front of two engines, with the first release note in force.
struct Fixture {
    Fixture()
        : standins({"--runners", "2", "--order-runners", "1", "--stores", "1", "--set", R"(engine={"decode_ms":20})"})
        , hosts(this->standins)
    {
        publish(this->standins, deploymentNote(this->standins));
        this->hosts.awaitReady(1);
        this->hosts.awaitLoadReports();
    }

    HttpCall promptCall(std::uint64_t tokens, bool stream)
    {
        const json body {{"model", "puhuja"}, {"prompt", "half"}, {"max_tokens", tokens}, {"stream", stream}};
        HttpCall wanted;
        wanted.address = this->hosts.at(0).address();
        wanted.method = "POST";
        wanted.target = "/v1/completions";
        wanted.headers = {{"Authorization", "Bearer " + keyOf(1)}};
        wanted.body = body.dump();
        return wanted;
    }

    void checkNothingRuns()
    {
        CHECK(eventually([this] { return this->hosts.at(0).status()["prompts_in_flight"] == 0; }));
        CHECK(eventually([this] { return this->standins.sum("running") == 0; }));
        this->hosts.checkInvariants();
    }

    Standins standins;
    HostGroup hosts;
};

} // namespace

TEST_CASE("a caller that ends its sending direction gets the whole of a streamed prompt")
{
    Fixture fixture;
    for (const bool atOnce : {true, false}) {
        CAPTURE(atOnce);
        HalfClosedCaller caller(fixture.promptCall(60, true));
        if (!atOnce) {
            REQUIRE(eventually([&] { return fixture.standins.sum("running") == 1; }));
        }
        caller.endSending();
        const std::string answer = caller.readAll();
        CHECK_MESSAGE(has(answer, "[DONE]"), answer);
        fixture.checkNothingRuns();
    }
}

TEST_CASE("a caller that ends its sending direction gets a short prompt's answer, and 504 for a long one")
{
    Fixture fixture;
    for (const bool isLong : {false, true}) {
        CAPTURE(isLong);
        HalfClosedCaller caller(fixture.promptCall(isLong ? 2000 : 2, false));
        caller.endSending();
        const std::string answer = caller.readAll();
        CHECK_MESSAGE(answer.starts_with(isLong ? "HTTP/1.1 504" : "HTTP/1.1 200"), answer);
        CHECK_FALSE(has(answer, "not-run"));
        fixture.checkNothingRuns();
    }
}

TEST_CASE("a streamed prompt ends at its engine after its caller has closed the connection")
{
    Fixture fixture;
    {
        const HalfClosedCaller caller(fixture.promptCall(4000, true));
        REQUIRE(eventually([&] { return fixture.standins.sum("running") == 1; }));
    }
    fixture.checkNothingRuns();
}

TEST_CASE("a caller that ends its sending direction gets the answer of an order that was sent")
{
    ServiceCluster cluster(1);
    cluster.controlServers({{"run_ms", 800}});
    const std::uint64_t before = cluster.runs();
    HalfClosedCaller caller(cluster.order(0, "half"));
    REQUIRE(eventually([&] { return runningOrders(cluster) == 1; }));
    caller.endSending();
    const std::string answer = caller.readAll();
    CHECK_MESSAGE(answer.starts_with("HTTP/1.1 200"), answer);
    CHECK(cluster.runs() == before + 1);
    CHECK_FALSE(cluster.ranTwice());
}

TEST_CASE("a caller that ends its sending direction at once gets the answer of its order")
{
    ServiceCluster cluster(1);
    const std::uint64_t before = cluster.runs();
    HalfClosedCaller caller(cluster.order(0, "at-once"));
    caller.endSending();
    const std::string answer = caller.readAll();
    CHECK_MESSAGE(answer.starts_with("HTTP/1.1 200"), answer);
    CHECK(cluster.runs() == before + 1);
}

TEST_CASE("an order whose caller ends its sending direction is refused as not run when it gets no claim")
{
    ServiceCluster cluster(1);
    REQUIRE(call(cluster.order(0, "before")).status == 200);
    const std::uint64_t before = cluster.runs();
    cluster.standins.control("log", {{"outage", "silent"}});
    HalfClosedCaller caller(cluster.order(0, "waits"));
    caller.endSending();
    const std::string answer = caller.readAll();
    CHECK_MESSAGE(answer.starts_with("HTTP/1.1 503"), answer);
    CHECK(has(answer, "not-run"));
    cluster.standins.control("log", {{"outage", "none"}});
    CHECK(cluster.callUntil(cluster.order(0, "waits"), 200).status == 200);
    CHECK(cluster.runs() == before + 1);
}

TEST_CASE("a caller that ends its sending direction gets a short repeatable call's answer, and 504 for a long one")
{
    ServiceCluster cluster(1);
    for (const bool isLong : {false, true}) {
        CAPTURE(isLong);
        cluster.controlServers({{"run_ms", isLong ? 5000 : 20}});
        HalfClosedCaller caller(cluster.serviceCall(0, "POST", "/quote", "{}"));
        caller.endSending();
        const std::string answer = caller.readAll();
        CHECK_MESSAGE(answer.starts_with(isLong ? "HTTP/1.1 504" : "HTTP/1.1 200"), answer);
        CHECK_FALSE(has(answer, "not-run"));
    }
}
