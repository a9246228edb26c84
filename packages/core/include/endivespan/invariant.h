#pragma once

#include <cstdint>
#include <functional>
#include <span>
#include <string_view>

/// Named run-time checks of invariants. They are active in release builds too and are counted in /metrics.
namespace endivespan {

/// The invariants that the program checks.
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

/// @returns the name of @p invariant in logs and metrics; it never changes.
std::string_view invariantName(Invariant invariant);

/// Counts one check. On a violation also counts that and calls the violation handler.
/// @param invariant The invariant that was checked.
/// @param holds Whether it holds.
/// @param detail Describes the case to whoever searches for the cause; used only on a violation.
/// @returns @p holds, so that the caller can refuse the operation.
bool checkInvariant(Invariant invariant, bool holds, std::string_view detail = {});

/// Counts of one invariant since the process started.
struct InvariantCount {
    std::uint64_t checked = 0;
    std::uint64_t violated = 0;
};

/// @returns the counts of @p invariant.
InvariantCount invariantCount(Invariant invariant);

/// @returns the sum of the violations of all invariants.
std::uint64_t invariantViolations();

using ViolationHandler = std::function<void(Invariant, std::string_view detail)>;

/// Sets the function that is called for each violation, for instance to log it. With an empty handler violations are
/// only counted.
void setViolationHandler(ViolationHandler handler);

} // namespace endivespan
