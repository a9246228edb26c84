#include "bench_model_p.h"

#include <utility>

namespace endivespan::cli {

Model::Model(const ModelOptions &options, const PolicySet &policies, const Workload &workload)
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

ModelResult Model::run()
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

void Model::addKeeper()
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

void Model::addHost()
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

void Model::schedule(TimePoint at, EventKind kind, std::uint32_t index)
{
    this->events.push({at, this->nextOrder++, kind, index});
}

void Model::handle(const Event &event)
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

const Arrival &Model::arrivalOf(std::uint32_t job) const
{
    return this->workload.arrivals[job];
}

const Catalogue &Model::catalogueOf(std::uint32_t job) const
{
    return this->workload.catalogues[this->arrivalOf(job).catalogue];
}

std::uint32_t Model::promptTokens(std::uint32_t job) const
{
    return static_cast<std::uint32_t>(this->catalogueOf(job).pieces.size() * config::PieceTokens)
        + this->arrivalOf(job).tailTokens;
}

bool Model::isCounted(std::uint32_t job) const
{
    return this->arrivalOf(job).at >= TimePoint(this->workload.options.warmup);
}

bool Model::isLight(std::uint32_t job) const
{
    return this->catalogueOf(job).organisation.index != 0;
}

Host &Model::hostOf(std::uint32_t job)
{
    return *this->hosts[this->arrivalOf(job).host];
}

std::uint32_t Model::storeOf(const PieceKey &piece) const
{
    return piece.bytes.back() % this->options.stores;
}

void Model::arrive(std::uint32_t job)
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

void Model::apply(Host &host, AdmissionActions &actions)
{
    for (const AdmissionStart &start : actions.start) {
        const auto job = static_cast<std::uint32_t>(start.id);
        this->jobs[job].priority = start.priority;
        this->dispatch(host, job);
    }
    for (const AdmissionRefusal &refusal : actions.refuse) {
        this->result.refused += this->isCounted(static_cast<std::uint32_t>(refusal.id)) ? 1 : 0;
    }
}

void Model::dispatch(Host &host, std::uint32_t index)
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
    host.admission.correctPrefill(index, job.decision.plan.recomputeTokens);
    if (this->policies.ownDispatches) {
        job.dispatch = host.loads.onDispatch(dispatchOf(job.decision), this->now);
    }
    this->schedule(this->now + this->options.hop, EventKind::ReachRunner, index);
}

void Model::firstToken(std::uint32_t index)
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

void Model::count(std::uint32_t index, std::uint64_t imported)
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

void Model::hostTick()
{
    for (const auto &host : this->hosts) {
        AdmissionActions actions;
        host->admission.tick(this->now, actions);
        this->apply(*host, actions);
    }
    this->schedule(this->now + HostPeriod, EventKind::HostTick, 0);
}

ModelResult runModel(const ModelOptions &options, const PolicySet &policies, const Workload &workload)
{
    return Model(options, policies, workload).run();
}

} // namespace endivespan::cli
