#pragma once

#include <endivespan/clock.h>
#include <endivespan/config.h>
#include <endivespan/handle.h>
#include <endivespan/prefix.h>

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <span>
#include <string_view>
#include <unordered_map>
#include <vector>

/// Cache policy of a store: which pieces are copied from accelerator memory to the store, and which are evicted from a
/// store that is nearly full.
namespace endivespan {

/// Running mean and variance of the logarithm of return gaps, that is the times between two uses of a piece.
struct GapEstimate {
    double meanLogSeconds = 0; ///< Natural logarithm.
    double varianceLog = 0;
    std::uint32_t samples = 0;

    /// Adds the time between two uses of a piece.
    void add(Duration gap);
};

/// Use of one piece so far.
struct PieceUse {
    OrganisationHandle organisation;
    std::uint16_t position = 0; ///< Index in its prompt, from 0; a piece is of no use without all earlier ones.
    std::uint32_t uses = 0;
    std::uint32_t bytes = 0;
    TimePoint lastUse;
    GapEstimate gaps;
};

/// Use of all pieces of one organisation so far.
struct OrganisationUse {
    GapEstimate gaps;
    std::uint64_t piecesSettled = 0; ///< Pieces that were used again, or dropped before they were.
    std::uint64_t piecesReturned = 0; ///< Pieces that were used a second time.
};

/// Rates from which the time that a stored piece saves is estimated.
struct KeepRates {
    double prefillTokensPerSecond = config::StartPrefillTokensPerSecond;
    double linkBytesPerSecond = config::StartImportBytesPerSecond;
    Duration memoryResidence {}; ///< How long an unused piece stays in accelerator memory; estimated from evictions.
};

/// Rates how much a piece is worth keeping in a store. The scale is the policy's own: values are only compared with
/// each other and with 0.
class KeepPolicy
{
public:
    virtual ~KeepPolicy() = default;

    /// @returns the value of one byte of the piece in a store from @p now on; 0 or less if a transfer does not pay.
    [[nodiscard]] virtual double
    value(const PieceUse &piece, const OrganisationUse &organisation, const KeepRates &rates, TimePoint now) const = 0;

    /// @returns the name of the policy for logs and tables.
    [[nodiscard]] virtual std::string_view name() const = 0;
};

/// Values a piece by the compute time that it is expected to save per byte, estimated from the return gaps of the piece
/// and of its organisation.
std::unique_ptr<KeepPolicy> makeSavingPolicy();

/// Values a piece by how recently it was used, so that the least recently used one is evicted first.
std::unique_ptr<KeepPolicy> makeLruPolicy();

/// Orders that a piece be copied from a runner's memory to the store.
struct ExportOrder {
    PieceKey piece;
    ServerHandle server;
};

/// Orders that a copy be deleted from the store.
struct DeleteOrder {
    PieceKey piece;
    std::uint64_t generation = 0; ///< Of the copy, as given to Keeper::onStored().
};

/// One prompt that was run.
struct PromptUse {
    OrganisationHandle organisation;
    ServerHandle server; ///< Ran the prompt and holds all its pieces now.
    std::span<const PieceKey> pieces;
    std::uint32_t pieceBytes = 0; ///< Size of each piece in a store.
};

/// Bounds on the number of entries, fixed for the lifetime of a Keeper.
struct KeepLimits {
    std::size_t pieces = 1 << 16;
    std::size_t organisations = config::MaxOrganisations;
    std::size_t exportQueue = 1024;
    std::size_t deletionBatch = 64;
};

/// Level and counters of one Keeper.
struct KeepStats {
    std::size_t pieces = 0; ///< Recorded now, stored or not.
    std::size_t stored = 0;
    std::size_t exportsQueued = 0;
    std::uint64_t exportsOrdered = 0; ///< Since the keeper was created, as is the next.
    std::uint64_t deletionsOrdered = 0;
};

/// Decides which pieces one store receives and which it evicts. A lease lets one host at a time do so; two at once only
/// cause needless transfers and deletions.
class Keeper
{
public:
    Keeper(std::unique_ptr<KeepPolicy> policy, const KeepLimits &limits = {});

    /// Records the use of a prompt's pieces on any server, and queues those not stored as candidates for export.
    void onPrompt(const PromptUse &use, TimePoint now);

    /// Records that the store has a complete copy of a piece, as reported by an export or by the store's listing.
    void onStored(const PieceKey &piece, std::uint64_t generation, std::uint32_t bytes, TimePoint now);

    /// Records that the store no longer has a piece.
    void onDeleted(const PieceKey &piece);

    /// Records that a runner has evicted a piece, so that it cannot be exported from there.
    void onEvicted(ServerHandle server, const PieceKey &piece, TimePoint now);

    /// Sets the prefill and link rates. The memory residence in @p rates is ignored: it is estimated by onEvicted().
    void setRates(const KeepRates &rates);

    /// Takes the most valuable export from the queue. Drops candidates that are not worth a copy, have no runner that
    /// holds them or do not fit.
    /// @param linkWait Expected wait on the store's link. Beyond config::ExportLinkWaitBound no export starts, since
    ///     imports that callers wait for go first.
    /// @param freeBytes Bytes that the store has free.
    /// @returns the export to start, or nothing.
    std::optional<ExportOrder> nextExport(Duration linkWait, std::uint64_t freeBytes, TimePoint now);

    /// @returns the least valuable copies, as many as bring the store down to the low watermark but no more than
    ///     KeepLimits::deletionBatch; none while the store is below the high watermark.
    std::vector<DeleteOrder> deletions(std::uint64_t usedBytes, std::uint64_t capacityBytes, TimePoint now);

    [[nodiscard]] KeepStats stats() const;

private:
    struct Piece {
        PieceUse use;
        std::uint64_t generation = 0;
        ServerHandle holder; ///< The runner of its last use; invalid once it has evicted the piece.
        bool stored = false;
        bool queued = false; ///< For export.
    };

    Piece *obtain(const PieceKey &key);
    void recordUse(Piece &piece, TimePoint now);
    void countDropped(const PieceUse &use);
    void queueExport(const PieceKey &key, Piece &piece);
    [[nodiscard]] double valueOf(const Piece &piece, TimePoint now) const;
    [[nodiscard]] std::size_t bestExport(TimePoint now) const;
    void forgetUnstored(TimePoint now);

    std::unique_ptr<KeepPolicy> policy;
    KeepLimits limits;
    KeepRates rates;
    KeepStats counters;
    std::unordered_map<PieceKey, Piece> pieces;
    std::vector<OrganisationUse> organisations;
    std::vector<PieceKey> exportQueue;
    double deletionFloor = 0; ///< Value of the best copy in the latest deletions; only better pieces are exported.
};

} // namespace endivespan
