#include <endivespan/config.h>
#include <endivespan/suspect_archive.h>

#include <doctest/doctest.h>

#include <string>
#include <vector>

using namespace endivespan;
using namespace std::chrono_literals;

namespace {

Fingerprint numbered(std::size_t number)
{
    return fingerprintOf("org", "/path", std::to_string(number));
}

/// Records a crash in the table and in the archive.
void crash(SuspicionTable &table, SuspectArchive &archive, CrashId death, const Fingerprint &running, TimePoint at)
{
    table.recordCrash(death, std::vector {running}, at);
    archive.watch(running, config::CrashesUntilArchived);
}

} // namespace

TEST_CASE("suspect archive: a fingerprint is read back from its key, and other keys are rejected")
{
    const Fingerprint fingerprint = numbered(1);
    const std::string key = fingerprintKey(fingerprint);
    CHECK(parseFingerprintKey(key) == fingerprint);
    CHECK_FALSE(parseFingerprintKey(key.substr(1)));
    CHECK_FALSE(parseFingerprintKey("g" + key.substr(1)));
    CHECK_FALSE(parseFingerprintKey("-1" + key.substr(2)));
}

// Guards against a write for each request that was running when a server crashed.
TEST_CASE("suspect archive: a suspicion is due from the second crash on, once for each change, and last for deletion")
{
    SuspicionTable table;
    SuspectArchive archive;
    const TimePoint now = TimePoint {} + 1h;
    for (std::size_t i = 0; i < 300; ++i) {
        crash(table, archive, 1, numbered(i), now);
    }
    CHECK_FALSE(archive.due(table, now));
    crash(table, archive, 2, numbered(7), now);
    REQUIRE(archive.due(table, now) == numbered(7));
    archive.stored(numbered(7), 2);
    CHECK_FALSE(archive.due(table, now));
    crash(table, archive, 3, numbered(7), now);
    crash(table, archive, 2, numbered(8), now);
    // The request with most crashes comes first.
    REQUIRE(archive.due(table, now) == numbered(7));
    archive.stored(numbered(7), 3);
    REQUIRE(archive.due(table, now) == numbered(8));
    archive.stored(numbered(8), 2);
    CHECK_FALSE(archive.due(table, now));
    table.clear(numbered(7), now + 1s);
    REQUIRE(archive.due(table, now + 1s) == numbered(7));
    archive.stored(numbered(7), 0);
    CHECK_FALSE(archive.due(table, now + 1s));
}

TEST_CASE("suspect archive: more suspicions than fit do not displace those that were written")
{
    SuspicionTable table;
    SuspectArchive archive;
    const TimePoint now = TimePoint {} + 1h;
    crash(table, archive, 1, numbered(0), now);
    crash(table, archive, 2, numbered(0), now);
    archive.stored(numbered(0), 2);
    for (std::size_t i = 1; i < 4 * config::SuspectsArchived; ++i) {
        crash(table, archive, 3, numbered(i), now);
    }
    crash(table, archive, 3, numbered(0), now);
    CHECK(archive.due(table, now) == numbered(0));
}
