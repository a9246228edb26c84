#include "../standins/answer_text.h"
#include "host_process.h"
#include "service_cluster.h"

#include <endivespan/config.h>

#include <doctest/doctest.h>

#include <csignal>

using namespace endivespan;
using namespace endivespan::harness;

namespace {

const std::string FastEngines = R"(engine={"decode_ms":1,"prefill_tokens_per_s":1000000,"load_lag_ms":20})";

std::vector<std::string> deployment(const std::string &engines)
{
    return {"--runners", "6", "--order-runners", "1", "--stores", "1", "--set", engines};
}

json prompt(const std::string &text, std::uint64_t tokens)
{
    return {{"model", "puhuja"}, {"prompt", text}, {"max_tokens", tokens}};
}

HttpCall promptCall(const HostProcess &host, const json &body, const std::string &key = keyOf(1))
{
    HttpCall wanted;
    wanted.address = host.address();
    wanted.method = "POST";
    wanted.target = "/v1/completions";
    wanted.headers = {{"Authorization", "Bearer " + key}};
    wanted.body = body.dump();
    wanted.connectTimeout = WaitLimit;
    wanted.silenceTimeout = WaitLimit;
    return wanted;
}

std::string answerTo(const std::string &text, std::uint64_t tokens)
{
    return standins::AnswerText("puhuja", "v1", text).tokens(0, tokens);
}

std::string textOf(const CallResult &result)
{
    const json body = result.parsed();
    return result.status == 200 && body.is_object() ? body["choices"][0]["text"].get<std::string>() : "";
}

/// @returns the text of a streamed answer; empty if the answer is incomplete.
std::string streamedText(const CallResult &result)
{
    std::string text;
    bool whole = false;
    EventParser parser;
    for (const EventParser::Event &event : parser.feed(result.body)) {
        const json data = json::parse(event.data, nullptr, false);
        whole = whole || event.data == "[DONE]";
        if (data.is_object() && data.contains("choices")) {
            text += data["choices"][0]["text"].get<std::string>();
        }
    }
    return whole && !result.failure ? text : "";
}

/// A deployment with three hosts, all with the first release note in force.
struct Fixture {
    explicit Fixture(const std::string &engines = FastEngines, const std::string &limits = {})
        : standins(deployment(engines))
        , hosts(this->standins, limits)
    {
        publish(this->standins, deploymentNote(this->standins));
        this->hosts.awaitReady(1);
        this->hosts.awaitLoadReports();
    }

    Standins standins;
    HostGroup hosts;
};

} // namespace

TEST_CASE("a prompt gets its complete answer through any host, streamed or not")
{
    Fixture fixture;
    for (std::size_t host = 0; host < 3; ++host) {
        const std::string text = "catalogue " + std::to_string(host);
        const CallResult whole = call(promptCall(fixture.hosts.at(host), prompt(text, 12)));
        CHECK_MESSAGE(textOf(whole) == answerTo(text, 12), whole.body);
        json streamed = prompt(text, 12);
        streamed["stream"] = true;
        CHECK(streamedText(call(promptCall(fixture.hosts.at(host), streamed))) == answerTo(text, 12));
    }
    fixture.hosts.checkInvariants();
}

TEST_CASE("answers to concurrent prompts each reach their own caller")
{
    Fixture fixture;
    CallGroup group;
    std::vector<std::string> texts;
    for (std::size_t i = 0; i < 30; ++i) {
        texts.push_back("sheet " + std::to_string(i));
        const HostProcess &host = fixture.hosts.at(i % 3);
        group.start(promptCall(host, prompt(texts.back(), 5 + i % 7), keyOf(1 + i % 10)));
    }
    const auto &results = group.finish();
    for (std::size_t i = 0; i < texts.size(); ++i) {
        CHECK_MESSAGE(textOf(results[i]) == answerTo(texts[i], 5 + i % 7), results[i].body);
    }
    fixture.hosts.checkInvariants();
}

TEST_CASE("SIGTERM under load cuts no answer and exits with 0")
{
    // Runners are cold at first and take prompts in turn; each answer takes longer than the last prompt waits.
    constexpr int LongAnswer = 200;
    Fixture fixture(R"(engine={"decode_ms":20})");
    HostProcess &host = fixture.hosts.at(0);
    CallGroup group;
    for (std::size_t i = 0; i < 12; ++i) {
        json body = prompt("pattern " + std::to_string(i), LongAnswer);
        body["stream"] = i % 2 == 0;
        group.start(promptCall(host, body));
    }
    group.awaitBytes(0, 1);
    REQUIRE(eventually([&] {
        group.runFor(std::chrono::milliseconds(5));
        return host.status()["prompts_in_flight"] == 12;
    }));
    host.process().signal(SIGTERM);
    const auto &results = group.finish();
    for (std::size_t i = 0; i < results.size(); ++i) {
        const std::string text = i % 2 == 0 ? streamedText(results[i]) : textOf(results[i]);
        CHECK_MESSAGE(text == answerTo("pattern " + std::to_string(i), LongAnswer), results[i].body);
    }
    CHECK(host.process().waitExit() == 0);
    CHECK(host.process().errorText().find("violated") == std::string::npos);
}

TEST_CASE("a killed host has the same configuration after a restart")
{
    Fixture fixture;
    const json before = fixture.hosts.at(1).status();
    fixture.hosts.at(0).process().signal(SIGKILL);
    CHECK(fixture.hosts.at(0).process().waitExit() == -SIGKILL);
    fixture.hosts.restart(0);
    fixture.hosts.at(0).awaitReady(1);
    CHECK(fixture.hosts.at(0).status()["digest"] == before["digest"]);
    CHECK(fixture.hosts.at(0).status()["revision"] == before["revision"]);
    CHECK(textOf(call(promptCall(fixture.hosts.at(0), prompt("again", 3)))) == answerTo("again", 3));
}

TEST_CASE("invalid requests are refused as not run, and the host goes on serving")
{
    Fixture fixture(FastEngines, "{max_body: 64KiB}");
    const HostProcess &host = fixture.hosts.at(0);
    const auto refused = [&](const HttpCall &wanted, int status) {
        CallResult result = call(wanted);
        CHECK_MESSAGE(result.status == status, result.body);
        CHECK(result.headers["x-endivespan-run"] == "not-run");
    };
    HttpCall broken = promptCall(host, prompt("x", 1));
    broken.body = R"({"model": )";
    refused(broken, 400);
    refused(promptCall(host, prompt(std::string(128 * 1024, 'x'), 1)), 413);
    refused(promptCall(host, {{"model", "nobody"}, {"prompt", "x"}}), 404);
    refused(promptCall(host, prompt("x", 1), "no-such-key"), 401);
    refused(promptCall(host, {{"model", "puhuja"}, {"prompt", 5}}), 400);
    HttpCall wrongMethod = promptCall(host, prompt("x", 1));
    wrongMethod.method = "GET";
    wrongMethod.body.clear();
    refused(wrongMethod, 405);
    CHECK(fixture.standins.sum("accepted") == 0);
    CHECK(textOf(call(promptCall(host, prompt("fine", 2)))) == answerTo("fine", 2));
    fixture.hosts.checkInvariants();
}

TEST_CASE("when a caller disconnects during an answer, the engine stops running its request")
{
    Fixture fixture(R"(engine={"decode_ms":50})");
    json body = prompt("long", 4000);
    body["stream"] = true;
    CallGroup group;
    group.start(promptCall(fixture.hosts.at(0), body));
    group.awaitBytes(0, 1);
    CHECK(fixture.standins.sum("running") == 1);
    group.drop(0);
    group.runFor(std::chrono::milliseconds(1));
    CHECK(eventually([&] { return fixture.standins.sum("running") == 0; }));
    CHECK(eventually([&] { return fixture.hosts.at(0).status()["prompts_in_flight"] == 0; }));
}

TEST_CASE("an answer whose engine crashes is resumed at another engine and completed")
{
    Fixture fixture(R"(engine={"decode_ms":20})");
    json body = prompt("fragile", 60);
    body["stream"] = true;
    CallGroup group;
    group.start(promptCall(fixture.hosts.at(0), body));
    group.awaitBytes(0, 200);
    for (int i = 1; i <= 6; ++i) {
        const std::string engine = "puhuja-" + std::to_string(i);
        if (fixture.standins.counts(engine)["running"] == 1) {
            fixture.standins.control(engine, {{"restart", true}});
        }
    }
    const CallResult &result = group.finish()[0];
    CHECK_MESSAGE(streamedText(result) == answerTo("fragile", 60), result.body);
    fixture.hosts.checkInvariants();
}

TEST_CASE("an answer whose stream stalls is resumed in another stream and completed")
{
    Fixture fixture(R"(engine={"decode_ms":20})");
    json body = prompt("quiet", 200);
    body["stream"] = true;
    CallGroup group;
    group.start(promptCall(fixture.hosts.at(0), body));
    group.awaitBytes(0, 200);
    for (int i = 1; i <= 6; ++i) {
        fixture.standins.control("puhuja-" + std::to_string(i), {{"silent_streams", true}});
    }
    const CallResult &result = group.finish()[0];
    CHECK_MESSAGE(streamedText(result) == answerTo("quiet", 200), result.body);
    fixture.hosts.checkInvariants();
}

TEST_CASE("a prompt that an engine accepted before it fell silent is not called not run when the others refuse it")
{
    for (const bool stream : {false, true}) {
        CAPTURE(stream);
        // A prefill of more than three seconds: a stream has not begun when its engine falls silent.
        Fixture fixture(R"(engine={"prefill_tokens_per_s":1,"decode_ms":20})");
        json body = prompt("accepted by one engine, refused by all others", 200);
        body["stream"] = stream;
        CallGroup group;
        group.start(promptCall(fixture.hosts.at(0), body));
        REQUIRE(eventually([&] {
            group.runFor(std::chrono::milliseconds(5));
            return fixture.standins.sum("accepted") == 1;
        }));
        for (int i = 1; i <= 6; ++i) {
            fixture.standins.control("puhuja-" + std::to_string(i), {{"silent_streams", true}, {"stopping", true}});
        }
        const CallResult &result = group.finish()[0];
        CHECK_MESSAGE(errorKind(result) == "backend_failed", result.body);
        CHECK(runHeader(result) == "unknown");
        CHECK(result.status == 502);
        CHECK(fixture.standins.sum("accepted") == 1);
        fixture.hosts.checkInvariants();
    }
}

TEST_CASE("a prompt whose deadline passes while an engine runs it is not called not run")
{
    Fixture fixture(R"(engine={"decode_ms":50})");
    json body = prompt("longer than its deadline", 4000);
    body["deadline_ms"] = 600;
    const CallResult result = call(promptCall(fixture.hosts.at(0), body));
    CHECK(fixture.standins.sum("accepted") >= 1);
    CHECK_MESSAGE(runHeader(result) == "unknown", result.body);
    CHECK(result.status >= 500);
    fixture.hosts.checkInvariants();
}

TEST_CASE("a prompt that every engine refuses is still called not run")
{
    Fixture fixture;
    for (int i = 1; i <= 6; ++i) {
        fixture.standins.control("puhuja-" + std::to_string(i), {{"stopping", true}});
    }
    const CallResult result = call(promptCall(fixture.hosts.at(0), prompt("refused by all", 5)));
    CHECK(errorKind(result) == "no_server");
    CHECK(runHeader(result) == "not-run");
    CHECK(fixture.standins.sum("accepted") == 0);
}
