#include <endivespan/config.h>
#include <endivespan/credit.h>
#include <endivespan/invariant.h>

#include <algorithm>
#include <utility>

namespace endivespan {

void CreditOwner::startCold(Owned &owned, TimePoint now)
{
    // Hosts that have not received the cold notice yet may take the server for warm until their last report is stale.
    if (owned.warm) {
        owned.grantableFrom
            = std::max(owned.grantableFrom, now + config::LoadReportStaleAfter + config::CreditClockMargin);
        owned.earlierWork.reset();
    }
    // Fences increase from owner to owner, so the epochs of a later owner are above all earlier ones.
    owned.epoch = std::max(owned.epoch, owned.fence << config::CreditEpochBits) + 1;
    owned.warm = false;
    owned.window = owned.limits.coldConcurrency;
    owned.completedInWave = 0;
    ++this->counters.coldStarts;
}

void CreditOwner::own(ServerHandle server,
                      const CreditLimits &limits,
                      std::uint64_t fence,
                      const std::optional<WarmStatement> &warm,
                      bool isFirst,
                      TimePoint now)
{
    Owned owned;
    owned.limits = limits;
    owned.fence = fence;
    owned.grantableFrom = now + config::CreditTtl + config::CreditClockMargin + config::LoadReportStaleAfter;
    if (isFirst) {
        owned.grantableFrom = now;
        owned.earlierWork = 0;
    }
    if (warm) {
        owned.incarnation = warm->incarnation;
        owned.epoch = warm->epoch;
        owned.warm = true;
        owned.window = limits.warmConcurrency;
    } else {
        this->startCold(owned, now);
    }
    this->servers[server] = std::move(owned);
}

void CreditOwner::disown(ServerHandle server)
{
    this->servers.erase(server);
}

void CreditOwner::onLoadReport(ServerHandle server,
                               const std::string &incarnation,
                               std::uint32_t inFlight,
                               TimePoint now)
{
    const auto found = this->servers.find(server);
    if (found == this->servers.end()) {
        return;
    }
    Owned &owned = found->second;
    if (owned.incarnation != incarnation) {
        const bool restarted = !owned.incarnation.empty();
        owned.incarnation = incarnation;
        if (restarted) {
            this->startCold(owned, now);
        }
    }
    // Reports count from grantableFrom on: by then no more requests start under an earlier owner's credits.
    if (now >= owned.grantableFrom) {
        owned.earlierWork = std::min(owned.earlierWork.value_or(inFlight), inFlight);
    }
}

void CreditOwner::markCold(ServerHandle server, TimePoint now)
{
    if (const auto found = this->servers.find(server); found != this->servers.end()) {
        this->startCold(found->second, now);
    }
}

CreditGrant CreditOwner::request(const CreditRequest &request, TimePoint now)
{
    CreditGrant grant {request.server, request.requestId, 0, 0, 0, this->statement(request.server)};
    const auto found = this->servers.find(request.server);
    if (found == this->servers.end() || grant.warm) {
        return grant;
    }
    Owned &owned = found->second;
    grant.fence = owned.fence;
    const bool ready = owned.earlierWork.has_value() && !owned.incarnation.empty();
    const std::uint32_t used = static_cast<std::uint32_t>(owned.outstanding.size()) + owned.earlierWork.value_or(0);
    const std::uint32_t free = ready && used < owned.window ? owned.window - used : 0;
    grant.count = std::min(request.wanted, free);
    grant.firstId = this->nextId;
    for (std::uint32_t i = 0; i < grant.count; ++i) {
        const TimePoint endsBy = now + config::CreditTtl + config::CreditRunBound + config::CreditClockMargin;
        owned.outstanding[this->nextId++] = {endsBy, owned.epoch};
    }
    this->counters.granted += grant.count;
    this->counters.refused += grant.count == 0 ? 1 : 0;
    const std::size_t total = owned.outstanding.size() + owned.earlierWork.value_or(0);
    if (grant.count > 0) {
        checkInvariant(Invariant::ColdServerWithinCredit, total <= owned.window, "granted credits beyond the window");
    }
    return grant;
}

void CreditOwner::complete(Owned &owned, CreditOwnerStats &stats)
{
    if (++owned.completedInWave < owned.window) {
        return;
    }
    owned.completedInWave = 0;
    owned.window = std::min(owned.window * 2, owned.limits.warmConcurrency);
    if (owned.window >= owned.limits.warmConcurrency) {
        owned.warm = true;
        ++stats.warmed;
    }
}

void CreditOwner::giveBack(const CreditReturn &credit)
{
    const auto found = this->servers.find(credit.server);
    if (found == this->servers.end() || found->second.fence != credit.fence) {
        return;
    }
    Owned &owned = found->second;
    const auto grant = owned.outstanding.find(credit.id);
    if (grant == owned.outstanding.end()) {
        return;
    }
    const bool sameStart = grant->second.epoch == owned.epoch;
    owned.outstanding.erase(grant);
    if (credit.outcome == CreditOutcome::Completed && sameStart && !owned.warm) {
        CreditOwner::complete(owned, this->counters);
    }
}

void CreditOwner::tick(TimePoint now)
{
    for (auto &[server, owned] : this->servers) {
        this->counters.reclaimed
            += std::erase_if(owned.outstanding, [now](const auto &entry) { return entry.second.endsBy <= now; });
    }
}

std::optional<WarmStatement> CreditOwner::statement(ServerHandle server) const
{
    const auto found = this->servers.find(server);
    if (found == this->servers.end() || !found->second.warm) {
        return {};
    }
    return WarmStatement {server, found->second.incarnation, found->second.epoch};
}

std::uint32_t CreditOwner::window(ServerHandle server) const
{
    const auto found = this->servers.find(server);
    return found == this->servers.end() ? 0 : found->second.window;
}

const CreditOwnerStats &CreditOwner::stats() const
{
    return this->counters;
}

void CreditHolder::onLoadReport(ServerHandle server, const std::string &incarnation, TimePoint at)
{
    Held &held = this->servers[server];
    if (at < held.heardAt) {
        return;
    }
    if (held.incarnation != incarnation && !held.incarnation.empty()) {
        this->markCold(server);
    }
    held.incarnation = incarnation;
    held.heardAt = at;
}

void CreditHolder::markCold(ServerHandle server)
{
    Held &held = this->servers[server];
    if (held.warm) {
        held.coldSinceEpoch = std::max(held.coldSinceEpoch, held.warm->epoch);
    }
    held.warm.reset();
    // Credits granted before, also those of a grant under way, are no longer valid. If they weren't returned, the owner
    // would count them as requests at the server until the longest run had ended.
    abandonPending(held);
    for (const Credit &credit : held.credits) {
        this->unused.push_back({server, credit.fence, credit.id, CreditOutcome::Unused});
    }
    held.credits.clear();
}

void CreditHolder::abandonPending(Held &held)
{
    if (!held.pending) {
        return;
    }
    held.abandoned.insert(held.pending->requestId);
    if (held.abandoned.size() > config::AbandonedCreditRequestsKept) {
        held.abandoned.erase(held.abandoned.begin());
    }
    held.pending.reset();
}

void CreditHolder::learnWarm(const WarmStatement &statement)
{
    Held &held = this->servers[statement.server];
    const std::uint64_t known = held.warm ? held.warm->epoch : held.coldSinceEpoch;
    if (statement.epoch > known) {
        held.warm = statement;
    }
}

void CreditHolder::voidThrough(ServerHandle server, std::uint64_t epoch)
{
    Held &held = this->servers[server];
    held.coldSinceEpoch = std::max(held.coldSinceEpoch, epoch);
    if (held.warm && held.warm->epoch <= epoch) {
        held.warm.reset();
    }
}

std::uint64_t CreditHolder::coldThrough(ServerHandle server) const
{
    const auto found = this->servers.find(server);
    return found == this->servers.end() ? 0 : found->second.coldSinceEpoch;
}

bool CreditHolder::isWarm(ServerHandle server, TimePoint now) const
{
    return this->statement(server, now).has_value();
}

std::optional<WarmStatement> CreditHolder::statement(ServerHandle server, TimePoint now) const
{
    const auto found = this->servers.find(server);
    if (found == this->servers.end() || !found->second.warm) {
        return {};
    }
    const Held &held = found->second;
    const bool sameStart = held.warm->incarnation == held.incarnation;
    const bool heardOf = now - held.heardAt <= config::LoadReportStaleAfter;
    return sameStart && heardOf ? held.warm : std::nullopt;
}

std::optional<CreditRequest> CreditHolder::ask(ServerHandle server, std::uint32_t wanted, TimePoint now)
{
    Held &held = this->servers[server];
    const bool waiting = held.pending && now - held.pending->sentAt < config::CreditAskTimeout;
    if (waiting || wanted == 0) {
        return {};
    }
    abandonPending(held);
    held.pending = Pending {this->nextRequestId, now};
    return CreditRequest {server, this->nextRequestId++, wanted};
}

void CreditHolder::onGrant(const CreditGrant &grant, TimePoint now)
{
    Held &held = this->servers[grant.server];
    if (!held.pending || held.pending->requestId != grant.requestId) {
        if (held.abandoned.erase(grant.requestId) > 0) {
            this->giveBack(grant);
        }
        return;
    }
    // Counted from when the request was sent, so that a credit expires here no later than at the owner.
    const TimePoint expires = held.pending->sentAt + config::CreditTtl;
    held.pending.reset();
    if (grant.warm) {
        this->learnWarm(*grant.warm);
    }
    if (expires <= now) {
        this->giveBack(grant);
        return;
    }
    for (std::uint32_t i = 0; i < grant.count; ++i) {
        held.credits.push_back({grant.fence, grant.firstId + i, expires});
    }
}

void CreditHolder::giveBack(const CreditGrant &grant)
{
    for (std::uint32_t i = 0; i < grant.count; ++i) {
        this->unused.push_back({grant.server, grant.fence, grant.firstId + i, CreditOutcome::Unused});
    }
}

std::optional<CreditUse> CreditHolder::take(ServerHandle server, TimePoint now)
{
    if (this->isWarm(server, now)) {
        return CreditUse {server, true, 0, 0, TimePoint::max()};
    }
    const auto found = this->servers.find(server);
    if (found == this->servers.end()) {
        return {};
    }
    auto &credits = found->second.credits;
    const auto credit
        = std::find_if(credits.begin(), credits.end(), [now](const Credit &entry) { return entry.expires > now; });
    if (credit == credits.end()) {
        return {};
    }
    const CreditUse use {server, false, credit->fence, credit->id, credit->expires + config::CreditRunBound};
    credits.erase(credit);
    return use;
}

bool CreditHolder::checkDispatch(const CreditUse &use, TimePoint now) const
{
    const bool holds = use.warm ? this->isWarm(use.server, now) : now < use.mustEndBy - config::CreditRunBound;
    return checkInvariant(Invariant::ColdServerWithinCredit, holds, "dispatch to a cold server without a valid credit");
}

std::optional<CreditReturn> CreditHolder::finish(const CreditUse &use, CreditOutcome outcome)
{
    if (use.warm) {
        return {};
    }
    return CreditReturn {use.server, use.fence, use.id, outcome};
}

std::vector<CreditReturn> CreditHolder::tick(TimePoint now)
{
    std::vector<CreditReturn> returns = std::exchange(this->unused, {});
    for (auto &[server, held] : this->servers) {
        for (const Credit &credit : held.credits) {
            if (credit.expires <= now) {
                returns.push_back({server, credit.fence, credit.id, CreditOutcome::Unused});
            }
        }
        std::erase_if(held.credits, [now](const Credit &credit) { return credit.expires <= now; });
    }
    return returns;
}

std::size_t CreditHolder::usable(ServerHandle server, TimePoint now) const
{
    const auto found = this->servers.find(server);
    if (found == this->servers.end()) {
        return 0;
    }
    const auto &credits = found->second.credits;
    return static_cast<std::size_t>(
        std::count_if(credits.begin(), credits.end(), [now](const Credit &entry) { return entry.expires > now; }));
}

} // namespace endivespan
