#include <endivespan/config.h>
#include <endivespan/confirmation.h>
#include <endivespan/invariant.h>

#include <algorithm>

namespace endivespan {

ConfigConfirmation::ConfigConfirmation(bool hasPeers, Duration staleAfter)
    : staleAfter(staleAfter)
    , membershipComplete(!hasPeers)
{
}

void ConfigConfirmation::onFolded(std::uint64_t offset, std::uint64_t digest)
{
    this->offset = std::max(this->offset, offset);
    this->digests[offset] = digest;
    while (this->digests.size() > config::ConfirmationDigestsKept) {
        this->digests.erase(this->digests.begin());
    }
    while (!this->pendingConfirmations.empty() && this->pendingConfirmations.begin()->first <= this->offset) {
        this->confirm(this->pendingConfirmations.begin()->first, this->pendingConfirmations.begin()->second);
        this->pendingConfirmations.erase(this->pendingConfirmations.begin());
    }
}

void ConfigConfirmation::confirm(std::uint64_t offset, TimePoint at)
{
    if (offset > this->offset) {
        auto &known = this->pendingConfirmations[offset];
        known = std::max(known, at);
        return;
    }
    this->confirmedAt = std::max(this->confirmedAt.value_or(at), at);
    this->everInForce = true;
}

void ConfigConfirmation::onLogAnswer(std::uint64_t end, TimePoint askedAt)
{
    this->confirm(end, askedAt);
}

std::optional<TimePoint> ConfigConfirmation::lastKnownNewest() const
{
    return this->confirmedAt;
}

bool ConfigConfirmation::onPeerAnswer(const std::string &peer,
                                      const ConfigStatement &statement,
                                      TimePoint askedAt,
                                      std::size_t hostsKnown)
{
    this->checkDigest(peer, statement.offset, statement.digest);
    this->peerAskedAt = std::max(this->peerAskedAt.value_or(askedAt), askedAt);
    this->membershipComplete = this->membershipComplete || hostsKnown >= statement.knownHosts;
    if (statement.confirmedAge) {
        this->confirm(statement.offset, askedAt - *statement.confirmedAge);
    }
    if (statement.inForce && statement.offset <= this->offset) {
        this->everInForce = true;
    }
    return statement.offset > this->offset;
}

bool ConfigConfirmation::checkDigest(const std::string &peer, std::uint64_t offset, std::uint64_t digest) const
{
    const auto known = this->digests.find(offset);
    if (known == this->digests.end()) {
        return true;
    }
    const std::string detail = peer + " folded offset " + std::to_string(offset) + " with a different digest";
    return checkInvariant(Invariant::SameOffsetSameDigest, known->second == digest, detail);
}

// A partition that has lost both the log and the rest of the fleet sees the other hosts as dead; it receives no reports
// from them that the log is unreachable. Therefore more than half of the known hosts of every failure domain must be
// alive, and every live host must report the log as unreachable. A host is alive for long after its last report, so
// that more than half of the reports that are due within the staleness bound must also have arrived within it. A report
// may be older than its receipt, above all on a host that stood still and then reads what peers sent it meanwhile. So a
// peer must also have answered a request that was sent within the bound.
bool ConfigConfirmation::isLogDownForAll(const Membership &membership, TimePoint now) const
{
    const auto isRecent = [this, now](TimePoint at) { return now - at <= this->staleAfter; };
    struct Count {
        std::size_t known = 0;
        std::size_t down = 0;
        std::size_t recent = 0;
    };
    std::map<std::string, Count> domains;
    std::size_t peers = 0;
    for (const auto &[name, host] : membership.hosts()) {
        const bool alive = host.liveness == Liveness::Alive;
        if (alive && host.report.status.logReachable) {
            return false;
        }
        const bool left = host.report.status.state == HostState::Leaving && host.liveness == Liveness::Dead;
        const bool isSelf = name == membership.self().name;
        Count &count = domains[host.report.domain];
        count.known += left ? 0 : 1;
        count.down += alive ? 1 : 0;
        count.recent += isSelf || (alive && isRecent(host.receivedAt)) ? 1 : 0;
        peers += left || isSelf ? 0 : 1;
    }
    const std::chrono::duration<double> period = Membership::heartbeatPeriod(membership.hosts().size());
    const double due = std::min(1.0, this->staleAfter / period);
    const bool everyDomain = std::all_of(domains.begin(), domains.end(), [due](const auto &domain) {
        const Count &count = domain.second;
        const auto known = static_cast<double>(count.known);
        return count.known == 0
            || (2 * count.down > count.known && 2 * static_cast<double>(count.recent) > due * known);
    });
    const bool inContact = peers == 0 || (this->peerAskedAt && isRecent(*this->peerAskedAt));
    return everyDomain && inContact && this->membershipComplete;
}

bool ConfigConfirmation::isConfirmed(TimePoint now) const
{
    return this->confirmedAt && now - *this->confirmedAt <= this->staleAfter;
}

ConfigValidity ConfigConfirmation::validity(const Membership &membership, TimePoint now) const
{
    if (this->isConfirmed(now)) {
        return ConfigValidity::Confirmed;
    }
    return this->everInForce && this->isLogDownForAll(membership, now) ? ConfigValidity::LogDownForAll
                                                                       : ConfigValidity::Stale;
}

ConfigStatement ConfigConfirmation::statement(const Membership &membership, TimePoint now) const
{
    ConfigStatement statement;
    statement.offset = this->offset;
    if (const auto digest = this->digests.find(this->offset); digest != this->digests.end()) {
        statement.digest = digest->second;
    }
    if (this->confirmedAt) {
        statement.confirmedAge = std::max(now - *this->confirmedAt, Duration::zero());
    }
    statement.inForce = this->validity(membership, now) != ConfigValidity::Stale;
    statement.knownHosts = static_cast<std::uint32_t>(membership.hosts().size());
    return statement;
}

} // namespace endivespan
