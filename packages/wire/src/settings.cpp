#include "yaml_p.h"

#include <endivespan/config.h>
#include <endivespan/names.h>
#include <endivespan/settings.h>

#include <utility>

namespace endivespan {

namespace {

using namespace std::chrono_literals;

constexpr std::uint64_t MaxRequestsInFlight = 100'000;
constexpr std::size_t LeastBodyBytes = 1024;
constexpr std::size_t MostBodyBytes = 64UL * 1024 * 1024;

const std::vector<std::pair<std::string_view, RoutingPolicy>> RoutingNames {
    {"expected", RoutingPolicy::Expected},
    {"round_robin", RoutingPolicy::RoundRobin},
    {"least_loaded", RoutingPolicy::LeastLoaded},
    {"affinity", RoutingPolicy::Affinity},
    {"always_recompute", RoutingPolicy::AlwaysRecompute},
    {"always_import", RoutingPolicy::AlwaysImport},
};

const std::vector<std::pair<std::string_view, KeepingPolicy>> KeepingNames {
    {"saving", KeepingPolicy::Saving},
    {"lru", KeepingPolicy::Lru},
};

template<typename Policy>
std::string_view nameOf(const std::vector<std::pair<std::string_view, Policy>> &names, Policy wanted)
{
    for (const auto &[name, policy] : names) {
        if (policy == wanted) {
            return name;
        }
    }
    return "";
}

std::string outsideAddress(YamlDocument &document, YamlMap &top, std::string_view key)
{
    const auto node = top.require(key);
    if (!node) {
        return "";
    }
    return YamlMap(document, *node, "'" + std::string(key) + "'", {"address"}).address("address");
}

ListenSettings listenSettings(YamlDocument &document, YamlMap &top)
{
    ListenSettings listen;
    if (const auto node = top.require("listen")) {
        YamlMap map(document, *node, "'listen'", {"callers", "peers"});
        listen.callers = map.address("callers", true);
        listen.peers = map.address("peers", true);
        if (listen.callers == listen.peers && !listen.callers.empty() && !listen.callers.ends_with(":0")) {
            map.reportAt("peers", "'peers' in 'listen' is the address of 'callers'");
        }
    }
    return listen;
}

LimitSettings limitSettings(YamlDocument &document, const YamlMap &top)
{
    LimitSettings limits;
    if (const auto node = top.find("limits")) {
        YamlMap map(
            document, *node, "'limits'", {"requests_in_flight", "max_body", "default_deadline", "claim_snapshot"});
        limits.requestsInFlight = static_cast<std::uint32_t>(
            map.number("requests_in_flight", limits.requestsInFlight, 1, MaxRequestsInFlight));
        limits.maxBodyBytes = map.size("max_body", limits.maxBodyBytes, LeastBodyBytes, MostBodyBytes);
        limits.defaultDeadline = map.duration("default_deadline", limits.defaultDeadline, 100ms, 1h);
        limits.claimSnapshotPeriod = map.duration("claim_snapshot", limits.claimSnapshotPeriod, 200ms, 12h);
    }
    return limits;
}

std::vector<std::string> peerSettings(YamlDocument &document, YamlMap &top)
{
    std::vector<std::string> peers;
    for (const auto &[text, place] : top.texts("peers")) {
        if (!isAddress(text)) {
            document.report(place, "'" + text + "' in 'peers' is no address such as 10.0.0.1:8080");
        }
        peers.push_back(text);
    }
    return peers;
}

void policySettings(YamlDocument &document, const YamlMap &top, Settings &settings)
{
    if (const auto node = top.find("policy")) {
        YamlMap map(document, *node, "'policy'", {"routing", "keeping"});
        settings.routing = map.choice("routing", settings.routing, RoutingNames);
        settings.keeping = map.choice("keeping", settings.keeping, KeepingNames);
    }
}

} // namespace

LimitSettings::LimitSettings()
    : requestsInFlight(config::DefaultRequestsInFlight)
    , maxBodyBytes(config::MaxBodyBytes)
    , defaultDeadline(config::DefaultDeadline)
    , claimSnapshotPeriod(config::ClaimSnapshotPeriod)
{
}

std::string_view routingPolicyName(RoutingPolicy policy)
{
    return nameOf(RoutingNames, policy);
}

std::string_view keepingPolicyName(KeepingPolicy policy)
{
    return nameOf(KeepingNames, policy);
}

Checked<Settings> parseSettings(std::string_view yaml, const std::string &file)
{
    YamlDocument document(yaml, file);
    Settings settings;
    if (document.root()) {
        YamlMap top(document,
                    *document.root(),
                    "the settings",
                    {"host",
                     "region",
                     "failure_domain",
                     "listen",
                     "log",
                     "host_list",
                     "weight_store",
                     "peers",
                     "policy",
                     "limits"});
        settings.host = top.name("host");
        settings.region = top.name("region");
        settings.failureDomain = top.name("failure_domain");
        settings.listen = listenSettings(document, top);
        settings.logAddress = outsideAddress(document, top, "log");
        settings.hostListAddress = outsideAddress(document, top, "host_list");
        settings.weightStoreAddress = outsideAddress(document, top, "weight_store");
        settings.peers = peerSettings(document, top);
        policySettings(document, top, settings);
        settings.limits = limitSettings(document, top);
    }
    if (document.hasProblems()) {
        return document.problems();
    }
    return settings;
}

} // namespace endivespan
