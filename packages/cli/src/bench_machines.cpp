#include "bench_machines.h"

namespace endivespan::cli {

PieceMemory::PieceMemory(std::size_t capacity)
    : capacity(capacity)
{
}

std::size_t PieceMemory::prefixHeld(std::span<const PieceKey> chain) const
{
    std::size_t count = 0;
    while (count < chain.size() && this->holds(chain[count])) {
        ++count;
    }
    return count;
}

bool PieceMemory::holds(const PieceKey &piece) const
{
    return this->slots.contains(piece);
}

bool PieceMemory::store(const PieceKey &piece, TimePoint now, std::vector<CacheEvent> &events)
{
    if (this->holds(piece)) {
        return true;
    }
    if (this->slots.size() >= this->capacity) {
        auto oldest = this->slots.end();
        for (auto slot = this->slots.begin(); slot != this->slots.end(); ++slot) {
            const bool older = oldest == this->slots.end() || slot->second.lastUse < oldest->second.lastUse;
            oldest = slot->second.pins == 0 && older ? slot : oldest;
        }
        if (oldest == this->slots.end()) {
            return false;
        }
        events.push_back({this->nextSequence++, CacheEventKind::Evicted, oldest->first});
        this->slots.erase(oldest);
    }
    this->slots[piece] = {now, 0};
    events.push_back({this->nextSequence++, CacheEventKind::Stored, piece});
    return true;
}

void PieceMemory::pin(const PieceKey &piece, TimePoint now)
{
    Slot &slot = this->slots.at(piece);
    slot.lastUse = now;
    ++slot.pins;
}

void PieceMemory::unpin(const PieceKey &piece)
{
    --this->slots.at(piece).pins;
}

} // namespace endivespan::cli
