#include <endivespan/config.h>
#include <endivespan/gossip.h>

#include <algorithm>
#include <bit>
#include <tuple>
#include <utility>

namespace endivespan {

namespace {

// Estimated sizes in the Thrift compact protocol, in bytes: field and list headers and the numbers of one entry. The
// overheads exclude strings and lists.
constexpr std::size_t MessageOverhead = 48;
constexpr std::size_t ReportOverhead = 32;
constexpr std::size_t HeartbeatSize = 26;
constexpr std::size_t WantedSize = 6;
constexpr std::size_t NoteOverhead = 34;
constexpr std::size_t SuspicionOverhead = 28;
constexpr std::size_t DeathSize = 10;
constexpr std::size_t MaxWanted = 24; // Requested reports in one message.

std::size_t sizeOf(const HostReport &report)
{
    return ReportOverhead + report.name.size() + report.address.size() + report.domain.size() + report.region.size();
}

std::size_t sizeOf(const ServerNote &note)
{
    return NoteOverhead + note.server.size() + note.incarnation.size();
}

std::size_t sizeOf(const Suspicion &suspicion)
{
    return SuspicionOverhead + DeathSize * (suspicion.deaths.size() + suspicion.cleared.size());
}

// How often this host sends a changed entry first, before it is only sent in turn. Grows with the logarithm of the
// number of hosts, as the rounds do that a change needs to reach all of them.
std::uint32_t rumourSendLimit(std::size_t hosts)
{
    return static_cast<std::uint32_t>(std::bit_width(hosts)) + config::GossipSendsMargin;
}

bool reserveRoom(std::size_t &room, std::size_t size)
{
    if (size > room) {
        return false;
    }
    room -= size;
    return true;
}

/// An entry that could be sent. Sorts by how often it was sent, then by how long ago.
template<typename Item>
struct Candidate {
    std::uint32_t times;
    std::uint64_t lastMessage;
    const Item *item;

    bool operator<(const Candidate &other) const
    {
        return std::pair(this->times, this->lastMessage) < std::pair(other.times, other.lastMessage);
    }
};

} // namespace

Gossip::Gossip(GossipTables tables, std::vector<std::string> seeds, std::uint64_t seed)
    : tables(tables)
    , seeds(std::move(seeds))
    , random(seed)
    , budget(config::GossipBurstBytes)
{
    std::erase(this->seeds, tables.membership.self().address);
}

std::size_t Gossip::wireSize(const GossipMessage &message)
{
    std::size_t size = MessageOverhead + HeartbeatSize * message.heartbeats.size() + WantedSize * message.wanted.size();
    for (const HostReport &report : message.reports) {
        size += sizeOf(report);
    }
    for (const ServerNote &note : message.servers) {
        size += sizeOf(note);
    }
    for (const Suspicion &suspicion : message.suspicions) {
        size += sizeOf(suspicion);
    }
    return size;
}

Duration Gossip::period() const
{
    return Membership::roundPeriod(this->tables.membership.hosts().size());
}

void Gossip::updateNeighbours()
{
    const Membership &membership = this->tables.membership;
    std::erase_if(this->neighbours, [&membership](const std::string &name) {
        const auto view = membership.find(name);
        return view == nullptr || view->liveness == Liveness::Dead;
    });
    if (!this->neighbours.empty() && this->counters.rounds % config::GossipRoundsPerNeighbourChange == 0) {
        std::swap(this->neighbours[this->random() % this->neighbours.size()], this->neighbours.back());
        this->neighbours.pop_back();
    }
    if (this->neighbours.size() >= config::GossipNeighbours) {
        return;
    }
    std::vector<std::string> candidates;
    for (const auto &[name, host] : membership.hosts()) {
        const bool chosen = std::find(this->neighbours.begin(), this->neighbours.end(), name) != this->neighbours.end();
        if (!chosen && host.liveness != Liveness::Dead && name != membership.self().name) {
            candidates.push_back(name);
        }
    }
    std::shuffle(candidates.begin(), candidates.end(), this->random);
    while (!candidates.empty() && this->neighbours.size() < config::GossipNeighbours) {
        this->neighbours.push_back(std::move(candidates.back()));
        candidates.pop_back();
    }
}

// Chooses a dead host or a seed. Two partitions whose hosts consider each other dead can only merge again by contacting
// these.
std::optional<GossipTarget> Gossip::probeTarget()
{
    std::vector<GossipTarget> targets;
    for (const auto &[name, host] : this->tables.membership.hosts()) {
        if (host.liveness == Liveness::Dead) {
            targets.push_back({host.report.name, host.report.address});
        }
    }
    for (const std::string &address : this->seeds) {
        targets.push_back({"", address});
    }
    if (targets.empty()) {
        return {};
    }
    return targets[this->random() % targets.size()];
}

std::vector<GossipTarget> Gossip::round()
{
    ++this->counters.rounds;
    this->updateNeighbours();
    const HostStatus &own = this->tables.membership.self().status;
    const std::uint64_t suspicions = this->tables.suspicions.version();
    const bool ownStatusChanged = std::tie(own.state, own.logReachable, own.configOffset)
        != std::tie(this->lastOwnStatus.state, this->lastOwnStatus.logReachable, this->lastOwnStatus.configOffset);
    this->lastOwnStatus = own;
    const bool suspicionsChanged = std::exchange(this->lastSuspicionVersion, suspicions) != suspicions;
    const std::size_t fanout = ownStatusChanged || suspicionsChanged ? config::GossipUrgentFanout : 1;
    std::vector<GossipTarget> targets;
    std::shuffle(this->neighbours.begin(), this->neighbours.end(), this->random);
    for (std::size_t i = 0; i < std::min(fanout, this->neighbours.size()); ++i) {
        const HostView *view = this->tables.membership.find(this->neighbours[i]);
        targets.push_back({view->report.name, view->report.address});
    }
    // Each host probes less often the more hosts there are, so that the load on the seeds does not grow with the fleet.
    const std::uint64_t known = this->tables.membership.stats().known;
    const std::uint64_t probeRounds = std::max(config::GossipRoundsPerProbe, known);
    if (targets.empty() || this->counters.rounds % probeRounds == 0) {
        if (auto target = this->probeTarget()) {
            targets.push_back(std::move(*target));
        }
    }
    return targets;
}

double Gossip::budgetAt(TimePoint now) const
{
    const Duration passed = now - this->budgetSetAt.value_or(now);
    const double earned = std::chrono::duration<double>(passed).count() * config::GossipBytesPerSecond;
    return std::min<double>(this->budget + earned, config::GossipBurstBytes);
}

bool Gossip::isUrgent(TimePoint now) const
{
    return this->tables.suspicions.version() != this->lastSuspicionVersion
        && this->budgetAt(now) >= config::GossipUrgentBytes;
}

std::size_t Gossip::messageRoom(const Peer &peer, TimePoint now)
{
    this->budget = this->budgetAt(now);
    this->budgetSetAt = now;
    // A peer that requests reports has most likely just started and cannot do without them, so that they may use the
    // whole burst.
    const std::size_t limit = peer.requested.empty() ? config::GossipMessageBytes : config::GossipBurstBytes;
    const auto available = static_cast<std::size_t>(std::max(this->budget, 0.0));
    this->counters.deferred += available < config::GossipMessageBytes ? 1 : 0;
    return std::clamp(available, config::GossipLeastBytes, limit) - MessageOverhead;
}

Gossip::Peer &Gossip::peerOf(const std::string &name)
{
    if (!this->peers.contains(name) && this->peers.size() >= config::GossipPeersRemembered) {
        this->peers.erase(std::min_element(this->peers.begin(), this->peers.end(), [](const auto &a, const auto &b) {
            return a.second.lastMessage < b.second.lastMessage;
        }));
    }
    Peer &peer = this->peers[name];
    peer.lastMessage = this->messageCount;
    return peer;
}

void Gossip::fillReports(Peer &peer, GossipMessage &message, std::size_t &room)
{
    const auto &hosts = this->tables.membership.hosts();
    const std::uint32_t sends = rumourSendLimit(hosts.size());
    std::vector<Candidate<HostView>> choices;
    for (const auto &[name, host] : hosts) {
        const HostVersion &version = host.report.status.version;
        SendCount &sent = this->reportsSent[host.id];
        if (sent.version != version.incarnation) {
            sent = {version.incarnation, 0, 0};
        }
        if (peer.requested.contains(host.id)) {
            choices.push_back({0, 0, &host});
        } else if (!this->tables.hostsAreListed && sent.count < sends
                   && peer.versions[host.id].incarnation < version.incarnation) {
            choices.push_back({sent.count + 1, sent.lastMessage, &host});
        }
    }
    std::sort(choices.begin(), choices.end());
    for (const auto &choice : choices) {
        if (!reserveRoom(room, sizeOf(choice.item->report))) {
            break;
        }
        SendCount &sent = this->reportsSent[choice.item->id];
        ++sent.count;
        sent.lastMessage = this->messageCount;
        peer.requested.erase(choice.item->id);
        peer.versions[choice.item->id] = choice.item->report.status.version;
        message.reports.push_back(choice.item->report);
    }
}

void Gossip::fillHeartbeats(Peer &peer, GossipMessage &message, std::size_t &room)
{
    std::vector<Candidate<HostView>> choices;
    for (const auto &[name, host] : this->tables.membership.hosts()) {
        const HostVersion &version = host.report.status.version;
        SendCount &sent = this->heartbeatsSent[host.id];
        if (sent.version != version.sequence) {
            sent = {version.sequence, 0, sent.lastMessage};
        }
        if (peer.versions[host.id] < version) {
            choices.push_back({sent.count, sent.lastMessage, &host});
        }
    }
    const auto end = choices.begin() + static_cast<std::ptrdiff_t>(std::min(choices.size(), room / HeartbeatSize));
    std::partial_sort(choices.begin(), end, choices.end());
    std::size_t repeatsLeft = config::HeartbeatsInTurn;
    for (auto choice = choices.begin(); choice != end; ++choice) {
        if (choice->times >= config::HeartbeatSends && repeatsLeft-- == 0) {
            break;
        }
        reserveRoom(room, HeartbeatSize);
        SendCount &sent = this->heartbeatsSent[choice->item->id];
        ++sent.count;
        sent.lastMessage = this->messageCount;
        peer.versions[choice->item->id] = choice->item->report.status.version;
        message.heartbeats.push_back({choice->item->id, choice->item->report.status});
    }
}

void Gossip::fillServers(GossipMessage &message, std::size_t &room, TimePoint now)
{
    std::vector<Candidate<std::string>> choices;
    const auto &changes = this->tables.servers.changes();
    std::erase_if(this->serversSent, [&changes](const auto &item) { return !changes.contains(item.first); });
    for (const auto &[server, change] : changes) {
        SendCount &sent = this->serversSent[server];
        if (sent.version != change) {
            sent = {change, 0, sent.lastMessage};
        }
        choices.push_back({sent.count, sent.lastMessage, &server});
    }
    std::sort(choices.begin(), choices.end());
    for (const auto &choice : choices) {
        const auto note = this->tables.servers.find(*choice.item, now);
        if (!reserveRoom(room, sizeOf(*note))) {
            break;
        }
        SendCount &sent = this->serversSent[*choice.item];
        ++sent.count;
        sent.lastMessage = this->messageCount;
        message.servers.push_back(*note);
    }
}

void Gossip::fillSuspicions(GossipMessage &message, std::size_t &room, TimePoint now)
{
    const SuspicionTable &table = this->tables.suspicions;
    for (const std::uint64_t version : table.versionsAfter(this->lastSuspicionAdded, config::SuspectTableSize)) {
        this->recentSuspicions[version] = 0;
        this->lastSuspicionAdded = version;
    }
    this->fillRefused(message, room, now);
    // Sorted by urgency, then by fewest sends, then by latest change.
    struct RecentChange {
        std::size_t urgency;
        std::uint32_t times;
        std::uint64_t version;
        Suspicion suspicion;
    };
    std::vector<RecentChange> recent;
    std::erase_if(this->recentSuspicions, [&table, &recent, now](const auto &item) {
        auto suspicion = table.changedAt(item.first, now);
        if (suspicion) {
            const std::size_t urgency = table.urgency(suspicion->fingerprint, now);
            recent.push_back({urgency, item.second, item.first, std::move(*suspicion)});
        }
        return !suspicion;
    });
    std::sort(recent.begin(), recent.end(), [](const RecentChange &a, const RecentChange &b) {
        return std::tuple(b.urgency, a.times, b.version) < std::tuple(a.urgency, b.times, a.version);
    });
    const std::uint32_t sends = rumourSendLimit(this->tables.membership.stats().known);
    for (RecentChange &item : recent) {
        if (!reserveRoom(room, sizeOf(item.suspicion))) {
            return;
        }
        message.suspicions.push_back(std::move(item.suspicion));
        if (++this->recentSuspicions[item.version] >= sends) {
            this->recentSuspicions.erase(item.version);
        }
    }
    const auto next = table.versionsAfter(this->suspicionCursor, 1);
    this->suspicionCursor = next.empty() ? 0 : next.front();
    if (!next.empty()) {
        if (const auto suspicion = table.changedAt(next.front(), now); reserveRoom(room, sizeOf(*suspicion))) {
            message.suspicions.push_back(*suspicion);
        }
    }
}

// Adds the most urgent suspicions and, in turn, those of refused requests to every message, so that a host that has
// restarted or was cut off receives all of them within a few messages.
void Gossip::fillRefused(GossipMessage &message, std::size_t &room, TimePoint now)
{
    const SuspicionTable &table = this->tables.suspicions;
    for (const std::uint64_t version : table.mostUrgent(config::UrgentInEachMessage, now)) {
        if (const auto suspicion = table.changedAt(version, now); reserveRoom(room, sizeOf(*suspicion))) {
            message.suspicions.push_back(*suspicion);
        }
    }
    auto versions = table.refusedAfter(this->refusedCursor, config::RefusedInTurn);
    if (versions.empty()) {
        versions = table.refusedAfter(0, config::RefusedInTurn);
    }
    for (const std::uint64_t version : versions) {
        const auto suspicion = table.changedAt(version, now);
        if (!suspicion || !reserveRoom(room, sizeOf(*suspicion))) {
            return;
        }
        message.suspicions.push_back(*suspicion);
        this->refusedCursor = version;
    }
}

GossipMessage Gossip::compose(const std::string &name, TimePoint now)
{
    GossipMessage message;
    ++this->messageCount;
    Peer &peer = this->peerOf(name);
    std::size_t room = this->messageRoom(peer, now);
    for (const std::uint64_t id : this->wanted) {
        if (message.wanted.size() < MaxWanted && reserveRoom(room, WantedSize)) {
            message.wanted.push_back(id);
        }
    }
    this->fillSuspicions(message, room, now);
    // When all hosts start at the same time, the reports to send last for minutes. They get only half of the room, so
    // that heartbeats are sent meanwhile.
    std::size_t reportRoom = peer.requested.empty() ? room / 2 : room;
    room -= reportRoom;
    this->fillReports(peer, message, reportRoom);
    room += reportRoom;
    std::size_t serverRoom = std::max(room / 2, std::min(room, config::GossipLeastBytes));
    room -= serverRoom;
    this->fillServers(message, serverRoom, now);
    room += serverRoom;
    this->fillHeartbeats(peer, message, room);
    const std::size_t size = Gossip::wireSize(message);
    this->budget -= static_cast<double>(size);
    this->counters.bytes += size;
    ++this->counters.messages;
    return message;
}

GossipMessage Gossip::open(const std::string &peer, TimePoint now)
{
    return this->compose(peer, now);
}

GossipMessage Gossip::answer(const std::string &peer, const GossipMessage &request, TimePoint now)
{
    this->applyMessage(peer, request, now);
    GossipMessage message = this->compose(peer, now);
    message.config = this->tables.confirmation.statement(this->tables.membership, now);
    return message;
}

GossipResult
Gossip::handleAnswer(const std::string &peer, const GossipMessage &answer, TimePoint askedAt, TimePoint now)
{
    GossipResult news = this->applyMessage(peer, answer, now);
    if (answer.config) {
        const std::size_t known = this->tables.membership.hosts().size();
        news.fetchConfig = this->tables.confirmation.onPeerAnswer(peer, *answer.config, askedAt, known);
    }
    return news;
}

void Gossip::exchangeFailed(const std::string &peer)
{
    this->peers.erase(peer);
}

GossipResult Gossip::applyMessage(const std::string &name, const GossipMessage &message, TimePoint now)
{
    GossipResult news;
    Peer &peer = this->peerOf(name);
    Membership &membership = this->tables.membership;
    for (const HostReport &report : message.reports) {
        const std::uint64_t id = hostIdOf(report.name);
        this->wanted.erase(id);
        peer.versions[id] = std::max(peer.versions[id], report.status.version);
        news.reports += membership.learn(report, now) ? 1 : 0;
    }
    for (const Heartbeat &heartbeat : message.heartbeats) {
        HostVersion &newest = peer.versions[heartbeat.host];
        newest = std::max(newest, heartbeat.status.version);
        const bool missing = membership.learn(heartbeat, now) == HeartbeatResult::ReportMissing;
        if (missing && this->wanted.size() < config::MaxHosts) {
            this->wanted.insert(heartbeat.host);
        }
    }
    for (const std::uint64_t id : message.wanted) {
        if (membership.find(id) != nullptr) {
            peer.requested.insert(id);
        }
    }
    for (const ServerNote &note : message.servers) {
        if (this->tables.servers.merge(note, now)) {
            this->changedServers.insert(note.server);
        }
    }
    for (const Suspicion &suspicion : message.suspicions) {
        this->tables.suspicions.merge(suspicion, now);
    }
    return news;
}

std::set<std::string> Gossip::takeChangedServers()
{
    return std::exchange(this->changedServers, {});
}

const GossipStats &Gossip::stats() const
{
    return this->counters;
}

} // namespace endivespan
