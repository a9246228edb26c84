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

/// Keeping: which pieces go from accelerator memory to a store, and which leave a store that fills up.
namespace endivespan {

/// Return gaps of one organisation or piece, on a logarithmic scale.
struct GapEstimate {
    double meanLogSeconds = 0;
    double varianceLog = 0;
    std::uint32_t samples = 0;

    /// Takes one gap between two uses.
    void add(Duration gap);
};

/// What is known of one piece.
struct PieceUse {
    OrganisationHandle organisation;
    std::uint16_t position = 0; ///< Place in its prompt, from 0; later pieces are of no use without earlier ones.
    std::uint32_t uses = 0;
    std::uint32_t bytes = 0;
    TimePoint lastUse;
    GapEstimate gaps;
};

/// What is known of one organisation.
struct OrganisationUse {
    GapEstimate gaps;
    std::uint64_t piecesSettled = 0; ///< Pieces that returned or were given up.
    std::uint64_t piecesReturned = 0; ///< Pieces that were used a second time.
};

/// Rates that turn a piece into time saved.
struct KeepRates {
    double prefillTokensPerSecond = config::StartPrefillTokensPerSecond;
    double linkBytesPerSecond = config::StartImportBytesPerSecond;
    Duration memoryResidence {}; ///< How long an unused piece stays in accelerator memory; learned from evictions.
};

/// How much a piece is worth keeping. The scale is the policy's own; only the order counts.
class KeepPolicy
{
public:
    virtual ~KeepPolicy() = default;

    /// @returns the worth of one byte of the piece in a store, from @p now on; 0 or less is not worth a transfer.
    [[nodiscard]] virtual double
    value(const PieceUse &piece, const OrganisationUse &organisation, const KeepRates &rates, TimePoint now) const = 0;

    /// @returns the name of the policy for logs and tables.
    [[nodiscard]] virtual std::string_view name() const = 0;
};

/// Expected saving per byte, from the return gaps of the piece and of its organisation.
std::unique_ptr<KeepPolicy> makeSavingPolicy();

/// Least recently used goes first.
std::unique_ptr<KeepPolicy> makeLruPolicy();

/// A piece to be copied from a runner's memory to a store.
struct ExportOrder {
    PieceKey piece;
    ServerHandle server;
};

/// A copy to be deleted from a store.
struct DeleteOrder {
    PieceKey piece;
    std::uint64_t generation = 0;
};

/// One prompt that ran: what is learned from it.
struct PromptUse {
    OrganisationHandle organisation;
    ServerHandle server; ///< Holds all the pieces now.
    std::span<const PieceKey> pieces;
    std::uint32_t pieceBytes = 0;
};

/// Sizes of the pools, fixed for the life of a keeper.
struct KeepLimits {
    std::size_t pieces = 1 << 16;
    std::size_t organisations = config::MaxOrganisations;
    std::size_t exportQueue = 1024;
    std::size_t deletionBatch = 64;
};

/// Counts since the keeper was made.
struct KeepStats {
    std::size_t pieces = 0;
    std::size_t stored = 0;
    std::size_t exportsQueued = 0;
    std::uint64_t exportsOrdered = 0;
    std::uint64_t deletionsOrdered = 0;
};

/// Decides for one store. One host runs it at a time, by lease; two at once cost only work.
class Keeper
{
public:
    Keeper(std::unique_ptr<KeepPolicy> policy, const KeepLimits &limits = {});

    /// Learns from a prompt that ran anywhere, and queues its pieces for export where they are worth it.
    void onPrompt(const PromptUse &use, TimePoint now);

    /// A piece is sealed in the store, as told by an export or a listing.
    void onStored(const PieceKey &piece, std::uint64_t generation, std::uint32_t bytes, TimePoint now);

    /// A piece is no longer in the store.
    void onDeleted(const PieceKey &piece);

    /// A runner no longer holds a piece, so that it cannot be exported from there.
    void onEvicted(ServerHandle server, const PieceKey &piece, TimePoint now);

    /// Sets the rates of prefill and link that values are worked out with.
    void setRates(const KeepRates &rates);

    /// @param linkWait Expected wait on the store's link; exports start only behind imports that callers wait for.
    /// @param freeBytes Bytes that the store has free.
    /// @returns the most valuable export, if one may start.
    std::optional<ExportOrder> nextExport(Duration linkWait, std::uint64_t freeBytes, TimePoint now);

    /// @returns the least valuable copies, once the store is filled past the high watermark.
    std::vector<DeleteOrder> deletions(std::uint64_t usedBytes, std::uint64_t capacityBytes, TimePoint now);

    [[nodiscard]] KeepStats stats() const;

private:
    struct Piece {
        PieceUse use;
        std::uint64_t generation = 0;
        ServerHandle holder; ///< A runner that held it when it was last used.
        bool stored = false;
        bool queued = false;
    };

    Piece *obtain(const PieceKey &key);
    void learn(Piece &piece, TimePoint now);
    void giveUp(const PieceUse &use);
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
    double deletionFloor = 0; ///< Value of the best copy deleted last; worse pieces need not be exported.
};

} // namespace endivespan
