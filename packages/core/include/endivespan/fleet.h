#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

/// The configuration in force, as plain data: who may call, and which backend servers may take work.
namespace endivespan {

/// Admission limits of one organisation.
struct OrganisationLimits {
    std::uint32_t requestsInFlight = 64;
    std::uint32_t weight = 1; ///< Share of a contended backend server relative to other organisations.

    bool operator==(const OrganisationLimits &) const = default;
};

/// A workshop whose callers use one or more API keys.
struct Organisation {
    std::string name;
    std::set<std::string> keyDigests; ///< Lower-case hexadecimal SHA-256 of each API key.
    std::set<std::string> models; ///< Models it may use, by name.
    std::set<std::string> services; ///< Plain services it may call, by name.
    OrganisationLimits limits;

    bool operator==(const Organisation &) const = default;
};

/// A model, the weight version that new requests use, and the one it is moving to.
struct Model {
    std::string name;
    std::string version;
    std::string nextVersion; ///< Empty when no rollout is under way.

    bool operator==(const Model &) const = default;
};

/// Whether new work may go somewhere.
enum class Service {
    InService,
    TakenOut,
};

/// A zone whose machines can fail or be taken out together.
struct FailureDomain {
    std::string name;
    std::string region;
    Service service = Service::InService;

    bool operator==(const FailureDomain &) const = default;
};

/// What a backend server is.
enum class ServerKind {
    Runner, ///< Model engine.
    Plain, ///< Plain service such as the order application.
    Store, ///< Store host for cache pieces.
};

/// A machine that may take work.
struct BackendServer {
    std::string name;
    ServerKind kind = ServerKind::Runner;
    std::string address; ///< "a.b.c.d:port".
    std::string domain;
    std::string pool; ///< Model name for a runner, service name for a plain service, empty for a store.
    bool checksOrders = false; ///< Refuses an order with an old fencing number.
    std::uint32_t coldConcurrency = 1; ///< Requests it bears just after a cold start.
    std::uint32_t warmConcurrency = 8; ///< Requests it bears when warm.
    Service service = Service::InService;

    bool operator==(const BackendServer &) const = default;
};

/// A plain service and which of its calls may be repeated.
struct PlainService {
    std::string name;
    std::set<std::string> idempotentPaths; ///< POST paths that may run more than once; GET and HEAD always may.

    bool operator==(const PlainService &) const = default;
};

/// The whole configuration at one revision.
struct Fleet {
    std::uint64_t revision = 0; ///< Counts accepted release notes; 0 is the empty configuration.
    std::map<std::string, Organisation> organisations;
    std::map<std::string, Model> models;
    std::map<std::string, FailureDomain> domains;
    std::map<std::string, BackendServer> servers;
    std::map<std::string, PlainService> services;

    bool operator==(const Fleet &) const = default;
};

/// Everything of a fleet, or a part of it, as lists.
struct FleetEntries {
    std::vector<Organisation> organisations;
    std::vector<Model> models;
    std::vector<FailureDomain> domains;
    std::vector<BackendServer> servers;
    std::vector<PlainService> services;

    bool operator==(const FleetEntries &) const = default;
};

/// Names of entries of a fleet.
struct FleetNames {
    std::vector<std::string> organisations;
    std::vector<std::string> models;
    std::vector<std::string> domains;
    std::vector<std::string> servers;
    std::vector<std::string> services;

    bool operator==(const FleetNames &) const = default;
};

/// What operators publish: what is added, changed and withdrawn, against one revision.
struct ReleaseNote {
    std::string author;
    std::uint64_t against = 0; ///< The revision that the note was written against.
    FleetEntries added; ///< Not in force before.
    FleetEntries changed; ///< In force before; each one takes the place of the old one as a whole.
    FleetNames withdrawn;

    bool operator==(const ReleaseNote &) const = default;
};

} // namespace endivespan
