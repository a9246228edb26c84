#include "yaml_p.h"

#include <endivespan/forward_settings.h>

namespace endivespan {

namespace {

using namespace std::chrono_literals;

constexpr double MostRatio = 10.0;
constexpr double MostSlack = 1e6;
constexpr std::uint64_t LeastMemory = 16 * 1024 * 1024;
constexpr std::uint64_t MostMemory = 1024ULL * 1024 * 1024 * 1024;

void listenSettings(YamlDocument &document, YamlMap &top, ForwardSettings &settings)
{
    if (const auto node = top.require("listen")) {
        YamlMap map(document, *node, "'listen'", {"callers", "readiness", "peers", "metrics"});
        settings.listenCallers = map.address("callers", true);
        settings.listenReadiness = map.address("readiness", true);
        settings.listenPeers = map.address("peers", true);
        settings.listenMetrics = map.address("metrics", true);
    }
}

ForwardBounds boundSettings(YamlDocument &document, const YamlMap &top)
{
    ForwardBounds bounds;
    if (const auto node = top.find("bounds")) {
        YamlMap map(document,
                    *node,
                    "'bounds'",
                    {"stop_time",
                     "changes",
                     "draining",
                     "revocation",
                     "strict_revocation",
                     "weights",
                     "lease_gap",
                     "list_lapse",
                     "retry_ratio",
                     "retry_slack",
                     "retry_window",
                     "cold_factor",
                     "cold_slack"});
        bounds.stopTime = map.duration("stop_time", bounds.stopTime, 100ms, 1h);
        bounds.changes = map.duration("changes", bounds.changes, 100ms, 1h);
        bounds.draining = map.duration("draining", bounds.draining, 100ms, 1h);
        bounds.revocation = map.duration("revocation", bounds.revocation, 100ms, 1h);
        // A template renders an empty value where the deployment does not state it.
        if (const auto strict = map.find("strict_revocation"); strict && !strict->IsNull()) {
            bounds.strictRevocation = map.flag("strict_revocation", bounds.strictRevocation);
        }
        bounds.weights = map.duration("weights", bounds.weights, 100ms, 1h);
        bounds.leaseGap = map.duration("lease_gap", bounds.leaseGap, 100ms, 1h);
        bounds.listLapse = map.duration("list_lapse", bounds.listLapse, 0ms, 1h);
        bounds.retryRatio = map.decimal("retry_ratio", bounds.retryRatio, 0, MostRatio);
        bounds.retrySlack = map.decimal("retry_slack", bounds.retrySlack, 0, MostSlack);
        bounds.retryWindow = map.duration("retry_window", bounds.retryWindow, 1s, 1h);
        bounds.coldFactor = map.decimal("cold_factor", bounds.coldFactor, 0, MostRatio);
        bounds.coldSlack = map.decimal("cold_slack", bounds.coldSlack, 0, MostSlack);
    }
    return bounds;
}

std::optional<std::size_t> memorySetting(YamlDocument &document, const YamlMap &top)
{
    if (const auto node = top.find("limits")) {
        YamlMap map(document, *node, "'limits'", {"memory"});
        if (const std::uint64_t memory = map.size("memory", 0, LeastMemory, MostMemory); memory > 0) {
            return memory;
        }
    }
    return std::nullopt;
}

} // namespace

Checked<ForwardSettings> parseForwardSettings(std::string_view yaml, const std::string &file)
{
    YamlDocument document(yaml, file);
    ForwardSettings settings;
    if (document.root()) {
        YamlMap top(
            document,
            *document.root(),
            "the settings",
            {"host", "region", "failure_domain", "listen", "log", "first_start", "bounds", "limits", "load_control"});
        settings.host = top.name("host");
        settings.region = top.name("region");
        settings.failureDomain = top.name("failure_domain");
        listenSettings(document, top, settings);
        if (const auto node = top.require("log")) {
            settings.logAddress = YamlMap(document, *node, "'log'", {"address"}).address("address");
        }
        settings.firstStart = top.flag("first_start", false);
        settings.bounds = boundSettings(document, top);
        settings.memory = memorySetting(document, top);
        settings.loadControl = top.choice<LoadControl>(
            "load_control",
            settings.loadControl,
            {{"auto", LoadControl::Auto}, {"always", LoadControl::Always}, {"never", LoadControl::Never}});
    }
    if (document.hasProblems()) {
        return document.problems();
    }
    return settings;
}

} // namespace endivespan
