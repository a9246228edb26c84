#pragma once

#include <deque>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

/// Keeps what was decided for recent requests, so that an operator can ask why.
namespace endivespan {

/// Decisions of the most recent requests, by request id.
class ExplainBook
{
public:
    /// Adds one decision to a request; the oldest request is forgotten when the book is full.
    /// @param requestId The request.
    /// @param decision One sentence.
    void add(const std::string &requestId, std::string decision);

    /// @returns the decisions of a request in order, or nothing when it is unknown or forgotten.
    [[nodiscard]] std::optional<std::vector<std::string>> find(const std::string &requestId) const;

private:
    std::deque<std::string> order;
    std::unordered_map<std::string, std::vector<std::string>> decisions;
};

} // namespace endivespan
