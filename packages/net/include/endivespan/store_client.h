#pragma once

#include <endivespan/error.h>
#include <endivespan/loop.h>
#include <endivespan/prefix.h>

#include <functional>
#include <memory>
#include <string>
#include <vector>

/// Client of store hosts for cache pieces. The engines move the bytes themselves.
namespace endivespan {

/// One sealed piece of a store.
struct StoredPiece {
    PieceKey piece;
    std::uint64_t generation = 0;
    std::uint64_t bytes = 0;
};

/// One page of a store's listing.
struct StorePage {
    std::string incarnation;
    std::vector<StoredPiece> pieces;
    std::string last; ///< Name to list after for the next page; empty at the end.
};

/// A lagging load report of a store and its link.
struct StoreLoad {
    std::string incarnation;
    std::uint64_t capacityBytes = 0;
    std::uint64_t usedBytes = 0;
    double linkBytesPerSecond = 0;
    std::uint64_t linkQueuedBytes = 0;
};

/// Talks to any number of store hosts. One adapter exists: HTTP.
class StoreClient
{
public:
    virtual ~StoreClient() = default;

    /// Lists sealed pieces after the name @p after.
    virtual void list(const std::string &address,
                      const std::string &after,
                      std::size_t maxPieces,
                      std::function<void(Result<StorePage>)> done)
        = 0;

    /// Reads the load report.
    virtual void load(const std::string &address, std::function<void(Result<StoreLoad>)> done) = 0;

    /// Keeps a sealed piece from being freed for @p time; NotFound when it is gone.
    virtual void pin(const std::string &address,
                     const PieceKey &piece,
                     std::uint64_t generation,
                     std::chrono::milliseconds time,
                     std::function<void(Result<void>)> done)
        = 0;

    /// Frees a piece; idempotent.
    virtual void remove(const std::string &address,
                        const PieceKey &piece,
                        std::uint64_t generation,
                        std::function<void(Result<void>)> done)
        = 0;

    /// @returns a client; destroying it drops the calls under way.
    static std::unique_ptr<StoreClient> create(Loop &loop);
};

} // namespace endivespan
