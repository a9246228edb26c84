#include "byte_server.h"
#include "received.h"

#include <endivespan/engine_client.h>
#include <endivespan/http_pool.h>
#include <endivespan/log_client.h>
#include <endivespan/loop.h>
#include <endivespan/store_client.h>

#include <doctest/doctest.h>

#include <functional>
#include <string>
#include <vector>

using namespace endivespan;
using namespace endivespan::tests;
using namespace std::chrono_literals;

namespace {

const std::string Success = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

/// Statuses that no answer to a request may have: out of range, not three digits, or 101, which was not asked for.
const std::vector<std::string> InvalidStatuses {"000",  "001",  "099",  "0",     "1",         "9",   "99",   "600",
                                                "700",  "999",  "101",  "20",    "2",         "2x0", "20x",  "x00",
                                                "abc",  "-20",  "+20",  "-200",  "0x1",       "",    "2000", "200x",
                                                "200,", "0200", "+200", "200.5", "4294967496"};

/// Interim statuses, which are followed by the answer.
const std::vector<std::string> InterimStatuses {"100", "102", "103", "104", "199"};

/// Returns answers with this status, with all framings.
std::vector<Sending> answersWith(const std::string &status, const std::string &body)
{
    const std::string start = "HTTP/1.1 " + status + " X\r\n";
    char size[16];
    std::snprintf(size, sizeof(size), "%zx", body.size());
    std::string length = start + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n";
    length += body;
    std::string chunked = start + "Transfer-Encoding: chunked\r\n\r\n" + size + "\r\n";
    chunked.append(body).append("\r\n0\r\n\r\n");
    std::string closed = start + "\r\n";
    closed += body;
    std::vector<Sending> all;
    for (const Delivery delivery : {Delivery::AtOnce, Delivery::ByteByByte}) {
        all.push_back({length, End::Keep, delivery});
        all.push_back({start + "Content-Length: 0\r\n\r\n", End::Keep, delivery});
        all.push_back({chunked, End::Keep, delivery});
        all.push_back({closed, End::Close, delivery});
        all.push_back({start + "\r\n", End::Close, delivery});
    }
    return all;
}

/// Calls @p check with every answer that has an invalid status.
void forEachInvalid(const std::string &body, const std::function<void(const Sending &sending)> &check)
{
    for (const std::string &status : InvalidStatuses) {
        for (const Sending &sending : answersWith(status, body)) {
            INFO(sending.bytes);
            check(sending);
        }
    }
}

} // namespace

// Guards against callers that get "HTTP/1.1 0 <unknown-status>" because a server answered with status 000.
TEST_CASE("a pooled call fails as one that may have run when the status of its answer is invalid")
{
    Loop loop;
    ByteServer server(loop);
    for (const bool reused : {false, true}) {
        CAPTURE(reused);
        forEachInvalid("ok", [&](const Sending &sending) {
            const auto pool = HttpPool::create(loop, 5s);
            if (reused) {
                server.script = [](const std::string &) { return Sending {Success}; };
                Received first(loop);
                callPooled(*pool, first, server.address);
                REQUIRE(first.done == 1);
            }
            server.script = [&sending](const std::string &) -> const Sending & { return sending; };
            Received received(loop);
            callPooled(*pool, received, server.address);
            received.checkFailed();
            CHECK(received.heads.empty());
            CHECK(received.body.empty());
            CHECK((received.failure && received.failure->error.kind == ErrorKind::ProtocolError));
        });
    }
}

TEST_CASE("a connection on which an answer had an invalid status is not used again")
{
    Loop loop;
    ByteServer server(loop);
    for (const std::string &status : InvalidStatuses) {
        CAPTURE(status);
        const auto pool = HttpPool::create(loop, 5s);
        server.script = [&status](const std::string &) {
            return Sending {"HTTP/1.1 " + status + " X\r\nContent-Length: 0\r\n\r\n"};
        };
        Received first(loop);
        callPooled(*pool, first, server.address);
        server.script = [](const std::string &) { return Sending {Success}; };
        const std::size_t accepts = server.accepts;
        Received second(loop);
        callPooled(*pool, second, server.address);
        CHECK(second.done == 1);
        CHECK(server.accepts == accepts + 1);
    }
}

// An answer that seems to belong to another call must not hide that its status is invalid.
TEST_CASE("an answer to another call whose status is invalid ends the connection")
{
    Loop loop;
    ByteServer server(loop);
    server.script
        = [](const std::string &) { return Sending {"HTTP/1.1 000 X\r\nContent-Length: 0\r\n\r\n" + Success}; };
    const auto pool = HttpPool::create(loop, 5s);
    PooledCall call;
    call.address = server.address;
    call.belongs = [](int status, const HttpHeaders &) { return status == 200; };
    Received received(loop);
    const auto pending = startPooled(*pool, received, std::move(call));
    received.await();
    received.checkFailed();
}

TEST_CASE("interim answers are skipped, and only the answer behind them ends a pooled call")
{
    Loop loop;
    ByteServer server(loop);
    for (const std::string &status : InterimStatuses) {
        CAPTURE(status);
        const std::string interim = "HTTP/1.1 " + status + " X\r\nX-Interim: 1\r\n\r\n";
        for (const Delivery delivery : {Delivery::AtOnce, Delivery::ByteByByte}) {
            const auto ask = [&](const std::string &bytes, End end) {
                server.script = [&, bytes, end](const std::string &) { return Sending {bytes, end, delivery}; };
                const auto pool = HttpPool::create(loop, 5s);
                Received received(loop);
                callPooled(*pool, received, server.address);
                return received;
            };
            std::string twice = interim + interim;
            twice += Success;
            const Received whole = ask(twice, End::Keep);
            CHECK(whole.done == 1);
            CHECK(whole.heads == std::vector<int> {200});
            CHECK(whole.body == "ok");
            CHECK(!whole.headers.contains("x-interim"));
            ask(interim, End::Close).checkFailed();
            ask(interim + "HTTP/1.1 000 X\r\nContent-Length: 0\r\n\r\n", End::Keep).checkFailed();
            std::string switched = interim + "HTTP/1.1 101 X\r\n\r\n";
            switched += Success;
            ask(switched, End::Keep).checkFailed();
        }
    }
}

// The protocol of a connection cannot change when no call asks for it: what follows is not an answer.
TEST_CASE("an answer behind status 101 is not the answer of a call")
{
    Loop loop;
    ByteServer server(loop);
    server.script = [](const std::string &) {
        return Sending {"HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\nConnection: Upgrade\r\n\r\n" + Success};
    };
    const auto pool = HttpPool::create(loop, 5s);
    Received pooled(loop);
    callPooled(*pool, pooled, server.address);
    pooled.checkFailed();
    CHECK(pooled.heads.empty());
    Received own(loop);
    callOnce(loop, own, server.address, false);
    own.checkFailed();
}

TEST_CASE("a call with its own connection fails as one that may have run when the status of its answer is invalid")
{
    Loop loop;
    ByteServer server(loop);
    for (const bool streamed : {false, true}) {
        CAPTURE(streamed);
        forEachInvalid("ok", [&](const Sending &sending) {
            server.script = [&sending](const std::string &) -> const Sending & { return sending; };
            Received received(loop);
            callOnce(loop, received, server.address, streamed);
            received.checkFailed();
            CHECK(received.heads.empty());
            CHECK(received.body.empty());
        });
    }
}

// evhttp skips status 100 only; a call whose server sends another interim answer fails.
TEST_CASE("an interim answer is not the answer of a call with its own connection")
{
    Loop loop;
    ByteServer server(loop);
    for (const std::string &status : InterimStatuses) {
        for (const bool streamed : {false, true}) {
            CAPTURE(status);
            CAPTURE(streamed);
            const std::string interim = "HTTP/1.1 " + status + " X\r\nX-Interim: 1\r\n\r\n";
            server.script = [&](const std::string &) { return Sending {interim + Success}; };
            Received received(loop);
            callOnce(loop, received, server.address, streamed);
            if (status != "100") {
                received.checkFailed();
                continue;
            }
            CHECK(received.done == 1);
            CHECK(received.body == "ok");
            CHECK(!received.headers.contains("x-interim"));
        }
    }
}

TEST_CASE("an engine's answer with an invalid status is neither a stream nor a promise that the request has not run")
{
    Loop loop;
    ByteServer server(loop);
    const auto client = EngineClient::create(loop);
    for (const std::string body :
         {"{\"error\":\"cold\",\"ran\":false}", "data: {\"request_id\":\"a\",\"done\":true,\"count\":0}\n\n"}) {
        forEachInvalid(body, [&](const Sending &sending) {
            server.script = [&sending](const std::string &) -> const Sending & { return sending; };
            EngineRequest request;
            request.address = server.address;
            request.attemptId = "a";
            Received received(loop);
            int refusals = 0;
            const auto run = client->run(request,
                                         {{},
                                          [&received](const EngineSummary &) { received.end(received.done); },
                                          [&](EngineRefusal, const std::string &) { received.end(refusals); },
                                          [&received](const Error &error, bool sent) {
                                              received.fail({error, sent});
                                          }});
            const auto patience = loop.after(5s, [&loop] { loop.stop(); });
            loop.run();
            CHECK(refusals == 0);
            received.checkFailed();
        });
    }
}

// Cache events, load reports, orders and appends of the same invalid answers.
TEST_CASE("events, reports and orders fail when the status of their answer is invalid")
{
    Loop loop;
    ByteServer server(loop);
    const auto engines = EngineClient::create(loop);
    const auto stores = StoreClient::create(loop);
    const auto log = LogClient::create(loop, server.address);
    const std::string body
        = R"({"incarnation":"i","next":1,"events":[],"pieces":[],"generation":1,"first":1,"at_ms":1,)"
          R"("oldest":0,"end":1,"records":[]})";
    for (const std::string &status : InvalidStatuses) {
        CAPTURE(status);
        server.script = [&](const std::string &) { return answersWith(status, body).front(); };
        int ended = 0;
        int succeeded = 0;
        const auto count = [&](const auto &result) {
            ++ended;
            succeeded += result ? 1 : 0;
            if (ended == 8) {
                loop.stop();
            }
        };
        engines->events(server.address, 0, count);
        engines->load(server.address, count);
        engines->exportPiece(server.address, {}, "s", 1, count);
        engines->loadVersion(server.address, "v", 1, count);
        stores->list(server.address, "", 10, count);
        stores->load(server.address, count);
        log->read("s", 0, 10, 0ms, count);
        // A failed append may be in the log, so that it is not written again as another record.
        log->append("s", {"r"}, [&](const Result<LogAppendAck> &result) {
            CHECK((!result && result.error().kind == ErrorKind::OutcomeUnknown));
            count(result);
        });
        const auto patience = loop.after(5s, [&loop] { loop.stop(); });
        loop.run();
        CHECK(ended == 8);
        CHECK(succeeded == 0);
    }
}
