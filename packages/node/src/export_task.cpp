#include "export_task.h"

#include <endivespan/config.h>
#include <endivespan/log.h>

#include <algorithm>

namespace endivespan {

ExportTask::ExportTask(NodeContext &context)
    : context(context)
{
}

void ExportTask::offer(ServerHandle server, const DirectoryScope &scope, const std::vector<PieceKey> &pieces)
{
    for (const PieceKey &piece : pieces) {
        const bool stored = this->context.backends.directory.find(piece, scope).storeCount > 0;
        if (stored || this->known.contains(piece)) {
            continue;
        }
        if (this->queue.size() >= config::ExportQueue) {
            this->context.metrics.count("exports", "end=\"no_room\"");
            return;
        }
        this->known.insert(piece);
        this->queue.push_back({server, piece});
    }
}

void ExportTask::tick()
{
    while (!this->queue.empty() && this->underWay < config::ExportsUnderWay) {
        const Order order = this->queue.front();
        this->queue.pop_front();
        const StoreHandle store = this->storeFor(order.piece);
        if (!store.isValid() || !this->context.backends.server(order.server).configured) {
            this->known.erase(order.piece);
            continue;
        }
        this->start(order, store);
    }
}

// Rendezvous hashing: every host picks the same store for a piece, so that the store sees a second export of the same
// piece and refuses it.
StoreHandle ExportTask::storeFor(const PieceKey &piece) const
{
    StoreHandle best;
    std::size_t bestScore = 0;
    const std::vector<StoreHost> &stores = this->context.backends.stores();
    for (std::uint32_t i = 0; i < stores.size(); ++i) {
        const std::size_t score = std::hash<std::string> {}(stores[i].name + piece.hex());
        if (stores[i].configured && (!best.isValid() || score > bestScore)) {
            best = {i};
            bestScore = score;
        }
    }
    return best;
}

void ExportTask::start(const Order &order, StoreHandle store)
{
    ++this->underWay;
    const Backend &server = this->context.backends.server(order.server);
    const StoreHost &target = this->context.backends.store(store);
    logLine("keep", "exporting piece {} from {} to store {}", order.piece.hex(), server.name, target.name);
    this->context.engines.exportPiece(
        server.address, order.piece, target.address, 0, [this, order](const Result<std::uint64_t> &sealed) {
            --this->underWay;
            this->known.erase(order.piece);
            this->context.metrics.count("exports", sealed ? "end=\"sealed\"" : "end=\"failed\"");
        });
}

} // namespace endivespan
