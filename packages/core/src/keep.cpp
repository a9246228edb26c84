#include <endivespan/keep.h>

#include <algorithm>
#include <cmath>

namespace endivespan {

namespace {

constexpr double GapSmoothing = 0.05; // Weight of a new gap in the mean, after the first 20.
constexpr int ResidenceSmoothing = 50; // Evictions over which the memory residence is averaged.

} // namespace

void GapEstimate::add(Duration gap)
{
    const double sample = std::log(std::max(std::chrono::duration<double>(gap).count(), 1e-3));
    ++this->samples;
    const double weight = std::max(1.0 / this->samples, GapSmoothing);
    const double difference = sample - this->meanLogSeconds;
    this->meanLogSeconds += weight * difference;
    this->varianceLog = (1.0 - weight) * (this->varianceLog + weight * difference * difference);
}

Keeper::Keeper(std::unique_ptr<KeepPolicy> policy, const KeepLimits &limits)
    : policy(std::move(policy))
    , limits(limits)
    , organisations(limits.organisations)
{
    this->pieces.reserve(limits.pieces);
    this->exportQueue.reserve(limits.exportQueue);
}

Keeper::Piece *Keeper::obtain(const PieceKey &key)
{
    if (const auto found = this->pieces.find(key); found != this->pieces.end()) {
        return &found->second;
    }
    if (this->pieces.size() >= this->limits.pieces) {
        return nullptr;
    }
    return &this->pieces[key];
}

void Keeper::recordUse(Piece &piece, TimePoint now)
{
    PieceUse &use = piece.use;
    OrganisationUse &organisation = this->organisations.at(use.organisation.index);
    ++use.uses;
    if (use.uses > 1) {
        organisation.piecesSettled += use.uses == 2 ? 1 : 0;
        organisation.piecesReturned += use.uses == 2 ? 1 : 0;
        use.gaps.add(now - use.lastUse);
        organisation.gaps.add(now - use.lastUse);
    }
    use.lastUse = now;
}

// Counts a piece that is dropped after a single use as not used again. Pieces still on record count as neither.
void Keeper::countDropped(const PieceUse &use)
{
    if (use.uses == 1) {
        ++this->organisations.at(use.organisation.index).piecesSettled;
    }
}

void Keeper::onPrompt(const PromptUse &use, TimePoint now)
{
    if (this->pieces.size() + use.pieces.size() > this->limits.pieces) {
        this->forgetUnstored(now);
    }
    std::uint16_t position = 0;
    for (const PieceKey &key : use.pieces) {
        Piece *piece = this->obtain(key);
        if (piece == nullptr) {
            return;
        }
        piece->use.organisation = use.organisation;
        piece->use.position = position++;
        piece->use.bytes = use.pieceBytes;
        piece->holder = use.server;
        this->recordUse(*piece, now);
        this->queueExport(key, *piece);
    }
}

void Keeper::queueExport(const PieceKey &key, Piece &piece)
{
    if (!piece.stored && !piece.queued && this->exportQueue.size() < this->limits.exportQueue) {
        piece.queued = true;
        this->exportQueue.push_back(key);
    }
}

// Drops the least recently used half of the pieces that are neither stored nor queued for export.
void Keeper::forgetUnstored(TimePoint)
{
    std::vector<TimePoint> uses;
    for (const auto &[key, piece] : this->pieces) {
        if (!piece.stored && !piece.queued) {
            uses.push_back(piece.use.lastUse);
        }
    }
    if (uses.empty()) {
        return;
    }
    const auto middle = uses.begin() + static_cast<std::ptrdiff_t>(uses.size() / 2);
    std::nth_element(uses.begin(), middle, uses.end());
    std::erase_if(this->pieces, [this, bound = *middle](const auto &item) {
        const Piece &piece = item.second;
        const bool old = !piece.stored && !piece.queued && piece.use.lastUse <= bound;
        if (old) {
            this->countDropped(piece.use);
        }
        return old;
    });
}

void Keeper::onStored(const PieceKey &key, std::uint64_t generation, std::uint32_t bytes, TimePoint now)
{
    Piece *piece = this->obtain(key);
    if (piece == nullptr) {
        return;
    }
    this->counters.stored += piece->stored ? 0 : 1;
    piece->stored = true;
    piece->generation = generation;
    piece->use.bytes = bytes;
    if (piece->use.uses == 0) {
        piece->use.lastUse = now;
    }
}

void Keeper::onDeleted(const PieceKey &key)
{
    if (const auto found = this->pieces.find(key); found != this->pieces.end() && found->second.stored) {
        found->second.stored = false;
        --this->counters.stored;
        this->countDropped(found->second.use);
    }
}

void Keeper::onEvicted(ServerHandle server, const PieceKey &key, TimePoint now)
{
    if (const auto found = this->pieces.find(key); found != this->pieces.end() && found->second.holder == server) {
        Piece &piece = found->second;
        piece.holder = {};
        if (piece.use.uses > 0) {
            const Duration age = now - piece.use.lastUse;
            this->rates.memoryResidence += (age - this->rates.memoryResidence) / ResidenceSmoothing;
        }
    }
}

void Keeper::setRates(const KeepRates &rates)
{
    this->rates.prefillTokensPerSecond = rates.prefillTokensPerSecond;
    this->rates.linkBytesPerSecond = rates.linkBytesPerSecond;
}

double Keeper::valueOf(const Piece &piece, TimePoint now) const
{
    static const OrganisationUse Unknown;
    const OrganisationHandle organisation = piece.use.organisation;
    const OrganisationUse &use = organisation.isValid() ? this->organisations[organisation.index] : Unknown;
    return this->policy->value(piece.use, use, this->rates, now);
}

std::size_t Keeper::bestExport(TimePoint now) const
{
    std::size_t best = 0;
    double most = 0;
    for (std::size_t i = 0; i < this->exportQueue.size(); ++i) {
        if (const double value = this->valueOf(this->pieces.at(this->exportQueue[i]), now); i == 0 || value > most) {
            best = i;
            most = value;
        }
    }
    return best;
}

std::optional<ExportOrder> Keeper::nextExport(Duration linkWait, std::uint64_t freeBytes, TimePoint now)
{
    if (linkWait > config::ExportLinkWaitBound) {
        return std::nullopt;
    }
    while (!this->exportQueue.empty()) {
        const std::size_t best = this->bestExport(now);
        const PieceKey key = this->exportQueue[best];
        this->exportQueue[best] = this->exportQueue.back();
        this->exportQueue.pop_back();
        Piece &piece = this->pieces.at(key);
        piece.queued = false;
        const double value = this->valueOf(piece, now);
        const bool worth = value > 0 && value > this->deletionFloor;
        if (!piece.stored && piece.holder.isValid() && worth && piece.use.bytes <= freeBytes) {
            ++this->counters.exportsOrdered;
            return ExportOrder {key, piece.holder};
        }
    }
    return std::nullopt;
}

std::vector<DeleteOrder> Keeper::deletions(std::uint64_t usedBytes, std::uint64_t capacityBytes, TimePoint now)
{
    const auto capacity = static_cast<double>(capacityBytes);
    if (static_cast<double>(usedBytes) < config::KeepHighWatermark * capacity) {
        const bool roomy = static_cast<double>(usedBytes) < config::KeepRoomyShare * capacity;
        this->deletionFloor = roomy ? 0 : this->deletionFloor;
        return {};
    }
    struct Item {
        double value;
        const PieceKey *key;
        const Piece *piece;
    };
    std::vector<Item> items;
    items.reserve(this->counters.stored);
    for (const auto &[key, piece] : this->pieces) {
        if (piece.stored) {
            items.push_back({this->valueOf(piece, now), &key, &piece});
        }
    }
    const std::size_t batch = std::min(items.size(), this->limits.deletionBatch);
    const auto end = items.begin() + static_cast<std::ptrdiff_t>(batch);
    std::partial_sort(items.begin(), end, items.end(), [](const Item &left, const Item &right) {
        return left.value != right.value ? left.value < right.value : *left.key < *right.key;
    });
    std::vector<DeleteOrder> orders;
    double excess = static_cast<double>(usedBytes) - config::KeepLowWatermark * capacity;
    for (auto item = items.begin(); item != end && excess > 0; ++item) {
        orders.push_back({*item->key, item->piece->generation});
        excess -= item->piece->use.bytes;
        this->deletionFloor = item->value;
    }
    this->counters.deletionsOrdered += orders.size();
    return orders;
}

KeepStats Keeper::stats() const
{
    KeepStats stats = this->counters;
    stats.pieces = this->pieces.size();
    stats.exportsQueued = this->exportQueue.size();
    return stats;
}

} // namespace endivespan
