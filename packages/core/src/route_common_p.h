#pragma once

#include <endivespan/route.h>

#include <array>
#include <cstddef>
#include <cstdint>

/// Steps shared by the routing policies.
namespace endivespan {

/// What the directory says of one prompt, prepared once for all candidates.
class PromptHolders
{
public:
    /// A runner that holds the first pieces of the prompt.
    struct Hit {
        ServerHandle server;
        std::uint16_t pieces = 0;
    };

    /// The pieces of the prompt that one store holds, without a gap.
    struct Copy {
        StoreHandle store;
        std::uint16_t first = 0;
        std::uint16_t end = 0;
    };

    PromptHolders(const RouteRequest &request, const Directory &directory);

    /// @returns pieces that @p server holds from the start of the prompt on.
    [[nodiscard]] std::uint16_t hitPieces(ServerHandle server) const;

    /// @returns pieces of @p store from @p first on, without a gap.
    [[nodiscard]] std::uint16_t copiesFrom(StoreHandle store, std::uint16_t first) const;

    /// @returns the generation of piece @p index in @p store.
    [[nodiscard]] std::uint64_t generation(StoreHandle store, std::uint16_t index) const;

    /// @returns the size of piece @p index in a store.
    [[nodiscard]] std::uint64_t bytes(std::uint16_t index) const;

    [[nodiscard]] std::span<const Hit> hits() const;
    [[nodiscard]] std::span<const StoreHandle> stores() const;

private:
    static constexpr std::size_t MaxHits = 16;
    static constexpr std::size_t MaxStores = 8;

    void addServers(const PieceHolders &holders, std::uint16_t index);
    void addStores(const PieceHolders &holders);

    std::array<Hit, MaxHits> hitList;
    std::array<StoreHandle, MaxStores> storeList;
    std::array<std::array<StoreCopy, config::DirectoryStoresPerPiece>, config::MaxPieces> copies;
    std::array<std::uint32_t, config::MaxPieces> sizes;
    std::uint8_t hitCount = 0;
    std::uint8_t storeCountUsed = 0;
    std::uint16_t known = 0;
};

/// @returns true when @p server may be given this request.
bool isEligible(const RouteRequest &request, const ServerLoad &load, ServerHandle server);

/// Fills times and plan of the way that takes @p hitPieces from memory and imports @p importPieces from @p store.
RouteCandidate weigh(const RouteRequest &request,
                     const RouteView &view,
                     const PromptHolders &holders,
                     ServerHandle server,
                     Duration wait,
                     StoreHandle store,
                     std::uint16_t importPieces,
                     bool linkQueue,
                     TimePoint now);

/// Keeps the best candidates of a decision in order.
void offerCandidate(Decision &decision, const RouteCandidate &candidate);

/// Makes candidate @p index the choice, with the generations of what it imports.
void choose(Decision &decision, std::size_t index, const PromptHolders &holders);

/// @returns the eligible runner with the shortest expected wait, weighing a sample of large pools; invalid if none.
ServerHandle leastLoaded(const RouteRequest &request, const RouteView &view, TimePoint now);

/// Draws well-mixed bits from a counter; advances @p state.
std::uint64_t nextRandom(std::uint64_t &state);

} // namespace endivespan
