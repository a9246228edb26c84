#include "deployment.h"

#include "engine_standin.h"
#include "host_list_standin.h"
#include "log_standin.h"
#include "plain_standin.h"
#include "store_standin.h"
#include "weight_standin.h"

#include <utility>

namespace endivespan::standins {

namespace {

const std::string AnyPort = "127.0.0.1:0";

std::string numbered(const std::string &name, std::uint64_t number)
{
    return name + "-" + std::to_string(number);
}

} // namespace

std::unique_ptr<DeploymentPlan> namedPlan(const std::string &name)
{
    auto plan = std::make_unique<DeploymentPlan>();
    if (name == "nukkekoti") {
        return plan;
    }
    if (name == "torun") {
        plan->model = "pattern-llm";
        plan->service = "order-desk";
        plan->domains = {"podgorz", "mokre", "bielany"};
        plan->storeNames = {"catalogue-cache", "glossary-cache"};
        return plan;
    }
    return nullptr;
}

std::string Deployment::start(const DeploymentPlan &plan)
{
    this->startPlatform(plan);
    this->startServers(plan);
    this->startControl();
    return this->problem;
}

StandIn *Deployment::add(std::unique_ptr<StandIn> standIn, const DeploymentPlan &plan)
{
    if (!standIn->open(AnyPort)) {
        this->problem = standIn->name() + " cannot listen";
    }
    if (const auto found = plan.settings.find(standIn->kind()); found != plan.settings.end()) {
        if (const std::string wrong = standIn->control(found->second); !wrong.empty()) {
            this->problem = wrong;
        }
    }
    this->started.push_back(std::move(standIn));
    return this->started.back().get();
}

void Deployment::startPlatform(const DeploymentPlan &plan)
{
    this->add(std::make_unique<LogStandIn>(this->loop, "log"), plan);
    this->add(std::make_unique<HostListStandIn>(this->loop, "hosts"), plan);
    auto weights = std::make_unique<WeightStandIn>(this->loop, "weights");
    weights->addVersion(plan.model, plan.version);
    this->weightStore = this->add(std::move(weights), plan)->address();
}

void Deployment::startServers(const DeploymentPlan &plan)
{
    const auto deploy
        = [this, &plan](std::unique_ptr<StandIn> standIn, const std::string &kind, const std::string &pool) {
              const StandIn *server = this->add(std::move(standIn), plan);
              const std::string &domain = plan.domains[this->backendServers.size() % plan.domains.size()];
              this->backendServers.push_back({server->name(), kind, server->address(), domain, pool, false});
          };
    for (std::uint64_t i = 1; i <= plan.runners; ++i) {
        auto engine = std::make_unique<EngineStandIn>(this->loop, numbered(plan.model, i), plan.model, plan.version);
        engine->setWeightStore(this->weightStore);
        // Some engines check fencing numbers, others ignore them.
        const bool checksFences = i % 2 == 1;
        engine->control({{"check_fences", checksFences}});
        deploy(std::move(engine), "runner", plan.model);
        this->backendServers.back().checksOrders = checksFences;
    }
    const auto ledger = std::make_shared<RunLedger>();
    for (std::uint64_t i = 1; i <= plan.orderRunners; ++i) {
        const std::string name = numbered(plan.service, i);
        deploy(std::make_unique<PlainStandIn>(this->loop, name, plan.service, ledger), "plain", plan.service);
    }
    for (std::uint64_t i = 0; i < plan.stores; ++i) {
        const std::string name = i < plan.storeNames.size() ? plan.storeNames[i] : numbered("store", i + 1);
        deploy(std::make_unique<StoreStandIn>(this->loop, name), "store", "");
    }
    auto *hosts = dynamic_cast<HostListStandIn *>(this->find("hosts"));
    for (const DeployedServer &server : this->backendServers) {
        hosts->addHost(server.name);
        if (plan.startCold && server.kind != "store") {
            this->find(server.name)->control({{"cold", true}});
        }
    }
}

void Deployment::startControl()
{
    auto opened
        = HttpServer::listen(this->loop, AnyPort, defaultHttpServerLimits(), [this](const ExchangePtr &exchange) {
              this->control(exchange);
          });
    if (!opened) {
        this->problem = opened.error().detail;
        return;
    }
    this->controlServer = std::move(opened.value());
}

std::string Deployment::controlAddress() const
{
    return "127.0.0.1:" + std::to_string(this->controlServer->port());
}

StandIn *Deployment::find(const std::string &name)
{
    for (const auto &standIn : this->started) {
        if (standIn->name() == name) {
            return standIn.get();
        }
    }
    return nullptr;
}

void Deployment::control(const ExchangePtr &exchange)
{
    const std::string &path = exchange->request().path;
    const auto slash = path.rfind('/');
    const std::string verb = path.substr(slash + 1);
    StandIn *standIn = slash == 0 ? nullptr : this->find(path.substr(1, slash - 1));
    if (path == "/counts") {
        json all = json::object();
        for (const auto &each : this->started) {
            all[each->name()] = each->counts();
        }
        replyJson(exchange, 200, all);
    } else if (standIn != nullptr && verb == "counts") {
        replyJson(exchange, 200, standIn->counts());
    } else if (standIn != nullptr && verb == "control") {
        const std::string wrong = standIn->control(bodyOf(exchange));
        replyJson(exchange, wrong.empty() ? 200 : 400, wrong.empty() ? json::object() : json {{"error", wrong}});
    } else {
        replyJson(exchange, 404, {{"error", "no such stand-in"}});
    }
}

} // namespace endivespan::standins
