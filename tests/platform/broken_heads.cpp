#include "byte_server.h"
#include "world.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <array>
#include <cstdio>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

using namespace endivespan;
using namespace endivespan::tests;
using namespace std::chrono_literals;
using Then = RunnerStandin::Reply::Then;

namespace {

enum class Framing {
    Length,
    Chunks,
    Connection,
};

constexpr std::array<const char *, 3> FramingNames {"length", "chunks", "end of the connection"};
constexpr int Events = 2;
constexpr int SlotsOfRunner = 4096;
constexpr std::size_t CutsAtOnce = 200;
constexpr int RoundsMost = 20;
constexpr std::chrono::milliseconds ClosedTime = 5ms; ///< After which a host has noticed closed connections.

std::string eventText(int id)
{
    return "id: " + std::to_string(id) + "\ndata: " + std::string(1, static_cast<char>('a' + id)) + "\n\n";
}

/// Returns the events after @p last.
std::string eventsAfter(int last)
{
    std::string text;
    for (int id = last + 1; id <= Events; ++id) {
        text += eventText(id);
    }
    return text;
}

std::string headOf(const std::string &requestId, Framing framing)
{
    const std::string start = "HTTP/1.1 200 OK\r\nX-Endivespan-Request-Id: " + requestId
        + "\r\nX-Endivespan-Server-Seal: seal\r\nContent-Type: text/event-stream\r\n";
    switch (framing) {
    case Framing::Length:
        return start + "Content-Length: " + std::to_string(eventsAfter(0).size()) + "\r\n\r\n";
    case Framing::Chunks:
        return start + "Transfer-Encoding: chunked\r\n\r\n";
    case Framing::Connection:
        break;
    }
    return start + "\r\n";
}

std::string bodyOf(Framing framing)
{
    if (framing != Framing::Chunks) {
        return eventsAfter(0);
    }
    std::string chunks;
    for (int id = 1; id <= Events; ++id) {
        chunks += eventChunk(id, std::string(1, static_cast<char>('a' + id)));
    }
    return chunks + "0\r\nX-Trailer: 1\r\n\r\n";
}

/// Describes an answer by its status, its end, the number of attempts and, if it is a complete success, its body.
std::string outcomeOf(const CallerAnswer &answer, std::size_t attempts)
{
    const std::string end = answer.whole ? " complete" : answer.failed ? " cut" : " unfinished";
    return std::to_string(answer.status) + end + ", attempts: " + std::to_string(attempts)
        + (answer.whole && answer.status == 200 ? ", body: " + answer.body : "");
}

/// One answer that a runner cuts after @p size bytes, and the request that it belongs to.
struct Cut {
    std::string route;
    Framing framing;
    Then then;
    std::size_t size;
    bool reused; ///< Sent on a connection on which an earlier request was answered.
    bool engine; ///< The request names a model.
    std::string id;

    [[nodiscard]] bool isStream() const
    {
        return this->route == "/stream/" || this->route == "/resume/";
    }

    [[nodiscard]] std::string bytes() const
    {
        return (headOf(this->id, this->framing) + bodyOf(this->framing)).substr(0, this->size);
    }

    /// Returns the content that these bytes deliver as complete, if they do.
    [[nodiscard]] std::optional<std::string> content() const
    {
        const std::string head = headOf(this->id, this->framing);
        if (this->framing != Framing::Connection) {
            const bool whole = this->size == head.size() + bodyOf(this->framing).size();
            return whole ? std::optional(eventsAfter(0)) : std::nullopt;
        }
        // Such an answer is complete when the connection is closed in order, except for a stream inside an event.
        if (this->then != Then::Close || this->size < head.size()) {
            return std::nullopt;
        }
        std::string body = this->bytes().substr(head.size());
        return this->isStream() && !body.ends_with("\n\n") ? std::nullopt : std::optional(std::move(body));
    }

    /// Returns the outcomes that are correct, as outcomeOf() describes them.
    [[nodiscard]] std::set<std::string> outcomes() const
    {
        if (const auto content = this->content()) {
            return {outcomeOf({200, {}, *content, true, false}, 1)};
        }
        const bool streamBegan = this->isStream() && this->size >= headOf(this->id, this->framing).size();
        std::set<std::string> correct {streamBegan ? outcomeOf({200, {}, "", false, true}, 1)
                                                   : outcomeOf({502, {}, "", true, false}, 1)};
        if (this->route == "/again/" || this->route == "/resume/") {
            correct.insert(outcomeOf({200, {}, eventsAfter(0), true, false}, 2));
        }
        return correct;
    }

    [[nodiscard]] std::string describe() const
    {
        return this->route + this->id + ": " + FramingNames.at(static_cast<std::size_t>(this->framing))
            + (this->then == Then::Reset ? ", reset" : ", closed") + " after " + std::to_string(this->size) + " bytes"
            + (this->reused ? ", connection used again" : "") + (this->engine ? ", engine" : "");
    }
};

/// Returns every cut of every answer on one route, all on new or all on reused connections.
std::vector<Cut> everyCut(const std::string &route, bool reused)
{
    std::vector<Cut> cuts;
    for (const Framing framing : {Framing::Length, Framing::Chunks, Framing::Connection}) {
        for (const Then then : {Then::Close, Then::Reset}) {
            char id[16];
            std::snprintf(id, sizeof(id), "%06x", 0);
            const std::size_t whole = headOf(id, framing).size() + bodyOf(framing).size();
            for (std::size_t size = 0; size <= whole; ++size) {
                std::snprintf(id, sizeof(id), "%06zx", cuts.size());
                cuts.push_back({route, framing, then, size, reused, (size % 2 == 0) == reused, id});
            }
        }
    }
    return cuts;
}

/// A world whose runners cut the first answer to each request and complete the second one.
class CutWorld
{
public:
    CutWorld()
        : world(2, 1, [](ForwardBounds &bounds) { bounds.retrySlack = 1'000'000; })
    {
        this->world.configure([](nlohmann::json &config) {
            // No attempt is repeated before its answer is cut.
            for (nlohmann::json &route : config["routes"]) {
                route["timeout_ms"] = 20000;
                route["aim_ms"] = 20000;
            }
            config["services"][0]["engine"]["slots"] = SlotsOfRunner;
        });
        for (const auto &runner : this->world.runners) {
            runner->script = [this](const ReceivedRequest &request) { return this->reply(request); };
        }
    }

    /// Plays all cuts, each until the runner has received its request, and checks what the callers received.
    void play(const std::vector<Cut> &all)
    {
        for (std::size_t from = 0; from < all.size(); from += CutsAtOnce) {
            std::vector<Cut> open(all.begin() + static_cast<std::ptrdiff_t>(from),
                                  all.begin() + static_cast<std::ptrdiff_t>(std::min(from + CutsAtOnce, all.size())));
            for (int round = 0; !open.empty() && round < RoundsMost; ++round) {
                this->playRound(open);
            }
            REQUIRE(open.empty());
        }
    }

    std::size_t played = 0;
    std::size_t repeated = 0; ///< Requests that the other runner completed.

private:
    struct Attempts {
        std::size_t count = 0;
        bool reused = false; ///< Whether the first one came on a connection that was used before.
    };

    RunnerStandin::Reply reply(const ReceivedRequest &request)
    {
        const std::string id = request.field("x-endivespan-request-id");
        const std::string server = request.field("x-endivespan-expect-instance");
        const auto connection = std::pair(server, request.connection);
        const bool reused = !this->usedConnections.insert(connection).second;
        const auto left
            = std::chrono::duration_cast<std::chrono::milliseconds>(this->releaseAt - this->world.loop.now());
        const std::chrono::milliseconds delay = std::max(left, 0ms);
        const auto found = this->cuts.find(id);
        if (found == this->cuts.end()) {
            this->reached.insert(server);
            return {answerTo(request, 200, ""), Then::Keep, delay};
        }
        Attempts &attempts = this->attempts[id];
        if (++attempts.count > 1) {
            const std::string last = request.field("last-event-id");
            return {answerTo(request, 200, eventsAfter(last.empty() ? 0 : std::stoi(last)))};
        }
        attempts.reused = reused;
        return {found->second.bytes(), found->second.then, delay};
    }

    std::size_t ask(const Cut &cut)
    {
        HttpHeaders headers {{"x-endivespan-request-id", cut.id}, {"x-endivespan-deadline-ms", "10000"}};
        if (cut.engine) {
            headers["x-endivespan-model"] = "m";
            headers["x-endivespan-token-count"] = "10,10";
            headers["x-endivespan-prompt-prefix"] = cut.id + ":10";
        }
        return this->world.ask(cut.route + cut.id, headers);
    }

    // Every request has a path of its own, since a host refuses identical requests after several crashes.
    std::size_t askPlain()
    {
        return this->world.ask("/once/plain-" + std::to_string(++this->plainRequests));
    }

    // Lists the runners under new ids, since a host avoids a runner for a while after its answer was cut.
    void renew()
    {
        this->cuts.clear();
        this->attempts.clear();
        this->usedConnections.clear();
        this->releaseAt = {};
        ++this->renewals;
        std::set<std::string> ids;
        for (std::size_t i = 0; i < this->world.runners.size(); ++i) {
            RunnerStandin &runner = *this->world.runners[i];
            runner.shutDown();
            runner.resume();
            this->world.store.put("keyed.servers", runner.id, std::nullopt);
            runner.id = "runner-" + std::to_string(i) + "-" + std::to_string(this->renewals);
            this->world.list(runner, {{"slots", SlotsOfRunner}});
            ids.insert(runner.id);
        }
        this->world.runFor(ClosedTime);
        REQUIRE(this->world.until([this, &ids] {
            const bool whole = this->world.answer(this->askPlain()).whole;
            return whole && std::includes(this->reached.begin(), this->reached.end(), ids.begin(), ids.end());
        }));
    }

    // Opens connections that the host keeps.
    void openConnections(std::size_t count)
    {
        this->releaseAt = this->world.loop.now() + 80ms;
        std::vector<std::size_t> calls;
        for (std::size_t i = 0; i < 2 * count; ++i) {
            calls.push_back(this->askPlain());
            this->pauseAfter(calls.size());
        }
        for (const std::size_t call : calls) {
            CHECK(this->world.answer(call).whole);
        }
    }

    void pauseAfter(std::size_t calls)
    {
        if (calls % 32 == 0) {
            this->world.runFor(1ms);
        }
    }

    void playRound(std::vector<Cut> &open)
    {
        this->renew();
        if (open.front().reused) {
            this->openConnections(open.size());
        } else {
            for (const auto &runner : this->world.runners) {
                runner->shutDown();
                runner->resume();
            }
            this->world.runFor(ClosedTime);
        }
        for (const Cut &cut : open) {
            this->cuts.emplace(cut.id, cut);
        }
        this->releaseAt = this->world.loop.now() + 100ms;
        std::vector<std::size_t> calls;
        for (const Cut &cut : open) {
            calls.push_back(this->ask(cut));
            this->pauseAfter(calls.size());
        }
        std::vector<Cut> missed;
        for (std::size_t i = 0; i < open.size(); ++i) {
            const CallerAnswer answer = this->world.answer(calls[i]);
            const auto found = this->attempts.find(open[i].id);
            if (found == this->attempts.end() || found->second.reused != open[i].reused) {
                missed.push_back(open[i]);
                continue;
            }
            this->check(open[i], answer, found->second.count);
        }
        open = missed;
    }

    void check(const Cut &cut, const CallerAnswer &answer, std::size_t attemptCount)
    {
        const std::string outcome = outcomeOf(answer, attemptCount);
        INFO(cut.describe());
        INFO(outcome);
        CHECK(cut.outcomes().contains(outcome));
        ++this->played;
        this->repeated += attemptCount > 1 ? 1 : 0;
    }

    World world;
    TimePoint releaseAt; ///< When the runners send the answers of this round.
    int renewals = 0;
    std::size_t plainRequests = 0;
    std::map<std::string, Cut> cuts; ///< By request id.
    std::map<std::string, Attempts> attempts; ///< By request id.
    std::set<std::pair<std::string, std::uint64_t>> usedConnections;
    std::set<std::string> reached; ///< Ids of runners that have received other requests.
};

} // namespace

TEST_CASE("an answer whose body arrives after its head is returned whole")
{
    World world(1);
    ByteServer runner(world.loop);
    runner.script = [](const std::string &request) {
        constexpr std::string_view Field = "\r\nx-endivespan-request-id: ";
        const std::size_t at = request.find(Field) + Field.size();
        const std::string id = request.substr(at, request.find("\r\n", at) - at);
        return Sending {headOf(id, Framing::Length) + bodyOf(Framing::Length), End::Keep, Delivery::ByteByByte};
    };
    RunnerStandin &listed = *world.runners[0];
    world.store.put("keyed.servers", listed.id, std::nullopt);
    listed.id = "split";
    world.list(listed, {{"address", runner.address}});
    REQUIRE(world.until([&] {
        const bool whole = world.answer(world.ask("/once/")).whole;
        return whole && runner.accepts > 0;
    }));
    for (const std::string path : {"/once/", "/stream/"}) {
        CAPTURE(path);
        const CallerAnswer answer = world.answer(world.ask(path));
        CHECK(answer.status == 200);
        CHECK(answer.whole);
        CHECK(answer.body == eventsAfter(0));
    }
}

TEST_CASE("an answer that its runner cuts at any byte never reaches the caller as a complete one")
{
    CutWorld world;
    std::size_t cuts = 0;
    for (const char *route : {"/once/", "/again/", "/stream/", "/resume/"}) {
        for (const bool reused : {false, true}) {
            const auto list = everyCut(route, reused);
            cuts += list.size();
            world.play(list);
        }
    }
    CHECK(world.played == cuts);
    CHECK(world.repeated > 0);
    MESSAGE(cuts << " cuts, " << world.repeated << " completed by another runner");
}
