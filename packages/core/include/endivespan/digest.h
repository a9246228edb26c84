#pragma once

#include <array>
#include <cstdint>
#include <span>
#include <string>
#include <string_view>

/// SHA-256 digests, and an incremental digest of a set of entries.
namespace endivespan {

/// A SHA-256 value, or the sum of such values in a SetDigest.
using Digest = std::array<std::uint8_t, 32>;

/// @returns the SHA-256 of @p bytes.
Digest sha256(std::string_view bytes);

/// @returns @p bytes as lower-case hexadecimal digits, two for each.
std::string hexText(std::span<const std::uint8_t> bytes);

/// @returns @p digest as 64 lower-case hexadecimal digits.
std::string digestHex(const Digest &digest);

/// Unambiguous encoding of a list of fields, to be hashed. Each field is preceded by its length, so that different
/// lists never give the same bytes.
class CanonicalEncoder
{
public:
    CanonicalEncoder &add(std::string_view field);
    /// Appends @p number as a field of decimal digits.
    CanonicalEncoder &add(std::uint64_t number);

    [[nodiscard]] const std::string &bytes() const;

private:
    std::string buffer;
};

/// Digest of a set of entries: the sum of their digests modulo 2^256. It does not depend on the order of the entries
/// and is updated in constant time when an entry is added or removed.
class SetDigest
{
public:
    void add(const Digest &entry);

    /// Removes an entry that was added before.
    void remove(const Digest &entry);

    [[nodiscard]] Digest value() const;

private:
    std::array<std::uint64_t, 4> words {}; ///< The sum, least significant word first.
};

} // namespace endivespan
