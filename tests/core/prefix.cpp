#include <endivespan/config.h>
#include <endivespan/prefix.h>

#include <doctest/doctest.h>

using namespace endivespan;

TEST_CASE("piece names differ between organisations and weight versions")
{
    const std::string prompt(2 * config::PieceBytes + 5, 'a');
    const auto base = pieceChain({"puu", "puhuja", "v1", ""}, prompt);
    CHECK(base.size() == 2);
    CHECK(base[0] != base[1]);
    CHECK(base == pieceChain({"puu", "puhuja", "v1", ""}, prompt + "tail"));
    CHECK(base[0] != pieceChain({"other", "puhuja", "v1", ""}, prompt)[0]);
    CHECK(base[0] != pieceChain({"puu", "puhuja", "v2", ""}, prompt)[0]);
    CHECK(pieceChain({"ab", "c", "", ""}, prompt)[0] != pieceChain({"a", "bc", "", ""}, prompt)[0]);
    CHECK(PieceKey::fromHex(base[1].hex()) == base[1]);
}
