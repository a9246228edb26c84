#pragma once

#include <endivespan/clock.h>
#include <endivespan/directory.h>
#include <endivespan/prefix.h>

#include <cstdint>
#include <deque>
#include <span>
#include <unordered_map>
#include <vector>

/// State of the simulated machines: accelerator memory of runners, contents of stores and links of stores.
namespace endivespan::cli {

/// Accelerator memory of one runner. Evicts the least recently used piece when full; pinned pieces are never evicted.
class PieceMemory
{
public:
    explicit PieceMemory(std::size_t capacity);

    /// @returns how many pieces of @p chain are held, counted from its start up to the first missing one.
    [[nodiscard]] std::size_t prefixHeld(std::span<const PieceKey> chain) const;

    [[nodiscard]] bool holds(const PieceKey &piece) const;

    /// Stores a piece, evicting the least recently used one if the memory is full. Both changes are added to @p events.
    /// @returns false when the memory is full and every piece is pinned.
    bool store(const PieceKey &piece, TimePoint now, std::vector<CacheEvent> &events);

    /// Pins a piece, which must be held, and marks it as used at @p now.
    void pin(const PieceKey &piece, TimePoint now);

    /// Removes one pin; a piece can be pinned several times.
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

/// One transfer of a piece over a store's link: an import from the store for a run, or an export from a runner.
struct Transfer {
    std::uint32_t job = 0; ///< The job that imports; unused for exports.
    PieceKey piece;
    std::uint32_t runner = 0; ///< The runner that exports; unused for imports.
    bool isExport = false;
};

/// A store and its link. The link transfers one piece at a time, imports before exports.
struct ModelStore {
    std::unordered_map<PieceKey, std::uint64_t> generations; ///< Generation of each sealed piece.
    std::uint64_t nextGeneration = 1;
    std::deque<Transfer> imports;
    std::deque<Transfer> exports;
    bool busy = false;
    Transfer current;
    std::vector<StoreListing> added; ///< Since the last batch that was sent to the hosts.
    std::vector<PieceKey> removed; ///< Likewise.
};

} // namespace endivespan::cli
