#include "backends.h"

#include <endivespan/access.h>
#include <endivespan/config.h>
#include <endivespan/log.h>

#include <algorithm>
#include <functional>
#include <utility>

namespace endivespan {

namespace {

std::uint64_t incarnationNumber(const std::string &incarnation)
{
    return std::hash<std::string> {}(incarnation);
}

} // namespace

Backends::Backends(Loop &loop, const FleetSource &fleet, EngineClient &engines)
    : loop(loop)
    , fleet(fleet)
    , engines(engines)
    , storeClient(StoreClient::create(loop))
    , serverNames(LoadLimits {}.servers)
    , storeNames(LoadLimits {}.stores)
    , modelNames(LoadLimits {}.models)
    , versionNames(config::MaxVersionNames)
    , organisationNames(config::MaxOrganisations)
{
}

void Backends::setGate(ServerGate *newGate)
{
    this->gate = newGate;
}

ServerGate *Backends::serverGate() const
{
    return this->gate;
}

const std::vector<Backend> &Backends::servers() const
{
    return this->serverList;
}

Backend &Backends::server(ServerHandle handle)
{
    return this->serverList.at(handle.index);
}

void Backends::applyHostList(const std::vector<PlatformHost> &hosts)
{
    for (const PlatformHost &host : hosts) {
        const ServerHandle handle = this->serverNames.find(host.name);
        if (!handle.isValid()) {
            continue;
        }
        Backend &backend = this->server(handle);
        const bool leaving = host.state != PlatformState::Live;
        if (backend.leaving != leaving) {
            logLine("backends", "{} is {} according to the host list", host.name, leaving ? "leaving" : "live");
            backend.leaving = leaving;
        }
    }
    // Routing must use the new states at once, not from the next tick on.
    this->refreshService();
}

bool Backends::mayDispatch(const Backend &server) const
{
    const bool allowed = server.configured && server.mayTakeWork && !server.leaving;
    return allowed && (this->gate == nullptr || (this->gate->mayTakeWork(server) && this->gate->hasCredit(server)));
}

StoreHost &Backends::store(StoreHandle handle)
{
    return this->storeList.at(handle.index);
}

const std::vector<StoreHost> &Backends::stores() const
{
    return this->storeList;
}

void Backends::pin(const StoreCopy &copy, const PieceKey &piece, std::chrono::milliseconds time)
{
    const StoreHandle store = copy.store;
    this->storeClient->pin(
        this->store(store).address, piece, copy.generation, time, [this, store, piece](const Result<void> &pinned) {
            if (!pinned && pinned.error().kind == ErrorKind::NotFound) {
                this->directory.forgetCopy(store, piece);
            }
        });
}

VersionHandle Backends::versionOf(const std::string &model, const std::string &version)
{
    return this->versionNames.intern(model + '\n' + version);
}

OrganisationHandle Backends::organisationOf(const std::string &name)
{
    return this->organisationNames.intern(name);
}

ModelHandle Backends::modelOf(const std::string &name)
{
    return this->modelNames.intern(name);
}

void Backends::tick(TimePoint now)
{
    this->sync();
    this->refreshService();
    this->noteReady();
    this->loads.tick(now);
    if (now >= this->nextPoll) {
        this->nextPoll = now + config::LoadReportPeriod;
        for (std::uint32_t i = 0; i < this->serverList.size(); ++i) {
            this->pollServer({i});
            this->pollEvents({i});
        }
    }
    if (now >= this->nextList) {
        this->nextList = now + config::StoreListPeriod;
        for (std::uint32_t i = 0; i < this->storeList.size(); ++i) {
            this->pollStore({i});
        }
    }
}

bool Backends::isReady() const
{
    return this->everReady;
}

void Backends::noteReady()
{
    this->everReady = this->everReady
        || (this->syncedRevision > 0
            && std::all_of(this->serverList.begin(), this->serverList.end(), [](const Backend &server) {
                   return server.loadKnown || !server.configured;
               }));
}

void Backends::sync()
{
    const Fleet &wanted = this->fleet.fleet();
    if (wanted.revision == this->syncedRevision) {
        return;
    }
    this->syncedRevision = wanted.revision;
    for (Backend &server : this->serverList) {
        server.configured = false;
        server.mayTakeWork = false;
    }
    for (StoreHost &store : this->storeList) {
        store.configured = false;
    }
    for (const auto &[name, server] : wanted.servers) {
        if (server.kind == ServerKind::Store) {
            this->syncStore(server);
        } else {
            this->syncServer(wanted, server);
        }
    }
    for (std::uint32_t i = 0; i < this->storeList.size(); ++i) {
        this->loads.setStore({i}, this->storeList[i].configured);
    }
}

void Backends::syncServer(const Fleet &wanted, const BackendServer &server)
{
    const ServerHandle handle = this->serverNames.intern(server.name);
    if (!handle.isValid()) {
        logLine("backends", "server {} ignored: the table of server names is full", server.name);
        return;
    }
    if (handle.index >= this->serverList.size()) {
        this->serverList.resize(handle.index + 1);
    }
    Backend &backend = this->serverList[handle.index];
    const bool moved = backend.address != server.address;
    backend.name = server.name;
    backend.kind = server.kind;
    backend.address = server.address;
    backend.domain = server.domain;
    backend.pool = server.pool;
    backend.coldConcurrency = server.coldConcurrency;
    backend.warmConcurrency = server.warmConcurrency;
    backend.configured = true;
    backend.mayTakeWork = endivespan::mayTakeWork(wanted, server);
    if (moved) {
        backend.incarnation.clear();
        backend.nextEvent = 0;
        this->directory.forgetServer(handle);
        if (server.kind == ServerKind::Runner) {
            this->loads.setServer(handle, this->modelOf(server.pool), {});
        }
    }
}

void Backends::syncStore(const BackendServer &server)
{
    const StoreHandle handle = this->storeNames.intern(server.name);
    if (!handle.isValid()) {
        logLine("backends", "store {} ignored: the table of store names is full", server.name);
        return;
    }
    if (handle.index >= this->storeList.size()) {
        this->storeList.resize(handle.index + 1);
    }
    StoreHost &store = this->storeList[handle.index];
    if (store.address != server.address) {
        this->directory.forgetStore(handle);
        store.listAfter.clear();
    }
    store.name = server.name;
    store.address = server.address;
    store.domain = server.domain;
    store.configured = this->fleet.fleet().servers.at(server.name).service == ServiceState::InService;
}

void Backends::serveVersions(ServerHandle handle, const std::vector<std::string> &versions)
{
    const std::string &model = this->serverList[handle.index].pool;
    std::vector<VersionHandle> handles;
    for (const std::string &version : versions) {
        if (handles.size() < ServerLoad::MaxVersions) {
            handles.push_back(this->versionOf(model, version));
        }
    }
    this->loads.setServer(handle, this->modelOf(model), handles);
}

void Backends::refreshService()
{
    for (std::uint32_t i = 0; i < this->serverList.size(); ++i) {
        const Backend &backend = this->serverList[i];
        if (backend.kind != ServerKind::Runner) {
            continue;
        }
        const bool allowed
            = backend.configured && backend.mayTakeWork && !backend.leaving && !backend.incarnation.empty();
        const bool gateOpen = this->gate == nullptr || this->gate->mayTakeWork(backend);
        // A cold server without credit stays in service: credit is requested when a request needs the server, and
        // taken directly before dispatch.
        this->loads.setService({i}, allowed && gateOpen, true);
    }
}

void Backends::pollServer(ServerHandle handle)
{
    Backend &backend = this->server(handle);
    if (!backend.configured || backend.loadAsked) {
        return;
    }
    backend.loadAsked = true;
    const TimePoint askedAt = this->loop.now();
    this->engines.load(backend.address, [this, handle, askedAt](const Result<EngineLoad> &load) {
        this->server(handle).loadAsked = false;
        this->server(handle).loadKnown = true;
        this->onLoad(handle, load, askedAt);
    });
}

void Backends::onLoad(ServerHandle handle, const Result<EngineLoad> &load, TimePoint askedAt)
{
    Backend &backend = this->server(handle);
    if (!load) {
        if (this->gate != nullptr) {
            this->gate->onUnreachable(backend);
        }
        return;
    }
    const EngineLoad &report = load.value();
    if (backend.incarnation != report.incarnation) {
        logLine("backends", "server {} reports a new incarnation {}", backend.name, report.incarnation);
        backend.incarnation = report.incarnation;
        backend.nextEvent = 0;
        // A restarted engine has an empty cache, and no event reports what it lost.
        this->directory.forgetServer(handle);
    }
    if (backend.kind == ServerKind::Runner) {
        this->serveVersions(handle, report.versions);
        LoadReport entry;
        entry.incarnation = incarnationNumber(report.incarnation);
        entry.running = report.running;
        entry.queued = report.queued;
        entry.capacity = report.capacity;
        entry.queuedPrefillTokens = static_cast<std::uint32_t>(report.queuedPrefillTokens);
        entry.prefillTokensPerSecond = report.prefillTokensPerSecond;
        entry.importBytesPerSecond = report.importBytesPerSecond;
        entry.observedAt = askedAt;
        this->loads.onReport(handle, entry);
    }
    if (this->gate != nullptr) {
        this->gate->onLoad(backend, report);
    }
}

void Backends::pollEvents(ServerHandle handle)
{
    Backend &backend = this->server(handle);
    if (!backend.configured || backend.eventsAsked || backend.kind != ServerKind::Runner) {
        return;
    }
    backend.eventsAsked = true;
    this->engines.events(backend.address, backend.nextEvent, [this, handle](const Result<EngineCacheEvents> &events) {
        this->server(handle).eventsAsked = false;
        this->onEvents(handle, events);
    });
}

void Backends::onEvents(ServerHandle handle, const Result<EngineCacheEvents> &events)
{
    Backend &backend = this->server(handle);
    if (!events || events.value().incarnation != backend.incarnation) {
        return;
    }
    std::vector<CacheEvent> changes;
    for (const EngineCacheEvent &event : events.value().events) {
        const CacheEventKind kind = event.stored ? CacheEventKind::Stored : CacheEventKind::Evicted;
        changes.push_back({event.sequence, kind, event.piece});
    }
    backend.nextEvent = events.value().next;
    if (!changes.empty()) {
        this->directory.applyEvents(handle, incarnationNumber(backend.incarnation), changes);
    }
}

void Backends::pollStore(StoreHandle handle)
{
    StoreHost &store = this->store(handle);
    if (!store.configured) {
        return;
    }
    if (!store.loadAsked) {
        store.loadAsked = true;
        const TimePoint askedAt = this->loop.now();
        this->storeClient->load(store.address, [this, handle, askedAt](const Result<StoreLoad> &load) {
            this->store(handle).loadAsked = false;
            if (load) {
                this->loads.onLinkReport(handle,
                                         {load.value().linkQueuedBytes, load.value().linkBytesPerSecond, askedAt});
            }
        });
    }
    if (!store.listAsked) {
        store.listAsked = true;
        this->storeClient->list(
            store.address, store.listAfter, config::StoreListPieces, [this, handle](const Result<StorePage> &page) {
                this->store(handle).listAsked = false;
                this->onStorePage(handle, page);
            });
    }
}

void Backends::onStorePage(StoreHandle handle, const Result<StorePage> &page)
{
    StoreHost &store = this->store(handle);
    if (!page) {
        store.listAfter.clear();
        return;
    }
    if (store.incarnation != page.value().incarnation) {
        // A restarted store may hold other pieces, so that all hints about its contents are discarded.
        logLine("backends", "store {} reports a new incarnation {}", store.name, page.value().incarnation);
        store.incarnation = page.value().incarnation;
        this->directory.forgetStore(handle);
    }
    std::vector<StoreListing> listing;
    for (const StoredPiece &piece : page.value().pieces) {
        listing.push_back({piece.piece, piece.generation, static_cast<std::uint32_t>(piece.bytes)});
    }
    this->directory.applyListing(handle, listing);
    store.listAfter = page.value().last;
}

} // namespace endivespan
