#pragma once

#include <endivespan/route.h>

#include <array>
#include <cstddef>
#include <cstdint>
#include <span>

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

    /// The best copy of one piece.
    struct Copy {
        StoreCopy copy; ///< Without a store when no usable one has the piece.
        std::uint32_t bytes = 0;
        Duration linkWait {};
    };

    PromptHolders(const RouteRequest &request, const RouteView &view, TimePoint now);

    /// @returns pieces that @p server holds from the start of the prompt on.
    [[nodiscard]] std::uint16_t hitPieces(ServerHandle server) const;

    /// @returns the copies of the pieces that the directory knows, in order of the prompt.
    [[nodiscard]] std::span<const Copy> copies() const;

    [[nodiscard]] std::span<const Hit> hits() const;

private:
    static constexpr std::size_t MaxHits = 16;

    void addServers(const PieceHolders &holders, std::uint16_t index);
    void addCopy(const PieceHolders &holders, const RouteView &view, TimePoint now);

    std::array<Hit, MaxHits> hitList;
    std::array<Copy, config::MaxPieces> copyList;
    std::uint8_t hitCount = 0;
    std::uint16_t copyCount = 0;
};

/// How many of the pieces that stores hold a candidate imports.
enum class ImportRule {
    None,
    Fastest, ///< As many as make the first token come soonest.
    All,
};

/// One prompt with all that is needed to weigh candidates for it.
struct Weighing {
    const RouteRequest &request;
    const RouteView &view;
    const PromptHolders &holders;
    TimePoint now;
    bool linkQueue = true; ///< Count the queue of the link.
};

/// @returns true when @p server may be given this request.
bool isEligible(const RouteRequest &request, const ServerLoad &load, ServerHandle server);

/// @returns the way to run the prompt on @p server.
RouteCandidate weigh(const Weighing &weighing, ServerHandle server, ImportRule rule);

/// Keeps the best candidates of a decision in order.
void offerCandidate(Decision &decision, const RouteCandidate &candidate);

/// Makes candidate @p index the choice, with the sources of its pieces.
void choose(Decision &decision, std::size_t index, const PromptHolders &holders);

/// @returns the decision to run the prompt on @p server; an empty one when the handle is invalid.
Decision decideFor(const Weighing &weighing, ServerHandle server, ImportRule rule);

/// @returns the eligible runner with the shortest expected wait, weighing a sample of large pools; invalid if none.
ServerHandle leastLoaded(const RouteRequest &request, const RouteView &view, TimePoint now);

/// Draws well-mixed bits from a counter; advances @p state.
std::uint64_t nextRandom(std::uint64_t &state);

} // namespace endivespan
