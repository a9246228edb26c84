#pragma once

#include <endivespan/error.h>
#include <endivespan/loop.h>
#include <endivespan/prefix.h>

#include <functional>
#include <memory>
#include <string>
#include <vector>

/// Client for store hosts, which hold cache pieces. Only metadata passes through it: engines transfer the pieces to and
/// from stores directly.
namespace endivespan {

/// One sealed piece in a store.
struct StoredPiece {
    PieceKey piece;
    std::uint64_t generation = 0;
    std::uint64_t bytes = 0;
};

/// One page of a store's list of pieces.
struct StorePage {
    std::string incarnation;
    std::vector<StoredPiece> pieces;
    std::string last; ///< Name to pass as @p after for the next page; empty on the last page.
};

/// Load report of a store and its network link; may lag behind the actual load.
struct StoreLoad {
    std::string incarnation;
    std::uint64_t capacityBytes = 0;
    std::uint64_t usedBytes = 0;
    double linkBytesPerSecond = 0;
    std::uint64_t linkQueuedBytes = 0;
};

/// Client for any number of store hosts. The only implementation uses HTTP.
class StoreClient
{
public:
    virtual ~StoreClient() = default;

    /// Lists the sealed pieces whose names follow @p after.
    virtual void list(const std::string &address,
                      const std::string &after,
                      std::size_t maxPieces,
                      std::function<void(Result<StorePage>)> done)
        = 0;

    /// Reads the load report.
    virtual void load(const std::string &address, std::function<void(Result<StoreLoad>)> done) = 0;

    /// Prevents a sealed piece from being freed for @p time; NotFound when the store no longer holds it.
    virtual void pin(const std::string &address,
                     const PieceKey &piece,
                     std::uint64_t generation,
                     std::chrono::milliseconds time,
                     std::function<void(Result<void>)> done)
        = 0;

    /// Frees a piece. Idempotent.
    virtual void remove(const std::string &address,
                        const PieceKey &piece,
                        std::uint64_t generation,
                        std::function<void(Result<void>)> done)
        = 0;

    /// @returns a client. Destroying it cancels pending calls without calling back.
    static std::unique_ptr<StoreClient> create(Loop &loop);
};

} // namespace endivespan
