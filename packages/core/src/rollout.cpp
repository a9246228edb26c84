#include <endivespan/config.h>
#include <endivespan/placement.h>
#include <endivespan/rollout.h>

#include <algorithm>
#include <cmath>
#include <tuple>
#include <utility>

namespace endivespan {

namespace {

using Milliseconds = std::chrono::duration<double, std::milli>;

} // namespace

std::size_t RolloutPace::atOnce(std::size_t engines) const
{
    const auto all = static_cast<double>(engines);
    const double needed = std::round(all * Milliseconds(this->away).count() / Milliseconds(this->span).count());
    const double most = std::ceil(all * config::RolloutAwayMost);
    return static_cast<std::size_t>(std::max(1.0, std::min(needed, most)));
}

std::size_t enginesWith(const ServerTable &table, const std::string &model)
{
    return static_cast<std::size_t>(
        std::count_if(table.servers().begin(), table.servers().end(), [&model](const auto &entry) {
            return !entry.second.isLeaving() && entry.second.entry.weights.contains(model);
        }));
}

std::vector<std::string> rolloutOrder(const ServerTable &table, const std::string &model, std::uint64_t version)
{
    // The oldest weights first, since they become unusable first. The rest of the order does not depend on the version,
    // so that engines which were sent less work, to finish in time, are still next when another version is named.
    std::vector<std::tuple<std::uint64_t, std::uint64_t, std::string>> ranked;
    for (const auto &[id, view] : table.servers()) {
        const auto weights = view.entry.weights.find(model);
        if (weights != view.entry.weights.end() && weights->second < version && !view.isLeaving()) {
            ranked.emplace_back(weights->second, hashPrefix(0, id), id);
        }
    }
    std::sort(ranked.begin(), ranked.end());
    std::vector<std::string> order;
    order.reserve(ranked.size());
    for (const auto &[weights, rank, id] : ranked) {
        order.push_back(id);
    }
    return order;
}

std::shared_ptr<const RolloutQueue>
rolloutQueue(const ServerTable &table, const std::string &model, std::uint64_t version, const RolloutPace &pace)
{
    const std::vector<std::string> order = rolloutOrder(table, model, version);
    if (order.empty()) {
        return nullptr;
    }
    auto queue = std::make_shared<RolloutQueue>();
    for (const std::string &id : order) {
        queue->places.emplace(id, queue->places.size());
    }
    queue->atOnce = pace.atOnce(enginesWith(table, model));
    queue->perSecond = 1000.0 * static_cast<double>(queue->atOnce) / Milliseconds(pace.away).count();
    return queue;
}

Rollout::Rollout(RolloutPace pace)
    : pace(pace)
    , away(Milliseconds(pace.away).count(), config::EngineAwaySmoothing)
{
}

void Rollout::setTargets(std::map<std::string, std::uint64_t> targets)
{
    this->wanted = std::move(targets);
}

const std::map<std::string, std::uint64_t> &Rollout::targets() const
{
    return this->wanted;
}

std::optional<std::pair<std::string, std::uint64_t>> Rollout::pendingTarget(const ServerView &view) const
{
    if (view.isLeaving()) {
        return std::nullopt;
    }
    for (const auto &[model, version] : view.entry.weights) {
        if (const auto target = this->wanted.find(model); target != this->wanted.end() && version < target->second) {
            return std::pair(model, target->second);
        }
    }
    return std::nullopt;
}

bool Rollout::isNeeded(const ServerTable &table, TimePoint) const
{
    return std::any_of(table.servers().begin(), table.servers().end(), [this](const auto &entry) {
        return this->pendingTarget(entry.second).has_value();
    });
}

std::vector<RolloutStep> Rollout::next(const ServerTable &table, TimePoint now)
{
    std::vector<RolloutStep> steps;
    std::erase_if(this->work, [&table](const auto &entry) {
        const ServerView *view = table.find(entry.first);
        return view == nullptr || view->entry.born != entry.second.born;
    });
    for (const auto &[id, view] : table.servers()) {
        if (this->pendingTarget(view)) {
            continue;
        }
        if (const auto done = this->work.extract(id); !done.empty()) {
            this->finished(done.mapped(), now);
        }
    }
    for (const auto &[model, version] : this->wanted) {
        this->addSteps(steps, table, model, now);
    }
    return steps;
}

// Adds the steps for the engines of one model.
void Rollout::addSteps(std::vector<RolloutStep> &steps,
                       const ServerTable &table,
                       const std::string &model,
                       TimePoint now)
{
    std::size_t underWay = 0;
    for (auto &[server, task] : this->work) {
        if (task.phase == Phase::Loading && now >= task.until) {
            task.phase = Phase::Waiting;
        }
        underWay += task.model != model || (task.phase == Phase::Waiting && !task.loading) ? 0 : 1;
    }
    this->pace.away = std::chrono::duration_cast<Duration>(Milliseconds(this->away.mean()));
    const std::size_t most = this->pace.atOnce(enginesWith(table, model));
    for (const std::string &id : rolloutOrder(table, model, this->wanted.at(model))) {
        const ServerView &view = *table.find(id);
        const auto need = this->pendingTarget(view);
        if (!need) {
            continue;
        }
        const auto [place, isNew] = this->work.try_emplace(id);
        Work &task = place->second;
        if (isNew) {
            task.born = view.entry.born;
        }
        task.model = need->first;
        task.version = need->second;
        RolloutStep step;
        step.order = {id, view.entry.address, task.model, task.version, task.expected};
        if (task.phase == Phase::Ready) {
            task.phase = Phase::Ordering;
            step.kind = RolloutStep::Kind::Order;
            steps.push_back(step);
        } else if (task.phase == Phase::Waiting && now >= task.until && (task.loading || underWay < most)) {
            task.phase = Phase::Asking;
            underWay += task.loading ? 0 : 1;
            steps.push_back(step);
        }
    }
}

void Rollout::onEngineState(const std::string &server, const std::optional<EngineState> &state, TimePoint now)
{
    const auto found = this->work.find(server);
    if (found == this->work.end() || found->second.phase != Phase::Asking) {
        return;
    }
    Work &task = found->second;
    if (!state) {
        task.phase = Phase::Waiting;
        task.until = now + config::OrderRetryPause;
        return;
    }
    const auto weights = state->weights.find(task.model);
    task.loading = state->busy;
    const bool done = !state->busy && weights != state->weights.end() && weights->second >= task.version;
    if (done) {
        this->finished(task, now);
    }
    if (done || state->busy) {
        // An engine that is done waits until the list of servers shows it; a busy one is asked again.
        task.phase = done ? Phase::Waiting : Phase::Loading;
        task.until = now + (done ? config::ListLag : config::OrderBusyPause);
        return;
    }
    task.expected = state->ordersAccepted;
    task.phase = Phase::Ready;
}

void Rollout::finished(Work &task, TimePoint now)
{
    if (task.orderedAt != TimePoint {}) {
        this->away.add(Milliseconds(now - task.orderedAt).count());
        task.orderedAt = {};
    }
}

void Rollout::onOrderResult(const std::string &server, std::optional<bool> accepted, TimePoint now)
{
    const auto found = this->work.find(server);
    if (found == this->work.end() || found->second.phase != Phase::Ordering) {
        return;
    }
    Work &task = found->second;
    task.loading = accepted.value_or(true);
    const bool sure = accepted.value_or(false);
    task.phase = sure ? Phase::Loading : Phase::Waiting;
    task.orderedAt = sure ? now : TimePoint {};
    const Milliseconds untilAsked(config::EngineAwayAskShare * this->away.mean());
    task.until = now + (sure ? std::chrono::duration_cast<Duration>(untilAsked) : Duration(config::OrderRetryPause));
}

} // namespace endivespan
