#pragma once

#include <endivespan/clock.h>

#include <array>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

/// Names of cache pieces: a hash chain over the prompt, scoped so that neither organisations nor weight versions share
/// pieces.
namespace endivespan {

/// Name of one cache piece: a hash of the scope, of every earlier piece of the prompt and of the piece's own bytes.
struct PieceKey {
    std::array<std::uint8_t, 16> bytes {};

    auto operator<=>(const PieceKey &) const = default; // NOLINT(modernize-use-nullptr): false positive

    /// @returns the name as 32 lower-case hexadecimal digits.
    [[nodiscard]] std::string hex() const;

    /// @returns the key that hex() writes as @p text, or a zero key if @p text is not 32 lower-case hexadecimal digits.
    static PieceKey fromHex(std::string_view text);
};

/// What a cache piece is valid for. Pieces of different scopes have different names, so that they are never shared.
struct PieceScope {
    std::string organisation;
    std::string model;
    std::string version;
    std::string adapter;
};

/// Splits a prompt into pieces of config::PieceBytes and names each full one.
/// @param scope Organisation and weights that the pieces belong to.
/// @param prompt The whole prompt.
/// @returns the names in order, at most config::MaxPieces; the bytes after the last full piece have none.
std::vector<PieceKey> pieceChain(const PieceScope &scope, std::string_view prompt);

/// @returns the lower-case hexadecimal SHA-256 of @p text.
std::string sha256Hex(std::string_view text);

} // namespace endivespan

template<>
struct std::hash<endivespan::PieceKey> {
    std::size_t operator()(const endivespan::PieceKey &key) const noexcept;
};
