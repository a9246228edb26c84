#include <endivespan/engine_model.h>

#include <algorithm>
#include <bit>
#include <cmath>

namespace endivespan {

namespace {

using Milliseconds = std::chrono::duration<double, std::milli>;

Duration fromMilliseconds(double time)
{
    return std::chrono::duration_cast<Duration>(Milliseconds(time));
}

} // namespace

EngineModel::EngineModel()
    : runTime(Milliseconds(config::StartEngineRunTime).count(), config::RunTimeSmoothing)
    , tokenTime(Milliseconds(config::StartAnswerTokenTime).count(), config::RunTimeSmoothing)
{
}

void EngineModel::firstToken(std::uint64_t ownTokens, std::uint64_t promptTokens, Duration time)
{
    this->prompt.add(static_cast<double>(promptTokens));
    if (ownTokens == 0 || time <= Duration::zero()) {
        return;
    }
    const auto width = static_cast<std::size_t>(std::bit_width(ownTokens));
    SizeClass &size = this->sizes.at(std::min(width, this->sizes.size()) - 1);
    const double sample = Milliseconds(time).count();
    if (size.samples == 0) {
        size.tokens = static_cast<double>(ownTokens);
        size.time = sample;
    }
    ++size.samples;
    size.tokens += config::RunTimeSmoothing * (static_cast<double>(ownTokens) - size.tokens);
    // A step against each sample, so that a quarter of them lies below; relative to the time itself, so that it needs
    // no scale.
    const double step = std::max(1.0 / size.samples, config::QuantileStep) * size.time;
    size.time += sample < size.time ? -(1 - config::PrefillQuantile) * step : config::PrefillQuantile * step;
    this->fitPrefill();
}

// A line through the quartiles: its slope is the time to read a token; what all prompts share goes into its start.
void EngineModel::fitPrefill()
{
    double weights = 0;
    double tokens = 0;
    double times = 0;
    for (const SizeClass &size : this->sizes) {
        if (size.samples >= config::PrefillLeastSamples) {
            weights += size.samples;
            tokens += size.samples * size.tokens;
            times += size.samples * size.time;
        }
    }
    if (weights <= 0) {
        return;
    }
    tokens /= weights;
    times /= weights;
    double spread = 0;
    double slope = 0;
    for (const SizeClass &size : this->sizes) {
        if (size.samples >= config::PrefillLeastSamples) {
            spread += size.samples * (size.tokens - tokens) * (size.tokens - tokens);
            slope += size.samples * (size.tokens - tokens) * (size.time - times);
        }
    }
    // Prompts of nearly one size tell nothing of the slope.
    if (std::sqrt(spread / weights) < config::PrefillLeastSpread * tokens || slope <= 0) {
        return;
    }
    this->prefill = std::clamp(spread / slope, config::PrefillRateLeast, config::PrefillRateMost);
}

void EngineModel::ran(Duration time, Duration sinceFirstToken, std::uint32_t answerTokens)
{
    this->runTime.add(Milliseconds(time).count());
    if (answerTokens > 0) {
        this->tokenTime.add(Milliseconds(sinceFirstToken).count() / answerTokens);
    }
}

void EngineModel::holds(std::uint64_t tokens)
{
    this->runTokens.add(static_cast<double>(tokens));
}

EngineRates EngineModel::rates() const
{
    return {this->prefill,
            this->prompt.mean(),
            this->runTokens.mean(),
            fromMilliseconds(this->runTime.mean()),
            fromMilliseconds(this->tokenTime.mean())};
}

} // namespace endivespan
