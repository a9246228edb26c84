#include <endivespan/config.h>
#include <endivespan/ownership.h>
#include <endivespan/placement.h>
#include <endivespan/relay.h>

#include <algorithm>
#include <iterator>
#include <utility>

namespace endivespan {

RelayAgeLimits relayAgeLimits(std::chrono::milliseconds changes, std::chrono::milliseconds draining)
{
    using std::chrono::milliseconds;
    const auto shareOf
        = [](milliseconds bound, double share) { return std::chrono::duration_cast<milliseconds>(bound * share); };
    RelayAgeLimits ages;
    ages.operatorWait = std::clamp<milliseconds>(
        shareOf(changes, config::OperatorReadShare), config::OperatorReadWaitLeast, config::OperatorReadWaitMost);
    ages.operatorLag = shareOf(changes, config::RelayLagShare);
    ages.operators = ages.operatorWait + config::RelayPeriod + ages.operatorLag;
    ages.serverPoll = std::min<milliseconds>(shareOf(draining, config::ServerPollShare), config::ServerPollMost);
    ages.servers = ages.serverPoll + config::RelayPeriod + shareOf(draining, config::RelayLagShare);
    return ages;
}

RelayedDataAge::RelayedDataAge(Duration ownReadAge)
    : ownReadAge(ownReadAge)
{
}

void RelayedDataAge::setShared(bool isShared)
{
    this->shared = isShared;
}

void RelayedDataAge::confirmed(TimePoint heldAt)
{
    this->asOf = std::max(this->asOf.value_or(heldAt), heldAt);
}

std::optional<Duration> RelayedDataAge::age(TimePoint now) const
{
    return this->asOf ? std::optional(std::max(now - *this->asOf, Duration::zero())) : std::nullopt;
}

Duration RelayedDataAge::timeUntilOwnRead(TimePoint now) const
{
    const auto currentAge = this->age(now);
    return this->shared && currentAge ? std::max(this->ownReadAge - *currentAge, Duration::zero()) : Duration::zero();
}

std::uint32_t storeIdOf(const std::string &address)
{
    return static_cast<std::uint32_t>(hashPrefix(0, address) >> 32U);
}

std::vector<RelayedLoad> loadsSince(const ServerTable &servers, TimePoint since, bool ownOnly, TimePoint now)
{
    std::vector<RelayedLoad> loads;
    for (const auto &[id, view] : servers.servers()) {
        const bool isSelected = view.load && view.loadLearnedAt >= since && (view.loadIsOwn || !ownOnly);
        if (isSelected && now - view.loadAt <= config::LoadReportUsableTime) {
            loads.push_back(
                {shortIdOf(view), view.load->running, view.load->waiting, now - view.loadAt, view.load->pace});
        }
    }
    return loads;
}

std::vector<std::string> readerOrder(const Membership &membership)
{
    const std::string &domain = membership.self().domain;
    std::vector<std::string> candidates;
    for (const auto &[name, host] : membership.hosts()) {
        const bool isAvailable = host.liveness != Liveness::Dead && host.report.status.state == HostState::Live;
        if (host.report.domain == domain && (isAvailable || name == membership.self().name)) {
            candidates.push_back(name);
        }
    }
    const std::uint64_t groups = (candidates.size() + config::ReaderGroupMost - 1) / config::ReaderGroupMost;
    const std::uint64_t ownGroup = hashPrefix(0, membership.self().name) % groups;
    std::vector<std::pair<std::uint64_t, std::string>> ranked;
    for (std::string &name : candidates) {
        if (hashPrefix(0, name) % groups == ownGroup) {
            ranked.emplace_back(rendezvousWeight(name, "reader"), std::move(name));
        }
    }
    std::sort(ranked.rbegin(), ranked.rend());
    std::vector<std::string> order;
    order.reserve(ranked.size());
    for (auto &[weight, name] : ranked) {
        order.push_back(std::move(name));
    }
    return order;
}

bool ReaderSelector::isWorthSharing(std::size_t hosts)
{
    return hosts >= config::ReaderGroupLeast;
}

std::optional<std::string>
ReaderSelector::reader(const std::vector<std::string> &order, const std::string &self, TimePoint now) const
{
    const auto chosen = std::find_if(order.begin(), order.end(), [this, now](const std::string &name) {
        const auto avoided = this->avoidUntil.find(name);
        return avoided == this->avoidUntil.end() || now >= avoided->second;
    });
    return chosen == order.end() || *chosen == self ? std::nullopt : std::optional(*chosen);
}

void ReaderSelector::markFailed(const std::string &host, TimePoint now)
{
    this->avoidUntil[host] = now + config::ReaderAvoidTime;
    std::erase_if(this->avoidUntil, [now](const auto &entry) { return entry.second <= now; });
}

void ReaderSelector::markAnswered(const std::string &host)
{
    this->avoidUntil.erase(host);
}

void RelayCache::addServerRecord(const RelayedServer &record, std::uint64_t next, bool isNews, TimePoint now)
{
    ServerRecord &stored = this->servers[record.key];
    stored.value = record.value;
    stored.next = isNews || stored.next == 0 ? next : stored.next;
    stored.keepUntil = now + record.keepFor;
    if (this->servers.size() <= config::MaxServers) {
        return;
    }
    // Evicts the oldest record of a removed server. A follower that has not received the removal is told that there is
    // a gap and reads the list itself.
    auto oldest = this->servers.end();
    for (auto entry = this->servers.begin(); entry != this->servers.end(); ++entry) {
        const bool isOlder = oldest == this->servers.end() || entry->second.next < oldest->second.next;
        oldest = !entry->second.value && isOlder ? entry : oldest;
    }
    if (oldest != this->servers.end()) {
        this->serversFirst = std::max(this->serversFirst, oldest->second.next);
        this->servers.erase(oldest);
    }
}

void RelayCache::confirmServers(std::uint64_t next, TimePoint asOf)
{
    this->serversFirst = this->serversAsOf ? this->serversFirst : next;
    this->serversNext = std::max(this->serversNext, next);
    this->serversAsOf = std::max(this->serversAsOf.value_or(asOf), asOf);
}

void RelayCache::addStoreEvents(const std::string &address, const StoreEvents &events, bool whole)
{
    StoreLog &log = this->stores[storeIdOf(address)];
    if (whole || log.epoch != events.epoch) {
        log = StoreLog {events.epoch, events.next, {}};
        return;
    }
    for (const StoreEvent &event : events.events) {
        log.events.push_back({events.next, event});
    }
    while (log.events.size() > config::RelayStoreEvents) {
        log.first = log.events.front().next;
        log.events.pop_front();
    }
    // A batch is held completely or not at all: its events have no numbers of their own, only the number after the
    // batch.
    while (!log.events.empty() && log.events.front().next <= log.first) {
        log.events.pop_front();
    }
}

void RelayCache::fillServers(RelayReply &reply, const RelayAsk &ask, TimePoint now) const
{
    if (!this->serversAsOf) {
        return;
    }
    reply.serversNext = this->serversNext;
    reply.serversAge = std::max(now - *this->serversAsOf, Duration::zero());
    if (ask.serversNext < this->serversFirst) {
        reply.serversGap = true;
        return;
    }
    for (const auto &[key, record] : this->servers) {
        const bool isWanted
            = record.value && std::find(ask.unconfirmed.begin(), ask.unconfirmed.end(), key) != ask.unconfirmed.end();
        if (record.next > ask.serversNext || isWanted) {
            reply.servers.push_back({key, record.value, std::max(record.keepUntil - now, Duration::zero())});
        }
    }
}

// Returns false, and adds nothing, when the store does not fit into the rest of the reply. The first store always fits.
bool RelayCache::fillStore(RelayReply &reply,
                           const StoreCursor &cursor,
                           const SharedStoreView &view,
                           std::size_t &partsLeft) const
{
    RelayedStore relayed;
    relayed.store = cursor.store;
    relayed.age = view.age;
    relayed.events.epoch = view.epoch;
    relayed.events.next = view.next;
    relayed.events.clock = view.clock;
    const auto found = this->stores.find(cursor.store);
    const bool hasMissingEvents = found != this->stores.end() && cursor.epoch == view.epoch
        && found->second.epoch == view.epoch && cursor.next >= found->second.first;
    if (hasMissingEvents) {
        const std::deque<BatchedEvent> &events = found->second.events;
        // Searched from the end, since followers usually lack only the latest events.
        auto begin = events.end();
        while (begin != events.begin() && std::prev(begin)->next > cursor.next) {
            --begin;
        }
        for (; begin != events.end(); ++begin) {
            relayed.events.events.push_back(begin->event);
        }
    } else {
        relayed.whole = true;
        for (const auto &[part, held] : *view.held) {
            relayed.events.events.push_back({part, true, held.tokens});
        }
    }
    const std::size_t size = relayed.events.events.size();
    if (size > partsLeft && !reply.stores.empty()) {
        return false;
    }
    partsLeft -= std::min(partsLeft, size);
    reply.stores.push_back(std::move(relayed));
    return true;
}

RelayReply
RelayCache::answer(const RelayAsk &ask, const ConfigStatement &config, const SharedStores &stores, TimePoint now) const
{
    RelayReply reply;
    reply.config = config;
    this->fillServers(reply, ask, now);
    std::size_t partsLeft = config::RelayReplyParts;
    for (const StoreCursor &cursor : ask.stores) {
        const auto view = stores.view(cursor.store, now);
        if (view && !this->fillStore(reply, cursor, *view, partsLeft)) {
            reply.more = true;
        }
    }
    return reply;
}

} // namespace endivespan
