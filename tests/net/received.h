#pragma once

#include <endivespan/http_client.h>
#include <endivespan/http_pool.h>
#include <endivespan/loop.h>

#include <doctest/doctest.h>

#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace endivespan::tests {

/// What the callbacks of one call received; the loop stops when the call ends.
struct Received {
    explicit Received(Loop &loop)
        : loop(loop)
    {
    }

    void end(int &count)
    {
        ++count;
        this->loop.stop();
    }

    void fail(const HttpFailure &why)
    {
        this->failure = why;
        this->end(this->failures);
    }

    /// Runs the loop until the call has ended.
    void await()
    {
        const auto patience = this->loop.after(std::chrono::seconds(5), [this] { this->loop.stop(); });
        this->loop.run();
        REQUIRE(this->done + this->failures == 1);
    }

    /// Checks that the call failed as one that may have run.
    void checkFailed() const
    {
        CHECK(this->done == 0);
        CHECK(this->failures == 1);
        CHECK((this->failure && this->failure->requestSent));
    }

    Loop &loop;
    int done = 0;
    int failures = 0;
    std::vector<int> heads; ///< Statuses.
    std::string body;
    HttpHeaders headers;
    std::optional<HttpFailure> failure;
};

/// Starts a call of a pool. @returns the call.
inline std::unique_ptr<HttpPending> startPooled(HttpPool &pool, Received &received, PooledCall call)
{
    call.target = "/";
    return pool.start(std::move(call),
                      {[&received](int status, const HttpHeaders &headers) {
                           received.heads.push_back(status);
                           received.headers = headers;
                       },
                       [&received](std::string_view bytes) { received.body += bytes; },
                       [&received] { received.end(received.done); },
                       [&received](const HttpFailure &failure) { received.fail(failure); }});
}

/// Makes a call of a pool and waits for its end.
inline void callPooled(HttpPool &pool, Received &received, const std::string &address, const std::string &body = "")
{
    PooledCall call;
    call.address = address;
    call.method = body.empty() ? "GET" : "POST";
    call.body = body;
    const auto pending = startPooled(pool, received, std::move(call));
    received.await();
}

/// Makes a call with its own connection. @param streamed Whether its body is received piecewise.
inline void
callOnce(Loop &loop, Received &received, const std::string &address, bool streamed, const std::string &body = "")
{
    HttpCall call;
    call.address = address;
    call.target = "/";
    call.method = body.empty() ? "GET" : "POST";
    call.body = body;
    HttpCallbacks callbacks;
    if (streamed) {
        callbacks.onChunk = [&received](int status, std::string_view bytes) {
            received.heads.push_back(status);
            received.body += bytes;
        };
    }
    callbacks.onDone = [&received](const HttpAnswer &answer) {
        received.heads.push_back(answer.status);
        received.body += answer.body;
        received.headers = answer.headers;
        received.end(received.done);
    };
    callbacks.onFailure = [&received](const HttpFailure &failure) { received.fail(failure); };
    const auto pending = startHttpCall(loop, call, std::move(callbacks));
    received.await();
}

} // namespace endivespan::tests
