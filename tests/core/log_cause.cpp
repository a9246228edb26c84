#include <endivespan/log_cause.h>

#include <doctest/doctest.h>

#include <initializer_list>
#include <rapidcheck.h>

using namespace endivespan;

namespace {

LogIndex bookOf(std::initializer_list<const char *> lines)
{
    LogIndex book;
    for (const char *line : lines) {
        book.add(line);
    }
    book.finish();
    return book;
}

std::string causeIn(std::initializer_list<const char *> lines)
{
    return bookOf(lines).cause("r1").value_or("none");
}

} // namespace

TEST_CASE("log cause: a line is parsed with quoted values and with text before it")
{
    const auto entry
        = parseLogLine("  1.5 node-1 t=100.250 host=h1 event=request request=r1 why=\"no place came free\" x=\r\n");
    REQUIRE(entry);
    CHECK(entry->at == doctest::Approx(100.25));
    CHECK(entry->host == "h1");
    CHECK(entry->event == "request");
    CHECK(entry->field("why") == "no place came free");
    CHECK(entry->field("x").empty());
    CHECK(entry->text.substr(0, 2) == "t=");
    CHECK_FALSE(parseLogLine("peers: h1 listens for peers on 10.0.0.1:1"));
    CHECK_FALSE(parseLogLine(""));
    CHECK(rc::check([](const std::string &text) { (void)parseLogLine(" t=1 host=a event=b " + text); }));
}

TEST_CASE("log cause: the lines of several hosts and attempts are returned in order of time")
{
    const LogIndex book = bookOf({"t=12.0 host=h2 event=request request=r1 outcome=answered",
                                  "t=11.0 host=h1 event=request request=r2 outcome=answered",
                                  "t=10.0 host=h1 event=attempt_failed request=r1 server=s1"});
    const auto story = book.linesOf("r1");
    REQUIRE(story.size() == 2);
    CHECK(story[0]->event == "attempt_failed");
    CHECK(story[1]->host == "h2");
    CHECK(book.cause("r1") == "the request was answered");
    CHECK_FALSE(book.cause("r3"));
}

TEST_CASE("log cause: the cause of a refusal for a stale configuration is the loss of the log or the start of the host")
{
    const char *refused = "t=20 host=h1 event=request_refused request=r1 kind=configuration_stale status=503 why=old";
    CHECK(causeIn({"t=17 host=h1 event=dependency_lost dependency=log why=\"no answer\"", refused})
          == "host h1 had lost contact with the log 3.0 s before (no answer)");
    CHECK(causeIn({"t=17 host=h2 event=dependency_lost dependency=log why=\"no answer\"",
                   "t=19.5 host=h1 event=started",
                   refused})
          == "host h1 had started 0.5 s before and had not read the configuration yet");
    CHECK(causeIn({refused}) == "host h1 had received no answer from the log for some time; no line shows why");
}

TEST_CASE("log cause: the cause of a refusal under load includes servers that disappeared or were loading weights")
{
    const char *refused
        = "t=20 host=h1 event=request request=r1 outcome=overloaded status=503 why=\"no place came free in "
          "time\" servers= known=18 open=13 full=13";
    CHECK(causeIn({refused}) == "overload: of 18 servers 13 accepted requests, of which 13 were full");
    CHECK(causeIn({"t=16 host=h2 event=server_gone server=s1", "t=16.1 host=h1 event=server_gone server=s1", refused})
          == "1 servers had disappeared from the list shortly before, among them s1; of 18 servers 13 accepted "
             "requests, of which 13 were full");
    CHECK(causeIn({"t=12 host=h1 event=server_gone server=s1", "t=13 host=h1 event=server_listed server=s1", refused})
          == "overload: of 18 servers 13 accepted requests, of which 13 were full");
    CHECK(causeIn({"t=18 host=h3 event=weights_ordered server=s2", refused})
          == "1 servers had been ordered to load weights shortly before; of 18 servers 13 accepted requests, of which "
             "13 were full");
}

TEST_CASE("log cause: the cause of a failed request is its server's death or load of weights, or a pause of its host")
{
    const char *cut = "t=20 host=h1 event=request request=r1 outcome=stream_cut status=0 why=\"connection reset\" "
                      "servers=s1,s2 first_ms=90.0 total_ms=900.0";
    const char *alive = "t=19.5 host=h1 event=request request=r9 outcome=answered";
    CHECK(causeIn({alive, cut, "t=23 host=h2 event=server_gone server=s2"})
          == "server s2 died: it disappeared from the list 3.0 s later");
    CHECK(causeIn({alive, "t=18 host=h2 event=weights_ordered server=s2", cut})
          == "server s2 had been ordered to load weights 2.0 s before");
    CHECK(causeIn({alive, "t=19.8 host=h2 event=attempt_failed request=r8 server=s2", cut})
          == "server s2 failed 1 other requests at about the same time");
    CHECK(causeIn({alive, cut})
          == "server s2 broke off its answer (connection reset); it failed no other request at about the same time");
    const char *late = "t=30 host=h1 event=request request=r1 outcome=outcome_unknown status=504 why=\"the deadline "
                       "passed\" servers=s1 first_ms=0.0 total_ms=3000.0";
    CHECK(causeIn({"t=27 host=h1 event=server_listed server=s1", late})
          == "host h1 was paused for 3.0 s during the request");
}

TEST_CASE("log cause: error answers of a server, refused keys and callers that disconnect have causes of their own")
{
    CHECK(causeIn({"t=1 host=h1 event=request request=r1 outcome=server_failed status=500 servers=s1"})
          == "server s1 itself returned status 500");
    CHECK(causeIn({"t=1 host=h1 event=request_refused request=r1 kind=unauthorized why=\"unknown API key\" config=7"})
          == "unknown API key in configuration 7");
    CHECK(causeIn({"t=1 host=h1 event=request request=r1 outcome=caller_gone servers=s1 expected_ms=520.0 first_ms=0.0 "
                   "total_ms=900.0"})
          == "its caller disconnected after 0.9 s; server s1 had not begun to answer, which was expected after 0.5 s");
}

TEST_CASE("log cause: a request refused because servers crashed under identical ones is not explained as overload")
{
    CHECK(causeIn({"t=1 host=h1 event=request request=r1 outcome=overloaded status=503 why=\"several servers crashed "
                   "while they ran an identical request\" cause=identical_crashes servers= known=18 open=13 full=2"})
          == "it was refused because several servers had crashed while they ran identical requests");
}

TEST_CASE("log cause: each cause that hosts write has a name of its own and is explained")
{
    const auto explain = [](std::string_view name, std::string_view outcome) {
        const std::string line = "t=1 host=h1 event=request request=r1 outcome=" + std::string(outcome)
            + " status=503 why=\"\" cause=" + std::string(name) + " servers= known=18 open=13 full=2";
        return causeIn({line.c_str()});
    };
    const std::string unexplained = explain("none", "unknown");
    for (std::size_t i = 0; i < static_cast<std::size_t>(RefusalCause::Count); ++i) {
        const auto cause = static_cast<RefusalCause>(i);
        const RefusalAnswer &answer = refusalAnswer(cause);
        CAPTURE(answer.name);
        CHECK_FALSE(answer.name.empty());
        CHECK(refusalCauseNamed(answer.name) == cause);
        if (cause != RefusalCause::None) {
            CHECK_FALSE(answer.why.empty());
            CHECK(explain(answer.name, errorAnswer(answer.kind).name) != unexplained);
        }
    }
    CHECK(refusalCauseNamed("a name of a later version") == RefusalCause::None);
    CHECK(explain("part_crashes", "backend_failed").starts_with("it was refused because several servers had crashed"));
    CHECK(explain("no_place_in_time", "backend_failed") == unexplained);
    CHECK(explain("servers_rest", "overloaded") == "all servers of the service had asked host h1 to pause");
}
