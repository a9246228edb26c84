#pragma once

#include <endivespan/config.h>
#include <endivespan/handle.h>
#include <endivespan/prefix.h>

#include <array>
#include <cstddef>
#include <cstdint>
#include <span>
#include <vector>

/// Prefix directory: which backend server and which store is believed to hold a cache piece.
/// Every entry is a hint. A wrong one costs time; the engine and the seal of the store hold the truth.
namespace endivespan {

/// Whose pieces they are and which weights made them.
struct DirectoryScope {
    OrganisationHandle organisation;
    VersionHandle version;

    bool operator==(const DirectoryScope &) const = default;
};

/// A sealed copy of a piece in a store.
struct StoreCopy {
    StoreHandle store;
    std::uint64_t generation = 0;
};

/// Where one piece is believed to be.
struct PieceHolders {
    std::array<ServerHandle, config::DirectoryServersPerPiece> servers;
    std::array<StoreCopy, config::DirectoryStoresPerPiece> stores;
    std::uint8_t serverCount = 0;
    std::uint8_t storeCount = 0;
    std::uint32_t bytes = 0; ///< Size in a store; 0 when unknown.
    DirectoryScope scope; ///< As learned from a run; invalid when only events or listings named the piece.
};

/// What an engine reports of its cache.
enum class CacheEventKind {
    Stored,
    Evicted,
};

/// One cache event of one engine.
struct CacheEvent {
    std::uint64_t sequence = 0;
    CacheEventKind kind = CacheEventKind::Stored;
    PieceKey piece;
};

/// One sealed piece as listed by a store.
struct StoreListing {
    PieceKey piece;
    std::uint64_t generation = 0;
    std::uint32_t bytes = 0;
};

/// What becomes of the hints about a server when some of its events were lost.
enum class GapRule {
    Drop, ///< Forget all of them.
    Keep, ///< Keep them; completed runs correct the wrong ones.
};

/// Sizes of the pools, fixed for the life of a directory.
struct DirectoryLimits {
    std::size_t pieces = 1 << 16;
    std::size_t servers = 1024;
    std::size_t stores = 64;
    GapRule gapRule = GapRule::Keep;
};

/// Counts since the directory was made.
struct DirectoryStats {
    std::size_t pieces = 0;
    std::uint64_t evictions = 0;
    std::uint64_t gaps = 0;
    std::uint64_t restarts = 0;
    std::uint64_t scopeMismatches = 0;
};

/// Fixed-capacity map from a piece to its holders.
class Directory
{
public:
    explicit Directory(const DirectoryLimits &limits = {});

    /// Takes cache events of one server; they may be late, and some may be missing.
    /// @param incarnation Of the engine that sent them; a new one drops every hint about the server.
    void applyEvents(ServerHandle server, std::uint64_t incarnation, std::span<const CacheEvent> events);

    /// Takes the pieces of a prompt that a completed run has left in a server's memory.
    /// @param scope Scope of the run; remembered with each piece.
    /// @param incarnation Of the engine that ran it.
    void applyRun(ServerHandle server,
                  std::uint64_t incarnation,
                  const DirectoryScope &scope,
                  std::span<const PieceKey> pieces);

    /// Forgets @p pieces of one server, as when a run found less cached than expected.
    void forgetPieces(ServerHandle server, std::span<const PieceKey> pieces);

    /// Forgets all about a server that restarted, left or died.
    void forgetServer(ServerHandle server);

    /// Takes part of a store's listing.
    void applyListing(StoreHandle store, std::span<const StoreListing> listing);

    /// Forgets one copy, as after a deletion or when an import found it gone.
    void forgetCopy(StoreHandle store, const PieceKey &piece);

    /// Forgets all copies of a store that restarted, left or died.
    void forgetStore(StoreHandle store);

    /// @param scope Scope of the request; a piece known to be of another scope is not returned.
    /// @returns where @p piece is believed to be; no holders when it is unknown.
    [[nodiscard]] PieceHolders find(const PieceKey &piece, const DirectoryScope &scope) const;

    /// @returns the bytes of memory that the directory has reserved.
    [[nodiscard]] std::size_t memoryBytes() const;

    [[nodiscard]] const DirectoryStats &stats() const;

private:
    // A hint holds while its epoch is the current one of its server or store.
    struct Slot {
        std::uint16_t index = 0;
        std::uint16_t epoch = 0;
    };

    struct Entry {
        PieceKey key;
        std::array<std::uint64_t, config::DirectoryStoresPerPiece> generations {};
        DirectoryScope scope;
        std::array<Slot, config::DirectoryServersPerPiece> servers {};
        std::array<Slot, config::DirectoryStoresPerPiece> stores {};
        std::uint32_t bytes = 0;
        bool used = false;
        mutable std::uint8_t chances = 0; ///< Passes of the eviction that the entry survives.
        std::uint8_t nextServer = 0;
        std::uint8_t nextStore = 0;
    };

    struct Source {
        std::uint64_t incarnation = 0;
        std::uint64_t nextSequence = 0;
        std::uint16_t epoch = 1;
        bool known = false;
    };

    [[nodiscard]] std::uint32_t locate(const PieceKey &key) const;
    [[nodiscard]] std::size_t homeOf(const PieceKey &key) const;
    Entry *findEntry(const PieceKey &key);
    Entry &obtainEntry(const PieceKey &key);
    std::uint32_t takeFree();
    void removeEntry(std::uint32_t index);
    void unlinkBucket(std::size_t bucket);
    [[nodiscard]] bool holdsAnything(const Entry &entry) const;
    void addServer(Entry &entry, ServerHandle server);
    void removeServer(Entry &entry, ServerHandle server);
    void observeIncarnation(ServerHandle server, std::uint64_t incarnation);
    void nextEpoch(std::vector<Source> &sources, std::uint32_t index, bool servers);

    DirectoryLimits limits;
    mutable DirectoryStats counters;
    std::vector<Entry> entries;
    std::vector<std::uint32_t> freeEntries;
    std::vector<std::uint32_t> buckets;
    std::vector<Source> serverSources;
    std::vector<Source> storeSources;
    std::size_t clockHand = 0;
};

} // namespace endivespan
