#pragma once

#include "context.h"
#include "front.h"

#include <functional>
#include <string>

/// Pages for operators: health, readiness, metrics, status and the decisions of one request.
namespace endivespan {

/// State of the node that the status page shows beside the configuration.
struct NodeStatus {
    std::size_t promptsInFlight = 0;
    bool stopping = false;
};

/// Adds the operators' pages to @p front.
/// @param status Called for each request of the status page.
void addOperatorPages(Front &front, NodeContext &context, const std::function<NodeStatus()> &status);

} // namespace endivespan
