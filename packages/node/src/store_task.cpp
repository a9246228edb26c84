#include "store_task.h"

#include <endivespan/config.h>
#include <endivespan/ownership.h>

#include <algorithm>

namespace endivespan {

StoreTask::StoreTask(Loop &loop,
                     StoreControl &control,
                     EventLog &events,
                     SharedStores &stores,
                     RelayCache &relay,
                     const Membership &membership,
                     const ConfigConfirmation &confirmation,
                     const OldParts &oldParts,
                     const CacheScopes &scopes)
    : loop(loop)
    , control(control)
    , events(events)
    , stores(stores)
    , relay(relay)
    , membership(membership)
    , confirmation(confirmation)
    , oldParts(oldParts)
    , scopes(scopes)
    , random(std::random_device {}())
{
}

void StoreTask::setStores(const std::vector<ForwardStore> &list)
{
    this->stores.setStores(list);
}

void StoreTask::tick(TimePoint now)
{
    this->logStores(now);
    for (const auto &[address, next] : this->stores.toAsk()) {
        StorePoll &poll = this->polls[address];
        if (this->reading && !poll.asking && now >= poll.askAt) {
            poll.asking = true;
            this->ask(address, next);
        }
        // A store may be full of parts of replaced weights for other reasons than a rollout, such as a restart of all
        // hosts.
        const bool isUrgent = this->oldParts.isUnderWay(now) || this->stores.isNearlyFull(address);
        if (now - poll.searchedAt >= (isUrgent ? config::OwnershipPeriod : config::StoreIdleFreePeriod)) {
            poll.searchedAt = now;
            this->freeOld(address, now);
        }
    }
}

void StoreTask::setReading(bool newReading)
{
    if (this->reading != newReading) {
        this->reading = newReading;
        this->events.line("store_reading").with("by", newReading ? "this host" : "another");
    }
}

std::vector<StoreCursor> StoreTask::cursors() const
{
    std::vector<StoreCursor> list;
    for (const auto &[address, next] : this->stores.toAsk()) {
        list.push_back({storeIdOf(address), this->stores.epochOf(address), next});
    }
    return list;
}

void StoreTask::applyRelayed(const std::vector<RelayedStore> &list, TimePoint askedAt)
{
    for (const RelayedStore &store : list) {
        const auto address = this->stores.addressOf(store.store);
        if (!address) {
            continue;
        }
        if (this->stores.applyRelayed(*address, store.events, store.whole, askedAt - store.age, this->loop.now())) {
            this->relay.addStoreEvents(*address, store.events, store.whole);
        }
    }
}

void StoreTask::logStores(TimePoint now)
{
    if (now < this->logAt) {
        return;
    }
    this->logAt = now + config::StoreLinePeriod;
    for (const SharedStoreStats &store : this->stores.stats(now)) {
        this->events.line("store_view")
            .with("store", store.address)
            .with("parts", store.parts)
            .with("used_tokens", store.usedTokens)
            .with("capacity_tokens", store.capacityTokens)
            .with("saving", store.saving)
            .with("age_ms", store.age)
            .with("excess_ms", store.excess);
    }
}

void StoreTask::ask(const std::string &address, std::uint64_t since)
{
    const TimePoint askedAt = this->loop.now();
    this->control.events(
        address, since, config::StoreEventsWait, [this, address, askedAt](const Result<StoreEvents> &answer) {
            this->answered(address, answer, askedAt);
        });
}

void StoreTask::answered(const std::string &address, const Result<StoreEvents> &answer, TimePoint askedAt)
{
    const TimePoint now = this->loop.now();
    StorePoll &poll = this->polls[address];
    poll.asking = false;
    // The pause is randomised: hosts that poll at the same time would all be refused together.
    poll.askAt = now + config::StoreEventsPause / 2
        + std::chrono::milliseconds(this->random() % static_cast<std::uint64_t>(config::StoreEventsPause.count()));
    if (!answer && answer.error().kind == ErrorKind::Overloaded) {
        // A store that refuses because it is busy is reachable and serves other hosts, so it is not reported as lost.
        // What this host has of its contents becomes stale until the next poll.
        this->events.line("store_busy").with("address", address).with("why", answer.error().detail);
        return;
    }
    if (answer.has_value() != poll.reachable) {
        poll.reachable = answer.has_value();
        this->events.line(poll.reachable ? "dependency_regained" : "dependency_lost", LogRank::Failure)
            .with("dependency", "store")
            .with("address", address)
            .with("why", answer ? "" : answer.error().detail);
    }
    if (answer && answer.value().gap) {
        return this->list(address);
    }
    if (!answer) {
        return;
    }
    if (!this->stores.applyAnswer(address, answer.value(), askedAt, now)) {
        this->events.line("store_started_again").with("address", address).with("epoch", answer.value().epoch);
        poll.askAt = now;
        return;
    }
    this->relay.addStoreEvents(address, answer.value(), false);
}

// Reads all parts of a store: a store keeps only its latest events, so that a host which starts late has missed some.
void StoreTask::list(const std::string &address)
{
    const TimePoint askedAt = this->loop.now();
    this->polls[address].asking = true;
    this->control.list(address, [this, address, askedAt](const Result<StoreEvents> &all) {
        StorePoll &poll = this->polls[address];
        poll.asking = false;
        poll.askAt = this->loop.now() + config::StoreEventsPause;
        if (!all) {
            this->events.line("store_not_listed", LogRank::Failure)
                .with("address", address)
                .with("why", all.error().detail);
            return;
        }
        this->stores.replaceByListing(address, all.value(), askedAt, this->loop.now());
        this->relay.addStoreEvents(address, all.value(), true);
        this->events.line("store_listed").with("address", address).with("parts", all.value().events.size());
    });
}

bool StoreTask::isOld(const ScopedPart &part, TimePoint now) const
{
    const auto made = CacheScope::parse(part.scope);
    return made
        && (this->oldParts.mayFree(made->model, made->version, part.id, now)
            || this->scopes.mayFree(made->sharers, now));
}

void StoreTask::freeOld(const std::string &address, TimePoint now)
{
    // While the log is down for all, hosts that have not read of the newest weights go on using the parts.
    if (const auto read = this->confirmation.lastKnownNewest(); !read || now - *read > config::TransferFreshness) {
        return;
    }
    StorePoll &poll = this->polls[address];
    if (now >= poll.ownerAt) {
        poll.ownerAt = now + config::StoreOwnerPeriod;
        poll.isOwner
            = proposedOwner(this->membership.eligibleOwners(), "store/" + address) == this->membership.self().name;
    }
    if (!poll.isOwner) {
        return;
    }
    auto [epoch, parts] = this->stores.toFree(
        address, [this, now](const ScopedPart &part) { return this->isOld(part, now); }, config::StoreFreeParts);
    if (parts.empty()) {
        return;
    }
    this->events.line("parts_freed").with("store", address).with("parts", parts.size()).with("epoch", epoch);
    this->control.free(address, epoch, parts, [this, address, freed = parts](const Result<void> &done) {
        if (done) {
            this->stores.removeFreed(address, freed);
        } else {
            this->events.line("parts_not_freed", LogRank::Failure)
                .with("store", address)
                .with("why", done.error().detail);
        }
    });
}

} // namespace endivespan
