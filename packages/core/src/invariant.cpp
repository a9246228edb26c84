#include <endivespan/invariant.h>

#include <array>
#include <cstddef>
#include <utility>

namespace endivespan {

namespace {

constexpr std::size_t InvariantTotal = static_cast<std::size_t>(Invariant::Count);

constexpr std::array<std::string_view, InvariantTotal> Names {
    "sealed_piece_only",
    "piece_name_never_reused",
    "organisation_scope",
    "weight_version_scope",
    "cold_server_within_credit",
    "no_work_for_taken_out_domain",
    "no_work_for_leaving_server",
    "answer_belongs_to_request",
    "answer_whole",
    "not_run_is_true",
    "at_most_one_run",
    "one_winning_claim",
    "stop_cuts_nothing",
    "revision_never_reverts",
    "same_offset_same_digest",
    "fence_never_falls",
    "lease_held_when_used",
    "suspect_runs_alone",
    "queue_within_bound",
};

std::array<InvariantCount, InvariantTotal> counts;
ViolationHandler violationHandler;

} // namespace

std::string_view invariantName(Invariant invariant)
{
    return Names.at(static_cast<std::size_t>(invariant));
}

bool checkInvariant(Invariant invariant, bool holds, std::string_view detail)
{
    auto &count = counts.at(static_cast<std::size_t>(invariant));
    ++count.checked;
    if (!holds) {
        ++count.violated;
        if (violationHandler) {
            violationHandler(invariant, detail);
        }
    }
    return holds;
}

InvariantCount invariantCount(Invariant invariant)
{
    return counts.at(static_cast<std::size_t>(invariant));
}

std::uint64_t invariantViolations()
{
    std::uint64_t total = 0;
    for (const auto &count : counts) {
        total += count.violated;
    }
    return total;
}

void setViolationHandler(ViolationHandler handler)
{
    violationHandler = std::move(handler);
}

} // namespace endivespan
