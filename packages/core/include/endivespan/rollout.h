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

/// Moves engines to the weight versions that operators name, a limited number at a time.
namespace endivespan {

/// Orders one engine to load a weight version.
struct WeightOrder {
    std::string server;
    std::string address;
    std::string model;
    std::uint64_t version = 0;
    std::uint64_t expected = 0; ///< EngineState::ordersAccepted of the state that the order is based on.
};

/// State that an engine reports when asked.
struct EngineState {
    bool busy = false; ///< An order is being carried out.
    std::uint64_t ordersAccepted = 0; ///< Since its start.
    std::map<std::string, std::uint64_t> weights; ///< Loaded version by model.
};

/// One step of the rollout on one engine.
struct RolloutStep {
    enum class Kind {
        Ask, ///< Ask the engine for its state.
        Order, ///< Send the order.
    };
    Kind kind = Kind::Ask;
    WeightOrder order;
};

/// How fast the engines of a pool are moved to new weights.
struct RolloutPace {
    Duration span = std::chrono::seconds(5); ///< Time for the whole pool.
    Duration away = config::StartEngineAway; ///< Time for one engine to end its runs and load the weights.

    /// @returns how many of @p engines may be away at once, at least 1. At most the share config::RolloutAwayMost is
    ///     away, rounded up, even if the rollout then takes longer than the span.
    [[nodiscard]] std::size_t atOnce(std::size_t engines) const;
};

/// Engines that are still to load new weights.
struct RolloutQueue {
    std::unordered_map<std::string, std::size_t> places; ///< Number of engines before each one, by server.
    std::size_t atOnce = 1; ///< Engines that are away at a time.
    double perSecond = 1; ///< Engines that finish.
};

/// @returns how many engines serve @p model and are not leaving; these take part in a rollout.
std::size_t enginesWith(const ServerTable &table, const std::string &model);

/// @returns the engines with weights of @p model older than @p version, in the order in which they are to load the new
///     ones. Every host computes the same order, and so can send no new work to those next in it, which then finish
///     their runs in time.
std::vector<std::string> rolloutOrder(const ServerTable &table, const std::string &model, std::uint64_t version);

/// @returns the engines of rolloutOrder() and how fast they are done, or null when none has older weights than
///     @p version.
std::shared_ptr<const RolloutQueue>
rolloutQueue(const ServerTable &table, const std::string &model, std::uint64_t version, const RolloutPace &pace);

/// Decides which engine is asked or ordered next. Lets a whole pool, of any size, load new weights within a time bound
/// while it keeps serving: only a part of the engines is away at a time, as large as the bound requires.
class Rollout
{
public:
    /// @param pace Initial pace. The time that engines are away is then estimated from those that are done.
    explicit Rollout(RolloutPace pace);

    /// Sets the newest version by model.
    void setTargets(std::map<std::string, std::uint64_t> targets);

    /// @returns the newest version by model.
    [[nodiscard]] const std::map<std::string, std::uint64_t> &targets() const;

    /// @returns whether any engine that is not leaving has older weights than the targets.
    [[nodiscard]] bool isNeeded(const ServerTable &table, TimePoint now) const;

    /// @returns the steps to carry out now. The result of each must be reported: of an Ask by onEngineState(), of an
    ///     Order by onOrderResult().
    [[nodiscard]] std::vector<RolloutStep> next(const ServerTable &table, TimePoint now);

    /// Handles an engine's state, or nothing when it could not be obtained.
    void onEngineState(const std::string &server, const std::optional<EngineState> &state, TimePoint now);

    /// Handles the result of an order.
    /// @param accepted False when it was certainly refused; nothing when the result is unknown.
    void onOrderResult(const std::string &server, std::optional<bool> accepted, TimePoint now);

private:
    enum class Phase {
        Asking, ///< An Ask is under way.
        Ready, ///< Its state has been received; the next step is an order.
        Ordering, ///< An Order is under way.
        Loading, ///< Carries out an order.
        Waiting, ///< For the time to ask it again.
    };
    /// State of one engine that has older weights than the targets.
    struct Work {
        Phase phase = Phase::Waiting;
        std::uint64_t born = 0; ///< Start of the engine that this is about.
        std::string model;
        std::uint64_t version = 0; ///< To be loaded.
        std::uint64_t expected = 0; ///< As in WeightOrder.
        bool loading = false; ///< Carries out an order, or may do so after an order whose result is unknown.
        TimePoint orderedAt; ///< When its order was accepted; the clock's epoch before.
        TimePoint until; ///< End of Phase::Loading or Phase::Waiting.
    };

    /// @returns the first model of which the engine has older weights than the target, with the target version, or
    ///     nothing.
    [[nodiscard]] std::optional<std::pair<std::string, std::uint64_t>> pendingTarget(const ServerView &view) const;

    void addSteps(std::vector<RolloutStep> &steps, const ServerTable &table, const std::string &model, TimePoint now);

    void finished(Work &task, TimePoint now);

    RolloutPace pace;
    SmoothedMean away; ///< Time that an engine is away, in milliseconds.
    std::map<std::string, std::uint64_t> wanted; ///< Newest version by model.
    std::map<std::string, Work> work; ///< By server.
};

} // namespace endivespan
