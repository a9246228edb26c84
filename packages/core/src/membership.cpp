#include <endivespan/config.h>
#include <endivespan/membership.h>

#include <openssl/sha.h>

#include <algorithm>
#include <array>
#include <bit>
#include <utility>

namespace endivespan {

std::uint64_t hostIdOf(const std::string &name)
{
    std::array<unsigned char, SHA256_DIGEST_LENGTH> digest;
    SHA256(reinterpret_cast<const unsigned char *>(name.data()), name.size(), digest.data());
    std::uint64_t id = 0;
    for (std::size_t i = 0; i < config::HostIdBytes; ++i) {
        id = (id << 8U) | digest.at(i);
    }
    return id;
}

Membership::Membership(HostReport self, TimePoint now)
    : selfName(self.name)
    , lastHeartbeat(now)
    , lastTick(now)
{
    const std::uint64_t id = hostIdOf(this->selfName);
    self.status.version.sequence = 1;
    this->namesById[id] = this->selfName;
    this->entries[this->selfName] = {id, std::move(self), Liveness::Alive, now, now};
}

const HostReport &Membership::self() const
{
    return this->entries.at(this->selfName).report;
}

HostStatus &Membership::ownStatus()
{
    return this->entries.at(this->selfName).report.status;
}

void Membership::setAddress(const std::string &address)
{
    this->entries.at(this->selfName).report.address = address;
}

void Membership::setState(HostState state)
{
    if (HostStatus &status = this->ownStatus(); status.state != state) {
        status.state = state;
        ++status.version.sequence;
    }
}

void Membership::setConfigOffset(std::uint64_t offset)
{
    if (HostStatus &status = this->ownStatus(); status.configOffset != offset) {
        status.configOffset = offset;
        ++status.version.sequence;
    }
}

void Membership::setLogReachable(bool reachable)
{
    if (HostStatus &status = this->ownStatus(); status.logReachable != reachable) {
        status.logReachable = reachable;
        ++status.version.sequence;
    }
}

Duration Membership::roundPeriod(std::size_t hosts)
{
    return config::GossipPeriod * (hosts > config::LargeFleetHosts ? 2 : 1);
}

Duration Membership::heartbeatPeriod(std::size_t hosts)
{
    return std::max<Duration>(config::HeartbeatPeriod, config::HeartbeatPeriodPerHost * hosts);
}

Duration Membership::suspectTimeout(std::size_t hosts)
{
    const auto spreadRounds = std::bit_width(hosts) + config::SpreadRoundsMargin;
    return config::HeartbeatsMissed * Membership::heartbeatPeriod(hosts)
        + Membership::roundPeriod(hosts) * spreadRounds;
}

void Membership::updateLiveness(HostView &host, Duration timeout, TimePoint now)
{
    const Duration silence = now - host.advancedAt;
    const Liveness before = host.liveness;
    if (silence >= 2 * timeout) {
        host.liveness = Liveness::Dead;
    } else if (silence >= timeout) {
        host.liveness = std::max(before, Liveness::Suspect);
    }
    this->counters.deaths += before != Liveness::Dead && host.liveness == Liveness::Dead ? 1 : 0;
}

void Membership::tick(TimePoint now)
{
    const Duration timeout = Membership::suspectTimeout(this->entries.size());
    // While this process was paused, it could not receive anything, so that the pause must not count as silence of the
    // other hosts.
    const Duration pause = now - std::exchange(this->lastTick, now);
    const bool paused = pause >= timeout / 2;
    for (auto &[name, host] : this->entries) {
        if (name == this->selfName) {
            continue;
        }
        if (paused) {
            host.advancedAt += pause;
        }
        this->updateLiveness(host, timeout, now);
    }
    std::erase_if(this->entries, [this, now](const auto &item) {
        const bool expired = item.first != this->selfName && now - item.second.advancedAt >= config::DeadHostRetention;
        if (expired) {
            this->namesById.erase(item.second.id);
        }
        return expired;
    });
    if (now - this->lastHeartbeat >= Membership::heartbeatPeriod(this->entries.size())) {
        this->lastHeartbeat = now;
        ++this->ownStatus().version.sequence;
    }
}

void Membership::markAlive(HostView &host, TimePoint now)
{
    host.advancedAt = now;
    host.receivedAt = now;
    this->counters.returns += host.liveness == Liveness::Dead ? 1 : 0;
    host.liveness = Liveness::Alive;
}

void Membership::evictOldest()
{
    const auto oldest
        = std::min_element(this->entries.begin(), this->entries.end(), [this](const auto &a, const auto &b) {
              const bool selfA = a.first == this->selfName;
              const bool selfB = b.first == this->selfName;
              return std::pair(selfA, a.second.advancedAt) < std::pair(selfB, b.second.advancedAt);
          });
    this->forget(std::string(oldest->first));
}

bool Membership::learn(const HostReport &report, TimePoint now)
{
    const HostVersion &version = report.status.version;
    if (report.name == this->selfName) {
        this->counters.superseded += version.incarnation > this->self().status.version.incarnation ? 1 : 0;
        return false;
    }
    const auto found = this->entries.find(report.name);
    if (found == this->entries.end()) {
        if (this->entries.size() >= config::MaxHosts) {
            this->evictOldest();
        }
        const std::uint64_t id = hostIdOf(report.name);
        this->namesById[id] = report.name;
        this->entries[report.name] = {id, report, Liveness::Alive, now, now};
        return true;
    }
    HostView &host = found->second;
    if (version <= host.report.status.version) {
        return false;
    }
    host.report = report;
    this->markAlive(host, now);
    return true;
}

HeartbeatResult Membership::learn(const Heartbeat &heartbeat, TimePoint now)
{
    const auto name = this->namesById.find(heartbeat.host);
    if (name == this->namesById.end()) {
        return HeartbeatResult::ReportMissing;
    }
    HostView &host = this->entries.at(name->second);
    HostStatus &known = host.report.status;
    if (heartbeat.status.version <= known.version || name->second == this->selfName) {
        return HeartbeatResult::Old;
    }
    if (heartbeat.status.version.incarnation != known.version.incarnation) {
        return HeartbeatResult::ReportMissing;
    }
    known = heartbeat.status;
    this->markAlive(host, now);
    return HeartbeatResult::Applied;
}

void Membership::forget(const std::string &name)
{
    if (name != this->selfName) {
        this->entries.erase(name);
        this->namesById.erase(hostIdOf(name));
    }
}

const HostView *Membership::find(const std::string &name) const
{
    const auto found = this->entries.find(name);
    return found == this->entries.end() ? nullptr : &found->second;
}

const HostView *Membership::find(std::uint64_t id) const
{
    const auto name = this->namesById.find(id);
    return name == this->namesById.end() ? nullptr : this->find(name->second);
}

const std::map<std::string, HostView> &Membership::hosts() const
{
    return this->entries;
}

std::vector<std::uint64_t> Membership::ids() const
{
    std::vector<std::uint64_t> ids;
    ids.reserve(this->entries.size());
    for (const auto &[name, host] : this->entries) {
        ids.push_back(host.id);
    }
    return ids;
}

std::set<std::string> Membership::eligibleOwners() const
{
    std::set<std::string> names;
    for (const auto &[name, host] : this->entries) {
        if (host.liveness != Liveness::Dead && host.report.status.state == HostState::Live) {
            names.insert(name);
        }
    }
    return names;
}

MembershipStats Membership::stats() const
{
    MembershipStats stats = this->counters;
    stats.known = this->entries.size();
    for (const auto &[name, host] : this->entries) {
        stats.alive += host.liveness == Liveness::Alive ? 1 : 0;
    }
    return stats;
}

} // namespace endivespan
