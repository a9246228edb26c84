#include "../standins/answer_text.h"
#include "harness.h"

#include <endivespan/config.h>
#include <endivespan/prefix.h>

#include <doctest/doctest.h>

#include <string>
#include <vector>

using namespace endivespan;
using namespace endivespan::harness;

namespace {

const std::string FastEngine
    = R"(engine={"decode_ms":1,"prefill_tokens_per_s":1000000,"load_lag_ms":0,"event_delay_ms":0})";

std::vector<std::string> oneEngine()
{
    return {"--runners", "1", "--order-runners", "2", "--stores", "1", "--set", FastEngine};
}

json completion(const std::string &id, const std::string &prompt, int tokens)
{
    return {{"model", "puhuja"},
            {"version", "v1"},
            {"prompt", prompt},
            {"request_id", id},
            {"max_tokens", tokens},
            {"cache_scope", {{"organisation", "atelier"}, {"adapter", ""}}}};
}

HttpCall completionCall(const Standins &standins, const json &body)
{
    HttpCall wanted;
    wanted.address = standins.address("puhuja-1");
    wanted.method = "POST";
    wanted.target = "/v1/completions";
    wanted.body = body.dump();
    wanted.connectTimeout = WaitLimit;
    wanted.silenceTimeout = WaitLimit;
    return wanted;
}

/// The content of a stream of completion events.
struct Completion {
    std::string text;
    json last; ///< The closing event; null when the stream ended without one.
};

Completion readCompletion(const CallResult &result)
{
    Completion completion;
    EventParser parser;
    for (const EventParser::Event &event : parser.feed(result.body)) {
        const json data = json::parse(event.data, nullptr, false);
        if (data.is_object() && data.contains("text")) {
            completion.text += data["text"].get<std::string>();
        } else if (data.is_object()) {
            completion.last = data;
        }
    }
    return completion;
}

Completion complete(const Standins &standins, const json &body)
{
    const CallResult result = call(completionCall(standins, body));
    REQUIRE_MESSAGE(result.status == 200, result.body);
    return readCompletion(result);
}

std::string longPrompt(std::size_t pieces)
{
    return std::string(pieces * config::PieceBytes, 'p') + " and the question";
}

std::string pieceName(std::size_t index)
{
    return pieceChain({"atelier", "puhuja", "v1", ""}, longPrompt(index + 1))[index].hex();
}

std::uint64_t exportPiece(const Standins &standins, std::size_t index)
{
    const json order {{"piece", pieceName(index)}, {"store", standins.address("muisti-a")}, {"fence", 1}};
    return call(standins.address("puhuja-1"), "POST", "/export", order.dump()).parsed().value("generation", 0U);
}

} // namespace

TEST_CASE("an answer resumed after some tokens equals the rest of the complete answer")
{
    const Standins standins(oneEngine());
    const Completion whole = complete(standins, completion("a", "tell me", 6));
    CHECK(whole.text == standins::AnswerText("puhuja", "v1", "tell me").tokens(0, 6));
    CHECK(whole.last["count"] == 6);
    json rest = completion("b", "tell me", 6);
    rest["resume_from"] = 4;
    CHECK(complete(standins, rest).text == standins::AnswerText("puhuja", "v1", "tell me").tokens(4, 6));
}

TEST_CASE("an engine reuses cached pieces, evicts those beyond its limit, and publishes events except in event gaps")
{
    const Standins standins(oneEngine());
    CHECK(complete(standins, completion("a", longPrompt(3), 1)).last["cached_tokens"] == 0);
    CHECK(complete(standins, completion("b", longPrompt(3), 1)).last["cached_tokens"] == 3 * config::PieceTokens);
    standins.control("puhuja-1", {{"cache_pieces", 2}});
    complete(standins, completion("c", "short", 1));
    complete(standins, completion("d", longPrompt(3), 1));
    const json events = call(standins.address("puhuja-1"), "GET", "/events?after=0").parsed()["events"];
    std::size_t evicted = 0;
    for (const json &event : events) {
        evicted += event["type"] == "evicted" ? 1 : 0;
    }
    CHECK(evicted >= 1);
    const std::size_t published = events.size();
    standins.control("puhuja-1", {{"event_gap_percent", 100}});
    complete(standins, completion("e", "x" + longPrompt(1), 1));
    CHECK(call(standins.address("puhuja-1"), "GET", "/events?after=0").parsed()["events"].size() == published);
}

TEST_CASE("pieces are exported and imported, and importing a piece of another prompt is refused")
{
    const Standins standins(oneEngine());
    complete(standins, completion("a", longPrompt(2), 1));
    const std::uint64_t generation = exportPiece(standins, 0);
    CHECK(generation > 0);
    CHECK(exportPiece(standins, 0) == generation);
    standins.control("puhuja-1", {{"restart", true}});
    REQUIRE(eventually([&] {
        return call(standins.address("puhuja-1"), "GET", "/load").status == 200
            && standins.counts("puhuja-1")["incarnation"].get<std::string>().ends_with("-2");
    }));

    json body = completion("b", longPrompt(2), 1);
    const json item {{"piece", pieceName(0)}, {"store", standins.address("muisti-a")}, {"generation", generation}};
    body["import"] = json::array({item});
    const Completion imported = complete(standins, body);
    CHECK(imported.last["imported_tokens"] == config::PieceTokens);
    CHECK(imported.last["cached_tokens"] == 0);

    json wrong = completion("c", "x" + longPrompt(2), 1);
    wrong["import"] = json::array({item});
    CHECK(call(completionCall(standins, wrong)).status == 400);
    CHECK(standins.counts("puhuja-1")["bad_import"] == 1);
}

TEST_CASE("an imported piece whose bytes do not match their checksum is recomputed")
{
    const Standins standins(oneEngine());
    complete(standins, completion("a", longPrompt(1), 1));
    const std::uint64_t generation = exportPiece(standins, 0);
    standins.control("puhuja-1", {{"restart", true}, {"restart_ms", 1}});
    REQUIRE(eventually([&] { return standins.counts("puhuja-1")["incarnation"].get<std::string>().ends_with("-2"); }));
    standins.control("muisti-a", {{"corrupt_reads", 1}});
    json body = completion("b", longPrompt(1), 1);
    body["import"]
        = json::array({{{"piece", pieceName(0)}, {"store", standins.address("muisti-a")}, {"generation", generation}}});
    REQUIRE(eventually([&] { return call(standins.address("puhuja-1"), "GET", "/load").status == 200; }));
    CHECK(complete(standins, body).last["imported_tokens"] == 0);
    CHECK(standins.counts("puhuja-1")["import_rejected"] == 1);
}

TEST_CASE("a piece whose transfer was cut is neither listed nor readable")
{
    const Standins standins(oneEngine());
    complete(standins, completion("a", longPrompt(1), 1));
    standins.control("muisti-a", {{"link_bytes_per_s", 1000}});
    CallGroup group;
    HttpCall order;
    order.address = standins.address("puhuja-1");
    order.method = "POST";
    order.target = "/export";
    order.body = json {{"piece", pieceName(0)}, {"store", standins.address("muisti-a")}, {"fence", 1}}.dump();
    order.silenceTimeout = WaitLimit;
    group.start(order);
    group.runFor(std::chrono::milliseconds(100));
    REQUIRE(eventually([&] { return call(standins.address("muisti-a"), "GET", "/load").parsed()["used_bytes"] > 0; }));
    standins.control("muisti-a", {{"cut_link", true}});
    CHECK(group.finish()[0].status == 502);
    CHECK(call(standins.address("muisti-a"), "GET", "/pieces").parsed()["pieces"].empty());
    CHECK(call(standins.address("muisti-a"), "GET", "/pieces/" + pieceName(0) + "?generation=1").status == 404);
    CHECK(standins.counts("muisti-a")["half_written"] == 1);
}

TEST_CASE("a pinned piece is not deleted, and a full store refuses exports")
{
    const Standins standins(oneEngine());
    complete(standins, completion("a", longPrompt(2), 1));
    const std::uint64_t generation = exportPiece(standins, 0);
    const std::string store = standins.address("muisti-a");
    const std::string target = "/pieces/" + pieceName(0) + "?generation=" + std::to_string(generation);
    const json pin {{"piece", pieceName(0)}, {"generation", generation}, {"ms", 600'000}};
    CHECK(call(store, "POST", "/pin", pin.dump()).status == 200);
    CHECK(call(store, "DELETE", target).status == 423);
    standins.control("muisti-a", {{"capacity_bytes", 1}});
    CHECK(exportPiece(standins, 1) == 0);
    CHECK(standins.counts("muisti-a")["full"] == 1);
}

TEST_CASE("a cold engine crashes above its cold concurrency and warms up by completing requests")
{
    const Standins standins(oneEngine());
    standins.control("puhuja-1", {{"cold", true}, {"restart_ms", 1}, {"decode_ms", 20}});
    CallGroup both;
    both.start(completionCall(standins, completion("a", "one", 100'000)));
    both.awaitBytes(0, 1);
    both.start(completionCall(standins, completion("b", "two", 100'000)));
    const auto &results = both.finish();
    CHECK(results[0].failure.has_value());
    CHECK(results[1].failure.has_value());
    CHECK(standins.counts("puhuja-1")["fell_over"] == 1);

    REQUIRE(eventually([&] { return call(standins.address("puhuja-1"), "GET", "/load").status == 200; }));
    complete(standins, completion("c", "three", 1));
    CallGroup warmer;
    warmer.start(completionCall(standins, completion("d", "four", 2)));
    warmer.start(completionCall(standins, completion("e", "five", 2)));
    for (const CallResult &result : warmer.finish()) {
        CHECK(readCompletion(result).last["done"] == true);
    }
}

TEST_CASE("an engine refuses when its queue is full and serves lower priority values first")
{
    const Standins standins(oneEngine());
    standins.control("puhuja-1", {{"capacity", 1}, {"queue_limit", 2}, {"decode_ms", 200}});
    CallGroup group;
    group.start(completionCall(standins, completion("running", "a", 1000)));
    group.awaitBytes(0, 1);
    json late = completion("late", "b", 1);
    late["priority"] = 5;
    group.start(completionCall(standins, late));
    REQUIRE(eventually([&] {
        group.runFor(std::chrono::milliseconds(1));
        return standins.counts("puhuja-1")["queued"] == 1;
    }));
    group.start(completionCall(standins, completion("early", "c", 1)));
    REQUIRE(eventually([&] {
        group.runFor(std::chrono::milliseconds(1));
        return standins.counts("puhuja-1")["queued"] == 2;
    }));
    const CallResult refused = call(completionCall(standins, completion("refused", "d", 1)));
    CHECK(refused.status == 503);
    CHECK(refused.parsed() == json {{"error", "queue_full"}, {"ran", false}});
    standins.control("puhuja-1", {{"decode_ms", 0.1}});
    const auto &results = group.finish();
    CHECK(readCompletion(results[0]).last["count"] == 1000);
    CHECK(readCompletion(results[1]).last["queue_ms"] >= readCompletion(results[2]).last["queue_ms"]);
}

TEST_CASE("a request is removed from the engine when its caller disconnects or cancels it")
{
    const Standins standins(oneEngine());
    standins.control("puhuja-1", {{"decode_ms", 1000}});
    CallGroup group;
    group.start(completionCall(standins, completion("dropped", "a", 100)));
    group.start(completionCall(standins, completion("cancelled", "b", 100)));
    group.awaitBytes(0, 1);
    group.awaitBytes(1, 1);
    group.drop(0);
    call(standins.address("puhuja-1"), "POST", "/cancel", R"({"request_id":"cancelled"})");
    CHECK(group.finish()[1].failure.has_value());
    CHECK(eventually([&] { return standins.counts("puhuja-1")["running"] == 0; }));
    CHECK(standins.counts("puhuja-1")["disconnected"] == 1);
    CHECK(standins.counts("puhuja-1")["cancelled"] == 1);
}

TEST_CASE("a poison request crashes the engine only if that is enabled")
{
    const Standins standins(oneEngine());
    CHECK(complete(standins, completion("a", "POISON", 1)).last["done"] == true);
    standins.control("puhuja-1", {{"poison", true}});
    CHECK(call(completionCall(standins, completion("b", "POISON", 1))).failure.has_value());
    CHECK(standins.counts("puhuja-1")["poisoned"] == 1);
}

TEST_CASE("an engine loads a version on order, and refuses older fences and versions that are not loaded")
{
    const Standins standins(oneEngine());
    standins.control("weights", {{"add", "puhuja/v2"}, {"load_ms", 1}});
    const std::string engine = standins.address("puhuja-1");
    const auto order = [&](int fence) {
        const json body {{"kind", "load_version"}, {"version", "v2"}, {"fence", fence}};
        return call(engine, "POST", "/orders", body.dump()).status;
    };
    CHECK(order(7) == 202);
    CHECK(order(6) == 409);
    CHECK(eventually([&] { return call(engine, "GET", "/load").parsed()["versions"] == json::array({"v1", "v2"}); }));
    json body = completion("a", "hello", 2);
    body["version"] = "v3";
    CHECK(call(completionCall(standins, body)).status == 409);
}

TEST_CASE("a plain service counts each run of a key over all its servers")
{
    const Standins standins(oneEngine());
    const HttpHeaders headers {{"Idempotency-Key", "k1"}, {"X-Organisation", "atelier"}};
    CHECK(call(standins.address("verstas-1"), "POST", "/orders", "chair", headers).status == 200);
    CHECK(standins.counts("verstas-1")["repeated"].empty());
    standins.control("verstas-2", {{"crash_after", 1}});
    CHECK(call(standins.address("verstas-2"), "POST", "/orders", "chair", headers).failure.has_value());
    const json counts = standins.counts("verstas-1");
    CHECK(counts["runs"] == 2);
    CHECK(counts["repeated"] == json::array({{{"organisation", "atelier"}, {"key", "k1"}, {"runs", 2}}}));
}

TEST_CASE("the log keeps offsets, trims records, simulates outages and loses the answers of applied appends")
{
    const Standins standins(oneEngine());
    const std::string log = standins.address("log");
    const std::string append = R"({"records":["YQ==","Yg=="]})";
    CHECK(call(log, "POST", "/streams/s/append", append).parsed()["first"] == 0);
    standins.control("log", {{"lose_answers", 1}});
    CHECK(call(log, "POST", "/streams/s/append", append).failure.has_value());
    const json batch = call(log, "GET", "/streams/s/read?from=1&max=2&wait_ms=0").parsed();
    CHECK(batch["records"].size() == 2);
    CHECK(batch["next"] == 3);
    CHECK(batch["end"] == 4);

    standins.control("log", {{"retain_records", 1}});
    const CallResult trimmed = call(log, "GET", "/streams/s/read?from=0&max=2&wait_ms=0");
    CHECK(trimmed.status == 410);
    CHECK(trimmed.parsed()["oldest"] == 3);

    standins.control("log", {{"outage", "refuse"}});
    CHECK(call(log, "POST", "/streams/s/append", append).status == 503);
    standins.control("log", {{"outage", "close"}});
    CHECK(call(log, "GET", "/streams/s/read?from=4&max=2&wait_ms=0").failure.has_value());
    standins.control("log", {{"outage", "none"}, {"appends_per_s", 0}});
    CHECK(call(log, "POST", "/streams/s/append", append).status == 429);
}

TEST_CASE("a waiting reader gets the record as soon as it is appended")
{
    const Standins standins(oneEngine());
    CallGroup group;
    HttpCall read;
    read.address = standins.address("log");
    read.target = "/streams/s/read?from=0&max=2&wait_ms=25000";
    read.silenceTimeout = WaitLimit;
    group.start(read);
    group.runFor(std::chrono::milliseconds(50));
    call(standins.address("log"), "POST", "/streams/s/append", R"({"records":["YQ=="]})");
    CHECK(group.finish()[0].parsed()["next"] == 1);
}

TEST_CASE("streams that are made silent stay open, and new ones are served")
{
    const Standins standins(oneEngine());
    standins.control("puhuja-1", {{"decode_ms", 50}});
    HttpCall quiet = completionCall(standins, completion("quiet", "a", 100'000));
    quiet.silenceTimeout = std::chrono::milliseconds(1500);
    CallGroup group;
    group.start(quiet);
    group.awaitBytes(0, 1);
    standins.control("puhuja-1", {{"silent_streams", true}});
    const CallResult &result = group.finish()[0];
    REQUIRE(result.failure.has_value());
    CHECK(result.failure->error.kind == ErrorKind::Timeout);
    CHECK(complete(standins, completion("next", "a", 1)).last["done"] == true);
}

TEST_CASE("an unknown setting is refused with its name")
{
    const Standins standins(oneEngine());
    const CallResult result = call(standins.address("puhuja-1"), "POST", "/control", R"({"sped": 1})");
    CHECK(result.status == 400);
    CHECK(result.parsed()["error"] == "unknown setting sped for engine");
}
