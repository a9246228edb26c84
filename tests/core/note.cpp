#include <endivespan/note.h>

#include <doctest/doctest.h>

#include <string>

using namespace endivespan;

namespace {

const std::string CompleteNote = R"(author: anna
against: 4
added:
  organisations:
    - name: puu
      key_sha256: [0123456789abcdef0123456789abcdef0123456789abcdef0123456789abcdef]
      models: [puhuja]
      plain_services: [verstas]
      requests_in_flight: 8
      weight: 2
  models:
    - {name: puhuja, version: v1, next_version: v2}
  failure_domains:
    - {name: hame-a, region: hame}
  backend_servers:
    - {name: puhuja-1, kind: runner, address: 10.0.0.1:80, failure_domain: hame-a, pool: puhuja, cold_concurrency: 2}
    - {name: muisti-a, kind: store, address: 10.0.0.2:80, failure_domain: hame-a, checks_orders: true}
  plain_services:
    - {name: verstas, idempotent_paths: [/stock]}
changed:
  failure_domains:
    - {name: hame-b, region: hame, service: taken_out}
withdrawn:
  organisations: [old]
  backend_servers: [puhuja-9, verstas-9]
)";

/// A mistake in a valid note: the text that is replaced, its replacement, and the expected report.
struct Mistake {
    std::string_view original;
    std::string_view replacement;
    int line;
    std::string_view reason;
};

std::string withMistake(const Mistake &mistake)
{
    std::string text = CompleteNote;
    const std::size_t place = text.find(mistake.original);
    REQUIRE(place != std::string::npos);
    return text.replace(place, mistake.original.size(), mistake.replacement);
}

const Mistake Mistakes[] {
    {"author: anna\n", "", 1, "missing key 'author' in the note"},
    {"author: anna", "author: ''", 1, "'author' in the note must have 1 to 128 bytes"},
    {"against: 4\n", "", 1, "missing key 'against' in the note"},
    {"against: 4", "against: four", 2, "'against' in the note is 'four', must be a whole number"},
    {"against: 4", "against: -1", 2, "'against' in the note is '-1', must be a whole number"},
    {"against: 4", "against: 4\nremoved: {}", 3, "unknown key 'removed' in the note"},
    {"key_sha256: [0", "keys: [plain]\n      key_sha256: [0", 6, "unknown key 'keys' in an organisation"},
    {"key_sha256: [0", "key_sha256: [F", 6, "is no SHA-256 in lower-case hexadecimal; 'endivespan key' makes one"},
    {"models: [puhuja]", "models: [puhuja, puhuja]", 7, "'puhuja' is twice in 'models' in an organisation"},
    {"models: [puhuja]", "models: puhuja", 7, "'models' in an organisation must be a list"},
    {"models: [puhuja]", "models: ['a b']", 7, "'a b' in 'models' in an organisation is no name"},
    {"weight: 2", "weight: 0", 10, "'weight' in an organisation is '0', must be a whole number from 1 to 1000"},
    {"weight: 2", "weight: 2\n      weight: 3", 11, "duplicate key 'weight' in an organisation"},
    {"weight: 2", "weight: 2\n    - {name: puu}", 11, "'puu' is in organisations of the note twice"},
    {"next_version: v2", "next_version: v1", 12, "'next_version' is the version that is in use"},
    {"version: v1, ", "", 12, "missing key 'version' in a model"},
    {"{name: hame-a, region: hame}", "{name: hame-a}", 14, "missing key 'region' in a failure domain"},
    {"kind: runner, ", "", 16, "missing key 'kind' in a backend server"},
    {"kind: runner", "kind: gpu", 16, "'kind' in a backend server is 'gpu', must be one of: runner, plain, store"},
    {"address: 10.0.0.1:80", "address: runner:80", 16, "'address' in a backend server is 'runner:80'"},
    {"pool: puhuja, ", "", 16, "missing key 'pool' in a backend server"},
    {"cold_concurrency: 2", "cold_concurrency: 20", 16, "'cold_concurrency' is above 'warm_concurrency'"},
    {"checks_orders: true", "checks_orders: yes", 17, "must be one of: true, false"},
    {"checks_orders: true", "pool: x", 17, "a store host has no 'pool'"},
    {"[/stock]", "[stock]", 19, "'stock' is no path: it must begin with '/'"},
    {"service: taken_out", "service: out", 22, "must be one of: in_service, taken_out"},
    {"name: hame-b", "name: hame-a", 22, "'hame-a' is in failure_domains of the note twice"},
    {"organisations: [old]", "organisations: [puu]", 24, "'puu' is in organisations of the note twice"},
    {"organisations: [old]", "organisation: [old]", 24, "unknown key 'organisation' in 'withdrawn'"},
    {"verstas-9]", "puhuja-9]", 25, "'puhuja-9' is twice in 'backend_servers' in 'withdrawn'"},
};

} // namespace

TEST_CASE("a complete note is parsed, and its YAML output parses to the same note")
{
    const auto note = parseNote(CompleteNote, "note.yaml");
    REQUIRE(note);
    CHECK(note.value().against == 4);
    CHECK(note.value().added.organisations.at(0).limits.weight == 2);
    CHECK(note.value().added.servers.at(1).kind == ServerKind::Store);
    CHECK(note.value().added.servers.at(1).checksOrders);
    CHECK(note.value().changed.domains.at(0).service == ServiceState::TakenOut);
    CHECK(note.value().withdrawn.servers.size() == 2);
    const auto again = parseNote(noteToYaml(note.value()), "again.yaml");
    REQUIRE_MESSAGE(again, problemTexts(again.error()));
    CHECK(again.value() == note.value());
}

TEST_CASE("each mistake in a note is reported with its line and reason")
{
    for (const Mistake &mistake : Mistakes) {
        const auto note = parseNote(withMistake(mistake), "note.yaml");
        CAPTURE(mistake.replacement);
        REQUIRE(!note);
        REQUIRE_MESSAGE(note.error().size() == 1, problemTexts(note.error()));
        const Problem &problem = note.error().front();
        CAPTURE(problemText(problem));
        CHECK(problem.file == "note.yaml");
        CHECK(problem.line == mistake.line);
        CHECK(problem.reason.find(mistake.reason) != std::string::npos);
    }
}

TEST_CASE("a note without any change is rejected")
{
    const auto note = parseNote("author: anna\nagainst: 1\n", "note.yaml");
    REQUIRE(!note);
    CHECK(note.error().front().reason == "the note changes nothing");
}
