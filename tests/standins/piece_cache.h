#pragma once

#include <endivespan/clock.h>
#include <endivespan/prefix.h>

#include <cstdint>
#include <deque>
#include <list>
#include <string>
#include <unordered_map>
#include <vector>

namespace endivespan::standins {

/// One change of an engine's prefix cache, as published.
struct CacheEvent {
    std::uint64_t seq;
    TimePoint at;
    bool stored;
    PieceKey piece;
};

/// An engine's prefix cache: a limited number of pieces, least recently used go first, pieces in use never.
class PieceCache
{
public:
    std::uint64_t limit = 64; ///< Pieces held.
    std::uint64_t eventGapPercent = 0; ///< Share of events that are never published.

    /// @returns how many pieces from the front of @p chain are held.
    [[nodiscard]] std::size_t prefixHeld(const std::vector<PieceKey> &chain) const;

    [[nodiscard]] bool holds(const PieceKey &piece) const
    {
        return this->entries.contains(piece);
    }

    [[nodiscard]] std::size_t size() const
    {
        return this->entries.size();
    }

    /// Stores @p piece, or marks it as used when it is held.
    void store(const PieceKey &piece, const std::string &version, TimePoint now);

    /// Keeps a held piece from eviction until unpin().
    void pin(const PieceKey &piece);
    void unpin(const PieceKey &piece, TimePoint now);

    /// Evicts all pieces of one weight version that are not in use.
    void evictVersion(const std::string &version, TimePoint now);

    /// Forgets everything, as a restart does.
    void clear();

    /// @returns the published events after @p after that are at least @p delay old, oldest first.
    [[nodiscard]] std::vector<CacheEvent> events(std::uint64_t after, TimePoint now, Duration delay) const;

private:
    struct Entry {
        std::list<PieceKey>::iterator place;
        std::string version;
        std::uint32_t pins = 0;
    };

    void evictOverLimit(TimePoint now);
    void publish(bool stored, const PieceKey &piece, TimePoint now);

    std::unordered_map<PieceKey, Entry> entries;
    std::list<PieceKey> byUse; ///< Least recently used first.
    std::uint64_t lastSeq = 0;
    std::deque<CacheEvent> published;
};

} // namespace endivespan::standins
