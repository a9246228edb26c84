#include "byte_server.h"

#include <endivespan/engine_client.h>
#include <endivespan/http_client.h>
#include <endivespan/http_pool.h>
#include <endivespan/loop.h>

#include <doctest/doctest.h>

#include <functional>
#include <string>
#include <vector>

using namespace endivespan;
using namespace endivespan::tests;
using namespace std::chrono_literals;

namespace {

/// Callbacks received for one call; the loop stops when the call ends.
struct Outcome {
    explicit Outcome(Loop &loop)
        : loop(loop)
    {
    }

    void succeed()
    {
        ++this->done;
        this->loop.stop();
    }

    void refuse()
    {
        ++this->refusals;
        this->loop.stop();
    }

    void fail()
    {
        ++this->failures;
        this->loop.stop();
    }

    /// Runs the loop until the call has ended.
    void await()
    {
        const auto patience = this->loop.after(5s, [this] { this->loop.stop(); });
        this->loop.run();
        REQUIRE(this->done + this->refusals + this->failures == 1);
    }

    Loop &loop;
    int done = 0;
    int refusals = 0;
    int failures = 0;
    int status = 0;
    std::string body;
};

struct Answer {
    std::string name;
    std::string head;
    std::string body; ///< As framed.
    std::string content;
    bool endsWithConnection = false;

    [[nodiscard]] std::string bytes() const
    {
        return this->head + this->body;
    }

    /// Returns whether the first @p size bytes are a complete answer once the connection is closed.
    [[nodiscard]] bool isWhole(std::size_t size, End end) const
    {
        if (this->endsWithConnection) {
            return end == End::Close && size >= this->head.size();
        }
        return size == this->bytes().size();
    }
};

std::vector<Answer> answers(const std::string &status, const std::string &content)
{
    const std::string start = "HTTP/1.1 " + status + "\r\nX-First: one\r\n";
    const std::size_t half = content.size() / 2;
    const auto chunk = [](const std::string &part) {
        char size[16];
        std::snprintf(size, sizeof(size), "%zx", part.size());
        return std::string(size) + "\r\n" + part + "\r\n";
    };
    const std::string chunks = chunk(content.substr(0, half)) + chunk(content.substr(half));
    const std::string length = std::to_string(content.size());
    const std::string chunkedHead = start + "Transfer-Encoding: chunked\r\nX-Last: 2\r\n\r\n";
    return {
        {"length", start + "Content-Length: " + length + "\r\nX-Last: 2\r\n\r\n", content, content},
        {"length in the last field", start + "Content-Length: " + length + "\r\n\r\n", content, content},
        {"chunks", chunkedHead, chunks + "0\r\n\r\n", content},
        {"chunks and trailers", chunkedHead, chunks + "0\r\nX-Trailer: 1\r\n\r\n", content},
        {"no chunk", chunkedHead, "0\r\n\r\n", ""},
        {"end of the connection", start + "X-Last: 2\r\n\r\n", content, content, true},
        {"end of the connection, HTTP/1.0", "HTTP/1.0 " + status + "\r\nX-First: one\r\n\r\n", content, content, true},
        {"no body", start + "Content-Length: 0\r\n\r\n", "", ""},
    };
}

PooledCallbacks pooledCallbacks(Outcome &outcome)
{
    return {[&outcome](int status, const HttpHeaders &) { outcome.status = status; },
            [&outcome](std::string_view bytes) { outcome.body += bytes; },
            [&outcome] { outcome.succeed(); },
            [&outcome](const HttpFailure &) { outcome.fail(); }};
}

PooledCall pooledCall(const ByteServer &server)
{
    PooledCall call;
    call.address = server.address;
    call.target = "/";
    return call;
}

/// Calls @p check with every answer, cut after every number of bytes, ended and delivered in every way.
void forEachCut(const std::vector<Answer> &list,
                const std::function<void(const Answer &answer, std::size_t size, const Sending &sending)> &check)
{
    for (const Answer &answer : list) {
        for (const End end : {End::Close, End::Reset}) {
            for (const Delivery delivery : {Delivery::AtOnce, Delivery::ByteByByte}) {
                for (std::size_t size = 0; size <= answer.bytes().size(); ++size) {
                    check(answer, size, {answer.bytes().substr(0, size), end, delivery});
                }
            }
        }
    }
}

std::string describe(const Answer &answer, std::size_t size, const Sending &sending)
{
    return answer.name + (sending.end == End::Reset ? ", reset" : ", closed")
        + (sending.delivery == Delivery::ByteByByte ? " byte by byte" : "") + " after " + std::to_string(size) + " of "
        + std::to_string(answer.bytes().size()) + " bytes";
}

/// Checks that a call has failed, or that it received the whole content where the answer was whole.
void checkOutcome(const Outcome &outcome, const Answer &answer, std::size_t size, const Sending &sending)
{
    const bool whole = answer.isWhole(size, sending.end);
    CHECK(outcome.done == (whole ? 1 : 0));
    CHECK(outcome.failures == (whole ? 0 : 1));
    if (whole) {
        CHECK(outcome.status == 200);
        CHECK(outcome.body == (answer.endsWithConnection ? sending.bytes.substr(answer.head.size()) : answer.content));
    }
}

} // namespace

TEST_CASE("an answer with a length whose body arrives after its head is received whole")
{
    Loop loop;
    ByteServer server(loop);
    for (const Answer &answer : answers("200 OK", "0123456789abcdefghijklm")) {
        CAPTURE(answer.name);
        const Sending sending {answer.bytes(), End::Close, Delivery::ByteByByte};
        server.script = [&sending](const std::string &) -> const Sending & { return sending; };
        const auto pool = HttpPool::create(loop, 5s);
        Outcome outcome(loop);
        const auto call = pool->start(pooledCall(server), pooledCallbacks(outcome));
        outcome.await();
        checkOutcome(outcome, answer, answer.bytes().size(), sending);
    }
}

TEST_CASE("a pooled call whose answer is cut at any byte fails, on a new connection and on one in use again")
{
    Loop loop;
    ByteServer server(loop);
    for (const bool reused : {false, true}) {
        CAPTURE(reused);
        forEachCut(answers("200 OK", "0123456789abcdefghijklm"),
                   [&](const Answer &answer, std::size_t size, const Sending &sending) {
                       INFO(describe(answer, size, sending));
                       const auto pool = HttpPool::create(loop, 5s);
                       if (reused) {
                           server.script = [](const std::string &) {
                               return Sending {"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"};
                           };
                           Outcome first(loop);
                           const auto call = pool->start(pooledCall(server), pooledCallbacks(first));
                           first.await();
                           REQUIRE(first.done == 1);
                       }
                       server.script = [&sending](const std::string &) -> const Sending & { return sending; };
                       const std::size_t accepts = server.accepts;
                       Outcome outcome(loop);
                       const auto call = pool->start(pooledCall(server), pooledCallbacks(outcome));
                       outcome.await();
                       REQUIRE(server.accepts == accepts + (reused ? 0 : 1));
                       checkOutcome(outcome, answer, size, sending);
                   });
    }
}

TEST_CASE("a call with its own connection whose answer is cut at any byte fails")
{
    Loop loop;
    ByteServer server(loop);
    for (const bool streamed : {false, true}) {
        CAPTURE(streamed);
        forEachCut(answers("200 OK", "0123456789abcdefghijklm"),
                   [&](const Answer &answer, std::size_t size, const Sending &sending) {
                       INFO(describe(answer, size, sending));
                       server.script = [&sending](const std::string &) -> const Sending & { return sending; };
                       HttpCall call;
                       call.address = server.address;
                       call.target = "/";
                       Outcome outcome(loop);
                       HttpCallbacks callbacks;
                       if (streamed) {
                           callbacks.onChunk = [&outcome](int, std::string_view bytes) { outcome.body += bytes; };
                       }
                       callbacks.onDone = [&outcome](const HttpAnswer &received) {
                           outcome.status = received.status;
                           outcome.body += received.body;
                           outcome.succeed();
                       };
                       callbacks.onFailure = [&outcome](const HttpFailure &) { outcome.fail(); };
                       const auto pending = startHttpCall(loop, call, std::move(callbacks));
                       outcome.await();
                       checkOutcome(outcome, answer, size, sending);
                   });
    }
}

TEST_CASE("an engine's stream that is cut at any byte before its summary fails")
{
    Loop loop;
    ByteServer server(loop);
    const auto client = EngineClient::create(loop);
    const std::string content = "data: {\"request_id\":\"a\",\"index\":0,\"text\":\"x\"}\n\n"
                                "data: {\"request_id\":\"a\",\"done\":true,\"count\":1}\n\n";
    forEachCut(answers("200 OK", content), [&](const Answer &answer, std::size_t size, const Sending &sending) {
        INFO(describe(answer, size, sending));
        server.script = [&sending](const std::string &) -> const Sending & { return sending; };
        EngineRequest request;
        request.address = server.address;
        request.attemptId = "a";
        Outcome outcome(loop);
        int tokens = 0;
        const auto run = client->run(request,
                                     {[&tokens](const EngineToken &) { ++tokens; },
                                      [&outcome](const EngineSummary &) { outcome.succeed(); },
                                      [&outcome](EngineRefusal, const std::string &) { outcome.refuse(); },
                                      [&outcome](const Error &, bool) { outcome.fail(); }});
        outcome.await();
        CHECK(outcome.refusals == 0);
        // The summary ends the answer whatever follows it.
        const bool summary = sending.bytes.find("\"count\":1}\n\n") != std::string::npos;
        CHECK(outcome.done == (summary ? 1 : 0));
        CHECK(outcome.failures == (summary ? 0 : 1));
        CHECK(tokens <= 1);
        CHECK((outcome.done == 0 || tokens == 1));
    });
}

TEST_CASE("an engine's refusal that is cut at any byte is not taken for a promise that the request has not run")
{
    Loop loop;
    ByteServer server(loop);
    const auto client = EngineClient::create(loop);
    const std::string content = "{\"error\":\"cold\",\"ran\":false}";
    forEachCut(answers("503 X", content), [&](const Answer &answer, std::size_t size, const Sending &sending) {
        INFO(describe(answer, size, sending));
        server.script = [&sending](const std::string &) -> const Sending & { return sending; };
        EngineRequest request;
        request.address = server.address;
        request.attemptId = "a";
        Outcome outcome(loop);
        const auto run = client->run(request,
                                     {{},
                                      [&outcome](const EngineSummary &) { outcome.succeed(); },
                                      [&outcome](EngineRefusal, const std::string &) { outcome.refuse(); },
                                      [&outcome](const Error &, bool) { outcome.fail(); }});
        outcome.await();
        CHECK(outcome.done == 0);
        const bool whole
            = answer.content == content && answer.isWhole(size, sending.end) && size == answer.bytes().size();
        CHECK(outcome.refusals == (whole ? 1 : 0));
        CHECK(outcome.failures == (whole ? 0 : 1));
    });
}
