#include "reading_host.h"

#include <endivespan/config.h>
#include <endivespan/old_parts.h>
#include <endivespan/shared_store.h>
#include <endivespan/weight_history.h>

#include <doctest/doctest.h>

#include <algorithm>
#include <map>
#include <rapidcheck.h>
#include <string>
#include <vector>

using namespace endivespan;
using namespace endivespan::tests;
using namespace std::chrono_literals;

namespace {

constexpr TimePoint Start {std::chrono::hours(1)};
constexpr std::chrono::milliseconds Time = 5s; ///< For which older weights are used.
constexpr int PartCount = 40;

std::string partId(int number)
{
    return "part" + std::to_string(number);
}

/// A host that may be cut off from the log, or start again.
struct PartsHost : ReadingHost {
    OldParts oldParts {Time};

    /// @returns whether it lets an engine with @p version fetch a part.
    [[nodiscard]] bool fetches(std::uint64_t version, const std::string &part, TimePoint now) const
    {
        if (!this->readAt || now - *this->readAt > config::TransferFreshness) {
            return false;
        }
        const auto replacedAt = this->history.replacedAt("m", version);
        return !replacedAt || this->oldParts.mayUse(*replacedAt, part, now);
    }
};

} // namespace

TEST_CASE("old parts: parts are given up one after the other after a naming, and freed when all fetches have ended")
{
    OldParts oldParts(Time);
    oldParts.observe({{"m", 2}}, Start);
    const auto used = [&oldParts](Duration since) {
        int count = 0;
        for (int i = 0; i < PartCount; ++i) {
            count += oldParts.mayUse(Start, partId(i), Start + since) ? 1 : 0;
        }
        return count;
    };
    CHECK(used(0ms) == PartCount);
    CHECK(used(Time / 2) == PartCount);
    CHECK(used(3 * Time / 4) > PartCount / 4);
    CHECK(used(3 * Time / 4) < 3 * PartCount / 4);
    CHECK(used(Time) == 0);
    for (int i = 0; i < PartCount; ++i) {
        TimePoint last = Start + config::TransferFreshness;
        for (TimePoint now = last; oldParts.mayUse(Start, partId(i), now); now += 1ms) {
            last = now;
        }
        CHECK_FALSE(oldParts.mayFree("m", 1, partId(i), last + config::StoreViewTime));
        CHECK(oldParts.mayFree("m", 1, partId(i), last + config::FetchEndTime + 1ms));
        CHECK_FALSE(oldParts.mayFree("m", 2, partId(i), Start + 60s));
        CHECK_FALSE(oldParts.mayFree("other", 1, partId(i), Start + 60s));
    }
}

TEST_CASE("old parts: a further naming neither brings parts back nor frees those of the weights between at once")
{
    OldParts oldParts(Time);
    oldParts.observe({{"m", 2}}, Start);
    oldParts.observe({{"m", 3}}, Start + 20s);
    CHECK_FALSE(oldParts.mayUse(Start, "p", Start + 20s));
    CHECK(oldParts.mayFree("m", 1, "p", Start + 20s));
    CHECK_FALSE(oldParts.mayFree("m", 2, "p", Start + 20s));
    CHECK(oldParts.mayFree("m", 2, "p", Start + 40s));
}

// A host that has just started cannot tell how long ago the newest weights were named.
TEST_CASE("old parts: a host that does not know when weights were named neither uses their predecessors' parts nor "
          "frees them")
{
    OldParts oldParts(Time);
    CHECK_FALSE(oldParts.mayFree("m", 1, "p", Start));
    oldParts.observe({{"m", 2}}, Start);
    CHECK_FALSE(oldParts.mayUse(TimePoint::min(), "p", Start));
    CHECK_FALSE(oldParts.mayFree("m", 1, "p", Start + config::TransferFreshness + config::StoreViewTime));
    CHECK(oldParts.mayFree("m", 1, "p", Start + Time + config::FetchEndTime));
}

TEST_CASE("old parts: stores are searched often for as long as parts are given up")
{
    OldParts oldParts(Time);
    CHECK_FALSE(oldParts.isUnderWay(Start));
    oldParts.observe({{"m", 2}}, Start);
    CHECK(oldParts.isUnderWay(Start + Time + config::FetchEndTime));
    CHECK_FALSE(oldParts.isUnderWay(Start + 60s));
}

// Guards against hosts that start, stand still or are cut off, and then use parts that others free.
TEST_CASE("old parts: whichever namings hosts have read, none frees a part that another host's engine may be fetching")
{
    std::size_t fetchesOfOld = 0;
    CHECK(rc::check([&fetchesOfOld] {
        std::vector<TimePoint> namings;
        for (int i = *rc::gen::inRange(2, 5); i > 0; --i) {
            namings.push_back(Start + upTo(20s));
        }
        std::sort(namings.begin(), namings.end());
        std::vector<PartsHost> hosts(3);
        std::map<std::pair<std::uint64_t, std::string>, TimePoint> fetchedUntil; ///< By version and part.
        TimePoint now = Start;
        for (int step = 0; step < 80; ++step) {
            now += upTo(600ms);
            PartsHost &host = hosts[*rc::gen::inRange<std::size_t>(0, hosts.size())];
            const int action = *rc::gen::inRange(0, 16);
            if (action == 0) {
                host = PartsHost(); // Starts again.
            } else if (action < 4) {
                const PartsHost &peer = hosts[*rc::gen::inRange<std::size_t>(0, hosts.size())];
                const TimePoint askedAt = now;
                now += upTo(300ms);
                host.history.adoptNamings(peer.history.namings(now), askedAt);
            } else if (action < 10) {
                host.read(namings, now);
            }
            host.oldParts.observe(host.history.newest(), now);
            for (std::uint64_t version = 1; version < namings.size(); ++version) {
                for (int i = 0; i < PartCount; ++i) {
                    const std::pair key(version, partId(i));
                    if (host.fetches(version, key.second, now)) {
                        fetchedUntil[key] = std::max(fetchedUntil[key], now + config::StoreViewTime);
                        fetchesOfOld += host.history.replacedAt("m", version) ? 1 : 0;
                    }
                    if (host.oldParts.mayFree("m", version, key.second, now)) {
                        RC_ASSERT(fetchedUntil[key] <= now);
                    }
                }
            }
        }
    }));
    CHECK(fetchesOfOld > 0);
}
