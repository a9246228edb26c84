#include "takeover_turn.h"

using namespace endivespan;
using namespace endivespan::tests;
using namespace endivespan::tests::takeover;
using namespace std::chrono_literals;

namespace {

struct Change {
    std::string what;
    std::function<void(Streams &)> make;
};

/// A part of an event, and then what is no chunk.
const std::string HalfEvent = "6\r\nid: 2\n\r\nzz\r\n";

/// @returns the body of an answer in chunks.
std::string bodyOf(const std::string &answer)
{
    std::string body;
    std::size_t at = answer.find("\r\n\r\n") + 4;
    while (at < answer.size()) {
        const std::size_t line = answer.find("\r\n", at);
        const std::size_t size = std::strtoul(answer.c_str() + at, nullptr, 16);
        if (line == std::string::npos || size == 0) {
            break;
        }
        body += answer.substr(line + 2, size);
        at = line + 2 + size + 2;
    }
    return body;
}

/// Ends all connections to the silent server or the standby of one stream.
void endConnections(bool isStandby, const Moment &moment)
{
    CAPTURE(isStandby);
    CAPTURE(moment.what);
    Streams streams(3);
    streams.onStandby = [&](std::size_t stream, RunnerStandin &silent, RunnerStandin &standby) {
        if (stream == moment.stream) {
            streams.at(moment, [&] { (isStandby ? standby : silent).shutDown(); });
        }
    };
    streams.run();
    streams.check();
}

} // namespace

// Guards against streams that are cut, and hosts that do not end, when a stop meets the takeover of a silent stream.
TEST_CASE("a stop in the turn of a takeover loses no stream and ends in time")
{
    for (const Moment &moment : {Moments[0], Moments[1], Moments[4]}) {
        CAPTURE(moment.what);
        Streams streams;
        TimePoint begin;
        streams.onStandby = [&](std::size_t stream, RunnerStandin &, RunnerStandin &) {
            if (stream == moment.stream) {
                streams.at(moment, [&] {
                    begin = streams.world.loop.now();
                    streams.world.node().beginStop();
                });
            }
        };
        streams.run();
        REQUIRE(begin != TimePoint {});
        CHECK(streams.world.until([&] { return streams.world.stopped; }, StopTime + 1s));
        CHECK(streams.world.loop.now() - begin < StopTime);
        streams.world.endHost(0);
        streams.world.runFor(50ms);
        streams.check();
    }
}

// Guards against streams that follow a configuration or settings newer than those that were in force when they arrived.
TEST_CASE("a change or a reload in the turn of a takeover loses no stream and adds no runner")
{
    const std::vector<Change> changes {
        {"route dropped", [](Streams &s) { s.configure([](auto &config) { config["routes"].erase(3); }); }},
        {"service changed",
         [](Streams &s) {
             s.configure([](auto &config) {
                 config["services"][0]["name"] = "other";
                 updateRoutes(config, {{"service", "other"}});
             });
         }},
        {"one attempt",
         [](Streams &s) { s.configure([](auto &config) {
                              updateRoutes(config, {{"max_attempts", 1}});
                          }); }},
        {"time-outs",
         [](Streams &s) {
             s.configure([](auto &config) {
                 config["limits"]["idle_timeout_ms"] = 1000;
                 updateRoutes(config, {{"timeout_ms", 200}});
             });
         }},
        {"reload",
         [](Streams &s) {
             ForwardSettings changed = s.world.hosts[0].settings;
             changed.bounds.stopTime = 100ms;
             changed.bounds.retrySlack = 0;
             s.world.node().reload(changed);
         }},
    };
    for (std::size_t i = 0; i < changes.size(); ++i) {
        // A configuration is in force some milliseconds after it was written, so that it meets takeovers.
        const Moment &moment = Moments[i % 2];
        CAPTURE(changes[i].what);
        CAPTURE(moment.what);
        Streams streams;
        bool changed = false;
        streams.onStandby = [&](std::size_t stream, RunnerStandin &, RunnerStandin &) {
            if (stream == moment.stream) {
                streams.at(moment, [&] { changes[i].make(streams); });
                changed = true;
            }
        };
        streams.run();
        CHECK(changed);
        streams.check();
    }
}

// Guards against events that come twice or not at all when two servers send at once.
TEST_CASE("a silent server that goes on or breaks off in the turn of a takeover neither repeats nor loses an event")
{
    for (const int offset : {-30, -10}) {
        CAPTURE(offset);
        Streams streams(3);
        streams.later = [&](std::size_t stream) {
            // By turns it goes on and breaks off, 1 ms later at every second stream.
            return std::pair(1000ms + StandbyWork + std::chrono::milliseconds(offset + static_cast<int>(stream) / 2),
                             stream % 2 == 0 ? streams.eventsFrom(2) + StreamEnd : HalfEvent);
        };
        streams.run();
        streams.check();
    }
}

// Guards against streams that are cut because their earlier server had been given up for one that broke off at once.
TEST_CASE("a standby that breaks off in the turn of its takeover is followed by another server")
{
    Streams streams(3);
    streams.breaking = {"i-0", "i-1"};
    streams.run();
    CHECK(streams.broken > 0);
    streams.check();
}

// Guards against attempts that are handled twice, or by nobody, when the silent server ends as its standby starts.
TEST_CASE("streams go on when all connections to the silent server end in the turn in which a standby starts")
{
    endConnections(false, Moments[0]);
}

// Guards against attempts that are handled twice, or by nobody, when connections end in the turn of a takeover.
TEST_CASE("streams go on when all connections to a server end in the turn of a takeover")
{
    endConnections(false, Moments[4]);
    endConnections(true, Moments[4]);
}

// Guards against streams without a standby whose silent server still sends events of other streams.
TEST_CASE("streams that fall silent one after another are all taken over")
{
    Streams streams;
    streams.run(4ms);
    streams.check();
}

// Guards against callers who lose their stream at a takeover because they send or read nothing more.
TEST_CASE("callers that send or read nothing more from the turn of a takeover on get their whole stream")
{
    std::vector<Moment> moments {
        {"", StandbyWork - 2ms, 0}, {"", StandbyWork - 1ms, 0}, {"", StandbyWork + 1ms, 0}, {"", StandbyWork + 2ms, 0}};
    moments.insert(moments.end(), Moments.begin(), Moments.end());
    Streams streams;
    streams.content = std::string(60'000, 'a');
    std::vector<std::unique_ptr<RawSocket>> callers;
    streams.onStandby = [&](std::size_t stream, RunnerStandin &, RunnerStandin &) {
        if (stream % 4 != 0) {
            streams.at(moments[stream % moments.size()], [&, stream] { callers[stream]->endSending(); });
        }
    };
    for (std::size_t i = 0; i < Count / 2; ++i) {
        callers.push_back(std::make_unique<RawSocket>(streams.world.callerPort()));
        callers.back()->send("POST /resume/ HTTP/1.1\r\nHost: h.example\r\nX-Endivespan-Request-Id: r"
                             + std::to_string(i)
                             + "\r\nX-Endivespan-Deadline-Ms: 2900\r\nApi-Key: key\r\nContent-Length: 1\r\n\r\n"
                             + std::string(1, static_cast<char>('0' + i)));
    }
    streams.world.runFor(2500ms);
    CHECK(streams.standbys == Count / 2);
    std::vector<std::string> answers(callers.size());
    streams.world.until(
        [&] {
            std::size_t ended = 0;
            for (std::size_t i = 0; i < callers.size(); ++i) {
                answers[i] += callers[i]->readUntil("\r\n" + StreamEnd, 0ms);
                ended += answers[i].ends_with("\r\n" + StreamEnd) ? 1 : 0;
            }
            return ended == callers.size();
        },
        1s);
    for (std::size_t i = 0; i < callers.size(); ++i) {
        CAPTURE(i);
        CAPTURE(answers[i].size());
        streams.checkOne(i, bodyOf(answers[i]), answers[i].ends_with("\r\n" + StreamEnd), statusOf(answers[i]));
    }
}
