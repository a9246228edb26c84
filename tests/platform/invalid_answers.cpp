#include "engine_control.h"
#include "keyed_log_client.h"
#include "world.h"

#include <doctest/doctest.h>

#include <map>
#include <string>
#include <utility>
#include <vector>

using namespace endivespan;
using namespace endivespan::tests;
using namespace std::chrono_literals;
using Reply = RunnerStandin::Reply;
using Then = Reply::Then;

namespace {

const std::vector<std::string> InvalidStatuses {
    "000", "099", "0", "99", "600", "999", "101", "2x0", "200x", "20", "abc", "+200", "2000"};
/// Those of them that the parser accepts.
const std::vector<std::string> RangeStatuses {"000", "099", "600", "999", "101"};
const std::vector<std::string> InterimStatuses {"100", "102", "103", "199"};
const HttpHeaders Patient {{"x-endivespan-deadline-ms", "2900"}};
const std::string NotExecuted = "X-Endivespan-Not-Executed: 1\r\n";
const std::string End = "0\r\n\r\n";
const std::string Events = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n";

std::string startOf(const ReceivedRequest &request, const std::string &status)
{
    return "HTTP/1.1 " + status + " X\r\nX-Endivespan-Request-Id: " + request.field("x-endivespan-request-id")
        + "\r\nX-Endivespan-Server-Seal: seal\r\n";
}

/// Returns answers with this status, in all framings, and with a statement that the request has not run.
std::vector<Reply> answersWith(const ReceivedRequest &request, const std::string &status)
{
    const std::string start = startOf(request, status);
    const std::string length = "Content-Length: " + std::to_string(Events.size()) + "\r\n\r\n" + Events;
    return {{start + length},
            {start + NotExecuted + "Content-Length: 0\r\n\r\n"},
            {start + "Transfer-Encoding: chunked\r\n\r\n" + eventChunk(1, "a") + eventChunk(2, "b") + End},
            {start + "\r\n" + Events, Then::Close},
            {start + NotExecuted + "\r\n", Then::Close}};
}

Reply wholeStream(const ReceivedRequest &request)
{
    const bool resumed = !request.field("last-event-id").empty();
    return {streamHead(request) + (resumed ? "" : eventChunk(1, "a")) + eventChunk(2, "b") + End};
}

void scriptAll(World &world, const RunnerStandin::Script &script)
{
    for (const auto &runner : world.runners) {
        runner->script = script;
    }
}

/// Makes the first answer to each request one with this status, and the second one a success.
struct FirstInvalid {
    std::string status;
    std::size_t form = 0; ///< Index into answersWith().
    std::map<std::string, std::size_t> attempts; ///< By request id.

    Reply reply(const ReceivedRequest &request)
    {
        const bool first = ++this->attempts[request.field("x-endivespan-request-id")] == 1;
        return first ? answersWith(request, this->status)[this->form] : wholeStream(request);
    }
};

constexpr std::size_t Forms = 5;

/// Makes control calls against a runner that gives each the same answer, and counts those that succeed or do not know
/// that the call may have been carried out.
struct ControlOutcomes {
    explicit ControlOutcomes(const std::string &bytes)
        : server(this->loop, "invalid")
        , engines(this->loop)
        , log(this->loop, this->server.address())
    {
        this->server.script = [bytes](const ReceivedRequest &) { return Reply {bytes}; };
        this->engines.onLeaving([this](const std::string &) { ++this->leaving; });
    }

    /// Returns a callback of a call.
    auto ending()
    {
        ++this->started;
        return [this](const auto &result) {
            ++this->ended;
            this->unknown += !result && result.error().kind == ErrorKind::OutcomeUnknown ? 1 : 0;
            if (this->ended == this->started) {
                this->loop.stop();
            }
        };
    }

    void run()
    {
        const std::string address = this->server.address();
        this->engines.ask(address, this->ending());
        this->engines.give({"s", address, "m", 1, 0}, "h", 1, this->ending());
        this->engines.events(address, 0, 0ms, this->ending());
        this->engines.list(address, this->ending());
        this->engines.free(address, 1, {{"scope", "part"}}, this->ending());
        this->log.newest("keyed.op", this->ending());
        this->log.read("keyed.op", 0, 0ms, this->ending());
        this->log.put("keyed.op", "k", "v", this->ending());
        this->log.last("op", 0, this->ending());
        this->log.appendAt("op", 0, "v", this->ending());
        const auto patience = this->loop.after(5s, [this] { this->loop.stop(); });
        this->loop.run();
    }

    Loop loop;
    RunnerStandin server;
    platform::RunnerControl engines;
    platform::KeyedLogClient log;
    int started = 0;
    int ended = 0;
    int unknown = 0;
    int leaving = 0;
};

} // namespace

// Guards against callers that get "HTTP/1.1 0 <unknown-status>", and against a second run of a request on a route
// without repeats because such an answer seems to say that it has not run.
TEST_CASE("an answer with an invalid status is a failed attempt that may have run")
{
    for (const std::string path : {"/once/", "/again/", "/stream/", "/resume/"}) {
        World world(3, 1, [](ForwardBounds &bounds) { bounds.retrySlack = 1'000'000; });
        const bool repeats = path == "/again/" || path == "/resume/";
        for (const std::string &status : InvalidStatuses) {
            for (std::size_t form = 0; form < Forms; ++form) {
                FirstInvalid script {status, form, {}};
                scriptAll(world, [&script](const ReceivedRequest &request) { return script.reply(request); });
                const std::string name = path + status + "-" + std::to_string(form);
                CAPTURE(name);
                const std::size_t call = world.ask(name, Patient);
                const CallerAnswer answer = world.answer(call);
                CHECK(answer.whole);
                CHECK(answer.status == (repeats ? 200 : 502));
                CHECK(script.attempts["r" + std::to_string(call)] == (repeats ? 2 : 1));
                CHECK((!repeats || answer.body == Events));
            }
        }
    }
}

TEST_CASE("a connection to a server is closed when the status of an answer is invalid")
{
    World world(1);
    RunnerStandin &runner = *world.runners[0];
    for (const std::string &status : RangeStatuses) {
        CAPTURE(status);
        runner.script = [&status](const ReceivedRequest &request) {
            return Reply {startOf(request, status) + "Content-Length: 0\r\n\r\n", Then::Hang};
        };
        CHECK(world.answer(world.ask("/once/" + status, Patient)).status == 502);
        CHECK(world.until([&runner] { return runner.received.back().callerGone; }, 500ms));
    }
}

TEST_CASE("an interim answer is skipped, and the answer behind it reaches the caller")
{
    for (const std::string path : {"/once/", "/again/", "/stream/", "/resume/"}) {
        World world(1);
        for (const std::string &status : InterimStatuses) {
            world.runners[0]->script = [&status](const ReceivedRequest &request) {
                return Reply {startOf(request, status) + NotExecuted + "\r\n" + wholeStream(request).bytes};
            };
            const std::string name = path + status;
            CAPTURE(name);
            const CallerAnswer answer = world.answer(world.ask(name, Patient));
            CHECK(answer.status == 200);
            CHECK(answer.whole);
            CHECK(answer.body == Events);
        }
    }
}

// Every case has a world of its own, since a host avoids servers for a while after their answers were cut.
TEST_CASE("a stream is never resumed by an answer with an invalid status")
{
    std::vector<std::pair<std::string, std::size_t>> cases;
    for (std::size_t form = 0; form < Forms; ++form) {
        cases.emplace_back(RangeStatuses[form % RangeStatuses.size()], form);
        cases.emplace_back("000", form);
    }
    for (const auto &tested : cases) {
        const std::string &status = tested.first;
        const std::size_t form = tested.second;
        CAPTURE(status);
        CAPTURE(form);
        World world(3);
        scriptAll(world, [&status, form](const ReceivedRequest &request) {
            const bool resumed = !request.field("last-event-id").empty();
            return resumed ? answersWith(request, status)[form]
                           : Reply {streamHead(request) + eventChunk(1, "a"), Then::Close};
        });
        const CallerAnswer answer = world.answer(world.ask("/resume/", Patient));
        CHECK(answer.status == 200);
        CHECK_FALSE(answer.whole);
        CHECK(answer.failed);
        CHECK(answer.body == "id: 1\ndata: a\n\n");
    }
}

// The attempt that stands by for a silent server is one like any other.
TEST_CASE("a silent server's answer is not given up for one with an invalid status")
{
    for (const std::string &status : RangeStatuses) {
        for (const std::string path : {"/again/", "/resume/"}) {
            const std::string name = path + status;
            CAPTURE(name);
            World world(3);
            std::size_t attempts = 0;
            scriptAll(world, [&](const ReceivedRequest &request) {
                if (request.field("x-endivespan-request-id") != "r0" || ++attempts > 1) {
                    return answersWith(request, status)[0];
                }
                const std::string first = streamHead(request) + eventChunk(1, "a");
                return path == "/resume/" ? Reply {first, Then::Hang, 0ms, 1400ms, eventChunk(2, "b") + End}
                                          : Reply {wholeStream(request).bytes, Then::Keep, 1400ms};
            });
            const CallerAnswer answer = world.answer(world.ask(name, Patient));
            CHECK(answer.status == 200);
            CHECK(answer.whole);
            CHECK(answer.body == Events);
            CHECK(attempts > 1);
        }
    }
}

// An order, an append or a release that may have been carried out must not be taken for one that was refused, nor an
// invalid answer for cache events, a report, or news of the store.
TEST_CASE("control calls whose answer has an invalid status have an unknown outcome")
{
    const std::string body = R"({"busy":false,"seq":1,"models":[],"epoch":1,"next":1,"events":[],"held":[],"items":[],)"
                             R"("end":1,"offset":0,"first":0})";
    for (const std::string &status : InvalidStatuses) {
        CAPTURE(status);
        std::string bytes = "HTTP/1.1 " + status + " X\r\nServer-Leaving: 1\r\nStore-Era: 7\r\n";
        bytes.append("Content-Length: ").append(std::to_string(body.size())).append("\r\n\r\n").append(body);
        ControlOutcomes outcomes(bytes);
        outcomes.run();
        CHECK(outcomes.ended == outcomes.started);
        CHECK(outcomes.unknown == outcomes.started);
        CHECK(outcomes.leaving == 0);
        CHECK(outcomes.log.era() == 0);
    }
}
