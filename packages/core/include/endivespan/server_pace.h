#pragma once

#include <endivespan/clock.h>

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>

/// How long work takes on a server compared with what is usual in its pool.
namespace endivespan {

/// How long a complete answer took.
struct AnswerTimes {
    Duration firstEvent {}; ///< From the start of the attempt to the first byte of the answer.
    std::optional<Duration> perToken; ///< Per token that the answer could have; absent for answers without tokens.
};

/// An answer compared with the usual one of its kind.
struct AnswerRatios {
    double firstEvent = 1; ///< Its time divided by the usual time.
    std::optional<double> perToken; ///< The same for each token.
};

/// The usual times of the answers of one pool, by kind of request (route). Times of different kinds are not
/// comparable: a kind with long prompts takes longer on every server.
class UsualTimes
{
public:
    /// Adds an answer to the usual times of its kind.
    /// @returns how it compares with the usual times before; nothing while too few answers of the kind are known.
    std::optional<AnswerRatios> add(const std::string &kind, const AnswerTimes &times);

private:
    /// Mean of the logarithms, so that a few very slow answers have little influence.
    struct LogMean {
        double value = 0;
        std::uint32_t samples = 0;

        void add(double sample);
    };

    std::map<std::string, std::pair<LogMean, LogMean>> kinds; ///< First event and token time in log(milliseconds).
};

/// The pace of one server: 1 is usual, 2.5 takes 2.5 times as long. Exists for pools of unequal servers whose pace also
/// changes many times a second. The server reports the pace of the moment in its answers; the long-term pace is learned
/// from the times of its answers.
class ServerPace
{
public:
    /// Records the pace that the server reported at @p at. A report older than the known one is ignored.
    void report(double pace, TimePoint at);

    /// Records how an answer of the server compares with the usual ones of its pool.
    void observe(const AnswerRatios &ratios);

    /// @returns whether the server has ever reported its pace.
    [[nodiscard]] bool isReported() const;

    /// @returns the pace learned from answers; close to 1 while there are few.
    [[nodiscard]] double longTerm() const;

    /// @returns the pace to expect now: the reported one, approaching the long-term one as the report ages.
    [[nodiscard]] double expected(TimePoint now) const;

private:
    void addRatio(double ratio, double weight);

    std::optional<double> reported;
    TimePoint reportedAt;
    double logSum = 0; ///< Weighted sum of the logarithms of the ratios.
    double samples = 0; ///< Sum of the weights.
};

} // namespace endivespan
