#pragma once

#include <endivespan/config.h>
#include <endivespan/handle.h>
#include <endivespan/prefix.h>

#include <array>
#include <cstddef>
#include <cstdint>
#include <span>
#include <vector>

/// Prefix directory: which backend servers and which stores are believed to hold a cache piece.
/// Every entry is a hint. A wrong hint only costs time: whether a piece can be used is decided by the engine, or by the
/// seal (generation) of the copy in the store.
namespace endivespan {

/// The organisation that a piece belongs to and the weight version that computed it.
struct DirectoryScope {
    OrganisationHandle organisation;
    VersionHandle version;

    bool operator==(const DirectoryScope &) const = default;
};

/// A sealed copy of a piece in a store, identified by its generation.
struct StoreCopy {
    StoreHandle store;
    std::uint64_t generation = 0;
};

/// The servers and stores that are believed to hold one piece.
struct PieceHolders {
    std::array<ServerHandle, config::DirectoryServersPerPiece> servers;
    std::array<StoreCopy, config::DirectoryStoresPerPiece> stores;
    std::uint8_t serverCount = 0;
    std::uint8_t storeCount = 0;
    std::uint32_t bytes = 0; ///< Size of the copy in a store; 0 when unknown.
    DirectoryScope scope; ///< Scope of the run that left the piece; invalid when only events or listings named it.
};

/// Kinds of changes that an engine reports of its cache.
enum class CacheEventKind {
    Stored,
    Evicted,
};

/// One change of the cache of one engine.
struct CacheEvent {
    std::uint64_t sequence = 0; ///< Number of the event at the engine; a skipped number means a lost event.
    CacheEventKind kind = CacheEventKind::Stored;
    PieceKey piece;
};

/// One sealed piece as listed by a store.
struct StoreListing {
    PieceKey piece;
    std::uint64_t generation = 0;
    std::uint32_t bytes = 0;
};

/// What happens to the hints about a server when some of its cache events were lost.
enum class GapRule {
    Drop, ///< Removes all of them.
    Keep, ///< Keeps them; wrong ones are corrected as runs complete.
};

/// Capacities, fixed for the lifetime of a directory, and the rule for lost events.
struct DirectoryLimits {
    std::size_t pieces = 1 << 16;
    std::size_t servers = 1024;
    std::size_t stores = 64;
    GapRule gapRule = GapRule::Keep;
};

/// Number of pieces held now, and counters since the directory was created.
struct DirectoryStats {
    std::size_t pieces = 0;
    std::uint64_t evictions = 0; ///< Pieces removed to make room.
    std::uint64_t gaps = 0; ///< Gaps in the cache events of servers.
    std::uint64_t restarts = 0; ///< New incarnations of servers.
    std::uint64_t scopeMismatches = 0; ///< Lookups that found the piece under another scope.
};

/// Fixed-capacity map from a piece to its holders. All memory is allocated by the constructor; a full directory evicts
/// pieces.
class Directory
{
public:
    explicit Directory(const DirectoryLimits &limits = {});

    /// Applies cache events of one server. Events may arrive late, repeatedly or not at all.
    /// @param incarnation Incarnation of the engine that sent them; a new one removes every hint about the server.
    void applyEvents(ServerHandle server, std::uint64_t incarnation, std::span<const CacheEvent> events);

    /// Adds the pieces of a prompt that a completed run has left in the memory of a server.
    /// @param incarnation Incarnation of the engine that ran it; a new one removes every hint about the server.
    /// @param scope Scope of the run, stored with each piece.
    void applyRun(ServerHandle server,
                  std::uint64_t incarnation,
                  const DirectoryScope &scope,
                  std::span<const PieceKey> pieces);

    /// Removes the hints that @p server holds @p pieces, as when a run found less cached than expected.
    void forgetPieces(ServerHandle server, std::span<const PieceKey> pieces);

    /// Removes every hint about a server that restarted, left or died.
    void forgetServer(ServerHandle server);

    /// Adds the copies of one page of a store's listing. Copies that the page does not name are kept.
    void applyListing(StoreHandle store, std::span<const StoreListing> listing);

    /// Removes one copy, as after a deletion or when an import did not find it.
    void forgetCopy(StoreHandle store, const PieceKey &piece);

    /// Removes all copies of a store that restarted, left or died.
    void forgetStore(StoreHandle store);

    /// Looks up a piece, and protects it from eviction for some passes of the clock hand.
    /// @param scope Scope of the request; a piece that was added under another scope is not returned.
    /// @returns the holders of @p piece; none when it is unknown.
    [[nodiscard]] PieceHolders find(const PieceKey &piece, const DirectoryScope &scope) const;

    /// @returns the memory that the directory has allocated, in bytes.
    [[nodiscard]] std::size_t memoryBytes() const;

    [[nodiscard]] const DirectoryStats &stats() const;

private:
    // One hint. It is valid while its epoch is the current one of its server or store, so that all hints about one of
    // them are removed at once by advancing its epoch.
    struct Slot {
        std::uint16_t index = 0; ///< Of the server or store.
        std::uint16_t epoch = 0; ///< 0 for an empty slot.
    };

    struct Entry {
        PieceKey key;
        std::array<std::uint64_t, config::DirectoryStoresPerPiece> generations {}; ///< Of the copies in stores.
        DirectoryScope scope;
        std::array<Slot, config::DirectoryServersPerPiece> servers {};
        std::array<Slot, config::DirectoryStoresPerPiece> stores {};
        std::uint32_t bytes = 0;
        bool used = false;
        mutable std::uint8_t remainingPasses = 0; ///< Passes of the clock hand that the entry still survives.
        std::uint8_t nextServer = 0; ///< Server slot that is overwritten next when all are in use.
        std::uint8_t nextStore = 0; ///< Store slot that is overwritten next when all are in use.
    };

    // State of one server or store. Stores use the epoch only.
    struct Source {
        std::uint64_t incarnation = 0;
        std::uint64_t nextSequence = 0; ///< Number of the next expected event; 0 before the first one.
        std::uint16_t epoch = 1;
        bool hasIncarnation = false; ///< Whether the incarnation is set.
    };

    [[nodiscard]] std::uint32_t findIndex(const PieceKey &key) const;
    [[nodiscard]] std::size_t homeBucket(const PieceKey &key) const;
    Entry *findEntry(const PieceKey &key);
    Entry &findOrAddEntry(const PieceKey &key);
    std::uint32_t allocateEntry();
    void removeEntry(std::uint32_t index);
    void unlinkBucket(std::size_t bucket);
    [[nodiscard]] bool hasValidHint(const Entry &entry) const;
    void addServer(Entry &entry, ServerHandle server);
    void removeServer(Entry &entry, ServerHandle server);
    void updateIncarnation(ServerHandle server, std::uint64_t incarnation);
    void advanceEpoch(std::vector<Source> &sources, std::uint32_t index, bool servers);

    DirectoryLimits limits;
    mutable DirectoryStats counters;
    std::vector<Entry> entries;
    std::vector<std::uint32_t> freeEntries;
    std::vector<std::uint32_t> buckets; ///< Open-addressing hash table of indexes into entries.
    std::vector<Source> serverSources;
    std::vector<Source> storeSources;
    std::size_t clockHand = 0; ///< Next entry that the eviction (CLOCK) looks at.
};

} // namespace endivespan
