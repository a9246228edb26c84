#pragma once

#include "context.h"

#include <deque>
#include <string>
#include <unordered_set>

/// Has runners export cache pieces to stores, so that a prompt that returns after a long gap need not be recomputed.
namespace endivespan {

/// Exports in a bounded queue, a few at a time.
class ExportTask
{
public:
    explicit ExportTask(NodeContext &context);

    /// Offers the pieces of a completed prompt; those that a store is believed to hold are passed over.
    /// @param server The runner that has them in memory.
    /// @param scope Scope of the run.
    void offer(ServerHandle server, const DirectoryScope &scope, const std::vector<PieceKey> &pieces);

    /// Starts the exports that there is room for.
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
    std::unordered_set<PieceKey> known; ///< Queued or under way.
    std::size_t underWay = 0;
};

} // namespace endivespan
