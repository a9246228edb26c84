#pragma once

#include <endivespan/clock.h>
#include <endivespan/config.h>
#include <endivespan/smoothed_mean.h>

#include <array>
#include <cstdint>
#include <map>
#include <string>

/// Estimates engine performance from observed answers: prefill rate, duration of runs, and engine memory used by runs.
namespace endivespan {

/// Estimates for the engines of one pool, as placement uses them.
struct EngineRates {
    double prefillTokensPerMillisecond = config::StartPrefillTokensPerMillisecond;
    double promptTokens = config::StartPromptTokens; ///< Mean length of a prompt.
    double tokensPerRun = config::StartRunTokens; ///< Mean engine memory used by a run, in tokens.
    /// The same with the answer lengths learned by kind of request instead of the longest ones allowed.
    double learnedTokensPerRun = config::StartRunTokens;
    Duration runTime = config::StartEngineRunTime; ///< Mean duration of a run.
    /// Mean duration of the answer after its first token, divided by the maximum number of tokens of the answer.
    Duration answerTokenTime = config::StartAnswerTokenTime;
};

/// Estimates the rates of engines from their answers. The engines of one model run on the same hardware, so all of
/// them contribute to one estimate, on which a single slow engine has little influence. The initial values are
/// guesses that work for slow engines as well as for fast ones.
class EngineModel
{
public:
    EngineModel();

    /// Records the time to the first token of a prompt.
    /// @param ownTokens Number of prompt tokens beyond the parts that are shared with other prompts.
    /// @param promptTokens Number of tokens of the whole prompt.
    /// @param time Time to first token.
    void observeFirstToken(std::uint64_t ownTokens, std::uint64_t promptTokens, Duration time);

    /// Records the duration of a finished run.
    /// @param time Duration of the whole run.
    /// @param sinceFirstToken Duration of the run after its first token.
    /// @param answerTokens Maximum number of tokens that the answer was allowed to have; 0 when unknown.
    void observeRun(Duration time, Duration sinceFirstToken, std::uint32_t answerTokens);

    /// Records how much engine memory one running request uses.
    /// Call it for all running requests at regular intervals, so that each run is weighted by its duration.
    /// @param tokens Memory that it may use at most, in tokens.
    /// @param learnedTokens Memory that it is expected to use, see requestTokens().
    void observeMemoryUse(std::uint64_t tokens, double learnedTokens);

    /// Records the length of a complete answer.
    /// @param kind Name of the route.
    void observeAnswerLength(const std::string &kind, std::uint64_t tokens);

    /// @returns the engine memory that a request is expected to use, in tokens: its prompt and the usual answer of its
    ///     kind, or the longest answer while none is known.
    [[nodiscard]] double
    requestTokens(const std::string &kind, std::uint64_t promptTokens, std::uint64_t mostAnswerTokens) const;

    [[nodiscard]] EngineRates rates() const;

private:
    /// Times to first token of prompts of about the same size.
    struct SizeClass {
        std::uint32_t samples = 0;
        double tokens = 0; ///< Smoothed mean of the own tokens.
        double time = 0; ///< Lower quartile in milliseconds, which stands for prompts that did not wait in a queue.
    };

    void fitPrefill();

    std::array<SizeClass, config::PromptSizeClasses> sizes;
    double prefill = config::StartPrefillTokensPerMillisecond;
    SmoothedMean prompt {config::StartPromptTokens, config::RunTimeSmoothing};
    SmoothedMean runTokens {config::StartRunTokens, config::RunTokensSmoothing};
    SmoothedMean learnedRunTokens {config::StartRunTokens, config::RunTokensSmoothing};
    std::map<std::string, SmoothedMean> answerTokens; ///< By kind of request.
    SmoothedMean runTime; ///< In milliseconds.
    SmoothedMean tokenTime; ///< In milliseconds.
};

} // namespace endivespan
