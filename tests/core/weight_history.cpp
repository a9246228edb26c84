#include "reading_host.h"

#include <endivespan/weight_history.h>

#include <doctest/doctest.h>

#include <algorithm>
#include <rapidcheck.h>
#include <vector>

using namespace endivespan;
using namespace endivespan::tests;
using namespace std::chrono_literals;

namespace {

constexpr TimePoint Start {1000s};

} // namespace

TEST_CASE("weights: a version of unknown time counts as named long ago until a peer states its age")
{
    WeightHistory peer;
    peer.recordVersion("m", 1, std::nullopt);
    peer.recordVersion("m", 2, Start);
    WeightHistory host;
    host.recordVersion("m", 2, std::nullopt);
    CHECK(host.lacksTimes());
    CHECK(host.oldestUsable("m", 5s, TimePoint {}) == 2);
    CHECK(host.replacedAt("m", 1) == TimePoint::min());
    // The peer writes its answer 3 s after it was asked, so that it states an age of 4 s.
    CHECK(host.adoptNamings(peer.namings(Start + 4s), Start + 1s).size() == 1);
    CHECK(host.replacedAt("m", 1) == Start - 3s);
    CHECK(host.oldestUsable("m", 5s, Start + 2s) == 1);
    CHECK(host.oldestUsable("m", 5s, Start + 2001ms) == 2);
}

TEST_CASE("weights: a peer that does not know when a version was named states no age")
{
    WeightHistory peer;
    peer.recordVersion("m", 2, std::nullopt);
    WeightHistory host = peer;
    CHECK(peer.namings(Start) == std::vector<WeightNaming> {{"m", 2, std::nullopt}});
    CHECK(host.adoptNamings(peer.namings(Start), Start).empty());
    CHECK(host.lacksTimes());
    CHECK(host.oldestUsable("m", 5s, Start) == 2);
}

TEST_CASE("weights: a known time stays, and nothing newer than what was read is taken over")
{
    WeightHistory host;
    host.recordVersion("m", 2, Start);
    CHECK(host.adoptNamings({{"m", 2, 1s}, {"m", 1, std::nullopt}, {"other", 1, 1s}}, Start + 9s).empty());
    CHECK(host.namings(Start) == std::vector<WeightNaming> {{"m", 2, 0s}});
    host.recordVersion("m", 3, std::nullopt);
    CHECK(host.adoptNamings({{"m", 4, 1s}}, Start + 9s).empty());
    CHECK(host.newest("m") == 3);
}

TEST_CASE("weights: a version replaced long ago stays unusable when the age of the newest one is learned")
{
    WeightHistory peer;
    peer.recordVersion("m", 1, std::nullopt);
    peer.recordVersion("m", 2, Start - 60s);
    peer.recordVersion("m", 3, Start);
    WeightHistory host;
    host.recordVersion("m", 3, std::nullopt);
    host.adoptNamings(peer.namings(Start + 1s), Start + 1s);
    CHECK(host.oldestUsable("m", 5s, Start + 1s) == 2);
}

TEST_CASE("weights: whatever hosts learn from each other, none uses a version past the bound")
{
    CHECK(rc::check([] {
        constexpr Duration Bound = 5s;
        std::vector<TimePoint> namings;
        for (int i = *rc::gen::inRange(1, 5); i > 0; --i) {
            namings.push_back(Start + upTo(20s));
        }
        std::sort(namings.begin(), namings.end());
        std::vector<ReadingHost> hosts(3);
        TimePoint now = Start;
        for (int step = 0; step < 30; ++step) {
            now += upTo(1500ms);
            ReadingHost &host = hosts[*rc::gen::inRange<std::size_t>(0, hosts.size())];
            if (*rc::gen::arbitrary<bool>()) {
                host.read(namings, now);
            } else {
                // Hosts stand still for any time between question, answer and its use.
                const ReadingHost &peer = hosts[*rc::gen::inRange<std::size_t>(0, hosts.size())];
                const TimePoint askedAt = now;
                now += upTo(1500ms);
                const auto statement = peer.history.namings(now);
                now += upTo(1500ms);
                host.history.adoptNamings(statement, askedAt);
            }
            if (*rc::gen::inRange(0, 12) == 0) {
                host = {}; // Starts again.
            }
            for (const ReadingHost &each : hosts) {
                for (std::size_t i = 0; i < namings.size(); ++i) {
                    // Of a host that has read nothing since, the age of its configuration tells that it is stale.
                    const bool isKnown = each.readAt && *each.readAt >= namings[i];
                    const bool isOver = now - namings[i] > Bound;
                    RC_ASSERT(!isKnown || !isOver || each.history.oldestUsable("m", Bound, now) > i);
                }
            }
        }
    }));
}
