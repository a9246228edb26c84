#include <endivespan/keep.h>

#include <doctest/doctest.h>

using namespace endivespan;
using namespace std::chrono_literals;

namespace {

constexpr std::uint32_t Bytes = 1'000'000;

PieceKey pieceOf(std::uint8_t number)
{
    PieceKey key;
    key.bytes.fill(number);
    return key;
}

void prompt(Keeper &keeper, std::uint8_t number, OrganisationHandle organisation, Duration at)
{
    const std::array pieces {pieceOf(number)};
    keeper.onPrompt({organisation, {0}, pieces, Bytes}, TimePoint {at});
}

} // namespace

TEST_CASE("the saving policy keeps a piece that is used again after long gaps over one used recently but only once")
{
    Keeper saving(makeSavingPolicy());
    Keeper lru(makeLruPolicy());
    const OrganisationHandle returning {0};
    const OrganisationHandle passing {1};
    for (Keeper *keeper : {&saving, &lru}) {
        for (int day = 0; day < 5; ++day) {
            prompt(*keeper, 1, returning, day * 3h);
        }
        for (std::uint8_t i = 10; i < 110; ++i) {
            prompt(*keeper, i, passing, 12h + i * 10s);
        }
        keeper->onStored(pieceOf(1), 7, Bytes, TimePoint {12h});
        keeper->onStored(pieceOf(100), 8, Bytes, TimePoint {13h});
    }
    const auto bySaving = saving.deletions(2 * Bytes, 2 * Bytes, TimePoint {13h});
    REQUIRE(bySaving.size() == 1);
    CHECK(bySaving[0].piece == pieceOf(100));
    CHECK(bySaving[0].generation == 8);
    const auto byAge = lru.deletions(2 * Bytes, 2 * Bytes, TimePoint {13h});
    REQUIRE(byAge.size() == 1);
    CHECK(byAge[0].piece == pieceOf(1));
}

TEST_CASE("exports wait for imports, need a runner that holds the piece and fit into the free bytes")
{
    Keeper keeper(makeSavingPolicy());
    prompt(keeper, 1, {0}, 0s);
    CHECK_FALSE(keeper.nextExport(2s, 10 * Bytes, TimePoint {1s}).has_value());
    const auto order = keeper.nextExport(0s, 10 * Bytes, TimePoint {1s});
    REQUIRE(order.has_value());
    CHECK(order->piece == pieceOf(1));
    CHECK(order->server == ServerHandle {0});
    CHECK_FALSE(keeper.nextExport(0s, 10 * Bytes, TimePoint {1s}).has_value());

    prompt(keeper, 2, {0}, 2s);
    keeper.onEvicted({0}, pieceOf(2), TimePoint {3s});
    CHECK_FALSE(keeper.nextExport(0s, 10 * Bytes, TimePoint {3s}).has_value());
    prompt(keeper, 3, {0}, 4s);
    CHECK_FALSE(keeper.nextExport(0s, Bytes / 2, TimePoint {4s}).has_value());
}

TEST_CASE("a piece whose transfer takes longer than recomputing it is not exported")
{
    Keeper keeper(makeSavingPolicy());
    KeepRates rates;
    rates.linkBytesPerSecond = 1e6;
    keeper.setRates(rates);
    prompt(keeper, 1, {0}, 0s);
    CHECK_FALSE(keeper.nextExport(0s, 10 * Bytes, TimePoint {1s}).has_value());
}

TEST_CASE("deletion stops at the low watermark and deletes nothing below the high one")
{
    Keeper keeper(makeSavingPolicy());
    for (std::uint8_t i = 0; i < 100; ++i) {
        prompt(keeper, i, {0}, i * 1s);
        keeper.onStored(pieceOf(i), i, Bytes, TimePoint {i * 1s});
    }
    CHECK(keeper.deletions(50 * Bytes, 100 * Bytes, TimePoint {200s}).empty());
    CHECK(keeper.deletions(100 * Bytes, 100 * Bytes, TimePoint {200s}).size() == 10);
}

TEST_CASE("the number of pieces is bounded, and stored pieces are kept")
{
    KeepLimits limits;
    limits.pieces = 50;
    Keeper keeper(makeSavingPolicy(), limits);
    prompt(keeper, 1, {0}, 0s);
    keeper.onStored(pieceOf(1), 1, Bytes, TimePoint {0s});
    for (std::uint8_t i = 2; i < 250; ++i) {
        prompt(keeper, i, {0}, i * 1s);
        while (keeper.nextExport(0s, 10 * Bytes, TimePoint {i * 1s}).has_value()) { }
    }
    CHECK(keeper.stats().pieces <= 50);
    CHECK(keeper.stats().stored == 1);
}
