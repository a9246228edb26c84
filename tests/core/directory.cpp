#include <endivespan/directory.h>

#include <doctest/doctest.h>

#include <algorithm>
#include <map>
#include <rapidcheck.h>
#include <set>

using namespace endivespan;

namespace {

const DirectoryScope Scope {{1}, {2}};

PieceKey pieceOf(std::uint32_t number)
{
    PieceKey key;
    for (std::size_t i = 0; i < key.bytes.size(); ++i) {
        key.bytes.at(i) = static_cast<std::uint8_t>((number >> (8 * (i % 4))) ^ (i * 37));
    }
    return key;
}

CacheEvent stored(std::uint64_t sequence, std::uint32_t piece)
{
    return {sequence, CacheEventKind::Stored, pieceOf(piece)};
}

bool holds(const Directory &directory, ServerHandle server, std::uint32_t piece)
{
    const PieceHolders found = directory.find(pieceOf(piece), Scope);
    return std::find(found.servers.begin(), found.servers.begin() + found.serverCount, server)
        != found.servers.begin() + found.serverCount;
}

} // namespace

TEST_CASE("directory: a new incarnation of a server removes the hints about it")
{
    Directory directory;
    const std::array first {stored(0, 1), stored(1, 2)};
    directory.applyEvents({3}, 100, first);
    CHECK(holds(directory, {3}, 1));
    const std::array second {stored(0, 9)};
    directory.applyEvents({3}, 101, second);
    CHECK_FALSE(holds(directory, {3}, 1));
    CHECK(holds(directory, {3}, 9));
}

TEST_CASE("directory: a gap in the cache events removes or keeps the hints, depending on the gap rule")
{
    for (const GapRule rule : {GapRule::Drop, GapRule::Keep}) {
        DirectoryLimits limits;
        limits.gapRule = rule;
        Directory directory(limits);
        const std::array events {stored(0, 1), stored(5, 2)};
        directory.applyEvents({3}, 100, events);
        CHECK(holds(directory, {3}, 1) == (rule == GapRule::Keep));
        CHECK(holds(directory, {3}, 2));
        CHECK(directory.stats().gaps == 1);
    }
}

TEST_CASE("directory: a copy in a store is removed by itself or together with all copies of the store")
{
    Directory directory;
    const std::array listing {StoreListing {pieceOf(1), 4, 10}, StoreListing {pieceOf(2), 6, 10}};
    directory.applyListing({0}, listing);
    directory.applyListing({1}, listing);
    CHECK(directory.find(pieceOf(2), Scope).storeCount == 2);
    directory.forgetCopy({1}, pieceOf(2));
    CHECK(directory.find(pieceOf(2), Scope).storeCount == 1);
    CHECK(directory.find(pieceOf(2), Scope).stores[0].generation == 6);
    directory.forgetStore({0});
    CHECK(directory.find(pieceOf(2), Scope).storeCount == 0);
    CHECK(directory.find(pieceOf(1), Scope).storeCount == 1);
}

TEST_CASE("directory: a full directory evicts pieces and allocates no more memory")
{
    DirectoryLimits limits;
    limits.pieces = 64;
    Directory directory(limits);
    const std::size_t before = directory.memoryBytes();
    for (std::uint32_t i = 0; i < 1000; ++i) {
        const std::array piece {pieceOf(i)};
        directory.applyRun({i % 5}, 1, Scope, piece);
    }
    CHECK(directory.memoryBytes() == before);
    CHECK(directory.stats().pieces == 64);
    CHECK(holds(directory, {999 % 5}, 999));
}

TEST_CASE("directory: results equal those of a reference model under random changes")
{
    CHECK(rc::check([] {
        DirectoryLimits limits;
        limits.pieces = 512;
        Directory directory(limits);
        std::map<std::uint32_t, std::set<std::uint32_t>> model;
        std::array<std::uint64_t, 4> incarnations {1, 1, 1, 1};
        const int steps = *rc::gen::inRange(1, 300);
        for (int i = 0; i < steps; ++i) {
            const auto server = *rc::gen::inRange<std::uint32_t>(0, 4);
            const auto piece = *rc::gen::inRange<std::uint32_t>(0, 60);
            const std::array one {pieceOf(piece)};
            switch (*rc::gen::inRange(0, 8)) {
            case 0:
                directory.forgetPieces({server}, one);
                model[piece].erase(server);
                break;
            case 1:
                ++incarnations.at(server);
                directory.applyRun({server}, incarnations.at(server), Scope, one);
                for (auto &[number, servers] : model) {
                    servers.erase(server);
                }
                model[piece].insert(server);
                break;
            default:
                directory.applyRun({server}, incarnations.at(server), Scope, one);
                model[piece].insert(server);
                break;
            }
        }
        for (const auto &[piece, servers] : model) {
            for (std::uint32_t server = 0; server < 4; ++server) {
                RC_ASSERT(holds(directory, {server}, piece) == (servers.count(server) > 0));
            }
        }
    }));
}
