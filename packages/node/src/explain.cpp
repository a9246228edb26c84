#include "explain.h"

#include <endivespan/config.h>

#include <utility>

namespace endivespan {

void DecisionHistory::add(const std::string &requestId, std::string decision)
{
    auto [entry, isNew] = this->decisions.try_emplace(requestId);
    if (isNew) {
        this->order.push_back(requestId);
    }
    if (entry->second.size() < config::ExplainDecisionsPerRequest) {
        entry->second.push_back(std::move(decision));
    }
    if (this->order.size() > config::ExplainRequests) {
        this->decisions.erase(this->order.front());
        this->order.pop_front();
    }
}

std::optional<std::vector<std::string>> DecisionHistory::find(const std::string &requestId) const
{
    const auto found = this->decisions.find(requestId);
    if (found == this->decisions.end()) {
        return std::nullopt;
    }
    return found->second;
}

} // namespace endivespan
