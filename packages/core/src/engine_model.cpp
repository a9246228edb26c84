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

void EngineModel::observeFirstToken(std::uint64_t ownTokens, std::uint64_t promptTokens, Duration time)
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
    // Stochastic quantile estimate: the step down is three times the step up, so that a quarter of the samples lies
    // below the estimate. Steps are relative to the estimate, so that they need no scale of their own.
    const double step = std::max(1.0 / size.samples, config::QuantileStep) * size.time;
    size.time += sample < size.time ? -(1 - config::PrefillQuantile) * step : config::PrefillQuantile * step;
    this->fitPrefill();
}

// Fits a line through the quartiles of the size classes, weighted by their samples. Its slope is the time to prefill
// one token; the time that every prompt takes regardless of its length goes into the intercept.
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
    // Prompts of almost the same size do not determine the slope.
    if (std::sqrt(spread / weights) < config::PrefillLeastSpread * tokens || slope <= 0) {
        return;
    }
    this->prefill = std::clamp(spread / slope, config::PrefillRateLeast, config::PrefillRateMost);
}

void EngineModel::observeRun(Duration time, Duration sinceFirstToken, std::uint32_t answerTokens)
{
    this->runTime.add(Milliseconds(time).count());
    if (answerTokens > 0) {
        this->tokenTime.add(Milliseconds(sinceFirstToken).count() / answerTokens);
    }
}

void EngineModel::observeMemoryUse(std::uint64_t tokens, double learnedTokens)
{
    this->runTokens.add(static_cast<double>(tokens));
    this->learnedRunTokens.add(learnedTokens);
}

void EngineModel::observeAnswerLength(const std::string &kind, std::uint64_t tokens)
{
    const auto length = static_cast<double>(tokens);
    this->answerTokens.try_emplace(kind, length, config::AnswerLengthSmoothing).first->second.add(length);
}

double
EngineModel::requestTokens(const std::string &kind, std::uint64_t promptTokens, std::uint64_t mostAnswerTokens) const
{
    const auto most = static_cast<double>(mostAnswerTokens);
    const auto learned = this->answerTokens.find(kind);
    return static_cast<double>(promptTokens)
        + (learned == this->answerTokens.end() ? most : std::min(learned->second.mean(), most));
}

EngineRates EngineModel::rates() const
{
    return {this->prefill,
            this->prompt.mean(),
            this->runTokens.mean(),
            this->learnedRunTokens.mean(),
            fromMilliseconds(this->runTime.mean()),
            fromMilliseconds(this->tokenTime.mean())};
}

} // namespace endivespan
