#include "piece_cache.h"

#include <utility>

namespace endivespan::standins {

namespace {

constexpr std::size_t EventsKept = 8192;

} // namespace

std::size_t PieceCache::prefixHeld(const std::vector<PieceKey> &chain) const
{
    std::size_t held = 0;
    while (held < chain.size() && this->holds(chain[held])) {
        ++held;
    }
    return held;
}

void PieceCache::store(const PieceKey &piece, const std::string &version, TimePoint now)
{
    if (const auto found = this->entries.find(piece); found != this->entries.end()) {
        this->byUse.splice(this->byUse.end(), this->byUse, found->second.place);
        return;
    }
    this->byUse.push_back(piece);
    this->entries[piece] = {std::prev(this->byUse.end()), version, 0};
    this->publish(true, piece, now);
    this->evictOverLimit(now);
}

void PieceCache::pin(const PieceKey &piece)
{
    if (const auto found = this->entries.find(piece); found != this->entries.end()) {
        ++found->second.pins;
        this->byUse.splice(this->byUse.end(), this->byUse, found->second.place);
    }
}

void PieceCache::unpin(const PieceKey &piece, TimePoint now)
{
    if (const auto found = this->entries.find(piece); found != this->entries.end() && found->second.pins > 0) {
        --found->second.pins;
    }
    this->evictOverLimit(now);
}

void PieceCache::evictVersion(const std::string &version, TimePoint now)
{
    for (auto next = this->entries.begin(); next != this->entries.end();) {
        if (next->second.version != version || next->second.pins > 0) {
            ++next;
            continue;
        }
        this->publish(false, next->first, now);
        this->byUse.erase(next->second.place);
        next = this->entries.erase(next);
    }
}

void PieceCache::clear()
{
    this->entries.clear();
    this->byUse.clear();
    this->published.clear();
    this->lastSeq = 0;
}

std::vector<CacheEvent> PieceCache::events(std::uint64_t after, TimePoint now, Duration delay) const
{
    std::vector<CacheEvent> visible;
    for (const CacheEvent &event : this->published) {
        if (event.seq > after && event.at + delay <= now) {
            visible.push_back(event);
        }
    }
    return visible;
}

void PieceCache::evictOverLimit(TimePoint now)
{
    for (auto next = this->byUse.begin(); next != this->byUse.end() && this->entries.size() > this->limit;) {
        const auto entry = this->entries.find(*next);
        if (entry->second.pins > 0) {
            ++next;
            continue;
        }
        this->publish(false, *next, now);
        this->entries.erase(entry);
        next = this->byUse.erase(next);
    }
}

void PieceCache::publish(bool stored, const PieceKey &piece, TimePoint now)
{
    ++this->lastSeq;
    // Spreads the gaps over the sequence in the same way in each run.
    constexpr std::uint64_t Spread = 37;
    if (this->lastSeq * Spread % 100 < this->eventGapPercent) {
        return;
    }
    this->published.push_back({this->lastSeq, now, stored, piece});
    if (this->published.size() > EventsKept) {
        this->published.pop_front();
    }
}

} // namespace endivespan::standins
