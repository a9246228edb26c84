#include <endivespan/log_story.h>

#include <doctest/doctest.h>

#include <initializer_list>
#include <rapidcheck.h>

using namespace endivespan;

namespace {

LogBook bookOf(std::initializer_list<const char *> lines)
{
    LogBook book;
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

TEST_CASE("log story: a line is read with quoted values and with text before it")
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

TEST_CASE("log story: lines of several hosts and attempts come in order of time")
{
    const LogBook book = bookOf({"t=12.0 host=h2 event=request request=r1 outcome=answered",
                                 "t=11.0 host=h1 event=request request=r2 outcome=answered",
                                 "t=10.0 host=h1 event=attempt_failed request=r1 server=s1"});
    const auto story = book.story("r1");
    REQUIRE(story.size() == 2);
    CHECK(story[0]->event == "attempt_failed");
    CHECK(story[1]->host == "h2");
    CHECK(book.cause("r1") == "it was answered");
    CHECK_FALSE(book.cause("r3"));
}

TEST_CASE("log story: a refusal without a confirmed configuration names the lost log or the start of the host")
{
    const char *refused = "t=20 host=h1 event=request_refused request=r1 kind=configuration_stale status=503 why=old";
    CHECK(causeIn({"t=17 host=h1 event=dependency_lost dependency=log why=\"no answer\"", refused})
          == "host h1 had lost the log 3.0 s before (no answer)");
    CHECK(causeIn({"t=17 host=h2 event=dependency_lost dependency=log why=\"no answer\"",
                   "t=19.5 host=h1 event=started",
                   refused})
          == "host h1 had started 0.5 s before and had not read the configuration yet");
    CHECK(causeIn({refused}) == "host h1 had not heard from the log lately; no line tells why");
}

TEST_CASE("log story: a refusal under load names what took servers away")
{
    const char *refused
        = "t=20 host=h1 event=request request=r1 outcome=overloaded status=503 why=\"no place came free in "
          "time\" servers= known=18 open=13 full=13";
    CHECK(causeIn({refused}) == "load: of 18 servers 13 were open and 13 of these full");
    CHECK(causeIn({"t=16 host=h2 event=server_gone server=s1", "t=16.1 host=h1 event=server_gone server=s1", refused})
          == "1 servers had gone from the list shortly before, the last one s1; of 18 servers 13 were open and 13 of "
             "these full");
    CHECK(causeIn({"t=12 host=h1 event=server_gone server=s1", "t=13 host=h1 event=server_listed server=s1", refused})
          == "load: of 18 servers 13 were open and 13 of these full");
    CHECK(causeIn({"t=18 host=h3 event=weights_ordered server=s2", refused})
          == "1 servers had been ordered to load weights shortly before; of 18 servers 13 were open and 13 of these "
             "full");
}

TEST_CASE("log story: a failed request names its server's death, its load of weights, or the pause of its host")
{
    const char *cut = "t=20 host=h1 event=request request=r1 outcome=stream_cut status=0 why=\"connection reset\" "
                      "servers=s1,s2 first_ms=90.0 total_ms=900.0";
    const char *alive = "t=19.5 host=h1 event=request request=r9 outcome=answered";
    CHECK(causeIn({alive, cut, "t=23 host=h2 event=server_gone server=s2"})
          == "server s2 died: it went from the list 3.0 s later");
    CHECK(causeIn({alive, "t=18 host=h2 event=weights_ordered server=s2", cut})
          == "server s2 had been ordered to load weights 2.0 s before");
    CHECK(causeIn({alive, "t=19.8 host=h2 event=attempt_failed request=r8 server=s2", cut})
          == "server s2 failed 1 other requests at the time");
    CHECK(
        causeIn({alive, cut})
        == "server s2 stopped in the middle of its answer (connection reset); it failed no other request at the time");
    const char *late = "t=30 host=h1 event=request request=r1 outcome=outcome_unknown status=504 why=\"the deadline "
                       "passed\" servers=s1 first_ms=0.0 total_ms=3000.0";
    CHECK(causeIn({"t=27 host=h1 event=server_listed server=s1", late}) == "host h1 stood still for 3.0 s meanwhile");
}

TEST_CASE("log story: answers of the server itself and refusals of the caller are told apart")
{
    CHECK(causeIn({"t=1 host=h1 event=request request=r1 outcome=server_failed status=500 servers=s1"})
          == "server s1 itself answered with status 500");
    CHECK(causeIn({"t=1 host=h1 event=request_refused request=r1 kind=unauthorized why=\"unknown API key\" config=7"})
          == "unknown API key in configuration 7");
    CHECK(causeIn({"t=1 host=h1 event=request request=r1 outcome=caller_gone servers=s1 expected_ms=520.0 first_ms=0.0 "
                   "total_ms=900.0"})
          == "its caller left after 0.9 s; server s1 had not begun to answer, expected after 0.5 s");
}
