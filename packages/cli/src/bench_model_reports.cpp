#include "bench_model_p.h"

#include <utility>

namespace endivespan::cli {

LoadReport Model::reportOf(const Runner &runner) const
{
    LoadReport report;
    report.incarnation = 1;
    report.running = runner.running;
    report.queued = static_cast<std::uint32_t>(runner.queue.size());
    report.capacity = this->options.capacity;
    report.prefillTokensPerSecond = this->options.prefillTokensPerSecond;
    report.importBytesPerSecond = this->workload.options.linkBytesPerSecond;
    for (const std::uint32_t job : runner.prefill) {
        report.queuedPrefillTokens += this->jobs[job].remainingTokens;
    }
    report.queuedPrefillTokens += runner.busy ? this->jobs[runner.prefilling].remainingTokens : 0;
    for (const std::uint32_t job : runner.queue) {
        const auto held = runner.memory.prefixHeld(this->catalogueOf(job).pieces);
        report.queuedPrefillTokens += this->promptTokens(job) - static_cast<std::uint32_t>(held * config::PieceTokens);
    }
    return report;
}

void Model::report()
{
    Snapshot snapshot;
    for (const Runner &runner : this->runners) {
        snapshot.runners.push_back(this->reportOf(runner));
    }
    for (const ModelStore &store : this->stores) {
        LinkReport link;
        link.queuedBytes = (store.imports.size() + (store.busy ? 1 : 0)) * std::uint64_t {this->options.pieceBytes};
        link.bytesPerSecond = this->workload.options.linkBytesPerSecond;
        snapshot.links.push_back(link);
    }
    this->snapshots.push_back(std::move(snapshot));
    this->schedule(this->now + this->options.reportLag, EventKind::ReportArrives, 0);
    this->schedule(this->now + this->options.reportPeriod, EventKind::Report, 0);
}

// A host cannot tell the real age of a report and assumes config::LoadReportLag.
void Model::reportArrives()
{
    if (this->snapshots.empty()) {
        return;
    }
    Snapshot snapshot = std::move(this->snapshots.front());
    this->snapshots.pop_front();
    for (const auto &host : this->hosts) {
        for (std::uint32_t i = 0; i < snapshot.runners.size(); ++i) {
            snapshot.runners[i].observedAt = this->now - config::LoadReportLag;
            host->loads.onReport({i}, snapshot.runners[i]);
        }
        for (std::uint32_t i = 0; i < snapshot.links.size(); ++i) {
            snapshot.links[i].observedAt = this->now - config::LoadReportLag;
            host->loads.onLinkReport({i}, snapshot.links[i]);
        }
        host->loads.tick(this->now);
        AdmissionCapacity capacity = capacityOfHost(host->loads.poolCapacity(OneModel), this->hosts.size());
        if (this->policies.admission == AdmissionRule::None) {
            capacity = {1e9, 1e12, 0, 0};
        }
        AdmissionActions actions;
        host->admission.setCapacity(capacity, this->now, actions);
        this->apply(*host, actions);
    }
}

void Model::collectEvents()
{
    Batch batch;
    for (Runner &runner : this->runners) {
        std::erase_if(runner.events, [this](const CacheEvent &) {
            return std::uniform_real_distribution<double>(0, 1)(this->random) < this->options.eventLoss;
        });
        batch.events.push_back(std::exchange(runner.events, {}));
    }
    for (ModelStore &store : this->stores) {
        batch.added.push_back(std::exchange(store.added, {}));
        batch.removed.push_back(std::exchange(store.removed, {}));
    }
    this->batches.push_back(std::move(batch));
    this->schedule(this->now + this->options.eventLag, EventKind::EventsArrive, 0);
    this->schedule(this->now + this->options.eventPeriod, EventKind::Events, 0);
}

void Model::eventsArrive()
{
    const Batch batch = std::move(this->batches.front());
    this->batches.pop_front();
    for (const auto &host : this->hosts) {
        for (std::uint32_t i = 0; this->policies.cacheEvents && i < batch.events.size(); ++i) {
            host->directory.applyEvents({i}, 1, batch.events[i]);
        }
        for (std::uint32_t i = 0; i < batch.added.size(); ++i) {
            host->directory.applyListing({i}, batch.added[i]);
            for (const PieceKey &piece : batch.removed[i]) {
                host->directory.forgetCopy({i}, piece);
            }
        }
    }
    for (std::uint32_t i = 0; i < batch.events.size(); ++i) {
        for (const CacheEvent &event : batch.events[i]) {
            if (event.kind == CacheEventKind::Evicted) {
                this->keepers[this->storeOf(event.piece)]->onEvicted({i}, event.piece, this->now);
            }
        }
    }
}

} // namespace endivespan::cli
