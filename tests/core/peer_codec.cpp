#include <endivespan/lease_codec.h>
#include <endivespan/peer_message.h>

#include <doctest/doctest.h>

#include <rapidcheck.h>
#include <string>

using namespace endivespan;
using namespace std::chrono_literals;

namespace {

template<typename T>
T roundTrip(const T &message)
{
    const auto frame = decodePeerFrame(encodePeerFrame({77, true, message}));
    REQUIRE(frame);
    CHECK(frame.value().id == 77);
    CHECK(frame.value().answer);
    return std::get<T>(frame.value().message);
}

template<typename T>
void checkRoundTrip(const T &message)
{
    CHECK(roundTrip(message) == message);
}

} // namespace

TEST_CASE("peer codec: every peer message decodes to what was encoded")
{
    const Fingerprint fingerprint = fingerprintOf("puu", "/v1/completions", "x");
    checkRoundTrip(PeerHello {1, "host-1", 5});
    checkRoundTrip(CreditAsk {"puhuja-1", 3, 2});
    checkRoundTrip(CreditReply {"puhuja-1", 3, 9, 4, 2, "inc", 12});
    checkRoundTrip(CreditReply {"puhuja-1", 3, 9, 4, 2, {}, 0});
    checkRoundTrip(CreditBack {"puhuja-1", 9, 4, CreditOutcome::Failed});
    checkRoundTrip(SuspectAsk {3, fingerprint, "puhuja-1"});
    checkRoundTrip(SuspectReply {3, true, 9, 4});
    checkRoundTrip(SuspectBack {9, 4});
    checkRoundTrip(ConfigAsk {6});
    checkRoundTrip(ConfigReply {6, std::string("a\0b", 3)});
    checkRoundTrip(PeerAck {});

    GossipMessage gossip;
    const HostStatus status {{5, 6}, HostState::Leaving, true, 7};
    gossip.reports.push_back({"host-1", "127.0.0.1:1", "hame-a", "hame", status});
    gossip.heartbeats.push_back({hostIdOf("host-1"), status});
    gossip.wanted = {hostIdOf("host-2")};
    gossip.servers.push_back({"puhuja-1", "inc", {9, 2}, 3, 8, 40ms, 5, 4});
    gossip.suspicions.push_back({fingerprint, {1, ~0ULL}, {1}, 3s});
    gossip.config = ConfigStatement {7, ~0ULL, 1200ms, true, 18};
    const GossipMessage read = roundTrip(gossip);
    CHECK(read.reports == gossip.reports);
    CHECK(read.heartbeats == gossip.heartbeats);
    CHECK(read.wanted == gossip.wanted);
    CHECK(read.servers == gossip.servers);
    CHECK(read.config == gossip.config);
    REQUIRE(read.suspicions.size() == 1);
    CHECK(read.suspicions[0].deaths == gossip.suspicions[0].deaths);
    CHECK(read.suspicions[0].age == 3s);

    const std::size_t bytes = encodePeerFrame({77, false, gossip}).size();
    CHECK(bytes <= Gossip::wireSize(gossip));
}

TEST_CASE("lease codec: lease records decode to what was encoded")
{
    const LeaseRecord record {LeaseAction::Renew, {"host-1", 5}, 8, 9s, {{"server/a", 4}, {"suspects", 6}}};
    CHECK(decodeLeaseRecord(encodeLeaseRecord(record)) == record);
}

TEST_CASE("peer codec: arbitrary and truncated bytes are decoded or rejected safely")
{
    CHECK(rc::check([](const std::string &bytes, std::size_t cut) {
        const std::string whole = encodePeerFrame({1, false, SuspectAsk {3, {}, "puhuja-1"}});
        RC_ASSERT(!decodePeerFrame(whole.substr(0, cut % whole.size())));
        if (const auto frame = decodePeerFrame(bytes)) {
            RC_ASSERT(!encodePeerFrame(frame.value()).empty());
        }
        decodeLeaseRecord(bytes);
    }));
}
