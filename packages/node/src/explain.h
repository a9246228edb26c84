#pragma once

#include <deque>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

/// Records the decisions made for recent requests, which operators query at /explain/.
namespace endivespan {

/// Bounded record of the decisions for the most recent requests, by request id.
class ExplainBook
{
public:
    /// Adds one decision to a request. Evicts the oldest request when there are more than config::ExplainRequests, and
    /// drops the decision when the request already has config::ExplainDecisionsPerRequest.
    /// @param decision One sentence, as operators read it.
    void add(const std::string &requestId, std::string decision);

    /// @returns the decisions of a request, oldest first, or nothing when the request is unknown or evicted.
    [[nodiscard]] std::optional<std::vector<std::string>> find(const std::string &requestId) const;

private:
    std::deque<std::string> order;
    std::unordered_map<std::string, std::vector<std::string>> decisions;
};

} // namespace endivespan
