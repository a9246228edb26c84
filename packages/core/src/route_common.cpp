#include "route_common_p.h"

#include <endivespan/invariant.h>

#include <algorithm>

namespace endivespan {

namespace {

constexpr std::uint32_t UnknownPieceBytes = 1'000'000;

void addTimes(RouteCandidate &candidate, const CandidateContext &context, Duration transfer)
{
    RoutePlan &plan = candidate.plan;
    const std::uint64_t reused = std::uint64_t {config::PieceTokens} * (plan.hitPieces + plan.importPieces);
    const std::uint32_t prompt = context.request.promptTokens;
    plan.recomputeTokens = prompt > reused ? prompt - static_cast<std::uint32_t>(reused) : 0;
    candidate.transfer = transfer;
    candidate.prefill = context.view.loads.expectedPrefill(candidate.server, plan.recomputeTokens);
    candidate.expected = candidate.wait + candidate.transfer + candidate.prefill;
}

bool addLink(RoutePlan &plan, const PromptHolders::Copy &piece)
{
    for (LinkUse &use : plan.links) {
        if (!use.store.isValid() || use.store == piece.copy.store) {
            use.store = piece.copy.store;
            use.bytes += piece.bytes;
            return true;
        }
    }
    return false;
}

// Lists copies of all pieces of the plan. Without imports the list ends before the first piece that has no copy.
void listSources(RouteDecision &decision, const PromptHolders &holders)
{
    const RoutePlan &plan = decision.plan;
    const std::size_t wanted = plan.hitPieces + plan.importPieces;
    for (std::size_t i = 0; i < wanted; ++i) {
        StoreCopy copy = holders.copies()[i].copy;
        if (!copy.store.isValid() && plan.importPieces == 0) {
            return;
        }
        if (!copy.store.isValid()) {
            copy = {plan.links.front().store, 0};
        }
        decision.sources.at(i) = copy;
        decision.sourceCount = static_cast<std::uint16_t>(i + 1);
    }
}

bool inScope(const PieceHolders &holders, const DirectoryScope &scope)
{
    const bool isScopeKnown = holders.scope.organisation.isValid();
    const bool organisation = !isScopeKnown || holders.scope.organisation == scope.organisation;
    const bool version = !isScopeKnown || holders.scope.version == scope.version;
    const bool organisationHolds = checkInvariant(Invariant::OrganisationScope, organisation, "piece for routing");
    return checkInvariant(Invariant::WeightVersionScope, version, "piece for routing") && organisationHolds;
}

} // namespace

PromptHolders::PromptHolders(const RouteRequest &request, const RouteView &view, TimePoint now)
{
    const DirectoryScope scope {request.organisation, request.version};
    const std::size_t count = std::min(request.pieces.size(), config::MaxPieces);
    for (std::uint16_t i = 0; i < count; ++i) {
        const PieceHolders holders = view.directory.find(request.pieces[i], scope);
        if ((holders.serverCount == 0 && holders.storeCount == 0) || !inScope(holders, scope)) {
            return;
        }
        this->addServers(holders, i);
        this->addCopy(holders, view, now);
    }
}

// A runner's hit grows only while the runner holds every piece so far, as only a gapless prefix can be reused.
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

// Of several copies, selects the one whose link has the shortest expected wait.
void PromptHolders::addCopy(const PieceHolders &holders, const RouteView &view, TimePoint now)
{
    Copy &best = this->copyList.at(this->copyCount++);
    best.bytes = holders.bytes != 0 ? holders.bytes : UnknownPieceBytes;
    for (std::uint8_t s = 0; s < holders.storeCount; ++s) {
        const StoreCopy &copy = holders.stores.at(s);
        if (!view.loads.link(copy.store).usable) {
            continue;
        }
        const Duration wait = view.loads.expectedLinkWait(copy.store, now);
        if (!best.copy.store.isValid() || wait < best.linkWait) {
            best.copy = copy;
            best.linkWait = wait;
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

std::span<const PromptHolders::Copy> PromptHolders::copies() const
{
    return {this->copyList.data(), this->copyCount};
}

std::span<const PromptHolders::Hit> PromptHolders::hits() const
{
    return {this->hitList.data(), this->hitCount};
}

bool isEligible(const RouteRequest &request, const ServerLoad &load, ServerHandle server)
{
    if (!load.mayTakeWork || !load.creditAvailable || load.model != request.model || !load.serves(request.version)) {
        return false;
    }
    return std::find(request.excluded.begin(), request.excluded.end(), server) == request.excluded.end();
}

RouteCandidate evaluateCandidate(const CandidateContext &context, ServerHandle server, ImportRule rule)
{
    const LoadTable &loads = context.view.loads;
    RouteCandidate candidate;
    candidate.server = server;
    candidate.wait = loads.expectedWait(server, context.now);
    candidate.plan.hitPieces = context.holders.hitPieces(server);
    addTimes(candidate, context, Duration::zero());
    RouteCandidate best = candidate;
    if (rule == ImportRule::None) {
        return best;
    }
    Duration transfer {};
    for (const PromptHolders::Copy &piece : context.holders.copies().subspan(candidate.plan.hitPieces)) {
        if (!piece.copy.store.isValid() || !addLink(candidate.plan, piece)) {
            break;
        }
        ++candidate.plan.importPieces;
        candidate.plan.importBytes += piece.bytes;
        const double seconds = piece.bytes / loads.transferRate(piece.copy.store, server, context.now);
        transfer += std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
        transfer += context.linkQueue ? piece.linkWait : Duration::zero();
        addTimes(candidate, context, transfer);
        if (rule == ImportRule::All || candidate.expected < best.expected) {
            best = candidate;
        }
    }
    return best;
}

void insertCandidate(RouteDecision &decision, const RouteCandidate &candidate)
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

void selectCandidate(RouteDecision &decision, std::size_t index, const PromptHolders &holders)
{
    std::swap(decision.candidates.at(0), decision.candidates.at(index));
    const RouteCandidate &best = decision.candidates.at(0);
    decision.server = best.server;
    decision.plan = best.plan;
    decision.expected = best.expected;
    listSources(decision, holders);
}

RouteDecision decideFor(const CandidateContext &context, ServerHandle server, ImportRule rule)
{
    RouteDecision decision;
    if (server.isValid()) {
        insertCandidate(decision, evaluateCandidate(context, server, rule));
        selectCandidate(decision, 0, context.holders);
    }
    return decision;
}

Dispatch dispatchOf(const RouteDecision &decision)
{
    const RouteCandidate &chosen = decision.candidates.front();
    return {decision.server, decision.plan.recomputeTokens, decision.plan.links, chosen.wait, chosen.transfer};
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
    std::size_t compared = 0;
    for (std::size_t i = 0; i < pool.size() && compared < config::RouteSampledServers; ++i) {
        const ServerHandle server = pool[(first + i) % pool.size()];
        if (!isEligible(request, view.loads.server(server), server)) {
            continue;
        }
        ++compared;
        if (const Duration wait = view.loads.expectedWait(server, now); wait < bestWait) {
            best = server;
            bestWait = wait;
        }
    }
    return best;
}

} // namespace endivespan
