#pragma once

#include <cstdint>
#include <functional>
#include <span>
#include <string_view>

/// Named checks of what must always hold. They stay on in release builds and are counted in /metrics.
namespace endivespan {

/// One entry for each promise that is asserted inside the program.
enum class Invariant {
    SealedPieceOnly,
    PieceNameNeverReused,
    OrganisationScope,
    WeightVersionScope,
    ColdServerWithinCredit,
    NoWorkForTakenOutDomain,
    NoWorkForLeavingServer,
    AnswerBelongsToRequest,
    AnswerWhole,
    NotRunIsTrue,
    AtMostOneRun,
    OneWinningClaim,
    StopCutsNothing,
    RevisionNeverReverts,
    SameOffsetSameDigest,
    FenceNeverFalls,
    LeaseHeldWhenUsed,
    SuspectRunsAlone,
    QueueWithinBound,
    Count,
};

/// @returns the stable name of @p invariant as written in logs and metrics.
std::string_view invariantName(Invariant invariant);

/// Records one check. A violation is counted and handed to the violation handler.
/// @param invariant The check.
/// @param holds Whether it held.
/// @param detail What a person needs to find the cause; used only on a violation.
/// @returns @p holds, so that the caller can refuse the step.
bool checkInvariant(Invariant invariant, bool holds, std::string_view detail = {});

/// Counts of one invariant since the process started.
struct InvariantCount {
    std::uint64_t checked = 0;
    std::uint64_t violated = 0;
};

/// @returns the counts of @p invariant.
InvariantCount invariantCount(Invariant invariant);

/// @returns the violations of all invariants together.
std::uint64_t invariantViolations();

using ViolationHandler = std::function<void(Invariant, std::string_view detail)>;

/// Sets what is told of each violation; the shell logs it. An empty handler tells nobody.
void setViolationHandler(ViolationHandler handler);

} // namespace endivespan
