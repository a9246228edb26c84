#pragma once

#include "standin.h"

#include <endivespan/fleet.h>

#include <vector>

namespace endivespan::standins {

/// What to start in one process.
struct DeploymentPlan {
    std::string model = "puhuja";
    std::string version = "v1";
    std::string service = "verstas";
    std::vector<std::string> domains {"hame-a", "hame-b", "hame-c"};
    std::vector<std::string> storeNames {"muisti-a", "muisti-b"};
    std::uint64_t runners = 20;
    std::uint64_t orderRunners = 3;
    std::uint64_t stores = 2;
    std::uint64_t organisations = 10;
    bool startCold = false; ///< Backend servers begin cold instead of warm.
    std::map<std::string, json> settings; ///< Settings to apply at the start, by kind.
};

/// @returns the plan of one of the two users' deployments, or nothing for another name.
std::unique_ptr<DeploymentPlan> namedPlan(const std::string &name);

/// All stand-ins of one process, and one address from which each can be controlled also while it is down.
class Deployment
{
public:
    explicit Deployment(Loop &loop)
        : loop(loop)
    {
    }

    /// Starts everything in @p plan.
    /// @returns an empty text, or what went wrong.
    std::string start(const DeploymentPlan &plan);

    [[nodiscard]] const std::vector<std::unique_ptr<StandIn>> &standIns() const
    {
        return this->started;
    }

    /// @returns the release note that adds everything in the deployment; the API key of an organisation is "key-NAME".
    [[nodiscard]] ReleaseNote note() const;

    /// @returns the address for control; "/NAME/control" and "/NAME/counts" reach one stand-in, "/note" gives note() as
    /// YAML.
    [[nodiscard]] std::string controlAddress() const;

private:
    StandIn *add(std::unique_ptr<StandIn> standIn);
    void startPlatform();
    void startServers();
    void deploy(std::unique_ptr<StandIn> standIn, ServerKind kind, const std::string &pool);
    void startControl();
    void control(const ExchangePtr &exchange);
    StandIn *find(const std::string &name);

    Loop &loop;
    std::vector<std::unique_ptr<StandIn>> started;
    std::vector<BackendServer> backendServers;
    std::unique_ptr<HttpServer> controlServer;
    std::string problem;
    std::string weightStore;
    DeploymentPlan plan;
};

} // namespace endivespan::standins
