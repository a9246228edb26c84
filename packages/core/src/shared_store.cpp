#include <endivespan/config.h>
#include <endivespan/placement.h>
#include <endivespan/relay.h>
#include <endivespan/shared_store.h>

#include <algorithm>
#include <cmath>
#include <limits>
#include <utility>

namespace endivespan {

namespace {

} // namespace

bool isStoreSample(const std::optional<ServerLoadReport> &load)
{
    return !load || !load->pace || load->waiting == 0;
}

void SharedStores::setStores(const std::vector<ForwardStore> &stores)
{
    std::set<std::string> present;
    for (const ForwardStore &store : stores) {
        present.insert(store.address);
        View &view = this->views[store.address];
        this->ids[storeIdOf(store.address)] = store.address;
        if (view.store != store) {
            view = View {};
            view.store = store;
        }
    }
    std::erase_if(this->views, [&present](const auto &entry) { return !present.contains(entry.first); });
    std::erase_if(this->ids, [&present](const auto &entry) { return !present.contains(entry.second); });
}

std::vector<std::pair<std::string, std::uint64_t>> SharedStores::toAsk() const
{
    std::vector<std::pair<std::string, std::uint64_t>> list;
    for (const auto &[address, view] : this->views) {
        list.emplace_back(address, view.next);
    }
    return list;
}

bool SharedStores::applyAnswer(const std::string &address, const StoreEvents &events, TimePoint askedAt, TimePoint now)
{
    const auto found = this->views.find(address);
    if (found == this->views.end()) {
        return true;
    }
    View &view = found->second;
    if (view.asOf && events.epoch != view.epoch) {
        const ForwardStore store = view.store;
        view = View {};
        view.store = store;
        return false;
    }
    view.epochKnownSince = view.asOf ? view.epochKnownSince : now;
    applyEvents(view, events, askedAt, now);
    return true;
}

void SharedStores::applyEvents(View &view, const StoreEvents &events, TimePoint askedAt, TimePoint now)
{
    view.epoch = events.epoch;
    view.next = events.next;
    view.asOf = askedAt;
    view.clock = events.clock;
    for (const StoreEvent &event : events.events) {
        view.saving.erase(event.part);
        if (event.stored) {
            HeldPart &part = view.held.try_emplace(event.part, HeldPart {0, now}).first->second;
            view.usedTokens += event.tokens - std::min(part.tokens, event.tokens);
            part.tokens = std::max(part.tokens, event.tokens);
        } else {
            remove(view, event.part);
        }
    }
}

void SharedStores::remove(View &view, const ScopedPart &part)
{
    if (const auto entry = view.held.find(part); entry != view.held.end()) {
        view.usedTokens -= std::min(view.usedTokens, entry->second.tokens);
        view.held.erase(entry);
    }
}

bool SharedStores::applyRelayed(
    const std::string &address, const StoreEvents &events, bool whole, TimePoint asOf, TimePoint now)
{
    const auto found = this->views.find(address);
    if (found == this->views.end() || (found->second.asOf && *found->second.asOf >= asOf)) {
        return false;
    }
    if (whole) {
        this->replaceByListing(address, events, asOf, now);
        return true;
    }
    return events.epoch == found->second.epoch && this->applyAnswer(address, events, asOf, now);
}

std::optional<std::string> SharedStores::addressOf(std::uint32_t id) const
{
    const auto found = this->ids.find(id);
    return found == this->ids.end() ? std::nullopt : std::optional(found->second);
}

std::optional<SharedStoreView> SharedStores::view(std::uint32_t id, TimePoint now) const
{
    const auto address = this->addressOf(id);
    if (!address) {
        return std::nullopt;
    }
    const View &view = this->views.at(*address);
    if (!view.asOf) {
        return std::nullopt;
    }
    return SharedStoreView {view.epoch, view.next, now - *view.asOf, view.clock, &view.held};
}

std::uint64_t SharedStores::epochOf(const std::string &address) const
{
    const auto found = this->views.find(address);
    return found == this->views.end() ? 0 : found->second.epoch;
}

void SharedStores::replaceByListing(const std::string &address,
                                    const StoreEvents &all,
                                    TimePoint askedAt,
                                    TimePoint now)
{
    const auto found = this->views.find(address);
    if (found == this->views.end()) {
        return;
    }
    View &view = found->second;
    const View before = std::exchange(view, View {});
    view.store = before.store;
    const bool isSameEpoch = before.asOf && before.epoch == all.epoch;
    view.epochKnownSince = isSameEpoch ? before.epochKnownSince : now;
    applyEvents(view, all, askedAt, now);
    for (auto &[part, held] : view.held) {
        if (const auto known = before.held.find(part); isSameEpoch && known != before.held.end()) {
            held.knownSince = known->second.knownSince;
        }
    }
}

bool SharedStores::isFresh(const View &view, TimePoint now)
{
    return view.asOf && now - *view.asOf <= config::StoreViewTime;
}

bool SharedStores::maySaveTo(const View &view, TimePoint now)
{
    return view.asOf && now - *view.asOf <= config::StoreSaveViewTime
        && now - view.epochKnownSince > config::StoreViewTime;
}

void SharedStores::observeSaveStart(Duration time, TimePoint now)
{
    this->saveStarts.observe({}, time, now);
}

// Hosts may know of the part later than this one, by the age of the views by which they plan saves. Such a save begins
// once its engine has read the prompt, which takes longer in a busy pool.
Duration SharedStores::settleTime(TimePoint now) const
{
    const Duration start = this->saveStarts.usualTime({}, now).value_or(config::StoreSaveStartGuess);
    return config::StoreSaveViewTime + start;
}

void SharedStores::addSample(const std::string &address, Duration excess, TimePoint now)
{
    const auto found = this->views.find(address);
    if (found == this->views.end()) {
        return;
    }
    this->smooth(found->second, excess, now);
    if (this->samples.size() < config::StoreSamplesKept) {
        this->samples.push_back({address, excess});
    }
}

void SharedStores::smooth(View &view, Duration excess, TimePoint now) const
{
    const bool isOld = now - view.excessAt > config::StoreSpeedMemory;
    const auto smoothed = config::StoreSpeedSmoothing * excess + (1 - config::StoreSpeedSmoothing) * view.excess;
    view.excess = isOld ? excess : std::chrono::duration_cast<Duration>(smoothed);
    view.excessAt = now;
}

std::vector<StoreSample> SharedStores::takeSamples()
{
    return std::exchange(this->samples, {});
}

std::vector<StoreSpeed> SharedStores::speeds(TimePoint now) const
{
    std::vector<StoreSpeed> list;
    for (const auto &[address, view] : this->views) {
        if (now - view.excessAt <= config::StoreSpeedMemory) {
            list.push_back({address, view.excess, now - view.excessAt});
        }
    }
    return list;
}

void SharedStores::learnSpeed(const StoreSpeed &speed, TimePoint now)
{
    const auto found = this->views.find(speed.address);
    if (found != this->views.end() && speed.age <= config::StoreSpeedMemory) {
        found->second.excess = speed.excess;
        found->second.excessAt = now - speed.age;
    }
}

void SharedStores::setReadingRate(double rate)
{
    this->readingRate = rate;
}

// Compares with the fastest store, since a busy pool of engines delays the first token after fetches from any store.
bool SharedStores::isSlowerThanReading(const View &view, std::uint64_t tokens, TimePoint now) const
{
    if (now - view.excessAt > config::StoreSpeedMemory) {
        return false;
    }
    Duration fastest = view.excess;
    for (const auto &[address, other] : this->views) {
        if (now - other.excessAt <= config::StoreSpeedMemory) {
            fastest = std::min(fastest, other.excess);
        }
    }
    const std::chrono::duration<double, std::milli> reading(static_cast<double>(tokens) / this->readingRate);
    const auto bound = std::chrono::duration_cast<Duration>(config::SlowStoreReadings * reading);
    return view.excess - fastest > std::max<Duration>(config::SlowStoreExcess, bound);
}

bool SharedStores::isSettled(const View &view, const ScopedPart &part, TimePoint knownBy)
{
    return view.held.at(part).knownSince <= knownBy;
}

const SharedStores::View *
SharedStores::holderOf(const ScopedPart &part, const std::string &domain, TimePoint knownBy, TimePoint now) const
{
    const View *best = nullptr;
    std::pair<bool, bool> rank;
    for (const auto &[address, view] : this->views) {
        if (!isFresh(view, now) || !view.held.contains(part)) {
            continue;
        }
        const std::pair found(isSettled(view, part, knownBy), view.store.domain == domain);
        if (best == nullptr || found > rank) {
            best = &view;
            rank = found;
        }
    }
    return best;
}

// Rendezvous hashing weighted by capacity, so that all hosts save a part to the same store.
SharedStores::View *SharedStores::storeToSaveTo(const ScopedPart &part, std::uint64_t tokens, TimePoint now)
{
    View *best = nullptr;
    double most = -std::numeric_limits<double>::infinity();
    for (auto &[address, view] : this->views) {
        const double room = config::StoreFillShare * static_cast<double>(view.store.capacityTokens);
        if (!maySaveTo(view, now) || static_cast<double>(view.usedTokens + tokens) > room) {
            continue;
        }
        const double place = hashFraction(hashPrefix(hashPrefix(0, part.id), address));
        const double score = std::log(std::max(place, 1e-300)) / static_cast<double>(view.store.capacityTokens);
        if (best == nullptr || score > most) {
            most = score;
            best = &view;
        }
    }
    return best;
}

TransferPlan SharedStores::plan(const std::string &scope,
                                const std::vector<PlannedPart> &parts,
                                const std::string &domain,
                                const std::function<bool(const std::string &id)> &mayUse,
                                TimePoint now)
{
    TransferPlan plan;
    plan.fetch.resize(parts.size());
    plan.save.resize(parts.size());
    const TimePoint knownBy = now - this->settleTime(now);
    for (std::size_t i = 0; i < parts.size(); ++i) {
        const ScopedPart part {scope, parts[i].id};
        if (mayUse && !mayUse(part.id)) {
            continue;
        }
        if (const View *view = this->holderOf(part, domain, knownBy, now)) {
            // For a short part, prefill is faster than a slow fetch; a long part takes the engine longer.
            if (!isSettled(*view, part, knownBy) || this->isSlowerThanReading(*view, parts[i].tokens, now)) {
                continue;
            }
            plan.fetch[i] = view->store.address;
            if (view->clock) {
                const auto until = *view->clock + config::StoreViewTime;
                plan.fetchUntil = std::min(plan.fetchUntil.value_or(until), until);
            }
            continue;
        }
        View *view = mayUse ? nullptr : this->storeToSaveTo(part, parts[i].tokens, now);
        if (view == nullptr) {
            continue;
        }
        const auto sent = view->saving.find(part);
        if (sent == view->saving.end() || now - sent->second > config::StoreSaveAgain) {
            view->saving[part] = now;
            plan.save[i] = view->store.address;
        }
    }
    return plan;
}

bool SharedStores::isNearlyFull(const std::string &address) const
{
    const auto found = this->views.find(address);
    return found != this->views.end()
        && static_cast<double>(found->second.usedTokens)
        >= config::StoreNearlyFullShare * static_cast<double>(found->second.store.capacityTokens);
}

std::pair<std::uint64_t, std::vector<ScopedPart>> SharedStores::toFree(
    const std::string &address, const std::function<bool(const ScopedPart &part)> &isOld, std::size_t limit) const
{
    std::vector<ScopedPart> parts;
    const auto found = this->views.find(address);
    if (found == this->views.end()) {
        return {0, parts};
    }
    for (const auto &[part, held] : found->second.held) {
        if (parts.size() < limit && isOld(part)) {
            parts.push_back(part);
        }
    }
    return {found->second.epoch, parts};
}

void SharedStores::removeFreed(const std::string &address, const std::vector<ScopedPart> &parts)
{
    const auto found = this->views.find(address);
    if (found == this->views.end()) {
        return;
    }
    for (const ScopedPart &part : parts) {
        remove(found->second, part);
    }
}

std::vector<SharedStoreStats> SharedStores::stats(TimePoint now) const
{
    std::vector<SharedStoreStats> all;
    for (const auto &[address, view] : this->views) {
        all.push_back({address,
                       view.held.size(),
                       view.usedTokens,
                       view.store.capacityTokens,
                       view.saving.size(),
                       view.asOf ? now - *view.asOf : Duration::max(),
                       now - view.excessAt <= config::StoreSpeedMemory ? view.excess : Duration::zero()});
    }
    return all;
}

std::size_t SharedStores::parts() const
{
    std::size_t count = 0;
    for (const auto &[address, view] : this->views) {
        count += view.held.size();
    }
    return count;
}

} // namespace endivespan
