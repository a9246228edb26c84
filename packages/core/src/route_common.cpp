#include "route_common_p.h"

#include <endivespan/invariant.h>

#include <algorithm>

namespace endivespan {

namespace {

constexpr std::uint64_t UnknownPieceBytes = 1'000'000;

bool inScope(const PieceHolders &holders, const DirectoryScope &scope)
{
    const bool learned = holders.scope.organisation.isValid();
    const bool organisation = !learned || holders.scope.organisation == scope.organisation;
    const bool version = !learned || holders.scope.version == scope.version;
    const bool organisationHolds = checkInvariant(Invariant::OrganisationScope, organisation, "piece for routing");
    return checkInvariant(Invariant::WeightVersionScope, version, "piece for routing") && organisationHolds;
}

} // namespace

PromptHolders::PromptHolders(const RouteRequest &request, const Directory &directory)
{
    const DirectoryScope scope {request.organisation, request.version};
    const std::size_t count = std::min(request.pieces.size(), config::MaxPieces);
    for (std::uint16_t i = 0; i < count; ++i) {
        const PieceHolders holders = directory.find(request.pieces[i], scope);
        if ((holders.serverCount == 0 && holders.storeCount == 0) || !inScope(holders, scope)) {
            return;
        }
        this->addServers(holders, i);
        this->addStores(holders);
        this->copies.at(i) = holders.stores;
        this->sizes.at(i) = holders.bytes;
        this->known = i + 1;
    }
}

// A runner counts only while it has held every piece so far.
void PromptHolders::addServers(const PieceHolders &holders, std::uint16_t index)
{
    for (std::uint8_t s = 0; s < holders.serverCount; ++s) {
        const ServerHandle server = holders.servers.at(s);
        if (index == 0 && this->hitCount < MaxHits) {
            this->hitList.at(this->hitCount++) = {server, 1};
            continue;
        }
        for (std::uint8_t h = 0; h < this->hitCount; ++h) {
            if (Hit &hit = this->hitList.at(h); hit.server == server && hit.pieces == index) {
                ++hit.pieces;
            }
        }
    }
}

void PromptHolders::addStores(const PieceHolders &holders)
{
    for (std::uint8_t s = 0; s < holders.storeCount; ++s) {
        const StoreHandle store = holders.stores.at(s).store;
        const std::span<const StoreHandle> listed = this->stores();
        if (std::find(listed.begin(), listed.end(), store) == listed.end() && this->storeCountUsed < MaxStores) {
            this->storeList.at(this->storeCountUsed++) = store;
        }
    }
}

std::uint16_t PromptHolders::hitPieces(ServerHandle server) const
{
    for (const Hit &hit : this->hits()) {
        if (hit.server == server) {
            return hit.pieces;
        }
    }
    return 0;
}

std::uint16_t PromptHolders::copiesFrom(StoreHandle store, std::uint16_t first) const
{
    std::uint16_t index = first;
    while (index < this->known) {
        const auto &copy = this->copies.at(index);
        if (std::none_of(copy.begin(), copy.end(), [&](const StoreCopy &one) { return one.store == store; })) {
            break;
        }
        ++index;
    }
    return index - first;
}

std::uint64_t PromptHolders::generation(StoreHandle store, std::uint16_t index) const
{
    for (const StoreCopy &copy : this->copies.at(index)) {
        if (copy.store == store) {
            return copy.generation;
        }
    }
    return 0;
}

std::uint64_t PromptHolders::bytes(std::uint16_t index) const
{
    return this->sizes.at(index) != 0 ? this->sizes.at(index) : UnknownPieceBytes;
}

std::span<const PromptHolders::Hit> PromptHolders::hits() const
{
    return {this->hitList.data(), this->hitCount};
}

std::span<const StoreHandle> PromptHolders::stores() const
{
    return {this->storeList.data(), this->storeCountUsed};
}

bool isEligible(const RouteRequest &request, const ServerLoad &load, ServerHandle server)
{
    if (!load.mayTakeWork || !load.creditAvailable || load.model != request.model || !load.serves(request.version)) {
        return false;
    }
    return std::find(request.excluded.begin(), request.excluded.end(), server) == request.excluded.end();
}

RouteCandidate weigh(const RouteRequest &request,
                     const RouteView &view,
                     const PromptHolders &holders,
                     ServerHandle server,
                     Duration wait,
                     StoreHandle store,
                     std::uint16_t importPieces,
                     bool linkQueue,
                     TimePoint now)
{
    RouteCandidate candidate;
    candidate.server = server;
    candidate.wait = wait;
    RoutePlan &plan = candidate.plan;
    plan.hitPieces = holders.hitPieces(server);
    plan.importPieces = importPieces;
    for (std::uint16_t i = 0; i < importPieces; ++i) {
        plan.importBytes += holders.bytes(plan.hitPieces + i);
    }
    if (importPieces > 0) {
        plan.store = store;
        candidate.transfer = view.loads.expectedTransfer(store, server, plan.importBytes);
        candidate.transfer += linkQueue ? view.loads.expectedLinkWait(store, now) : Duration::zero();
    }
    const std::uint64_t reused = std::uint64_t {config::PieceTokens} * (plan.hitPieces + importPieces);
    plan.recomputeTokens
        = request.promptTokens > reused ? request.promptTokens - static_cast<std::uint32_t>(reused) : 0;
    candidate.prefill = view.loads.expectedPrefill(server, plan.recomputeTokens);
    candidate.expected = candidate.wait + candidate.transfer + candidate.prefill;
    return candidate;
}

void offerCandidate(Decision &decision, const RouteCandidate &candidate)
{
    std::size_t place = decision.candidateCount;
    while (place > 0 && candidate.expected < decision.candidates.at(place - 1).expected) {
        --place;
    }
    if (place >= decision.candidates.size()) {
        return;
    }
    const std::size_t last = std::min<std::size_t>(decision.candidateCount, decision.candidates.size() - 1);
    for (std::size_t i = last; i > place; --i) {
        decision.candidates.at(i) = decision.candidates.at(i - 1);
    }
    decision.candidates.at(place) = candidate;
    decision.candidateCount = static_cast<std::uint8_t>(last + 1);
}

void choose(Decision &decision, std::size_t index, const PromptHolders &holders)
{
    std::swap(decision.candidates.at(0), decision.candidates.at(index));
    const RouteCandidate &best = decision.candidates.at(0);
    decision.server = best.server;
    decision.plan = best.plan;
    decision.expected = best.expected;
    for (std::uint16_t i = 0; i < best.plan.importPieces; ++i) {
        decision.generations.at(i) = holders.generation(best.plan.store, best.plan.hitPieces + i);
    }
}

std::uint64_t nextRandom(std::uint64_t &state)
{
    state += 0x9E3779B97F4A7C15ULL;
    std::uint64_t bits = state;
    bits = (bits ^ (bits >> 30U)) * 0xBF58476D1CE4E5B9ULL;
    bits = (bits ^ (bits >> 27U)) * 0x94D049BB133111EBULL;
    return bits ^ (bits >> 31U);
}

ServerHandle leastLoaded(const RouteRequest &request, const RouteView &view, TimePoint now)
{
    const std::span<const ServerHandle> pool = view.loads.pool(request.model);
    ServerHandle best;
    Duration bestWait = Duration::max();
    if (pool.empty()) {
        return best;
    }
    std::uint64_t random = request.random;
    const std::size_t first = nextRandom(random) % pool.size();
    std::size_t weighed = 0;
    for (std::size_t i = 0; i < pool.size() && weighed < config::RouteSampledServers; ++i) {
        const ServerHandle server = pool[(first + i) % pool.size()];
        if (!isEligible(request, view.loads.server(server), server)) {
            continue;
        }
        ++weighed;
        if (const Duration wait = view.loads.expectedWait(server, now); wait < bestWait) {
            best = server;
            bestWait = wait;
        }
    }
    return best;
}

} // namespace endivespan
