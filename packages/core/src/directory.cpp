#include <endivespan/directory.h>

#include <algorithm>
#include <bit>
#include <functional>

namespace endivespan {

namespace {

constexpr std::uint32_t Empty = 0xFFFFFFFF;
// Passes of the clock hand that an entry survives: the first after a lookup, the second after a lookup or a listing of
// an entry that a store has listed.
constexpr std::uint8_t PassesAfterLookup = 1;
constexpr std::uint8_t PassesWithStoreCopy = 7;

std::size_t bucketCountFor(std::size_t pieces)
{
    return std::bit_ceil(pieces + pieces / 2 + 1);
}

} // namespace

Directory::Directory(const DirectoryLimits &limits)
    : limits(limits)
    , entries(limits.pieces)
    , buckets(bucketCountFor(limits.pieces), Empty)
    , serverSources(limits.servers)
    , storeSources(limits.stores)
{
    this->freeEntries.reserve(limits.pieces);
    for (std::size_t i = limits.pieces; i > 0; --i) {
        this->freeEntries.push_back(static_cast<std::uint32_t>(i - 1));
    }
}

std::size_t Directory::homeBucket(const PieceKey &key) const
{
    return std::hash<PieceKey> {}(key) & (this->buckets.size() - 1);
}

std::uint32_t Directory::findIndex(const PieceKey &key) const
{
    const std::size_t mask = this->buckets.size() - 1;
    for (std::size_t bucket = this->homeBucket(key); this->buckets[bucket] != Empty; bucket = (bucket + 1) & mask) {
        const std::uint32_t index = this->buckets[bucket];
        if (this->entries[index].key == key) {
            return index;
        }
    }
    return Empty;
}

Directory::Entry *Directory::findEntry(const PieceKey &key)
{
    const std::uint32_t index = this->findIndex(key);
    return index == Empty ? nullptr : &this->entries[index];
}

Directory::Entry &Directory::findOrAddEntry(const PieceKey &key)
{
    if (Entry *entry = this->findEntry(key); entry != nullptr) {
        return *entry;
    }
    const std::uint32_t index = this->allocateEntry();
    const std::size_t mask = this->buckets.size() - 1;
    std::size_t bucket = this->homeBucket(key);
    while (this->buckets[bucket] != Empty) {
        bucket = (bucket + 1) & mask;
    }
    this->buckets[bucket] = index;
    Entry &entry = this->entries[index];
    entry = Entry {};
    entry.key = key;
    entry.used = true;
    ++this->counters.pieces;
    return entry;
}

// Evicts by CLOCK when no entry is free. Entries without a valid hint, and those that were never looked up, are evicted
// first, so that a flood of prompts that are used only once does not evict the copies in stores.
std::uint32_t Directory::allocateEntry()
{
    while (this->freeEntries.empty()) {
        const auto index = static_cast<std::uint32_t>(this->clockHand);
        this->clockHand = (this->clockHand + 1) % this->entries.size();
        Entry &entry = this->entries[index];
        if (entry.remainingPasses > 0 && this->hasValidHint(entry)) {
            --entry.remainingPasses;
            continue;
        }
        ++this->counters.evictions;
        this->removeEntry(index);
    }
    const std::uint32_t index = this->freeEntries.back();
    this->freeEntries.pop_back();
    return index;
}

void Directory::removeEntry(std::uint32_t index)
{
    const std::size_t mask = this->buckets.size() - 1;
    std::size_t bucket = this->homeBucket(this->entries[index].key);
    while (this->buckets[bucket] != index) {
        bucket = (bucket + 1) & mask;
    }
    this->unlinkBucket(bucket);
    this->entries[index].used = false;
    this->freeEntries.push_back(index);
    --this->counters.pieces;
}

// Deletion from the open-addressing table: moves later entries of the probe sequence back, so that no tombstones are
// needed.
void Directory::unlinkBucket(std::size_t bucket)
{
    const std::size_t mask = this->buckets.size() - 1;
    std::size_t hole = bucket;
    for (std::size_t next = (hole + 1) & mask; this->buckets[next] != Empty; next = (next + 1) & mask) {
        const std::size_t home = this->homeBucket(this->entries[this->buckets[next]].key);
        if (((next - home) & mask) >= ((next - hole) & mask)) {
            this->buckets[hole] = this->buckets[next];
            hole = next;
        }
    }
    this->buckets[hole] = Empty;
}

bool Directory::hasValidHint(const Entry &entry) const
{
    const auto current = [](const std::vector<Source> &sources) {
        return [&sources](const Slot &slot) { return slot.epoch != 0 && sources[slot.index].epoch == slot.epoch; };
    };
    return std::any_of(entry.servers.begin(), entry.servers.end(), current(this->serverSources))
        || std::any_of(entry.stores.begin(), entry.stores.end(), current(this->storeSources));
}

void Directory::addServer(Entry &entry, ServerHandle server)
{
    const std::uint16_t epoch = this->serverSources[server.index].epoch;
    Slot *place = nullptr;
    for (Slot &slot : entry.servers) {
        if (slot.index == server.index && slot.epoch != 0) {
            slot.epoch = epoch;
            return;
        }
        if (place == nullptr && (slot.epoch == 0 || this->serverSources[slot.index].epoch != slot.epoch)) {
            place = &slot;
        }
    }
    if (place == nullptr) {
        place = &entry.servers.at(entry.nextServer);
        entry.nextServer = static_cast<std::uint8_t>((entry.nextServer + 1) % entry.servers.size());
    }
    *place = {static_cast<std::uint16_t>(server.index), epoch};
}

void Directory::removeServer(Entry &entry, ServerHandle server)
{
    for (Slot &slot : entry.servers) {
        if (slot.index == server.index) {
            slot.epoch = 0;
        }
    }
}

// Invalidates all hints about a server or store. When the 16-bit epoch wraps, its slots in all entries are cleared, so
// that old hints do not become valid again; the epoch restarts at 1, since 0 marks an empty slot.
void Directory::advanceEpoch(std::vector<Source> &sources, std::uint32_t index, bool servers)
{
    Source &source = sources[index];
    if (source.epoch != 0xFFFF) {
        ++source.epoch;
        return;
    }
    source.epoch = 1;
    for (Entry &entry : this->entries) {
        std::span<Slot> slots = entry.stores;
        if (servers) {
            slots = entry.servers;
        }
        for (Slot &slot : slots) {
            slot.epoch = slot.index == index ? std::uint16_t {0} : slot.epoch;
        }
    }
}

void Directory::updateIncarnation(ServerHandle server, std::uint64_t incarnation)
{
    Source &source = this->serverSources[server.index];
    if (source.hasIncarnation && source.incarnation == incarnation) {
        return;
    }
    if (source.hasIncarnation) {
        ++this->counters.restarts;
        this->advanceEpoch(this->serverSources, server.index, true);
    }
    source.hasIncarnation = true;
    source.incarnation = incarnation;
    source.nextSequence = 0;
}

void Directory::applyEvents(ServerHandle server, std::uint64_t incarnation, std::span<const CacheEvent> events)
{
    if (server.index >= this->serverSources.size()) {
        return;
    }
    this->updateIncarnation(server, incarnation);
    Source &source = this->serverSources[server.index];
    for (const CacheEvent &event : events) {
        if (event.sequence < source.nextSequence) {
            continue;
        }
        if (event.sequence > source.nextSequence && source.nextSequence != 0) {
            ++this->counters.gaps;
            if (this->limits.gapRule == GapRule::Drop) {
                this->advanceEpoch(this->serverSources, server.index, true);
            }
        }
        source.nextSequence = event.sequence + 1;
        if (event.kind == CacheEventKind::Stored) {
            this->addServer(this->findOrAddEntry(event.piece), server);
        } else if (Entry *entry = this->findEntry(event.piece); entry != nullptr) {
            this->removeServer(*entry, server);
        }
    }
}

void Directory::applyRun(ServerHandle server,
                         std::uint64_t incarnation,
                         const DirectoryScope &scope,
                         std::span<const PieceKey> pieces)
{
    if (server.index >= this->serverSources.size()) {
        return;
    }
    this->updateIncarnation(server, incarnation);
    for (const PieceKey &piece : pieces) {
        Entry &entry = this->findOrAddEntry(piece);
        entry.scope = scope;
        this->addServer(entry, server);
    }
}

void Directory::forgetPieces(ServerHandle server, std::span<const PieceKey> pieces)
{
    for (const PieceKey &piece : pieces) {
        if (Entry *entry = this->findEntry(piece); entry != nullptr) {
            this->removeServer(*entry, server);
        }
    }
}

void Directory::forgetServer(ServerHandle server)
{
    if (server.index < this->serverSources.size()) {
        this->advanceEpoch(this->serverSources, server.index, true);
        this->serverSources[server.index].hasIncarnation = false;
    }
}

void Directory::applyListing(StoreHandle store, std::span<const StoreListing> listing)
{
    if (store.index >= this->storeSources.size()) {
        return;
    }
    const std::uint16_t epoch = this->storeSources[store.index].epoch;
    for (const StoreListing &item : listing) {
        Entry &entry = this->findOrAddEntry(item.piece);
        std::size_t place = entry.stores.size();
        for (std::size_t i = 0; i < entry.stores.size(); ++i) {
            const Slot &slot = entry.stores.at(i);
            if (slot.epoch != 0 && slot.index == store.index) {
                place = i;
                break;
            }
            if (slot.epoch == 0 || this->storeSources[slot.index].epoch != slot.epoch) {
                place = std::min(place, i);
            }
        }
        if (place == entry.stores.size()) {
            place = entry.nextStore;
            entry.nextStore = static_cast<std::uint8_t>((entry.nextStore + 1) % entry.stores.size());
        }
        entry.stores.at(place) = {static_cast<std::uint16_t>(store.index), epoch};
        entry.generations.at(place) = item.generation;
        entry.bytes = item.bytes;
        entry.remainingPasses = PassesWithStoreCopy;
    }
}

void Directory::forgetCopy(StoreHandle store, const PieceKey &piece)
{
    if (Entry *entry = this->findEntry(piece); entry != nullptr) {
        for (Slot &slot : entry->stores) {
            slot.epoch = slot.index == store.index ? std::uint16_t {0} : slot.epoch;
        }
    }
}

void Directory::forgetStore(StoreHandle store)
{
    if (store.index < this->storeSources.size()) {
        this->advanceEpoch(this->storeSources, store.index, false);
    }
}

PieceHolders Directory::find(const PieceKey &piece, const DirectoryScope &scope) const
{
    PieceHolders holders;
    const std::uint32_t index = this->findIndex(piece);
    if (index == Empty) {
        return holders;
    }
    const Entry &entry = this->entries[index];
    // The key covers the scope, so that a mismatch means an error of the caller or a hash collision. The piece must not
    // be used then: it may belong to another organisation or weight version.
    const bool learned = entry.scope.organisation.isValid();
    const bool sameOrganisation = !learned || entry.scope.organisation == scope.organisation;
    const bool sameVersion = !learned || entry.scope.version == scope.version;
    if (!sameOrganisation || !sameVersion) {
        ++this->counters.scopeMismatches;
        return holders;
    }
    holders.scope = entry.scope;
    entry.remainingPasses = std::max(entry.remainingPasses, entry.bytes > 0 ? PassesWithStoreCopy : PassesAfterLookup);
    holders.bytes = entry.bytes;
    for (const Slot &slot : entry.servers) {
        if (slot.epoch != 0 && this->serverSources[slot.index].epoch == slot.epoch) {
            holders.servers.at(holders.serverCount++) = ServerHandle {slot.index};
        }
    }
    for (std::size_t i = 0; i < entry.stores.size(); ++i) {
        const Slot &slot = entry.stores.at(i);
        if (slot.epoch != 0 && this->storeSources[slot.index].epoch == slot.epoch) {
            holders.stores.at(holders.storeCount++) = {StoreHandle {slot.index}, entry.generations.at(i)};
        }
    }
    return holders;
}

std::size_t Directory::memoryBytes() const
{
    return this->entries.capacity() * sizeof(Entry) + this->freeEntries.capacity() * sizeof(std::uint32_t)
        + this->buckets.capacity() * sizeof(std::uint32_t)
        + (this->serverSources.capacity() + this->storeSources.capacity()) * sizeof(Source);
}

const DirectoryStats &Directory::stats() const
{
    return this->counters;
}

} // namespace endivespan
