#include "credit_task.h"

#include <endivespan/config.h>
#include <endivespan/log.h>
#include <endivespan/ownership.h>

#include <variant>
#include <vector>

namespace endivespan {

CreditTask::CreditTask(Loop &loop, Metrics &metrics, Backends &backends, PeerTask &peers, LeaseTask &leases)
    : loop(loop)
    , metrics(metrics)
    , backends(backends)
    , peers(peers)
    , leases(leases)
{
}

std::optional<ServerHandle> CreditTask::handleOf(const std::string &name) const
{
    const auto &servers = this->backends.servers();
    for (std::uint32_t i = 0; i < servers.size(); ++i) {
        if (servers[i].name == name) {
            return ServerHandle {i};
        }
    }
    return {};
}

bool CreditTask::mayTakeWork(const Backend &) const
{
    return true;
}

bool CreditTask::hasCredit(const Backend &server) const
{
    const TimePoint now = this->loop.now();
    const auto handle = this->handleOf(server.name);
    return handle && (this->purse.isWarm(*handle, now) || this->purse.usable(*handle, now) > 0);
}

void CreditTask::onLoad(const Backend &server, const EngineLoad &load)
{
    const auto handle = this->handleOf(server.name);
    if (!handle) {
        return;
    }
    const TimePoint now = this->loop.now();
    const std::uint64_t coldBefore = this->purse.coldThrough(*handle);
    this->purse.heard(*handle, load.incarnation, now);
    this->owner.heard(*handle, load.incarnation, load.running + load.queued, now);
    if (this->owned.contains(*handle) || this->purse.coldThrough(*handle) != coldBefore) {
        this->writeNote(*handle, load.running + load.queued, load.capacity);
    }
}

void CreditTask::onUnreachable(const Backend &server)
{
    const auto handle = this->handleOf(server.name);
    if (!handle) {
        return;
    }
    if (this->purse.isWarm(*handle, this->loop.now())) {
        logLine("credit", "{} is considered cold: it could not be reached", server.name);
    }
    this->purse.turnCold(*handle);
    if (const auto statement = this->owner.statement(*handle)) {
        this->owner.turnCold(*handle, this->loop.now());
        this->purse.learnCold(*handle, statement->epoch);
    }
    this->writeNote(*handle, 0, 0);
}

void CreditTask::onDemand(const std::string &pool)
{
    this->demand[pool] = this->loop.now();
}

// Only the owner publishes the load of a server, but every host may report that a server has turned cold.
void CreditTask::writeNote(ServerHandle server, std::uint32_t inFlight, std::uint32_t capacity)
{
    const Backend &backend = this->backends.server(server);
    ServerNote note;
    note.server = backend.name;
    note.coldThrough = this->purse.coldThrough(server);
    if (const auto fence = this->owned.find(server); fence != this->owned.end()) {
        note.incarnation = backend.incarnation;
        note.version = {fence->second, ++this->noteSequence};
        note.inFlight = inFlight;
        note.capacity = capacity;
        if (const auto statement = this->owner.statement(server)) {
            note.warmEpoch = statement->epoch;
            this->purse.learnWarm(*statement);
        }
    }
    this->peers.servers.merge(note, this->loop.now());
}

void CreditTask::followLeases(TimePoint now)
{
    const auto held = this->leases.held(now);
    for (std::uint32_t i = 0; i < this->backends.servers().size(); ++i) {
        const Backend &backend = this->backends.servers()[i];
        const std::string resource = serverResource(backend.name);
        const auto lease = held.find(resource);
        const auto known = this->owned.find({i});
        if (lease == held.end()) {
            if (known != this->owned.end()) {
                logLine("credit", "no longer owner of {}", backend.name);
                this->owner.disown({i});
                this->owned.erase(known);
            }
        } else if (known == this->owned.end() || known->second != lease->second) {
            logLine("credit", "owner of {}, lease fence {}", backend.name, lease->second);
            this->owned[{i}] = lease->second;
            const CreditLimits limits {backend.coldConcurrency, backend.warmConcurrency};
            const auto warm = this->purse.statement({i}, now);
            this->owner.own({i}, limits, lease->second, warm, this->leases.isFirst(resource), now);
        }
    }
}

void CreditTask::followNotes(TimePoint now)
{
    for (const std::string &name : this->peers.takeChangedServers()) {
        const auto handle = this->handleOf(name);
        const auto note = this->peers.servers.find(name, now);
        if (!handle || !note) {
            continue;
        }
        this->purse.learnCold(*handle, note->coldThrough);
        if (note->isWarm()) {
            this->purse.learnWarm({*handle, note->incarnation, note->warmEpoch});
        }
        const auto statement = this->owner.statement(*handle);
        if (statement && statement->epoch <= note->coldThrough) {
            logLine("credit", "{} is considered cold: a peer reported it as cold", name);
            this->owner.turnCold(*handle, now);
        }
    }
}

void CreditTask::askForCredits(TimePoint now)
{
    for (std::uint32_t i = 0; i < this->backends.servers().size(); ++i) {
        const Backend &backend = this->backends.servers()[i];
        const auto wanted = this->demand.find(backend.pool);
        const bool demanded = wanted != this->demand.end() && now - wanted->second < config::CreditDemandKept;
        const bool asked = now - this->askedAt[{i}] < config::CreditAskPeriod;
        const bool may = backend.configured && backend.mayTakeWork && !backend.incarnation.empty();
        if (demanded && may && !asked && !this->hasCredit(backend)) {
            this->ask({i}, now);
        }
    }
}

void CreditTask::ask(ServerHandle server, TimePoint now)
{
    const std::string &name = this->backends.server(server).name;
    const auto holder = this->leases.holderOf(serverResource(name));
    const auto request = holder ? this->purse.ask(server, config::CreditsAsked, now) : std::nullopt;
    if (!request) {
        return;
    }
    this->askedAt[server] = now;
    const CreditAsk message {name, request->requestId, request->wanted};
    if (this->owned.contains(server)) {
        this->granted(this->grant(message));
        return;
    }
    this->peers.ask(*holder, message, [this](const Result<PeerMessage> &answer) {
        if (const auto *reply = answer ? std::get_if<CreditReply>(&answer.value()) : nullptr) {
            this->granted(*reply);
        }
    });
}

void CreditTask::granted(const CreditReply &reply)
{
    const auto server = this->handleOf(reply.server);
    if (!server) {
        return;
    }
    CreditGrant grant {*server, reply.requestId, reply.fence, reply.firstId, reply.count, {}};
    if (reply.warmIncarnation) {
        grant.warm = WarmStatement {*server, *reply.warmIncarnation, reply.warmEpoch};
    }
    this->purse.granted(grant, this->loop.now());
}

CreditReply CreditTask::grant(const CreditAsk &ask)
{
    CreditReply reply;
    reply.server = ask.server;
    reply.requestId = ask.requestId;
    const auto server = this->handleOf(ask.server);
    const auto fence = server ? this->owned.find(*server) : this->owned.end();
    // The leases are checked at the current time, since this process may have been paused since the last tick.
    const auto held = this->leases.held(this->loop.now());
    const auto lease = held.find(serverResource(ask.server));
    if (fence == this->owned.end() || lease == held.end() || lease->second != fence->second) {
        return reply;
    }
    const CreditGrant grant = this->owner.request({*server, ask.requestId, ask.wanted}, this->loop.now());
    if (!this->leases.checkUse(lease->first, lease->second)) {
        return reply;
    }
    reply.fence = grant.fence;
    reply.firstId = grant.firstId;
    reply.count = grant.count;
    if (grant.warm) {
        reply.warmIncarnation = grant.warm->incarnation;
        reply.warmEpoch = grant.warm->epoch;
    }
    this->metrics.count("credits_granted", {}, grant.count);
    return reply;
}

std::optional<CreditUse> CreditTask::begin(ServerHandle server)
{
    const TimePoint now = this->loop.now();
    auto use = this->purse.take(server, now);
    if (!use || !this->purse.checkDispatch(*use, now)) {
        return {};
    }
    return use;
}

void CreditTask::end(const CreditUse &use, CreditOutcome outcome)
{
    if (const auto credit = this->purse.finish(use, outcome)) {
        this->giveBack(*credit);
    }
}

void CreditTask::giveBack(const CreditReturn &credit)
{
    const std::string &name = this->backends.server(credit.server).name;
    if (this->owned.contains(credit.server)) {
        this->owner.giveBack(credit);
        return;
    }
    const auto holder = this->leases.holderOf(serverResource(name));
    if (!holder) {
        return;
    }
    // A return that failed is sent again later: the owner would otherwise count the credit as work at the server until
    // the longest possible run has ended.
    this->peers.ask(*holder,
                    CreditBack {name, credit.fence, credit.id, credit.outcome},
                    [this, credit](const Result<PeerMessage> &answer) {
                        if (!answer && this->unreturned.size() < config::CreditReturnsKept) {
                            this->unreturned.push_back({credit, this->loop.now() + config::CreditReturnPause});
                        }
                    });
}

// Sending a return twice is harmless: the owner ignores credits that are no longer outstanding, and a new owner ignores
// credits that were granted under an older fence.
void CreditTask::repeatReturns(TimePoint now)
{
    std::vector<Unreturned> due;
    std::swap(due, this->unreturned);
    for (const Unreturned &entry : due) {
        if (now < entry.at) {
            this->unreturned.push_back(entry);
        } else {
            this->giveBack(entry.credit);
        }
    }
}

std::optional<PeerMessage> CreditTask::answer(const PeerMessage &message)
{
    if (const auto *ask = std::get_if<CreditAsk>(&message)) {
        return this->grant(*ask);
    }
    if (const auto *back = std::get_if<CreditBack>(&message)) {
        if (const auto server = this->handleOf(back->server)) {
            this->owner.giveBack({*server, back->fence, back->id, back->outcome});
        }
        return PeerAck {};
    }
    return {};
}

void CreditTask::tick(TimePoint now)
{
    this->followLeases(now);
    this->followNotes(now);
    this->owner.tick(now);
    this->repeatReturns(now);
    for (const CreditReturn &credit : this->purse.tick(now)) {
        this->giveBack(credit);
    }
    this->askForCredits(now);
}

} // namespace endivespan
