#include <endivespan/forward_settings.h>
#include <endivespan/settings.h>

#include <doctest/doctest.h>

using namespace endivespan;

namespace {

constexpr std::string_view CompleteSettings = R"(host: entry-1
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

/// A mistake in valid settings: the text that is replaced, its replacement, and the expected report.
struct Mistake {
    std::string_view original;
    std::string_view replacement;
    int line;
    int column;
    std::string_view reason;
};

std::string withMistake(const Mistake &mistake)
{
    std::string text(CompleteSettings);
    const std::size_t place = text.find(mistake.original);
    REQUIRE(place != std::string::npos);
    return text.replace(place, mistake.original.size(), mistake.replacement);
}

const Mistake Mistakes[] {
    {"host: entry-1", "hosts: x\nhost: entry-1", 1, 1, "unknown key 'hosts' in the settings; known: host, region"},
    {"host: entry-1", "host: entry one", 1, 7, "'host' in the settings is 'entry one', must be a name"},
    {"host: entry-1", "host:", 1, 1, "'host' in the settings has no value"},
    {"host: entry-1", "host: [entry-1]", 1, 7, "'host' in the settings must be a single value"},
    {"host: entry-1\n", "", 1, 1, "missing key 'host' in the settings"},
    {"region: fi", "region: fi\nregion: se", 3, 1, "duplicate key 'region' in the settings"},
    {"region: fi", "? [a, b]\n: fi\nregion: fi", 2, 3, "a key of the settings must be plain text"},
    {"failure_domain: hame-a", "failure_domain: ''", 3, 17, "'failure_domain' in the settings is ''"},
    {"callers: \"127.0.0.1:0\"",
     "callers: 127.0.0.1",
     4,
     19,
     "'callers' in 'listen' is '127.0.0.1', must be an address"},
    {"callers: \"127.0.0.1:0\"", "callers: 127.0.0.256:80", 4, 19, "must be an address such as 10.0.0.1:8080"},
    {"callers: \"127.0.0.1:0\"", "callers: 127.0.0.1:70000", 4, 19, "must be an address such as 10.0.0.1:8080"},
    {"callers: \"127.0.0.1:0\"", "callers: localhost:80", 4, 19, "must be an address such as 10.0.0.1:8080"},
    {"callers: \"127.0.0.1:0\"", "callers: 127.0.0.1:8081", 4, 42, "'peers' in 'listen' is the address of 'callers'"},
    {"peers: 127.0.0.1:8081}", "peer: 127.0.0.1:8081, peers: 127.0.0.1:1}", 4, 34, "unknown key 'peer' in 'listen'"},
    {"log: {address: 127.0.0.1:9000}", "log: 127.0.0.1:9000", 5, 6, "'log' must be a map"},
    {"log: {address: 127.0.0.1:9000}", "log: {}", 5, 6, "missing key 'address' in 'log'"},
    {"log: {address: 127.0.0.1:9000}", "log: {address: 127.0.0.1:0}", 5, 16, "must be an address"},
    {"host_list: {address: 127.0.0.1:9001}\n", "", 1, 1, "missing key 'host_list' in the settings"},
    {"weight_store: {address: 127.0.0.1:9002}", "weight_store: {address: [1]}", 7, 25, "must be a single value"},
    {"peers: [127.0.0.1:8082, 127.0.0.1:8083]",
     "peers: 127.0.0.1:8082",
     8,
     8,
     "'peers' in the settings must be a list"},
    {"peers: [127.0.0.1:8082, 127.0.0.1:8083]", "peers: [a:1]", 8, 9, "'a:1' in 'peers' is no address"},
    {"127.0.0.1:8083]", "127.0.0.1:8082]", 8, 25, "'127.0.0.1:8082' is twice in 'peers' in the settings"},
    {"routing: least_loaded", "routing: random", 10, 12, "must be one of: expected, round_robin, least_loaded"},
    {"keeping: lru", "keeping: fifo", 11, 12, "'keeping' in 'policy' is 'fifo', must be one of: saving, lru"},
    {"requests_in_flight: 12", "requests_in_flight: 0", 13, 23, "must be a whole number from 1 to 100000"},
    {"requests_in_flight: 12", "requests_in_flight: many", 13, 23, "must be a whole number from 1 to 100000"},
    {"requests_in_flight: 12", "requests_in_flight: 1.5", 13, 23, "must be a whole number from 1 to 100000"},
    {"max_body: 2MiB", "max_body: 2MB", 14, 13, "must be a whole number with a unit: B, KiB, MiB"},
    {"max_body: 2MiB", "max_body: 1B", 14, 13, "must be from 1024B to 67108864B"},
    {"default_deadline: 4s", "default_deadline: 4", 15, 21, "must be a whole number with a unit: ms, s, m, h"},
    {"default_deadline: 4s", "default_deadline: 4sec", 15, 21, "must be a whole number with a unit: ms, s, m, h"},
    {"default_deadline: 4s", "default_deadline: 2h", 15, 21, "must be from 100ms to 3600000ms"},
    {"default_deadline: 4s", "default_deadline: 99999999999999999999s", 15, 21, "must be a whole number with a unit"},
    {"host: entry-1", "host: [entry-1", 2, 7, "not YAML: "},
};

} // namespace

TEST_CASE("complete settings are parsed")
{
    const auto settings = parseSettings(CompleteSettings, "host.yaml");
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

TEST_CASE("each mistake in settings is reported with its line, column and reason")
{
    for (const Mistake &mistake : Mistakes) {
        const auto settings = parseSettings(withMistake(mistake), "host.yaml");
        CAPTURE(mistake.replacement);
        REQUIRE(!settings);
        REQUIRE_MESSAGE(settings.error().size() == 1, problemTexts(settings.error()));
        const Problem &problem = settings.error().front();
        CAPTURE(problemText(problem));
        CHECK(problem.file == "host.yaml");
        CHECK(problem.line == mistake.line);
        CHECK(problem.column == mistake.column);
        CHECK(problem.reason.find(mistake.reason) != std::string::npos);
    }
}

TEST_CASE("an empty file and a file with two documents are rejected")
{
    CHECK(parseSettings("", "host.yaml").error().front().reason == "the file is empty");
    const auto two
        = parseSettings(std::string(CompleteSettings) + "---\n" + std::string(CompleteSettings), "host.yaml");
    CHECK(two.error().front().reason == "a second document begins here; one is allowed");
}

// Guards against a mistake in the value that silently leaves the default in force.
TEST_CASE("settings of a forwarding host: load control is automatic unless the file says otherwise")
{
    const std::string base = "host: h\nregion: r\nfailure_domain: z\nlog: {address: 127.0.0.1:9000}\n"
                             "listen: {callers: 127.0.0.1:1, readiness: 127.0.0.1:2, peers: 127.0.0.1:3,"
                             " metrics: 127.0.0.1:4}\n";
    const auto parse = [&base](const std::string &line) { return parseForwardSettings(base + line, "host.yaml"); };
    REQUIRE(parse(""));
    CHECK(parse("").value().loadControl == LoadControl::Auto);
    CHECK(parse("load_control: auto\n").value().loadControl == LoadControl::Auto);
    CHECK(parse("load_control: always\n").value().loadControl == LoadControl::Always);
    CHECK(parse("load_control: never\n").value().loadControl == LoadControl::Never);
    const auto wrong = parse("load_control: yes\n");
    REQUIRE(!wrong);
    CHECK(wrong.error().front().reason
          == "'load_control' in the settings is 'yes', must be one of: auto, always, never");
}
