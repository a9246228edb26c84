#pragma once

#include <endivespan/config.h>
#include <endivespan/server_table.h>
#include <endivespan/smoothed_mean.h>

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

/// Brings engines to the weight versions that operators name, a few at a time.
namespace endivespan {

/// One order to one engine.
struct WeightOrder {
    std::string server;
    std::string address;
    std::string model;
    std::uint64_t version = 0;
    std::uint64_t expected = 0; ///< Orders that the engine has accepted before.
};

/// What an engine says when asked.
struct EngineState {
    bool busy = false; ///< Carries out an order.
    std::uint64_t ordersAccepted = 0;
    std::map<std::string, std::uint64_t> weights;
};

/// One step of the rollout on one engine.
struct RolloutStep {
    enum class Kind {
        Ask, ///< Ask for its state.
        Order,
    };
    Kind kind = Kind::Ask;
    WeightOrder order;
};

/// How fast a pool changes its weights.
struct RolloutPace {
    Duration span = std::chrono::seconds(5); ///< In which the whole pool should have changed.
    Duration away = config::StartEngineAway; ///< Of one engine: until its runs have ended and its weights are loaded.

    /// @returns how many of @p engines change at once. A part of the pool stays in service, also where that takes
    ///     longer than the span.
    [[nodiscard]] std::size_t atOnce(std::size_t engines) const;
};

/// Engines that are about to change their weights.
struct RolloutQueue {
    std::unordered_map<std::string, std::size_t> places; ///< How many go before each one.
    std::size_t atOnce = 1;
    double perSecond = 1; ///< Engines that change.
};

/// @returns how many engines with @p model take part in a rollout.
std::size_t enginesWith(const ServerTable &table, const std::string &model);

/// @returns the engines that have older weights of @p model than @p version, in the order in which they are to change.
///     Every host comes to the same order, and so can leave the next ones time to finish.
std::vector<std::string> rolloutOrder(const ServerTable &table, const std::string &model, std::uint64_t version);

/// @returns the engines in rolloutOrder() and how fast they change, or null when all have @p version.
std::shared_ptr<const RolloutQueue>
rolloutQueue(const ServerTable &table, const std::string &model, std::uint64_t version, const RolloutPace &pace);

/// Decides which engine is next. Answers the load of a whole pool, of any size, that has to change its weights within
/// a bound while it serves: a part of the engines is away at a time, as many as the bound asks for.
class Rollout
{
public:
    /// @param pace To start with; how long engines are away is learnt.
    explicit Rollout(RolloutPace pace);

    /// Sets the newest version of each model.
    void setTargets(std::map<std::string, std::uint64_t> targets);
    [[nodiscard]] const std::map<std::string, std::uint64_t> &targets() const;

    /// @returns whether any engine has older weights than named.
    [[nodiscard]] bool isNeeded(const ServerTable &table, TimePoint now) const;

    /// @returns what to do now. Each Ask and Order must be reported back.
    [[nodiscard]] std::vector<RolloutStep> next(const ServerTable &table, TimePoint now);

    /// Takes an engine's state, or that it could not be had.
    void answered(const std::string &server, const std::optional<EngineState> &state, TimePoint now);

    /// Takes how an order was received.
    /// @param accepted False when it was certainly refused; nothing when that is not known.
    void ordered(const std::string &server, std::optional<bool> accepted, TimePoint now);

private:
    enum class Phase {
        Asking,
        Ready, ///< Its state is known; the next step is an order.
        Ordering,
        Loading,
        Waiting, ///< Before it is asked again.
    };
    struct Work {
        Phase phase = Phase::Waiting;
        std::uint64_t born = 0;
        std::string model;
        std::uint64_t version = 0;
        std::uint64_t expected = 0;
        bool loading = false; ///< As far as known; an order without an answer may have been accepted.
        TimePoint orderedAt; ///< Epoch before an order was accepted.
        TimePoint until; ///< Of Loading and Waiting.
    };

    [[nodiscard]] std::optional<std::pair<std::string, std::uint64_t>> lacking(const ServerView &view) const;

    void change(std::vector<RolloutStep> &steps, const ServerTable &table, const std::string &model, TimePoint now);

    void finished(Work &task, TimePoint now);

    RolloutPace pace;
    SmoothedMean away; ///< In milliseconds.
    std::map<std::string, std::uint64_t> wanted;
    std::map<std::string, Work> work; ///< By server.
};

} // namespace endivespan
