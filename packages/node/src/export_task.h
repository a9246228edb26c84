#pragma once

#include "context.h"

#include <deque>
#include <string>
#include <unordered_set>

/// Makes runners export cache pieces to stores, so that a prompt that returns after a long gap is not recomputed.
namespace endivespan {

/// Exports pieces from a bounded queue, at most config::ExportsUnderWay at a time.
class ExportTask
{
public:
    explicit ExportTask(NodeContext &context);

    /// Queues the pieces of a completed prompt for export. Skips pieces that a store holds according to the directory,
    /// and drops the remaining pieces when the queue is full.
    /// @param server The runner that has the pieces in memory.
    /// @param scope Organisation and weight version that the prompt ran with.
    void offer(ServerHandle server, const DirectoryScope &scope, const std::vector<PieceKey> &pieces);

    /// Starts queued exports up to the limit; must be called on every tick.
    void tick();

private:
    struct Order {
        ServerHandle server;
        PieceKey piece;
    };

    [[nodiscard]] StoreHandle storeFor(const PieceKey &piece) const;
    void start(const Order &order, StoreHandle store);

    NodeContext &context;
    std::deque<Order> queue;
    std::unordered_set<PieceKey> known; ///< Pieces whose export is queued or under way.
    std::size_t underWay = 0;
};

} // namespace endivespan
