#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

/// Data types of the configuration: which organisations may call, and which backend servers may be given work.
namespace endivespan {

/// Admission limits of one organisation.
struct OrganisationLimits {
    std::uint32_t requestsInFlight = 64; ///< Most requests in flight at the same time.
    std::uint32_t weight = 1; ///< Relative share of a backend server that several organisations compete for.

    bool operator==(const OrganisationLimits &) const = default;
};

/// An organisation, whose callers identify themselves by API keys, and what it may use.
struct Organisation {
    std::string name;
    std::set<std::string> keyDigests; ///< SHA-256 of each API key, in lower-case hexadecimal digits.
    std::set<std::string> models; ///< Models it may use, by name.
    std::set<std::string> services; ///< Plain services it may call, by name.
    OrganisationLimits limits;

    bool operator==(const Organisation &) const = default;
};

/// A model with the weight version that new requests use and, during a rollout, the version that replaces it.
struct Model {
    std::string name;
    std::string version;
    std::string nextVersion; ///< Empty when no rollout is under way.

    bool operator==(const Model &) const = default;
};

/// Whether new work may be sent to a backend server or a failure domain.
enum class ServiceState {
    InService,
    TakenOut,
};

/// A group of hosts and backend servers that can fail together and can be taken out together.
struct FailureDomain {
    std::string name;
    std::string region;
    ServiceState service = ServiceState::InService;

    bool operator==(const FailureDomain &) const = default;
};

/// Kinds of backend servers.
enum class ServerKind {
    Runner, ///< Model engine.
    Plain, ///< Server of a plain service, such as the order application.
    Store, ///< Store of cache pieces.
};

/// A backend server that may be given work.
struct BackendServer {
    std::string name;
    ServerKind kind = ServerKind::Runner;
    std::string address; ///< "a.b.c.d:port".
    std::string domain; ///< Name of its failure domain.
    std::string pool; ///< Name of the model of a runner or of the plain service; empty for a store.
    bool checksOrders = false; ///< The server itself rejects an order with an outdated fencing number.
    std::uint32_t coldConcurrency = 1; ///< Concurrent requests that it can handle right after a cold start.
    std::uint32_t warmConcurrency = 8; ///< Concurrent requests that it can handle when warm.
    ServiceState service = ServiceState::InService;

    bool operator==(const BackendServer &) const = default;
};

/// A plain service (no model engine) and which of its calls may be retried.
struct PlainService {
    std::string name;
    std::set<std::string> idempotentPaths; ///< POST paths that may run more than once; GET and HEAD always may.

    bool operator==(const PlainService &) const = default;
};

/// The whole configuration at one revision.
struct Fleet {
    std::uint64_t revision = 0; ///< Number of release notes accepted so far; 0 for the empty configuration.
    std::map<std::string, Organisation> organisations;
    std::map<std::string, Model> models;
    std::map<std::string, FailureDomain> domains;
    std::map<std::string, BackendServer> servers;
    std::map<std::string, PlainService> services;

    bool operator==(const Fleet &) const = default;
};

/// All or some of the entries of a configuration, as lists.
struct FleetEntries {
    std::vector<Organisation> organisations;
    std::vector<Model> models;
    std::vector<FailureDomain> domains;
    std::vector<BackendServer> servers;
    std::vector<PlainService> services;

    bool operator==(const FleetEntries &) const = default;
};

/// Names of entries of a configuration, by kind.
struct FleetNames {
    std::vector<std::string> organisations;
    std::vector<std::string> models;
    std::vector<std::string> domains;
    std::vector<std::string> servers;
    std::vector<std::string> services;

    bool operator==(const FleetNames &) const = default;
};

/// A change of the configuration as operators publish it: entries to add, change and withdraw.
struct ReleaseNote {
    std::string author;
    std::uint64_t against = 0; ///< Revision that the note is based on.
    FleetEntries added; ///< Entries whose names are not in force yet.
    FleetEntries changed; ///< Entries already in force; each one replaces the old entry of its name completely.
    FleetNames withdrawn;

    bool operator==(const ReleaseNote &) const = default;
};

} // namespace endivespan
