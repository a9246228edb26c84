#pragma once

#include <cstdint>

namespace endivespan {

/// Hashes an integer with the 64-bit finalizer of MurmurHash3.
/// @returns a hash of @p value, which is the same on every host.
constexpr std::uint64_t mix(std::uint64_t value)
{
    value ^= value >> 33U;
    value *= 0xff51afd7ed558ccdULL;
    value ^= value >> 33U;
    value *= 0xc4ceb9fe1a85ec53ULL;
    return value ^ (value >> 33U);
}

} // namespace endivespan
