#pragma once

#include <cstdint>

/// Positions in a log that may be restored from a copy of itself.
///
/// A restored log lacks its latest records and gives out their offsets again, so that offsets from before and after a
/// restore cannot be compared. The log counts its restores: a position has this era in the upper bits and the offset in
/// the lower ones, and is greater than every position of an earlier era.
namespace endivespan {

/// Width of the offset in a position.
constexpr unsigned LogOffsetBits = 40;

/// @returns the position of @p offset in @p era.
constexpr std::uint64_t logPosition(std::uint64_t era, std::uint64_t offset)
{
    return (era << LogOffsetBits) | offset;
}

/// @returns the era of @p position.
constexpr std::uint64_t eraOf(std::uint64_t position)
{
    return position >> LogOffsetBits;
}

/// @returns the offset of @p position, which identifies a record within its era only.
constexpr std::uint64_t offsetOf(std::uint64_t position)
{
    return position & ((std::uint64_t {1} << LogOffsetBits) - 1);
}

/// @returns whether the log was restored between the reads that ended at @p before, 0 for none, and at @p after.
constexpr bool isRestoredBetween(std::uint64_t before, std::uint64_t after)
{
    return before > 0 && eraOf(after) > eraOf(before);
}

} // namespace endivespan
