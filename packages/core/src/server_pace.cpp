#include <endivespan/config.h>
#include <endivespan/server_pace.h>

#include <algorithm>
#include <cmath>

namespace endivespan {

namespace {

using Milliseconds = std::chrono::duration<double, std::milli>;

// Times of less than a microsecond are no measurements.
double logOf(Duration time)
{
    return std::log(std::max(Milliseconds(time).count(), 0.001));
}

} // namespace

// The first samples count equally; after them the mean moves by a constant share.
void UsualTimes::LogMean::add(double sample)
{
    ++this->samples;
    this->value += std::max(1.0 / this->samples, config::UsualTimeSmoothing) * (sample - this->value);
}

std::optional<AnswerRatios> UsualTimes::add(const std::string &kind, const AnswerTimes &times)
{
    auto &[first, token] = this->kinds[kind];
    std::optional<AnswerRatios> ratios;
    if (first.samples >= config::UsualTimeLeastSamples) {
        ratios.emplace().firstEvent = std::exp(logOf(times.firstEvent) - first.value);
        if (times.perToken && token.samples >= config::UsualTimeLeastSamples) {
            ratios->perToken = std::exp(logOf(*times.perToken) - token.value);
        }
    }
    first.add(logOf(times.firstEvent));
    if (times.perToken) {
        token.add(logOf(*times.perToken));
    }
    return ratios;
}

void ServerPace::report(double pace, TimePoint at)
{
    if (!this->reported || at >= this->reportedAt) {
        this->reported = pace;
        this->reportedAt = at;
    }
}

void ServerPace::observe(const AnswerRatios &ratios)
{
    this->addRatio(ratios.firstEvent, config::PaceFirstEventWeight);
    if (ratios.perToken) {
        this->addRatio(*ratios.perToken, 1);
    }
}

void ServerPace::addRatio(double ratio, double weight)
{
    const double keep = 1 - weight / config::PaceMemorySamples;
    const double bounded = std::clamp(ratio, 1 / config::PaceRatioMost, config::PaceRatioMost);
    this->logSum = keep * this->logSum + weight * std::log(bounded);
    this->samples = keep * this->samples + weight;
}

bool ServerPace::isReported() const
{
    return this->reported.has_value();
}

double ServerPace::longTerm() const
{
    return std::exp(this->logSum / (this->samples + config::PacePrior));
}

// The report is still valid if the pace has not changed since, the probability of which falls exponentially with the
// age of the report.
double ServerPace::expected(TimePoint now) const
{
    double pace = this->longTerm();
    if (const Duration age = now - this->reportedAt; this->reported && age <= config::PaceReportUsableTime) {
        const double valid
            = std::exp(-std::max(Milliseconds(age).count(), 0.0) / Milliseconds(config::PaceChangeTime).count());
        pace = valid * *this->reported + (1 - valid) * pace;
    }
    return std::clamp(pace, config::PaceExpectedLeast, config::PaceExpectedMost);
}

} // namespace endivespan
