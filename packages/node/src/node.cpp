#include "node.h"

#include "config_task.h"
#include "operator_pages.h"

#include <endivespan/config.h>
#include <endivespan/invariant.h>
#include <endivespan/log.h>
#include <endivespan/ownership.h>

#include <nlohmann/json.hpp>

#include <cstdio>
#include <utility>

namespace endivespan {

namespace {

HostReport reportOf(const Settings &settings)
{
    HostReport report {settings.host, settings.listen.peers, settings.failureDomain, settings.region, {}};
    // The start time serves as incarnation, since it increases with each start of the same host.
    report.status.version.incarnation
        = static_cast<std::uint64_t>(std::chrono::system_clock::now().time_since_epoch().count());
    return report;
}

} // namespace

Node::Node(Loop &loop, Settings settings, std::function<void()> onStopped)
    : loop(loop)
    , settings(std::move(settings))
    , onStopped(std::move(onStopped))
    , random(std::random_device {}())
    , engines(EngineClient::create(loop))
    , log(LogClient::create(loop, this->settings.logAddress))
    , membership(reportOf(this->settings), loop.now())
    , confirmation(!this->settings.peers.empty())
    , config(std::make_unique<ConfigTask>(loop, *this->log, this->settings, this->membership, this->confirmation))
    , peers(std::make_unique<PeerTask>(PeerTaskParts {loop,
                                                      this->settings.listen.peers,
                                                      this->settings.peers,
                                                      this->metrics,
                                                      this->membership,
                                                      this->confirmation,
                                                      *this->config}))
    , leases(std::make_unique<LeaseTask>(
          loop, *this->log, LeaseOwner {this->settings.host, this->membership.self().status.version.incarnation}))
    , backends(std::make_unique<Backends>(loop, *this->config, *this->engines))
    , hostList(HostListSource::create(loop, this->settings.hostListAddress))
    , credits(std::make_unique<CreditTask>(loop, this->metrics, *this->backends, *this->peers, *this->leases))
    , context(std::make_unique<NodeContext>(NodeContext {loop,
                                                         this->settings,
                                                         *this->config,
                                                         this->metrics,
                                                         this->explain,
                                                         *this->engines,
                                                         *this->backends,
                                                         this->random}))
    , front(std::make_unique<Front>(*this->context))
    , prompts(std::make_unique<PromptTask>(*this->context))
    , claims(std::make_unique<ClaimTask>(loop, *this->log, this->settings, this->random()))
    , services(std::make_unique<ServiceTask>(
          *this->context, *this->claims, makeLeastInFlightPicker(*this->backends, this->random)))
{
    setViolationHandler([](Invariant invariant, std::string_view detail) {
        logLine("invariant", "invariant {} violated: {}", invariantName(invariant), detail);
    });
}

Node::~Node()
{
    setViolationHandler({});
}

Result<void> Node::start()
{
    this->front->addCallerPath("POST", "/v1/completions", [this](const auto &exchange, const Caller &caller) {
        this->prompts->serve(PromptApi::Completions, exchange, caller);
    });
    this->front->addCallerPath("POST", "/v1/chat/completions", [this](const auto &exchange, const Caller &caller) {
        this->prompts->serve(PromptApi::Chat, exchange, caller);
    });
    this->front->addCallerPath("GET", "/v1/models", [this](const auto &exchange, const Caller &caller) {
        this->serveModels(*exchange, caller);
    });
    this->front->addCallerPath("", "/services/", [this](const auto &exchange, const Caller &caller) {
        this->services->serve(exchange, caller);
    });
    addOperatorPages(*this->front, *this->context, [this] {
        return NodeStatus {this->prompts->inFlight(), this->stopping};
    });
    if (auto listening = this->front->listen(); !listening) {
        return listening.error();
    }
    if (auto listening = this->peers->start(); !listening) {
        return listening.error();
    }
    this->peers->setService(
        [this](const std::string &, const PeerMessage &message) { return this->credits->answer(message); });
    this->config->start();
    this->leases->start();
    // The host list may lag behind anyway, so after a failed read the previous list remains in use.
    this->hostListPoll = this->loop.every(config::HostListPeriod, [this] {
        this->hostList->read([this](const Result<std::vector<PlatformHost>> &hosts) {
            if (hosts) {
                this->backends->applyHostList(hosts.value());
            }
        });
    });
    this->ticker = this->loop.every(config::TickPeriod, [this] { this->tick(); });
    logLine("node", "{} listens for callers on port {}", this->settings.host, this->front->port());
    this->announce();
    return boost::outcome_v2::success();
}

// A parent process that starts this one with port 0 reads the chosen ports from these lines.
void Node::announce() const
{
    const std::string &address = this->settings.listen.callers;
    fmt::print("listening callers {}:{}\n", address.substr(0, address.rfind(':')), this->front->port());
    fmt::print("listening peers {}\n", this->peers->address());
    fmt::print("ready\n");
    std::fflush(stdout);
}

void Node::tick()
{
    const TimePoint now = this->loop.now();
    this->peers->tick(now);
    this->proposeOwnership(now);
    this->leases->tick(now);
    this->credits->tick(now);
    this->backends->tick(now);
    this->prompts->tick(this->membership.eligibleOwners().size());
    this->services->tick();
    this->claims->tick(this->membership.eligibleOwners().size());
    this->claims->report(this->metrics);
    this->front->report(this->metrics);
    if (this->stopping) {
        this->continueStop(now);
    }
}

void Node::proposeOwnership(TimePoint now)
{
    if (now < this->nextOwnership) {
        return;
    }
    this->nextOwnership = now + config::OwnershipPeriod;
    std::set<std::string> resources {std::string(SuspectsResource)};
    for (const auto &[name, server] : this->config->fleet().servers) {
        if (server.kind != ServerKind::Store) {
            resources.insert(serverResource(name));
        }
    }
    this->leases->want(proposedResources(this->settings.host, this->membership.eligibleOwners(), resources));
}

void Node::serveModels(HttpExchange &exchange, const Caller &caller) const
{
    nlohmann::json models = nlohmann::json::array();
    const Fleet &fleet = this->config->fleet();
    for (const std::string &name : fleet.organisations.at(caller.organisation).models) {
        models.push_back({{"id", name}, {"object", "model"}, {"version", fleet.models.at(name).version}});
    }
    replyJson(exchange, 200, nlohmann::json {{"object", "list"}, {"data", std::move(models)}}.dump());
}

void Node::beginStop()
{
    if (this->stopping) {
        return;
    }
    logLine("node", "{} is stopping, {} requests under way", this->settings.host, this->front->openExchanges());
    this->stopping = true;
    this->peers->leave();
    this->front->refuseNew();
    // The load balancer takes some time to notice that this host is not ready. Until then the host still accepts
    // connections and refuses requests with an error that names the reason.
    this->stopAcceptingAt = this->loop.now() + config::StopAcceptDelay;
}

void Node::continueStop(TimePoint now)
{
    if (!this->acceptingStopped) {
        if (now >= this->stopAcceptingAt) {
            this->acceptingStopped = true;
            this->claimsMustEndBy = now + config::ClaimStopLimit;
            this->front->stopAccepting();
        }
        return;
    }
    if (this->front->openExchanges() > 0 || this->services->inFlight() > 0) {
        this->claimsMustEndBy = now + config::ClaimStopLimit;
        return;
    }
    // All callers have been answered. A later retry of a request whose outcome is not in the log by now is answered
    // with an unknown outcome.
    if (!this->claims->isIdle() && now < this->claimsMustEndBy) {
        return;
    }
    checkInvariant(Invariant::StopCutsNothing, this->prompts->inFlight() == 0, this->settings.host);
    logLine("node", "{} stopped", this->settings.host);
    this->ticker.reset();
    this->hostListPoll.reset();
    this->onStopped();
}

} // namespace endivespan
