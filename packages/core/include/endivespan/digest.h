#pragma once

#include <array>
#include <cstdint>
#include <string>
#include <string_view>

/// SHA-256 digests, and a digest of a set that is updated entry by entry.
namespace endivespan {

/// One SHA-256 value.
using Digest = std::array<std::uint8_t, 32>;

/// @returns the SHA-256 of @p bytes.
Digest sha256(std::string_view bytes);

/// @returns @p digest as 64 lower-case hexadecimal digits.
std::string digestHex(const Digest &digest);

/// Bytes to hash: every field goes in with its length, so that no two lists of fields give the same bytes.
class CanonicalBytes
{
public:
    CanonicalBytes &add(std::string_view field);
    CanonicalBytes &add(std::uint64_t number);

    [[nodiscard]] const std::string &bytes() const;

private:
    std::string buffer;
};

/// Digest of a set of entries: the sum of their digests modulo 2^256. Does not depend on the order of the entries.
class SetDigest
{
public:
    void add(const Digest &entry);
    void remove(const Digest &entry);

    [[nodiscard]] Digest value() const;

private:
    std::array<std::uint64_t, 4> words {}; ///< Least significant first.
};

} // namespace endivespan
