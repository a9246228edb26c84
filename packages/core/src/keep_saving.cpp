#include <endivespan/keep.h>

#include <algorithm>
#include <cmath>

namespace endivespan {

namespace {

constexpr double MinSigmaLog = 0.5; // Gaps are never as regular as a few samples suggest.
constexpr double PieceWeightStart = 2.0; // Samples of the piece that weigh as much as its organisation's history.
constexpr double ExportCostWeight = 0.5; // Exports use the link when no import waits, so they cost less than imports.
constexpr double NotWorthACopy = 1.0; // Far above any worth.
constexpr double PositionDiscount = 0.01;
constexpr double StartReturnWeight = 20.0; // Pieces of an organisation that weigh as much as the starting share.

double seconds(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

struct LogNormal {
    double mean = 0;
    double sigma = 1;

    [[nodiscard]] double cumulative(double gapSeconds) const
    {
        const double z = (std::log(std::max(gapSeconds, 1e-3)) - this->mean) / this->sigma;
        return 0.5 * std::erfc(-z / std::sqrt(2.0));
    }
};

// The history of the piece counts more, the longer it is; before that its organisation stands in.
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
    // Chance of a return within the horizon, given that the piece has not returned so far, times the time it saves.
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
        // A return before the piece leaves accelerator memory needs no copy.
        const double useful = gaps.cumulative(std::max(age, seconds(rates.memoryResidence)));
        const double within = std::max(gaps.cumulative(age + seconds(config::KeepHorizon)) - useful, 0.0);
        const double alive = share * (1.0 - gone) + (1.0 - share);
        const double chance = alive > 0 ? share * within / alive : 0;
        // Bytes are held until the return: a soon one costs less of the store.
        const double remaining = std::max(std::exp(gaps.mean) - age, std::exp(gaps.mean) * gaps.sigma * 0.5);
        const double worth = chance * saving / bytes / remaining / (1.0 + PositionDiscount * piece.position);
        // The copy itself takes the link's time, whether it is used or not. What is not worth it keeps its order.
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
