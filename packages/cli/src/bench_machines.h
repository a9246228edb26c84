#pragma once

#include <endivespan/clock.h>
#include <endivespan/directory.h>
#include <endivespan/prefix.h>

#include <cstdint>
#include <deque>
#include <span>
#include <unordered_map>
#include <vector>

/// Parts of the modelled machines: accelerator memory, store contents and store links.
namespace endivespan::cli {

/// Accelerator memory of one runner: least recently used pieces leave first, pinned ones never.
class PieceMemory
{
public:
    explicit PieceMemory(std::size_t capacity);

    /// @returns the pieces from the start of @p chain that are held, without a gap.
    [[nodiscard]] std::size_t prefixHeld(std::span<const PieceKey> chain) const;

    [[nodiscard]] bool holds(const PieceKey &piece) const;

    /// Stores a piece where there is room; reports it and what it displaced as events.
    /// @returns false when every piece is pinned.
    bool store(const PieceKey &piece, TimePoint now, std::vector<CacheEvent> &events);

    /// Pins a held piece.
    void pin(const PieceKey &piece, TimePoint now);

    /// Undoes one pin().
    void unpin(const PieceKey &piece);

private:
    struct Slot {
        TimePoint lastUse;
        std::uint32_t pins = 0;
    };

    std::size_t capacity;
    std::uint64_t nextSequence = 0;
    std::unordered_map<PieceKey, Slot> slots;
};

/// One transfer on a store's link: a piece that a run imports, or one that is exported.
struct Transfer {
    std::uint32_t job = 0; ///< For an import.
    PieceKey piece;
    std::uint32_t runner = 0; ///< For an export.
    bool isExport = false;
};

/// A store and its link, which moves one piece at a time; imports go first.
struct ModelStore {
    std::unordered_map<PieceKey, std::uint64_t> generations; ///< Of the sealed pieces.
    std::uint64_t nextGeneration = 1;
    std::deque<Transfer> imports;
    std::deque<Transfer> exports;
    bool busy = false;
    Transfer current;
    std::vector<StoreListing> added; ///< Since the last listing.
    std::vector<PieceKey> removed;
};

} // namespace endivespan::cli
