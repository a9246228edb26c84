#pragma once

#include <endivespan/clock.h>
#include <endivespan/config.h>
#include <endivespan/smoothed_mean.h>

#include <array>
#include <cstdint>

/// What engines are seen to do: how fast they read prompts, how long runs last, how much memory runs hold.
namespace endivespan {

/// What placement needs to know of the engines of a pool.
struct EngineRates {
    double prefillTokensPerMillisecond = config::StartPrefillTokensPerMillisecond;
    double promptTokens = config::StartPromptTokens; ///< Of a prompt, on average.
    double tokensPerRun = config::StartRunTokens; ///< That a run holds of its engine's memory, on average.
    Duration runTime = config::StartEngineRunTime; ///< Of a run, on average.
    Duration answerTokenTime = config::StartAnswerTokenTime; ///< For each token that an answer may have.
};

/// Learns the rates of engines from answers. Engines of one model run on the same hardware, so that all of them add to
/// one estimate and one slow engine weighs little. Starts from guesses that hold for slow engines as well as quick
/// ones.
class EngineModel
{
public:
    EngineModel();

    /// Takes how long the first token took.
    /// @param ownTokens Of the prompt, beyond the parts that others share.
    /// @param promptTokens Of the whole prompt.
    void firstToken(std::uint64_t ownTokens, std::uint64_t promptTokens, Duration time);

    /// Takes how long a whole run took.
    /// @param answerTokens Most that the answer might have had.
    void ran(Duration time, Duration sinceFirstToken, std::uint32_t answerTokens);

    /// Takes what one of the runs under way holds of its engine's memory. Look at all runs at regular times, so that
    /// long ones count for as long as they last.
    void holds(std::uint64_t tokens);

    [[nodiscard]] EngineRates rates() const;

private:
    /// First tokens of prompts of about the same size.
    struct SizeClass {
        std::uint32_t samples = 0;
        double tokens = 0; ///< Smoothed.
        double time = 0; ///< In milliseconds; the lower quartile, as of prompts that did not wait.
    };

    void fitPrefill();

    std::array<SizeClass, config::PromptSizeClasses> sizes;
    double prefill = config::StartPrefillTokensPerMillisecond;
    SmoothedMean prompt {config::StartPromptTokens, config::RunTimeSmoothing};
    SmoothedMean runTokens {config::StartRunTokens, config::RunTokensSmoothing};
    SmoothedMean runTime; ///< In milliseconds.
    SmoothedMean tokenTime; ///< In milliseconds.
};

} // namespace endivespan
