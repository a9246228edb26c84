#pragma once

#include "backends.h"
#include "claim_task.h"
#include "context.h"
#include "credit_task.h"
#include "explain.h"
#include "fleet_source.h"
#include "front.h"
#include "lease_task.h"
#include "metrics.h"
#include "peer_task.h"
#include "prompt_task.h"
#include "service_task.h"

#include <endivespan/confirmation.h>
#include <endivespan/engine_client.h>
#include <endivespan/host_list.h>
#include <endivespan/log_client.h>
#include <endivespan/loop.h>
#include <endivespan/membership.h>
#include <endivespan/settings.h>

#include <functional>
#include <memory>
#include <random>

/// One host of the system: creates and connects its tasks, starts and stops them.
namespace endivespan {

class ConfigTask;

/// Owns all tasks of the process.
class Node
{
public:
    /// @param onStopped Called once, when the stop that beginStop() began is complete.
    Node(Loop &loop, Settings settings, std::function<void()> onStopped);
    ~Node();
    Node(const Node &) = delete;
    Node &operator=(const Node &) = delete;

    /// Starts to listen for callers and peers and to read the log.
    /// @returns an error when an address cannot be bound.
    Result<void> start();

    /// Begins a graceful stop: new requests are refused, requests under way are completed.
    void beginStop();

private:
    void announce() const;
    void tick();
    void proposeOwnership(TimePoint now);
    void serveModels(HttpExchange &exchange, const Caller &caller) const;
    void continueStop(TimePoint now);

    Loop &loop;
    Settings settings;
    std::function<void()> onStopped;
    std::mt19937_64 random;
    Metrics metrics;
    ExplainBook explain;
    std::unique_ptr<EngineClient> engines;
    std::unique_ptr<LogClient> log;
    Membership membership;
    Confirmation confirmation;
    std::unique_ptr<ConfigTask> config;
    std::unique_ptr<PeerTask> peers;
    std::unique_ptr<LeaseTask> leases;
    std::unique_ptr<Backends> backends;
    std::unique_ptr<HostListSource> hostList;
    std::unique_ptr<CreditTask> credits;
    std::unique_ptr<NodeContext> context;
    std::unique_ptr<Front> front;
    std::unique_ptr<PromptTask> prompts;
    std::unique_ptr<ClaimTask> claims;
    std::unique_ptr<ServiceTask> services;
    std::unique_ptr<Timer> ticker;
    std::unique_ptr<Timer> hostListPoll;
    bool stopping = false;
    bool acceptingStopped = false;
    TimePoint stopAcceptingAt;
    TimePoint nextOwnership;
    TimePoint claimsMustEndBy;
};

} // namespace endivespan
