#pragma once

#include <endivespan/route.h>

#include <array>
#include <cstddef>
#include <cstdint>
#include <span>

/// Functions shared by the routing policies.
namespace endivespan {

/// Where the pieces of one prompt are held according to the directory, looked up once for all candidates.
class PromptHolders
{
public:
    /// A runner that holds the first pieces of the prompt in memory.
    struct Hit {
        ServerHandle server;
        std::uint16_t pieces = 0;
    };

    /// The copy of one piece that can be imported the soonest.
    struct Copy {
        StoreCopy copy; ///< Has no store when no usable store holds the piece.
        std::uint32_t bytes = 0; ///< Size of the piece; an estimate when the directory has none.
        Duration linkWait {}; ///< Expected wait for the link of the store.
    };

    PromptHolders(const RouteRequest &request, const RouteView &view, TimePoint now);

    /// @returns the number of leading pieces of the prompt that @p server holds without a gap.
    [[nodiscard]] std::uint16_t hitPieces(ServerHandle server) const;

    /// @returns the copies of the leading pieces that the directory has an entry for, in order of the prompt.
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

/// How many of the pieces that stores hold are imported.
enum class ImportRule {
    None,
    Fastest, ///< The number that gives the least expected time to first token.
    All,
};

/// One prompt with the data needed to evaluate candidates for it.
struct CandidateContext {
    const RouteRequest &request;
    const RouteView &view;
    const PromptHolders &holders;
    TimePoint now;
    bool linkQueue = true; ///< Include the queue of the link in the time of an import.
};

/// @returns true when @p server may run this request.
bool isEligible(const RouteRequest &request, const ServerLoad &load, ServerHandle server);

/// Plans how to run the prompt on @p server and estimates the times.
/// @returns the candidate with the plan that @p rule asks for.
RouteCandidate evaluateCandidate(const CandidateContext &context, ServerHandle server, ImportRule rule);

/// Inserts a candidate into the list of a decision, which holds the best ones in order of expected time.
void insertCandidate(RouteDecision &decision, const RouteCandidate &candidate);

/// Chooses candidate @p index and fills in the sources of its pieces.
void selectCandidate(RouteDecision &decision, std::size_t index, const PromptHolders &holders);

/// @returns the decision to run the prompt on @p server, or one without a runner when the handle is invalid.
RouteDecision decideFor(const CandidateContext &context, ServerHandle server, ImportRule rule);

/// @returns the eligible runner with the shortest expected wait, or an invalid handle when there is none. Of a large
///     pool only a random sample is compared.
ServerHandle leastLoaded(const RouteRequest &request, const RouteView &view, TimePoint now);

/// Returns the next number of a SplitMix64 generator and advances @p state.
std::uint64_t nextRandom(std::uint64_t &state);

} // namespace endivespan
