#include <endivespan/load_table.h>

#include <algorithm>
#include <cmath>

namespace endivespan {

namespace {

constexpr double MinFactor = 0.05;
constexpr double MaxFactor = 20.0;
constexpr std::uint64_t MinSampleTokens = 200;
constexpr std::uint64_t MinSampleBytes = 100'000;

double toSeconds(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

Duration fromSeconds(double seconds)
{
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
}

void smooth(double &value, double sample)
{
    value += config::RateSmoothing * (sample - value);
}

double bounded(double factor)
{
    return std::clamp(factor, MinFactor, MaxFactor);
}

} // namespace

bool ServerLoad::serves(VersionHandle version) const
{
    const auto *end = this->versions.begin() + this->versionCount;
    return std::find(this->versions.begin(), end, version) != end;
}

LoadTable::LoadTable(const LoadLimits &limits)
    : servers(limits.servers)
    , links(limits.stores)
    , pools(limits.models)
    , pendings(limits.dispatches)
    , pendingOfServer(limits.servers)
    , pendingOfLink(limits.stores)
{
    this->freePendings.reserve(limits.dispatches);
    for (std::size_t i = limits.dispatches; i > 0; --i) {
        this->freePendings.push_back(static_cast<std::uint32_t>(i - 1));
    }
}

void LoadTable::setServer(ServerHandle server, ModelHandle model, std::span<const VersionHandle> versions)
{
    ServerLoad &load = this->servers.at(server.index);
    if (load.model != model) {
        this->removeFromPool(server);
        load.model = model;
        this->pools.at(model.index).servers.push_back(server);
    }
    load.versionCount = static_cast<std::uint8_t>(std::min(versions.size(), ServerLoad::MaxVersions));
    std::copy_n(versions.begin(), load.versionCount, load.versions.begin());
}

void LoadTable::removeFromPool(ServerHandle server)
{
    if (const ModelHandle model = this->servers.at(server.index).model; model.isValid()) {
        std::erase(this->pools.at(model.index).servers, server);
    }
}

void LoadTable::removeServer(ServerHandle server)
{
    this->removeFromPool(server);
    for (const std::uint32_t index : this->pendingOfServer.at(server.index)) {
        this->pendings[index].counted = false;
    }
    this->pendingOfServer.at(server.index).clear();
    this->servers.at(server.index) = ServerLoad {};
}

void LoadTable::setService(ServerHandle server, bool mayTakeWork, bool creditAvailable)
{
    ServerLoad &load = this->servers.at(server.index);
    load.mayTakeWork = mayTakeWork;
    load.creditAvailable = creditAvailable;
}

void LoadTable::onReport(ServerHandle server, const LoadReport &report)
{
    ServerLoad &load = this->servers.at(server.index);
    if (load.reported && load.report.incarnation != report.incarnation) {
        load.prefillFactor = 1.0;
        load.runSeconds = 0;
    }
    load.report = report;
    load.reported = true;
    auto &waiting = this->pendingOfServer.at(server.index);
    for (std::size_t i = waiting.size(); i > 0; --i) {
        if (Pending &pending = this->pendings[waiting[i - 1]]; pending.at <= report.observedAt) {
            this->subtractUnreported(pending);
        }
    }
}

void LoadTable::setStore(StoreHandle store, bool usable)
{
    this->links.at(store.index).usable = usable;
}

void LoadTable::onLinkReport(StoreHandle store, const LinkReport &report)
{
    LinkLoad &link = this->links.at(store.index);
    link.report = report;
    link.reported = true;
    auto &waiting = this->pendingOfLink.at(store.index);
    std::erase_if(waiting, [this, &link, &report](std::uint32_t index) {
        const bool contained = this->pendings[index].at <= report.observedAt;
        link.unreportedRuns -= contained ? 1 : 0;
        return contained;
    });
}

DispatchHandle LoadTable::onDispatch(const Dispatch &dispatch, TimePoint now)
{
    if (this->freePendings.empty()) {
        return {};
    }
    const std::uint32_t index = this->freePendings.back();
    this->freePendings.pop_back();
    this->pendings[index] = {dispatch, now, true, true, true};
    this->pendingOfServer.at(dispatch.server.index).push_back(index);
    ServerLoad &load = this->servers.at(dispatch.server.index);
    ++load.unreportedRequests;
    load.unreportedTokens += dispatch.prefillTokens;
    for (const LinkUse &use : dispatch.links) {
        if (use.store.isValid()) {
            ++this->links.at(use.store.index).unreportedRuns;
            this->pendingOfLink.at(use.store.index).push_back(index);
        }
    }
    return {index};
}

void LoadTable::subtractUnreported(Pending &pending)
{
    if (!pending.counted) {
        return;
    }
    pending.counted = false;
    ServerLoad &load = this->servers.at(pending.dispatch.server.index);
    --load.unreportedRequests;
    load.unreportedTokens -= pending.dispatch.prefillTokens;
    const auto index = static_cast<std::uint32_t>(&pending - this->pendings.data());
    std::erase(this->pendingOfServer.at(pending.dispatch.server.index), index);
}

void LoadTable::subtractUnreportedLinks(Pending &pending)
{
    if (!pending.linksCounted) {
        return;
    }
    pending.linksCounted = false;
    const auto index = static_cast<std::uint32_t>(&pending - this->pendings.data());
    for (const LinkUse &use : pending.dispatch.links) {
        if (use.store.isValid()) {
            const auto erased = std::erase(this->pendingOfLink.at(use.store.index), index);
            this->links.at(use.store.index).unreportedRuns -= static_cast<std::uint32_t>(erased);
        }
    }
}

void LoadTable::onFirstToken(DispatchHandle dispatch, const FirstTokenSample &sample, TimePoint now)
{
    if (!dispatch.isValid()) {
        return;
    }
    Pending &pending = this->pendings.at(dispatch.index);
    this->subtractUnreportedLinks(pending);
    if (sample.importedBytes == 0) {
        this->learnPrefill(pending, sample);
    } else {
        this->learnTransfer(pending, sample, now);
    }
}

void LoadTable::learnPrefill(const Pending &pending, const FirstTokenSample &sample)
{
    if (sample.recomputedTokens < MinSampleTokens) {
        return;
    }
    ServerLoad &load = this->servers.at(pending.dispatch.server.index);
    const double expected = toSeconds(this->expectedPrefill(pending.dispatch.server, sample.recomputedTokens));
    const Duration wait = std::max(sample.queueTime, pending.dispatch.expectedWait);
    const double actual = std::max(0.0, toSeconds(sample.timeToFirstToken - wait));
    smooth(load.prefillFactor, bounded(load.prefillFactor * actual / expected));
}

// Transfer times are measured per run, not per link, so all links of a run are updated with the same ratio of measured
// to expected time.
void LoadTable::learnTransfer(const Pending &pending, const FirstTokenSample &sample, TimePoint now)
{
    std::uint64_t planned = 0;
    for (const LinkUse &use : pending.dispatch.links) {
        planned += use.bytes;
    }
    if (sample.importedBytes < MinSampleBytes || planned == 0) {
        return;
    }
    const double part = static_cast<double>(sample.importedBytes) / static_cast<double>(planned);
    const double expected = std::max(toSeconds(pending.dispatch.expectedTransfer) * part, 1e-6);
    const Duration prefill = this->expectedPrefill(pending.dispatch.server, sample.recomputedTokens);
    const Duration wait = std::max(sample.queueTime, pending.dispatch.expectedWait);
    const double actual = std::max(0.0, toSeconds(sample.timeToFirstToken - wait - prefill));
    for (const LinkUse &use : pending.dispatch.links) {
        if (use.store.isValid()) {
            LinkLoad &link = this->links.at(use.store.index);
            link.transferFactor = this->transferTimeFactor(link, now);
            smooth(link.transferFactor, bounded(link.transferFactor * actual / expected));
            link.learnedAt = now;
        }
    }
}

void LoadTable::onEnd(DispatchHandle dispatch, bool completed, TimePoint now)
{
    if (!dispatch.isValid()) {
        return;
    }
    Pending &pending = this->pendings.at(dispatch.index);
    if (completed) {
        ServerLoad &load = this->servers.at(pending.dispatch.server.index);
        const double seconds = toSeconds(now - pending.at);
        load.runSeconds = load.runSeconds == 0 ? seconds : load.runSeconds;
        smooth(load.runSeconds, seconds);
    }
    this->subtractUnreported(pending);
    this->subtractUnreportedLinks(pending);
    pending.inUse = false;
    this->freePendings.push_back(dispatch.index);
}

void LoadTable::tick(TimePoint)
{
    for (Pool &pool : this->pools) {
        double sum = 0;
        for (const ServerHandle server : pool.servers) {
            sum += this->reportedWaitSeconds(this->servers[server.index]);
        }
        pool.meanWaitSeconds = pool.servers.empty() ? 0 : sum / static_cast<double>(pool.servers.size());
    }
}

double LoadTable::prefillRate(const ServerLoad &load) const
{
    const double reported = load.report.prefillTokensPerSecond;
    return (reported > 0 ? reported : config::StartPrefillTokensPerSecond) / load.prefillFactor;
}

// A new run waits for the prefill work queued before it and, when all slots are taken, for a free slot.
double LoadTable::reportedWaitSeconds(const ServerLoad &load) const
{
    const double prefill = load.report.queuedPrefillTokens / this->prefillRate(load);
    const double capacity = std::max<std::uint32_t>(load.report.capacity, 1);
    const double ahead = static_cast<double>(load.report.running) + load.report.queued + 1 - capacity;
    const double run = load.runSeconds > 0 ? load.runSeconds : toSeconds(config::StartRunTime);
    return std::max(prefill, std::max(ahead, 0.0) / capacity * run);
}

// The older the report of a runner is, the more weight the mean of the pool gets. Dispatches of this host since the
// report are known exactly and added.
Duration LoadTable::expectedWait(ServerHandle server, TimePoint now) const
{
    const ServerLoad &load = this->servers.at(server.index);
    const double mean = load.model.isValid() ? this->pools[load.model.index].meanWaitSeconds : 0;
    double wait = mean;
    if (load.reported) {
        const double age = std::max(0.0, toSeconds(now - load.report.observedAt));
        const double weight = std::exp(-age / toSeconds(config::LoadReportDecayTime));
        wait = weight * this->reportedWaitSeconds(load) + (1 - weight) * mean;
    }
    const double own = load.unreportedTokens / this->prefillRate(load);
    return fromSeconds(wait + own);
}

Duration LoadTable::expectedPrefill(ServerHandle server, std::uint64_t tokens) const
{
    return fromSeconds(static_cast<double>(tokens) / this->prefillRate(this->servers.at(server.index)));
}

double LoadTable::linkRate(const LinkLoad &link) const
{
    return link.report.bytesPerSecond > 0 ? link.report.bytesPerSecond : config::StartImportBytesPerSecond;
}

// The learned factor decays towards 1, so that a link found to be slow is tried again after a while: without imports
// there would be no new samples of it.
double LoadTable::transferTimeFactor(const LinkLoad &link, TimePoint now) const
{
    const double age = std::max(0.0, toSeconds(now - link.learnedAt));
    return 1.0 + (link.transferFactor - 1.0) * std::exp(-age / toSeconds(config::LinkFactorDecayTime));
}

Duration LoadTable::expectedLinkWait(StoreHandle store, TimePoint now) const
{
    const LinkLoad &link = this->links.at(store.index);
    const double own = static_cast<double>(link.unreportedRuns) * config::StartPieceBytes;
    const double queued = static_cast<double>(link.report.queuedBytes) + own;
    return fromSeconds(queued / this->linkRate(link) * this->transferTimeFactor(link, now));
}

double LoadTable::transferRate(StoreHandle store, ServerHandle server, TimePoint now) const
{
    const LinkLoad &link = this->links.at(store.index);
    const ServerLoad &load = this->servers.at(server.index);
    double rate = this->linkRate(link);
    if (load.report.importBytesPerSecond > 0) {
        rate = std::min(rate, load.report.importBytesPerSecond);
    }
    return rate / this->transferTimeFactor(link, now);
}

PoolCapacity LoadTable::poolCapacity(ModelHandle model) const
{
    PoolCapacity capacity;
    for (const ServerHandle server : this->pool(model)) {
        const ServerLoad &load = this->servers[server.index];
        if (!load.mayTakeWork || !load.reported) {
            continue;
        }
        const double slots = load.report.capacity;
        const double taken = static_cast<double>(load.report.running) + load.report.queued;
        const double rate = this->prefillRate(load);
        const double window = rate * toSeconds(config::AdmissionPrefillWindow);
        capacity.runners += 1;
        capacity.slots += slots;
        capacity.freeSlots += std::max(0.0, slots - taken);
        capacity.prefillTokensPerSecond += rate;
        capacity.freePrefillTokens += std::max(0.0, window - load.report.queuedPrefillTokens);
    }
    return capacity;
}

std::span<const ServerHandle> LoadTable::pool(ModelHandle model) const
{
    if (model.index >= this->pools.size()) {
        return {};
    }
    return this->pools[model.index].servers;
}

const ServerLoad &LoadTable::server(ServerHandle server) const
{
    return this->servers.at(server.index);
}

const LinkLoad &LoadTable::link(StoreHandle store) const
{
    return this->links.at(store.index);
}

std::size_t LoadTable::storeCount() const
{
    return this->links.size();
}

std::size_t LoadTable::dispatchesInFlight() const
{
    return this->pendings.size() - this->freePendings.size();
}

} // namespace endivespan
