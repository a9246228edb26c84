#include <endivespan/config_codec.h>
#include <endivespan/config_fold.h>
#include <endivespan/invariant.h>
#include <endivespan/prefix.h>

#include <doctest/doctest.h>

#include <algorithm>
#include <map>
#include <rapidcheck.h>

using namespace endivespan;

namespace {

LogTime timeAt(std::uint64_t offset)
{
    return LogTime(std::chrono::milliseconds(1'000'000 + static_cast<std::int64_t>(offset) * 10));
}

ReleaseNote noteOf(std::string author, std::uint64_t against)
{
    ReleaseNote note;
    note.author = std::move(author);
    note.against = against;
    return note;
}

ReleaseNote organisationNote(std::uint64_t against, const std::string &name, const std::string &author = "anna")
{
    ReleaseNote note = noteOf(author, against);
    Organisation organisation;
    organisation.name = name;
    note.added.organisations.push_back(organisation);
    return note;
}

// An in-memory log that keeps encoded records, as the log service does.
struct MemoryLog {
    std::vector<std::string> records;

    std::uint64_t append(const ConfigRecord &record)
    {
        this->records.push_back(encodeConfigRecord(record));
        return this->records.size() - 1;
    }

    std::vector<ConfigAction> feed(ConfigFold &fold, std::uint64_t offset) const
    {
        const auto use = fold.isContiguous() ? SnapshotUse::Head : SnapshotUse::Whole;
        const auto record = decodeConfigRecord(this->records[offset], use);
        return record ? fold.apply(offset, timeAt(offset), record.value()) : fold.skip(offset);
    }

    void feedAll(ConfigFold &fold) const
    {
        while (fold.nextOffset() < this->records.size()) {
            this->feed(fold, fold.nextOffset());
        }
    }
};

Fleet fleetOf(const ConfigFold &fold)
{
    return fold.fleet();
}

// Returns a random note. There are only a few different names, so that conflicts, refusals and withdrawals are common.
ReleaseNote randomNote(const Fleet &fleet)
{
    const auto name = [](const char *kind) { return kind + std::to_string(*rc::gen::inRange(0, 4)); };
    const bool isCurrent = *rc::gen::inRange(0, 4) != 0;
    const bool isRight = *rc::gen::inRange(0, 8) != 0;
    const auto revision = isCurrent ? fleet.revision : *rc::gen::inRange<std::uint64_t>(0, fleet.revision + 2);
    ReleaseNote note = noteOf(name("author-"), revision);
    const auto add = [&note, isRight](auto list, const auto &inForce, const auto &entry) {
        ((inForce.contains(entry.name) == isRight ? note.changed : note.added).*list).push_back(entry);
    };
    switch (*rc::gen::inRange(0, 8)) {
    case 0:
        add(&FleetEntries::models, fleet.models, Model {name("m"), name("v"), ""});
        break;
    case 1: {
        const auto service = *rc::gen::inRange(0, 2) == 0 ? ServiceState::InService : ServiceState::TakenOut;
        add(&FleetEntries::domains, fleet.domains, FailureDomain {name("d"), "fi", service});
        break;
    }
    case 2:
        add(&FleetEntries::servers,
            fleet.servers,
            BackendServer {name("s"), ServerKind::Runner, "10.0.0.1:" + name("80"), name("d"), name("m")});
        break;
    case 3:
        add(&FleetEntries::services, fleet.services, PlainService {name("p"), {"/a", "/b"}});
        break;
    case 4:
        note.withdrawn.models.push_back(name("m"));
        break;
    case 5:
        note.withdrawn.organisations.push_back(name("o"));
        break;
    default:
        add(&FleetEntries::organisations,
            fleet.organisations,
            Organisation {name("o"), {sha256Hex(name("k"))}, {name("m")}, {}, {*rc::gen::inRange(1U, 5U), 1}});
        break;
    }
    return note;
}

// Returns a random stream of notes, repeated appends, undecodable records, and snapshots written by other hosts. A
// snapshot has one or more parts, which are appended late and with other records between them.
MemoryLog randomLog()
{
    MemoryLog log;
    ConfigFold writer;
    std::vector<NoteRecord> written;
    std::deque<SnapshotPart> unsent;
    const int steps = *rc::gen::inRange(1, 100);
    for (int step = 0; step < steps; ++step) {
        const int kind = *rc::gen::inRange(0, 12);
        if (kind == 0) {
            const RecordId id {"host-" + std::to_string(*rc::gen::inRange(0, 3)), static_cast<std::uint64_t>(step)};
            const auto parts = writer.snapshot(id, *rc::gen::inRange<std::size_t>(1, 40));
            unsent.insert(unsent.end(), parts.begin(), parts.end());
        } else if (kind > 6 && !unsent.empty()) {
            log.append(unsent.front());
            unsent.pop_front();
        } else if (kind == 1 && !written.empty()) {
            log.append(written[*rc::gen::inRange<std::size_t>(0, written.size())]);
        } else if (kind == 2) {
            log.records.emplace_back("not a record");
        } else {
            written.push_back({{"cli", static_cast<std::uint64_t>(step)}, randomNote(writer.fleet())});
            log.append(written.back());
        }
        log.feedAll(writer);
    }
    return log;
}

} // namespace

TEST_CASE("concurrent notes: exactly one is accepted, and the reason of a conflict names its author")
{
    MemoryLog log;
    ConfigFold fold;
    log.append(NoteRecord {{"a", 1}, organisationNote(0, "puu", "anna")});
    log.append(NoteRecord {{"b", 1}, organisationNote(0, "torun", "bartek")});
    log.append(NoteRecord {{"c", 1}, organisationNote(0, "puu", "celina")});
    log.feedAll(fold);
    CHECK(fold.fleet().revision == 1);
    CHECK(fold.fleet().organisations.contains("puu"));
    CHECK(!fold.fleet().organisations.contains("torun"));
    CHECK(fold.outcomeOf({"a", 1})->verdict == NoteVerdict::Accepted);
    CHECK(fold.outcomeOf({"a", 1})->revision == 1);
    CHECK(fold.outcomeOf({"b", 1})->verdict == NoteVerdict::Conflict);
    CHECK(fold.outcomeOf({"b", 1})->reason == "written against revision 0, but lost against revision 1 by anna");
    CHECK(fold.outcomeOf({"c", 1})->verdict == NoteVerdict::Conflict);
}

TEST_CASE("a repeated append of a note is ignored, also when the note could be accepted by then")
{
    MemoryLog log;
    ConfigFold fold;
    const NoteRecord early {{"a", 1}, organisationNote(1, "early")};
    log.append(early);
    log.append(NoteRecord {{"b", 1}, organisationNote(0, "puu")});
    log.append(early);
    log.append(NoteRecord {{"b", 1}, organisationNote(0, "puu")});
    log.feedAll(fold);
    CHECK(fold.fleet().revision == 1);
    CHECK(!fold.fleet().organisations.contains("early"));
    CHECK(fold.stats().notesRepeated == 2);
}

TEST_CASE("a note that does not fit the fleet is refused with a reason and changes nothing")
{
    ConfigFold fold;
    ReleaseNote note = organisationNote(0, "puu");
    note.added.organisations[0].models = {"puhuja"};
    fold.apply(0, timeAt(0), NoteRecord {{"a", 1}, note});
    CHECK(fold.fleet() == Fleet {});
    CHECK(fold.outcomeOf({"a", 1})->verdict == NoteVerdict::Refused);
    CHECK(fold.outcomeOf({"a", 1})->reason == "organisation 'puu' refers to unknown model 'puhuja'");
}

TEST_CASE("an API key belongs to one organisation, and one note can move it to another")
{
    ConfigFold fold;
    const std::string key = sha256Hex("key");
    ReleaseNote first = organisationNote(0, "puu");
    first.added.organisations[0].keyDigests = {key};
    fold.apply(0, timeAt(0), NoteRecord {{"a", 1}, first});
    ReleaseNote second = organisationNote(1, "torun");
    second.added.organisations[0].keyDigests = {key};
    fold.apply(1, timeAt(1), NoteRecord {{"a", 2}, second});
    CHECK(fold.fleet().revision == 1);
    CHECK(fold.table().organisationOfKey(key)->name == "puu");
    second.changed.organisations.push_back({"puu", {}, {}, {}, {}});
    fold.apply(2, timeAt(2), NoteRecord {{"a", 3}, second});
    CHECK(fold.fleet().revision == 2);
    CHECK(fold.table().organisationOfKey(key)->name == "torun");
}

TEST_CASE("added entries must be new and changed entries must exist")
{
    ConfigFold fold;
    ReleaseNote note = organisationNote(0, "puu");
    std::swap(note.added, note.changed);
    fold.apply(0, timeAt(0), NoteRecord {{"a", 1}, note});
    CHECK(fold.outcomeOf({"a", 1})->reason == "organisation 'puu' is changed but unknown");
    fold.apply(1, timeAt(1), NoteRecord {{"a", 2}, organisationNote(0, "puu")});
    CHECK(fold.fleet().revision == 1);
    fold.apply(2, timeAt(2), NoteRecord {{"a", 3}, organisationNote(1, "puu")});
    CHECK(fold.outcomeOf({"a", 3})->reason == "organisation 'puu' is added but in force");
}

TEST_CASE("an entry that another one refers to cannot be withdrawn")
{
    ConfigFold fold;
    ReleaseNote first = noteOf("anna", 0);
    first.added.models.push_back({"puhuja", "v1", ""});
    first.added.domains.push_back({"hame-a", "fi", ServiceState::InService});
    first.added.servers.push_back({"r1", ServerKind::Runner, "10.0.0.1:80", "hame-a", "puhuja"});
    fold.apply(0, timeAt(0), NoteRecord {{"a", 1}, first});
    REQUIRE(fold.fleet().revision == 1);
    ReleaseNote second = noteOf("anna", 1);
    second.withdrawn.domains = {"hame-a"};
    second.withdrawn.models = {"puhuja"};
    fold.apply(1, timeAt(1), NoteRecord {{"a", 2}, second});
    CHECK(fold.outcomeOf({"a", 2})->reason
          == "model 'puhuja' is withdrawn but used by 1 others; failure domain 'hame-a' is withdrawn but used by 1 "
             "others");
    second.withdrawn.servers = {"r1"};
    fold.apply(2, timeAt(2), NoteRecord {{"a", 3}, second});
    CHECK(fold.fleet().revision == 2);
    CHECK(fold.fleet().models.empty());
}

TEST_CASE("encoded records decode to the same records, and truncated ones are rejected")
{
    CHECK(rc::check([] {
        const NoteRecord record {{"w", *rc::gen::arbitrary<std::uint64_t>()}, randomNote(Fleet {})};
        const auto decoded = decodeConfigRecord(encodeConfigRecord(record), SnapshotUse::Whole);
        RC_ASSERT(decoded.has_value());
        RC_ASSERT(std::get<NoteRecord>(decoded.value()) == record);
    }));
    CHECK(rc::check([] {
        std::string bytes = encodeConfigRecord(NoteRecord {{"w", 1}, randomNote(Fleet {})});
        bytes.resize(*rc::gen::inRange<std::size_t>(0, bytes.size()));
        RC_ASSERT(!decodeConfigRecord(bytes, SnapshotUse::Whole).has_value());
    }));
}

TEST_CASE("all readers of one log have the same state at the same offset")
{
    const std::uint64_t before = invariantViolations();
    CHECK(rc::check([] {
        const MemoryLog log = randomLog();
        ConfigFold whole;
        std::map<std::uint64_t, Digest> digests;
        while (whole.nextOffset() < log.records.size()) {
            digests[whole.covers()] = whole.digest();
            log.feed(whole, whole.nextOffset());
        }
        digests[whole.covers()] = whole.digest();
        // A reader that has missed any range of records has the same state once it has read a snapshot.
        ConfigFold late;
        const auto stop = *rc::gen::inRange<std::uint64_t>(0, log.records.size());
        const bool startsEarly = *rc::gen::inRange(0, 2) == 0;
        while (startsEarly && late.nextOffset() < stop) {
            log.feed(late, late.nextOffset());
        }
        const Fleet unchanged = late.fleet();
        late.skipDroppedBefore(*rc::gen::inRange<std::uint64_t>(stop, log.records.size()));
        while (late.nextOffset() < log.records.size()) {
            log.feed(late, late.nextOffset());
            if (late.isContiguous()) {
                RC_ASSERT(late.digest() == digests.at(late.covers()));
                RC_ASSERT(late.agreesWith(late.covers(), late.digest()));
            }
        }
        if (late.isContiguous()) {
            RC_ASSERT(fleetOf(late) == fleetOf(whole));
        } else {
            RC_ASSERT(late.fleet() == unchanged);
        }
        RC_ASSERT(whole.stats().snapshotsRefused == 0U);
    }));
    CHECK(invariantViolations() == before);
}

TEST_CASE("a host without the log adopts a peer's state and continues from its offset")
{
    CHECK(rc::check([] {
        const MemoryLog log = randomLog();
        ConfigFold peer;
        const std::uint64_t stop = *rc::gen::inRange<std::uint64_t>(0, log.records.size() + 1);
        while (peer.nextOffset() < stop) {
            log.feed(peer, peer.nextOffset());
        }
        ConfigFold own;
        const auto parts = decodeConfigState(encodeConfigState(peer.snapshot({"peer", 1})));
        RC_ASSERT(parts.has_value());
        RC_ASSERT(own.adopt(parts.value()).has_value());
        RC_ASSERT(own.digest() == peer.digest());
        RC_ASSERT(own.nextOffset() == peer.nextOffset());
        log.feedAll(peer);
        log.feedAll(own);
        RC_ASSERT(own.digest() == peer.digest());
        // An older state is ignored.
        RC_ASSERT(own.adopt(parts.value()).has_value());
        RC_ASSERT(own.digest() == peer.digest());
    }));
}

TEST_CASE("a state that does not match its digest is rejected")
{
    ConfigFold peer;
    peer.apply(0, timeAt(0), NoteRecord {{"a", 1}, organisationNote(0, "puu")});
    auto parts = peer.snapshot({"peer", 1});
    parts[0].entries.organisations[0].limits.weight = 9;
    ConfigFold own;
    CHECK(own.adopt(parts).error().kind == ErrorKind::ProtocolError);
    CHECK(own.adopt({}).error().kind == ErrorKind::ProtocolError);
    CHECK(own.fleet() == Fleet {});
}

TEST_CASE("a large state is split into parts, and an incomplete snapshot is not used")
{
    ConfigFold fold;
    ReleaseNote note = noteOf("anna", 0);
    for (int i = 0; i < 1000; ++i) {
        note.added.organisations.push_back({"o" + std::to_string(i), {}, {}, {}, {}});
    }
    fold.apply(0, timeAt(0), NoteRecord {{"a", 1}, note});
    const auto parts = fold.snapshot({"h", 1});
    REQUIRE(parts.size() == 4);
    ConfigFold late;
    late.skipDroppedBefore(1);
    late.apply(1, timeAt(1), parts[0]);
    late.apply(2, timeAt(2), parts[2]);
    late.apply(3, timeAt(3), parts[3]);
    CHECK(!late.isContiguous());
    for (std::uint64_t i = 0; i < 4; ++i) {
        late.apply(4 + i, timeAt(4 + i), fold.snapshot({"h", 2})[i]);
    }
    CHECK(late.isContiguous());
    CHECK(late.digest() == fold.digest());
    CHECK(late.nextOffset() == 8);
}

TEST_CASE("a new reader always finds a complete snapshot in what the log keeps")
{
    // The log keeps only the newest records, and a host appends a snapshot whenever one is due.
    CHECK(rc::check([] {
        const std::uint64_t kept = *rc::gen::inRange<std::uint64_t>(4, 40);
        MemoryLog log;
        ConfigFold fold;
        std::uint64_t oldest = 0;
        for (std::uint64_t step = 0; step < 60; ++step) {
            ReleaseNote note = organisationNote(fold.fleet().revision, "o" + std::to_string(step % 7));
            if (step >= 7) {
                std::swap(note.added, note.changed);
            }
            log.append(NoteRecord {{"cli", step}, note});
            log.feedAll(fold);
            oldest = log.records.size() - std::min<std::uint64_t>(kept, log.records.size());
            if (fold.needsSnapshot(oldest, timeAt(log.records.size()))) {
                for (const SnapshotPart &part : fold.snapshot({"h", step})) {
                    log.append(part);
                }
                log.feedAll(fold);
                oldest = log.records.size() - std::min<std::uint64_t>(kept, log.records.size());
            }
            ConfigFold late;
            late.skipDroppedBefore(oldest);
            log.feedAll(late);
            RC_ASSERT(late.isContiguous());
            RC_ASSERT(late.digest() == fold.digest());
        }
        RC_ASSERT(log.records.size() < 3U * 60U + 100U);
    }));
}
