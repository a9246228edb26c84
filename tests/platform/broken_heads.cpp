#include "byte_server.h"
#include "world.h"

#include <doctest/doctest.h>

#include <optional>
#include <string>

using namespace endivespan;
using namespace endivespan::tests;

namespace {

enum class Framing {
    Length,
    Chunks,
    Connection,
};

constexpr int Events = 2;

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
