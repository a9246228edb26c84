#include "bench_model_p.h"

#include <algorithm>

namespace endivespan::cli {

void Model::reachRunner(std::uint32_t index)
{
    this->runners[this->jobs[index].runner].queue.push_back(index);
    this->startRuns(this->jobs[index].runner);
}

std::uint32_t Model::takeFirst(std::vector<std::uint32_t> &list)
{
    const auto first = std::min_element(list.begin(), list.end(), [this](std::uint32_t left, std::uint32_t right) {
        return this->jobs[left].priority < this->jobs[right].priority;
    });
    const std::uint32_t index = *first;
    list.erase(first);
    return index;
}

void Model::startRuns(std::uint32_t number)
{
    Runner &runner = this->runners[number];
    while (runner.running < this->options.capacity && !runner.queue.empty()) {
        const std::uint32_t index = this->takeFirst(runner.queue);
        ++runner.running;
        Job &job = this->jobs[index];
        job.startedAt = this->now;
        const std::vector<PieceKey> &pieces = this->catalogueOf(index).pieces;
        job.cachedPieces = static_cast<std::uint32_t>(runner.memory.prefixHeld(pieces));
        for (std::uint32_t i = 0; i < job.cachedPieces; ++i) {
            this->pin(job, pieces[i]);
        }
        this->importNext(index);
    }
}

void Model::pin(Job &job, const PieceKey &piece)
{
    this->runners[job.runner].memory.pin(piece, this->now);
    job.pinned.push_back(piece);
}

// Imports pieces one after the other and recomputes from the first one that cannot be imported, as an engine does.
void Model::importNext(std::uint32_t index)
{
    Job &job = this->jobs[index];
    const std::uint32_t next = job.cachedPieces + job.importedPieces;
    if (next >= job.decision.sourceCount) {
        this->startPrefill(index);
        return;
    }
    const StoreCopy &source = job.decision.sources.at(next);
    const PieceKey &piece = this->catalogueOf(index).pieces[next];
    ModelStore &store = this->stores[source.store.index];
    const auto found = store.generations.find(piece);
    if (found == store.generations.end() || found->second != source.generation) {
        this->startPrefill(index);
        return;
    }
    store.imports.push_back({index, piece, 0, false});
    this->startTransfer(source.store.index);
}

void Model::startPrefill(std::uint32_t index)
{
    Job &job = this->jobs[index];
    const std::uint32_t reused = (job.cachedPieces + job.importedPieces) * config::PieceTokens;
    job.recomputeTokens = this->promptTokens(index) - reused;
    job.remainingTokens = job.recomputeTokens;
    this->runners[job.runner].prefill.push_back(index);
    this->startChunk(job.runner);
}

void Model::startChunk(std::uint32_t number)
{
    Runner &runner = this->runners[number];
    if (runner.busy || runner.prefill.empty()) {
        return;
    }
    runner.busy = true;
    runner.prefilling = this->takeFirst(runner.prefill);
    const std::uint32_t tokens
        = std::min<std::uint32_t>(this->jobs[runner.prefilling].remainingTokens, config::PieceTokens);
    const Duration taken = fromSeconds(tokens / this->options.prefillTokensPerSecond);
    this->schedule(this->now + taken, EventKind::ChunkDone, number);
}

void Model::chunkDone(std::uint32_t number)
{
    Runner &runner = this->runners[number];
    const std::uint32_t index = runner.prefilling;
    Job &job = this->jobs[index];
    runner.busy = false;
    job.remainingTokens -= std::min<std::uint32_t>(job.remainingTokens, config::PieceTokens);
    if (job.remainingTokens > 0) {
        runner.prefill.insert(runner.prefill.begin(), index);
    } else {
        this->endPrefill(index);
    }
    this->startChunk(number);
}

void Model::endPrefill(std::uint32_t index)
{
    Job &job = this->jobs[index];
    Runner &runner = this->runners[job.runner];
    const std::vector<PieceKey> &pieces = this->catalogueOf(index).pieces;
    for (std::size_t i = job.pinned.size(); i < pieces.size(); ++i) {
        if (!runner.memory.store(pieces[i], this->now, runner.events)) {
            break;
        }
        this->pin(job, pieces[i]);
    }
    this->schedule(this->now + this->options.hop, EventKind::FirstToken, index);
    const Duration decode = fromSeconds(this->arrivalOf(index).maxTokens * this->options.secondsPerToken);
    this->schedule(this->now + decode, EventKind::RunEnd, index);
}

void Model::runEnd(std::uint32_t index)
{
    Job &job = this->jobs[index];
    Runner &runner = this->runners[job.runner];
    for (const PieceKey &piece : job.pinned) {
        runner.memory.unpin(piece);
    }
    --runner.running;
    this->startRuns(job.runner);
    Host &host = this->hostOf(index);
    const Catalogue &catalogue = this->catalogueOf(index);
    host.directory.applyRun({job.runner}, 1, {catalogue.organisation, OneVersion}, catalogue.pieces);
    host.loads.onEnd(job.dispatch, true, this->now);
    this->notifyKeepers(index);
    job.pinned.clear();
    AdmissionActions actions;
    host.admission.finished(index, this->now, actions);
    this->apply(host, actions);
}

void Model::notifyKeepers(std::uint32_t index)
{
    for (std::uint32_t store = 0; store < this->options.stores; ++store) {
        std::vector<PieceKey> pieces;
        for (const PieceKey &piece : this->catalogueOf(index).pieces) {
            if (this->storeOf(piece) == store) {
                pieces.push_back(piece);
            }
        }
        const OrganisationHandle organisation = this->catalogueOf(index).organisation;
        this->keepers[store]->onPrompt({organisation, {this->jobs[index].runner}, pieces, this->options.pieceBytes},
                                       this->now);
    }
}

void Model::startTransfer(std::uint32_t number)
{
    ModelStore &store = this->stores[number];
    std::deque<Transfer> &queue = store.imports.empty() ? store.exports : store.imports;
    if (store.busy || queue.empty()) {
        return;
    }
    store.busy = true;
    store.current = queue.front();
    queue.pop_front();
    const double seconds = this->options.pieceBytes / this->workload.options.linkBytesPerSecond;
    this->schedule(this->now + fromSeconds(seconds), EventKind::LinkDone, number);
}

void Model::linkDone(std::uint32_t number)
{
    ModelStore &store = this->stores[number];
    const Transfer transfer = store.current;
    store.busy = false;
    if (transfer.isExport) {
        this->onExported(number, transfer);
    } else {
        Job &job = this->jobs[transfer.job];
        Runner &runner = this->runners[job.runner];
        if (runner.memory.store(transfer.piece, this->now, runner.events)) {
            this->pin(job, transfer.piece);
            ++job.importedPieces;
            this->importNext(transfer.job);
        } else {
            this->startPrefill(transfer.job);
        }
    }
    this->startTransfer(number);
}

void Model::onExported(std::uint32_t number, const Transfer &transfer)
{
    ModelStore &store = this->stores[number];
    this->runners[transfer.runner].memory.unpin(transfer.piece);
    if (store.generations.size() >= this->options.storePieces) {
        return;
    }
    const std::uint64_t generation = store.nextGeneration++;
    store.generations[transfer.piece] = generation;
    store.added.push_back({transfer.piece, generation, this->options.pieceBytes});
    this->keepers[number]->onStored(transfer.piece, generation, this->options.pieceBytes, this->now);
    const bool counted = this->now >= TimePoint(this->workload.options.warmup);
    this->result.exportedBytes += counted ? this->options.pieceBytes : 0;
}

void Model::keepTick()
{
    this->schedule(this->now + KeepPeriod, EventKind::KeepTick, 0);
    if (!this->policies.makeKeepPolicy) {
        return;
    }
    for (std::uint32_t number = 0; number < this->options.stores; ++number) {
        ModelStore &store = this->stores[number];
        const std::uint64_t used = store.generations.size() * std::uint64_t {this->options.pieceBytes};
        const std::uint64_t room = std::uint64_t {this->options.storePieces} * this->options.pieceBytes - used;
        const double queued = static_cast<double>(store.imports.size()) * this->options.pieceBytes;
        const Duration wait = fromSeconds(queued / this->workload.options.linkBytesPerSecond);
        while (store.exports.size() < 2) {
            const auto order = this->keepers[number]->nextExport(wait, room, this->now);
            if (!order) {
                break;
            }
            PieceMemory &memory = this->runners[order->server.index].memory;
            if (memory.holds(order->piece)) {
                memory.pin(order->piece, this->now);
                store.exports.push_back({0, order->piece, order->server.index, true});
            }
        }
        this->startTransfer(number);
    }
}

void Model::deletionTick()
{
    for (std::uint32_t number = 0; number < this->options.stores; ++number) {
        ModelStore &store = this->stores[number];
        const std::uint64_t bytes = this->options.pieceBytes;
        const std::uint64_t capacity = this->options.storePieces * bytes;
        for (const DeleteOrder &order :
             this->keepers[number]->deletions(store.generations.size() * bytes, capacity, this->now)) {
            store.generations.erase(order.piece);
            store.removed.push_back(order.piece);
            this->keepers[number]->onDeleted(order.piece);
        }
    }
    this->schedule(this->now + DeletionPeriod, EventKind::DeletionTick, 0);
}

} // namespace endivespan::cli
