#include "bench_model.h"

#include "bench_machines.h"

#include <algorithm>
#include <queue>
#include <random>

namespace endivespan::cli {

namespace {

using namespace std::chrono_literals;

constexpr ModelHandle OneModel {0};
constexpr VersionHandle OneVersion {0};
constexpr Duration HostPeriod = 50ms;
constexpr Duration KeepPeriod = 20ms;
constexpr Duration DeletionPeriod = 1s;

double toSeconds(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

Duration fromSeconds(double seconds)
{
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
}

enum class EventKind {
    Arrival,
    ReachRunner,
    ChunkDone,
    FirstToken,
    RunEnd,
    LinkDone,
    Report,
    ReportArrives,
    Events,
    EventsArrive,
    HostTick,
    KeepTick,
    DeletionTick,
};

struct Event {
    TimePoint at;
    std::uint64_t order = 0; ///< Keeps simultaneous events in the order they were made.
    EventKind kind = EventKind::Arrival;
    std::uint32_t index = 0;

    bool operator<(const Event &other) const
    {
        return this->at != other.at ? this->at > other.at : this->order > other.order;
    }
};

struct Job {
    std::uint32_t arrival = 0;
    std::uint32_t priority = 0;
    std::uint32_t runner = 0;
    Decision decision;
    DispatchHandle dispatch;
    TimePoint dispatchedAt;
    TimePoint startedAt;
    std::uint32_t cachedPieces = 0;
    std::uint32_t importedPieces = 0;
    std::uint32_t recomputeTokens = 0;
    std::uint32_t remainingTokens = 0;
    std::vector<PieceKey> pinned;
};

struct Runner {
    PieceMemory memory;
    std::vector<std::uint32_t> queue; ///< Jobs without a place.
    std::vector<std::uint32_t> prefill; ///< Jobs ready for prefill.
    std::uint32_t running = 0;
    std::uint32_t prefilling = 0;
    bool busy = false;
    std::vector<CacheEvent> events;
};

struct Host {
    LoadTable loads;
    Directory directory;
    Admission admission;
    std::unique_ptr<Router> router;
};

// Reports and events on their way to the hosts.
struct Snapshot {
    std::vector<LoadReport> runners;
    std::vector<LinkReport> links;
};

struct Batch {
    std::vector<std::vector<CacheEvent>> events;
    std::vector<std::vector<StoreListing>> added;
    std::vector<std::vector<PieceKey>> removed;
};

class Model
{
public:
    Model(const ModelOptions &options, const PolicySet &policies, const Workload &workload)
        : options(options)
        , policies(policies)
        , workload(workload)
        , random(workload.options.seed)
        , stores(options.stores)
    {
        for (std::uint32_t i = 0; i < options.runners; ++i) {
            this->runners.push_back({PieceMemory(options.memoryPieces), {}, {}, 0, 0, false, {}});
        }
        for (std::uint32_t i = 0; i < options.stores; ++i) {
            this->addKeeper();
        }
        for (std::uint32_t i = 0; i < workload.options.hosts; ++i) {
            this->addHost();
        }
    }

    ModelResult run()
    {
        this->end = TimePoint(this->workload.options.warmup + this->workload.options.counted);
        this->jobs.resize(this->workload.arrivals.size());
        for (std::uint32_t i = 0; i < this->workload.arrivals.size(); ++i) {
            this->schedule(this->workload.arrivals[i].at, EventKind::Arrival, i);
        }
        this->report();
        this->reportArrives();
        this->schedule(TimePoint {}, EventKind::Events, 0);
        this->schedule(TimePoint {}, EventKind::HostTick, 0);
        this->schedule(TimePoint {}, EventKind::KeepTick, 0);
        this->schedule(TimePoint {}, EventKind::DeletionTick, 0);
        while (!this->events.empty() && this->events.top().at < this->end) {
            const Event event = this->events.top();
            this->events.pop();
            this->now = event.at;
            this->handle(event);
        }
        return std::move(this->result);
    }

private:
    void addKeeper()
    {
        KeepLimits limits;
        limits.pieces = 4 * std::size_t {this->options.storePieces};
        limits.organisations = this->workload.options.organisations;
        auto policy = this->policies.makeKeepPolicy ? this->policies.makeKeepPolicy() : makeLruPolicy();
        this->keepers.push_back(std::make_unique<Keeper>(std::move(policy), limits));
        KeepRates rates;
        rates.prefillTokensPerSecond = this->options.prefillTokensPerSecond;
        rates.linkBytesPerSecond = this->workload.options.linkBytesPerSecond;
        this->keepers.back()->setRates(rates);
    }

    void addHost()
    {
        DirectoryLimits directory;
        directory.gapRule = this->policies.gapRule;
        AdmissionLimits admission;
        admission.organisations = this->workload.options.organisations;
        admission.fairShare = this->policies.admission == AdmissionRule::Fair;
        this->hosts.push_back(std::make_unique<Host>(
            Host {LoadTable(), Directory(directory), Admission(admission), this->policies.makeRouter()}));
        Host &host = *this->hosts.back();
        for (std::uint32_t i = 0; i < this->options.runners; ++i) {
            const std::array versions {OneVersion};
            host.loads.setServer({i}, OneModel, versions);
            host.loads.setService({i}, true, true);
        }
        for (std::uint32_t i = 0; i < this->options.stores; ++i) {
            host.loads.setStore({i}, true);
        }
        for (std::uint32_t i = 0; i < this->workload.options.organisations; ++i) {
            host.admission.setOrganisation({i}, 1, 10'000);
        }
    }

    void schedule(TimePoint at, EventKind kind, std::uint32_t index)
    {
        this->events.push({at, this->nextOrder++, kind, index});
    }

    void handle(const Event &event)
    {
        switch (event.kind) {
        case EventKind::Arrival:
            return this->arrive(event.index);
        case EventKind::ReachRunner:
            return this->reachRunner(event.index);
        case EventKind::ChunkDone:
            return this->chunkDone(event.index);
        case EventKind::FirstToken:
            return this->firstToken(event.index);
        case EventKind::RunEnd:
            return this->runEnd(event.index);
        case EventKind::LinkDone:
            return this->linkDone(event.index);
        case EventKind::Report:
            return this->report();
        case EventKind::ReportArrives:
            return this->reportArrives();
        case EventKind::Events:
            return this->collectEvents();
        case EventKind::EventsArrive:
            return this->eventsArrive();
        case EventKind::HostTick:
            return this->hostTick();
        case EventKind::KeepTick:
            return this->keepTick();
        case EventKind::DeletionTick:
            return this->deletionTick();
        }
    }

    [[nodiscard]] const Arrival &arrivalOf(std::uint32_t job) const
    {
        return this->workload.arrivals[job];
    }

    [[nodiscard]] const Catalogue &catalogueOf(std::uint32_t job) const
    {
        return this->workload.catalogues[this->arrivalOf(job).catalogue];
    }

    [[nodiscard]] std::uint32_t promptTokens(std::uint32_t job) const
    {
        return static_cast<std::uint32_t>(this->catalogueOf(job).pieces.size() * config::PieceTokens)
            + this->arrivalOf(job).tailTokens;
    }

    [[nodiscard]] bool isCounted(std::uint32_t job) const
    {
        return this->arrivalOf(job).at >= TimePoint(this->workload.options.warmup);
    }

    [[nodiscard]] bool isLight(std::uint32_t job) const
    {
        return this->catalogueOf(job).organisation.index != 0;
    }

    Host &hostOf(std::uint32_t job)
    {
        return *this->hosts[this->arrivalOf(job).host];
    }

    [[nodiscard]] std::uint32_t storeOf(const PieceKey &piece) const
    {
        return piece.bytes.back() % this->options.stores;
    }

    // --- Hosts ---

    void arrive(std::uint32_t job)
    {
        if (this->isCounted(job)) {
            ++this->result.offered;
            this->result.offeredLight += this->isLight(job) ? 1 : 0;
        }
        const Arrival &arrival = this->arrivalOf(job);
        AdmissionRequest request;
        request.id = job;
        request.organisation = this->catalogueOf(job).organisation;
        request.prefillTokens = this->promptTokens(job);
        request.maxTokens = arrival.maxTokens;
        request.deadline = arrival.at + this->options.deadline;
        request.random = arrival.random;
        AdmissionActions actions;
        this->hostOf(job).admission.offer(request, this->now, actions);
        this->apply(this->hostOf(job), actions);
    }

    void apply(Host &host, AdmissionActions &actions)
    {
        // Starting a run changes what may start next, and its refusals belong to this batch.
        for (std::size_t i = 0; i < actions.start.size(); ++i) {
            const auto job = static_cast<std::uint32_t>(actions.start[i].id);
            this->jobs[job].priority = actions.start[i].priority;
            this->dispatch(host, job);
        }
        for (const AdmissionRefusal &refusal : actions.refuse) {
            this->result.refused += this->isCounted(static_cast<std::uint32_t>(refusal.id)) ? 1 : 0;
        }
    }

    void dispatch(Host &host, std::uint32_t index)
    {
        Job &job = this->jobs[index];
        job.arrival = index;
        RouteRequest request;
        request.organisation = this->catalogueOf(index).organisation;
        request.model = OneModel;
        request.version = OneVersion;
        request.pieces = this->catalogueOf(index).pieces;
        request.promptTokens = this->promptTokens(index);
        request.maxTokens = this->arrivalOf(index).maxTokens;
        request.random = this->arrivalOf(index).random;
        job.decision = host.router->route(request, {host.loads, host.directory}, this->now);
        job.runner = job.decision.server.index;
        job.dispatchedAt = this->now;
        host.admission.planned(index, job.decision.plan.recomputeTokens);
        if (this->policies.ownDispatches) {
            job.dispatch = host.loads.onDispatch(dispatchOf(job.decision), this->now);
        }
        this->schedule(this->now + this->options.hop, EventKind::ReachRunner, index);
    }

    void firstToken(std::uint32_t index)
    {
        Job &job = this->jobs[index];
        Host &host = this->hostOf(index);
        const std::uint64_t imported = std::uint64_t {job.importedPieces} * this->options.pieceBytes;
        FirstTokenSample sample;
        sample.timeToFirstToken = this->now - job.dispatchedAt;
        sample.queueTime = job.startedAt - job.dispatchedAt;
        sample.recomputedTokens = job.recomputeTokens;
        sample.importedBytes = imported;
        host.loads.onFirstToken(job.dispatch, sample, this->now);
        AdmissionActions actions;
        host.admission.firstToken(index, this->now, actions);
        this->count(index, imported);
        this->apply(host, actions);
    }

    void count(std::uint32_t index, std::uint64_t imported)
    {
        if (!this->isCounted(index)) {
            return;
        }
        const Job &job = this->jobs[index];
        const Duration time = this->now - this->arrivalOf(index).at;
        ++this->result.answered;
        this->result.firstToken.add(toSeconds(time));
        this->result.good += time <= this->options.firstTokenBound ? 1 : 0;
        this->result.promptTokens += this->promptTokens(index);
        this->result.recomputedTokens += job.recomputeTokens;
        this->result.importedBytes += imported;
        this->result.wrongHints += job.cachedPieces < job.decision.plan.hitPieces ? 1 : 0;
        if (this->isLight(index)) {
            ++this->result.answeredLight;
            this->result.lightFirstToken.add(toSeconds(time));
        }
    }

    void hostTick()
    {
        for (const auto &host : this->hosts) {
            AdmissionActions actions;
            host->admission.tick(this->now, actions);
            this->apply(*host, actions);
        }
        this->schedule(this->now + HostPeriod, EventKind::HostTick, 0);
    }

    // --- Runners ---

    void reachRunner(std::uint32_t index)
    {
        this->runners[this->jobs[index].runner].queue.push_back(index);
        this->startRuns(this->jobs[index].runner);
    }

    std::uint32_t takeFirst(std::vector<std::uint32_t> &list)
    {
        const auto first = std::min_element(list.begin(), list.end(), [this](std::uint32_t left, std::uint32_t right) {
            return this->jobs[left].priority < this->jobs[right].priority;
        });
        const std::uint32_t index = *first;
        list.erase(first);
        return index;
    }

    void startRuns(std::uint32_t number)
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

    void pin(Job &job, const PieceKey &piece)
    {
        this->runners[job.runner].memory.pin(piece, this->now);
        job.pinned.push_back(piece);
    }

    // Like an engine: one piece after the other, and recompute from the first one that fails.
    void importNext(std::uint32_t index)
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

    void startPrefill(std::uint32_t index)
    {
        Job &job = this->jobs[index];
        const std::uint32_t reused = (job.cachedPieces + job.importedPieces) * config::PieceTokens;
        job.recomputeTokens = this->promptTokens(index) - reused;
        job.remainingTokens = job.recomputeTokens;
        this->runners[job.runner].prefill.push_back(index);
        this->startChunk(job.runner);
    }

    void startChunk(std::uint32_t number)
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

    void chunkDone(std::uint32_t number)
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

    void endPrefill(std::uint32_t index)
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

    void runEnd(std::uint32_t index)
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
        this->tellKeepers(index);
        job.pinned.clear();
        AdmissionActions actions;
        host.admission.finished(index, this->now, actions);
        this->apply(host, actions);
    }

    // --- Stores ---

    void tellKeepers(std::uint32_t index)
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

    void startTransfer(std::uint32_t number)
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

    void linkDone(std::uint32_t number)
    {
        ModelStore &store = this->stores[number];
        const Transfer transfer = store.current;
        store.busy = false;
        if (transfer.isExport) {
            this->sealed(number, transfer);
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

    void sealed(std::uint32_t number, const Transfer &transfer)
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

    void keepTick()
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

    void deletionTick()
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

    // --- Reports and events ---

    LoadReport reportOf(const Runner &runner) const
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
            report.queuedPrefillTokens
                += this->promptTokens(job) - static_cast<std::uint32_t>(held * config::PieceTokens);
        }
        return report;
    }

    void report()
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

    // A host knows only the usual lag of a report.
    void reportArrives()
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

    void collectEvents()
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

    void eventsArrive()
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

    const ModelOptions &options;
    const PolicySet &policies;
    const Workload &workload;
    std::mt19937_64 random;
    TimePoint now;
    TimePoint end;
    std::uint64_t nextOrder = 0;
    std::priority_queue<Event> events;
    std::vector<Job> jobs;
    std::vector<Runner> runners;
    std::vector<ModelStore> stores;
    std::vector<std::unique_ptr<Keeper>> keepers;
    std::vector<std::unique_ptr<Host>> hosts;
    std::deque<Snapshot> snapshots;
    std::deque<Batch> batches;
    ModelResult result;
};

} // namespace

ModelResult runModel(const ModelOptions &options, const PolicySet &policies, const Workload &workload)
{
    return Model(options, policies, workload).run();
}

} // namespace endivespan::cli
