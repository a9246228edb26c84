#include <endivespan/keep.h>

#include <algorithm>
#include <cmath>

namespace endivespan {

namespace {

constexpr double MinSigmaLog = 0.5; // Lower bound: a few samples suggest more regular gaps than there are.
constexpr double PieceWeightStart = 2.0; // Gaps of the piece that weigh as much as the history of its organisation.
constexpr double ExportCostWeight = 0.5; // Relative to imports: less, since exports use the link when no import waits.
constexpr double NotWorthACopy = 1.0; // Subtracted from values that do not pay; far above any value.
constexpr double PositionDiscount = 0.01; // For each earlier piece of the prompt, which this one is of no use without.
constexpr double StartReturnWeight = 20.0; // Pieces of an organisation that weigh as much as config::StartReturnShare.

double seconds(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

/// Log-normal distribution of return gaps.
struct LogNormal {
    double mean = 0;
    double sigma = 1;

    /// @returns the probability of a gap of at most @p gapSeconds.
    [[nodiscard]] double cumulative(double gapSeconds) const
    {
        const double z = (std::log(std::max(gapSeconds, 1e-3)) - this->mean) / this->sigma;
        return 0.5 * std::erfc(-z / std::sqrt(2.0));
    }
};

// Combines the gaps of the piece and of its organisation; those of the piece weigh more the more there are.
LogNormal gapsOf(const PieceUse &piece, const OrganisationUse &organisation)
{
    double mean = std::log(seconds(config::StartReturnGap));
    double variance = 4.0;
    if (organisation.gaps.samples > 0) {
        mean = organisation.gaps.meanLogSeconds;
        variance = organisation.gaps.varianceLog;
    }
    const double weight = piece.gaps.samples / (piece.gaps.samples + PieceWeightStart);
    mean += weight * (piece.gaps.meanLogSeconds - mean);
    variance += weight * (piece.gaps.varianceLog - variance);
    return {mean, std::max(std::sqrt(variance), MinSigmaLog)};
}

// Probability that the piece is used again at all.
double returnShare(const PieceUse &piece, const OrganisationUse &organisation)
{
    if (piece.uses > 1) {
        return 1.0 - 0.5 / piece.uses;
    }
    const double settled = static_cast<double>(organisation.piecesSettled) + StartReturnWeight;
    const double returned
        = static_cast<double>(organisation.piecesReturned) + StartReturnWeight * config::StartReturnShare;
    return std::min(returned / settled, 1.0);
}

class SavingPolicy : public KeepPolicy
{
public:
    // Probability of another use within config::KeepHorizon, given that there was none since the last one, times the
    // compute time saved, per byte and expected second of storage.
    [[nodiscard]] double value(const PieceUse &piece,
                               const OrganisationUse &organisation,
                               const KeepRates &rates,
                               TimePoint now) const override
    {
        const double bytes = std::max<std::uint32_t>(piece.bytes, 1);
        const double recompute = config::PieceTokens / rates.prefillTokensPerSecond;
        const double saving = recompute - bytes / rates.linkBytesPerSecond;
        const LogNormal gaps = gapsOf(piece, organisation);
        const double age = std::max(seconds(now - piece.lastUse), 0.0);
        const double share = returnShare(piece, organisation);
        const double gone = gaps.cumulative(age);
        // A use before the piece is evicted from accelerator memory does not need the copy.
        const double useful = gaps.cumulative(std::max(age, seconds(rates.memoryResidence)));
        const double within = std::max(gaps.cumulative(age + seconds(config::KeepHorizon)) - useful, 0.0);
        const double alive = share * (1.0 - gone) + (1.0 - share);
        const double chance = alive > 0 ? share * within / alive : 0;
        // The copy takes up space until its next use, so that an early use costs less.
        const double remaining = std::max(std::exp(gaps.mean) - age, std::exp(gaps.mean) * gaps.sigma * 0.5);
        const double worth = chance * saving / bytes / remaining / (1.0 + PositionDiscount * piece.position);
        // The export takes time on the link, whether the copy is used or not. Values that do not pay for it become
        // negative but keep their order.
        const bool pays = chance * saving >= ExportCostWeight * bytes / rates.linkBytesPerSecond;
        return pays ? worth : worth - NotWorthACopy;
    }

    [[nodiscard]] std::string_view name() const override
    {
        return "saving";
    }
};

} // namespace

std::unique_ptr<KeepPolicy> makeSavingPolicy()
{
    return std::make_unique<SavingPolicy>();
}

} // namespace endivespan
