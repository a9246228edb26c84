#include "operator_pages.h"

#include "answer.h"

#include <endivespan/invariant.h>

#include <nlohmann/json.hpp>

namespace endivespan {

namespace {

using nlohmann::json;

constexpr std::string_view ExplainPrefix = "/explain/";

json serversJson(const Backends &backends)
{
    json servers = json::array();
    for (const Backend &server : backends.servers()) {
        servers.push_back({{"name", server.name},
                           {"pool", server.pool},
                           {"domain", server.domain},
                           {"configured", server.configured},
                           {"may_take_work", server.mayTakeWork},
                           {"leaving", server.leaving},
                           {"incarnation", server.incarnation},
                           {"in_flight", server.inFlight}});
    }
    return servers;
}

json inForceJson(const FleetSource &fleet)
{
    const auto delay = fleet.inForceDelay();
    return delay ? json(delay->count()) : json();
}

json statusJson(const NodeContext &context, const NodeStatus &status)
{
    return {{"host", context.settings.host},
            {"failure_domain", context.settings.failureDomain},
            {"revision", context.fleet.fleet().revision},
            {"digest", context.fleet.digest()},
            {"in_force_ms", inForceJson(context.fleet)},
            {"ready", context.fleet.isReady()},
            {"stale", context.fleet.isStale()},
            {"stopping", status.stopping},
            {"prompts_in_flight", status.promptsInFlight},
            {"invariant_violations", invariantViolations()},
            {"servers", serversJson(context.backends)}};
}

void replyExplain(HttpExchange &exchange, const NodeContext &context)
{
    const std::string requestId = exchange.request().path.substr(ExplainPrefix.size());
    const auto decisions = context.explain.find(requestId);
    if (!decisions) {
        replyError(exchange,
                   {ErrorKind::NotFound, "no decision is kept for this request"},
                   {context.settings.host, requestId, std::chrono::milliseconds::zero()});
        return;
    }
    replyJson(exchange,
              200,
              json {{"request", requestId}, {"host", context.settings.host}, {"decisions", *decisions}}.dump());
}

} // namespace

void addOperatorPages(Front &front, NodeContext &context, const std::function<NodeStatus()> &status)
{
    front.addOperatorPath("/healthz", [](const auto &exchange) { replyJson(*exchange, 200, R"({"alive":true})"); });
    front.addOperatorPath("/readyz", [&front, &context](const auto &exchange) {
        const bool ready
            = context.fleet.isReady() && context.backends.isReady() && !context.fleet.isStale() && !front.isRefusing();
        replyJson(*exchange, ready ? 200 : 503, ready ? R"({"ready":true})" : R"({"ready":false})");
    });
    front.addOperatorPath("/metrics", [&context](const auto &exchange) {
        exchange->reply(200, {{"Content-Type", "text/plain; version=0.0.4"}}, context.metrics.text());
    });
    front.addOperatorPath("/status", [&context, status](const auto &exchange) {
        replyJson(*exchange, 200, statusJson(context, status()).dump());
    });
    front.addOperatorPath("/explain/", [&context](const auto &exchange) { replyExplain(*exchange, context); });
}

} // namespace endivespan
