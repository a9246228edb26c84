#include "early_server.h"
#include "engine_control.h"
#include "keyed_log_client.h"
#include "world.h"

#include <doctest/doctest.h>

#include <functional>
#include <optional>
#include <string>
#include <vector>

using namespace endivespan;
using namespace endivespan::tests;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t BodyBytes = 3'000'000;
const std::string EarlyHead = "HTTP/1.1 200 OK\r\nX-Endivespan-Server-Seal: seal\r\n\r\n";

struct Ending {
    EarlyEnd end;
    std::string name;
};

const std::vector<Ending> Endings {{EarlyEnd::Shutdown, "sending direction ended"}, {EarlyEnd::Reset, "reset"}};

/// Makes a server the only one of a world.
void listOnly(World &world, const std::string &address)
{
    RunnerStandin &listed = *world.runners[0];
    world.store.put("keyed.servers", listed.id, std::nullopt);
    listed.id = "early";
    world.list(listed, {{"address", address}});
    world.runFor(600ms);
}

/// Runs the loop until a control call has ended. @returns whether it succeeded.
bool succeeds(Loop &loop, const std::function<void(std::function<void(Result<void>)>)> &start)
{
    std::optional<bool> success;
    start([&](const Result<void> &result) {
        success = static_cast<bool>(result);
        loop.stop();
    });
    const auto patience = loop.after(5s, [&loop] { loop.stop(); });
    loop.run();
    REQUIRE(success);
    return *success;
}

} // namespace

// Guards against a success for a request of which the server, which ended meanwhile, had received only a part.
TEST_CASE("an early answer whose connection ends while the request is sent never reaches the caller as a success")
{
    for (const Ending &ending : Endings) {
        for (const std::string path : {"/once/", "/again/", "/stream/", "/resume/"}) {
            CAPTURE(ending.name);
            CAPTURE(path);
            World world(1);
            EarlyServer server(world.loop, EarlyHead + "id: 1\ndata: a\n\n", ending.end);
            listOnly(world, server.address);
            const CallerAnswer answer = world.answer(world.ask(path, {}, "POST", std::string(BodyBytes, 'x')));
            const bool isStream = path == "/stream/" || path == "/resume/";
            CHECK(answer.status == (isStream ? 200 : 502));
            CHECK(answer.whole != isStream);
            CHECK(answer.failed == isStream);
        }
    }
}

// The body of the answer to a release or an append need not be read, so that nothing else shows that it is incomplete.
TEST_CASE("an early answer whose connection ends while a control call is sent is not its success")
{
    for (const Ending &ending : Endings) {
        CAPTURE(ending.name);
        Loop loop;
        EarlyServer server(loop, EarlyHead, ending.end);
        platform::RunnerControl engines(loop);
        platform::KeyedLogClient log(loop, server.address);
        const std::vector<ScopedPart> parts(20'000, {"scope", std::string(100, 'p')});
        CHECK_FALSE(succeeds(loop, [&](const auto &done) { engines.free(server.address, 1, parts, done); }));
        CHECK_FALSE(
            succeeds(loop, [&](const auto &done) { log.put("keyed.op", "k", std::string(BodyBytes, 'v'), done); }));
    }
}
