#include <endivespan/confirmation.h>

#include <doctest/doctest.h>

using namespace endivespan;
using namespace std::chrono_literals;

namespace {

constexpr TimePoint at(std::chrono::milliseconds time)
{
    return TimePoint(time);
}

PeerConfiguration peer(std::uint64_t covers, std::optional<Duration> age)
{
    return {covers, age};
}

} // namespace

TEST_CASE("a host that hears neither log nor peer is stale after the bound")
{
    Confirmation confirmation(4s);
    CHECK(confirmation.isStale(0, at(0s)));
    confirmation.confirmedByLog(at(1s));
    CHECK(!confirmation.isStale(0, at(5s)));
    CHECK(confirmation.isStale(0, at(5001ms)));
}

TEST_CASE("a peer's word counts from when the log gave it, and only for the offset it covers")
{
    Confirmation confirmation(4s);
    confirmation.heardPeer("b", peer(7, 500ms), 7, at(10s));
    CHECK(confirmation.confirmedAt() == at(9500ms));
    confirmation.heardPeer("c", peer(8, 0s), 7, at(11s));
    CHECK(confirmation.confirmedAt() == at(9500ms));
    confirmation.moved(8);
    CHECK(confirmation.confirmedAt() == at(11s));
}

TEST_CASE("hosts that are cut off together do not confirm each other for ever")
{
    Confirmation confirmation(4s);
    confirmation.setExpectedHosts(12);
    confirmation.confirmedByLog(at(0s));
    for (auto now = 1s; now < 10s; ++now) {
        // Each peer tells the age of what the log said, not of what others repeated.
        confirmation.heardPeer("b", peer(3, now), 3, at(now));
        confirmation.heardPeer("c", peer(3, now), 3, at(now));
    }
    CHECK(confirmation.confirmedAt() == at(0s));
    CHECK(confirmation.isStale(3, at(10s)));
}

TEST_CASE("with the log down for all, the last configuration stays in force")
{
    Confirmation confirmation(4s);
    confirmation.setExpectedHosts(3);
    confirmation.confirmedByLog(at(0s));
    confirmation.heardPeer("b", peer(3, 10s), 3, at(10s));
    CHECK(confirmation.isLogDownForAll(3, at(10s)));
    CHECK(!confirmation.isStale(3, at(10s)));
    // A peer that knows more shows that there may be a newer configuration.
    confirmation.heardPeer("c", peer(4, 10s), 3, at(11s));
    CHECK(confirmation.isStale(3, at(11s)));
    CHECK(!confirmation.isStale(4, at(11s)));
    // A peer that reaches the log shows that it is not down.
    confirmation.heardPeer("c", peer(4, 1s), 3, at(12s));
    CHECK(confirmation.isStale(3, at(12s)));
    // Without a word of others nothing is known.
    CHECK(confirmation.isStale(4, at(20s)));
}
