#include <endivespan/config.h>
#include <endivespan/placement.h>
#include <endivespan/rollout.h>

#include <algorithm>
#include <tuple>
#include <utility>

namespace endivespan {

std::vector<std::string> rolloutOrder(const ServerTable &table, const std::string &model, std::uint64_t version)
{
    // The oldest first: nobody may use them soonest. The rest is the same for each version, so that engines which have
    // been left time to finish stay next when another version is named meanwhile.
    std::vector<std::tuple<std::uint64_t, std::uint64_t, std::string>> ranked;
    for (const auto &[id, view] : table.servers()) {
        const auto weights = view.entry.weights.find(model);
        if (weights != view.entry.weights.end() && weights->second < version && !view.entry.draining) {
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

std::shared_ptr<const std::unordered_map<std::string, std::size_t>>
rolloutPlaces(const ServerTable &table, const std::string &model, std::uint64_t version)
{
    const std::vector<std::string> order = rolloutOrder(table, model, version);
    if (order.empty()) {
        return nullptr;
    }
    auto places = std::make_shared<std::unordered_map<std::string, std::size_t>>();
    for (const std::string &id : order) {
        places->emplace(id, places->size());
    }
    return places;
}

Rollout::Rollout(std::size_t atOnce)
    : atOnce(atOnce)
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

std::optional<std::pair<std::string, std::uint64_t>> Rollout::lacking(const ServerView &view) const
{
    if (view.entry.draining) {
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
        return this->lacking(entry.second).has_value();
    });
}

std::vector<RolloutStep> Rollout::next(const ServerTable &table, TimePoint now)
{
    std::vector<RolloutStep> steps;
    std::erase_if(this->work, [&table](const auto &entry) {
        const ServerView *view = table.find(entry.first);
        return view == nullptr || view->entry.born != entry.second.born;
    });
    std::size_t away = 0;
    for (const auto &[id, view] : table.servers()) {
        if (!this->lacking(view)) {
            this->work.erase(id);
        }
    }
    for (auto &[server, task] : this->work) {
        if (task.phase == Phase::Loading && now >= task.until) {
            task.phase = Phase::Waiting;
        }
        away += task.phase == Phase::Waiting && !task.loading ? 0 : 1;
    }
    std::vector<std::string> order;
    for (const auto &[model, version] : this->wanted) {
        const auto ofModel = rolloutOrder(table, model, version);
        order.insert(order.end(), ofModel.begin(), ofModel.end());
    }
    for (const std::string &id : order) {
        const ServerView &view = *table.find(id);
        const auto need = this->lacking(view);
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
        } else if (task.phase == Phase::Waiting && now >= task.until && (task.loading || away < this->atOnce)) {
            task.phase = Phase::Asking;
            away += task.loading ? 0 : 1;
            steps.push_back(step);
        }
    }
    return steps;
}

void Rollout::answered(const std::string &server, const std::optional<EngineState> &state, TimePoint now)
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
    const bool done = weights != state->weights.end() && weights->second >= task.version;
    if (done || state->busy) {
        // Done engines wait for the list to say so; busy ones are asked again.
        task.phase = done ? Phase::Waiting : Phase::Loading;
        task.until = now + (done ? config::ListLag : config::OrderBusyPause);
        return;
    }
    task.expected = state->ordersAccepted;
    task.phase = Phase::Ready;
}

void Rollout::ordered(const std::string &server, std::optional<bool> accepted, TimePoint now)
{
    const auto found = this->work.find(server);
    if (found == this->work.end() || found->second.phase != Phase::Ordering) {
        return;
    }
    Work &task = found->second;
    task.loading = accepted.value_or(true);
    const bool sure = accepted.value_or(false);
    task.phase = sure ? Phase::Loading : Phase::Waiting;
    task.until = now + (sure ? config::LoadTime : config::OrderRetryPause);
}

} // namespace endivespan
