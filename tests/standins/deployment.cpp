#include "deployment.h"

#include "engine_standin.h"
#include "host_list_standin.h"
#include "log_standin.h"
#include "plain_standin.h"
#include "store_standin.h"
#include "weight_standin.h"

#include <endivespan/note.h>
#include <endivespan/prefix.h>

#include <utility>

namespace endivespan::standins {

namespace {

const std::string AnyPort = "127.0.0.1:0";
const std::string Region = "hame";
constexpr std::uint64_t LargeOrganisations = 2;
constexpr std::uint32_t LargeWeight = 4;

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

std::string Deployment::start(const DeploymentPlan &wanted)
{
    this->plan = wanted;
    this->startPlatform();
    this->startServers();
    this->startControl();
    return this->problem;
}

StandIn *Deployment::add(std::unique_ptr<StandIn> standIn)
{
    if (!standIn->open(AnyPort)) {
        this->problem = standIn->name() + " cannot listen";
    }
    if (const auto found = this->plan.settings.find(standIn->kind()); found != this->plan.settings.end()) {
        if (const std::string wrong = standIn->control(found->second); !wrong.empty()) {
            this->problem = wrong;
        }
    }
    this->started.push_back(std::move(standIn));
    return this->started.back().get();
}

void Deployment::startPlatform()
{
    this->add(std::make_unique<LogStandIn>(this->loop, "log"));
    this->add(std::make_unique<HostListStandIn>(this->loop, "hosts"));
    auto weights = std::make_unique<WeightStandIn>(this->loop, "weights");
    weights->addVersion(this->plan.model, this->plan.version);
    this->weightStore = this->add(std::move(weights))->address();
}

void Deployment::deploy(std::unique_ptr<StandIn> standIn, ServerKind kind, const std::string &pool)
{
    const StandIn *server = this->add(std::move(standIn));
    const std::string &domain = this->plan.domains[this->backendServers.size() % this->plan.domains.size()];
    BackendServer added;
    added.name = server->name();
    added.kind = kind;
    added.address = server->address();
    added.domain = domain;
    added.pool = pool;
    this->backendServers.push_back(added);
}

void Deployment::startServers()
{
    for (std::uint64_t i = 1; i <= this->plan.runners; ++i) {
        const std::string name = numbered(this->plan.model, i);
        auto engine = std::make_unique<EngineStandIn>(this->loop, name, this->plan.model, this->plan.version);
        engine->setWeightStore(this->weightStore);
        // Some engines check fencing numbers, others ignore them.
        const bool checksFences = i % 2 == 1;
        engine->control({{"check_fences", checksFences}});
        this->deploy(std::move(engine), ServerKind::Runner, this->plan.model);
        this->backendServers.back().checksOrders = checksFences;
    }
    const auto ledger = std::make_shared<RunLedger>();
    for (std::uint64_t i = 1; i <= this->plan.orderRunners; ++i) {
        const std::string name = numbered(this->plan.service, i);
        this->deploy(std::make_unique<PlainStandIn>(this->loop, name, this->plan.service, ledger),
                     ServerKind::Plain,
                     this->plan.service);
    }
    for (std::uint64_t i = 0; i < this->plan.stores; ++i) {
        const auto &names = this->plan.storeNames;
        const std::string name = i < names.size() ? names[i] : numbered("store", i + 1);
        this->deploy(std::make_unique<StoreStandIn>(this->loop, name), ServerKind::Store, "");
    }
    auto *hosts = dynamic_cast<HostListStandIn *>(this->find("hosts"));
    for (const BackendServer &server : this->backendServers) {
        hosts->addHost(server.name);
        if (this->plan.startCold && server.kind != ServerKind::Store) {
            this->find(server.name)->control({{"cold", true}});
        }
    }
}

ReleaseNote Deployment::note() const
{
    ReleaseNote note;
    note.author = "operator";
    note.added.models.push_back({this->plan.model, this->plan.version, ""});
    note.added.services.push_back({this->plan.service, {}});
    for (const std::string &domain : this->plan.domains) {
        note.added.domains.push_back({domain, Region, ServiceState::InService});
    }
    for (std::uint64_t i = 1; i <= this->plan.organisations; ++i) {
        Organisation organisation;
        organisation.name = numbered("workshop", i);
        organisation.keyDigests = {sha256Hex("key-" + organisation.name)};
        organisation.models = {this->plan.model};
        organisation.services = {this->plan.service};
        // A few organisations are large.
        organisation.limits.weight = i <= LargeOrganisations ? LargeWeight : 1;
        note.added.organisations.push_back(organisation);
    }
    note.added.servers = this->backendServers;
    return note;
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
    } else if (path == "/note") {
        exchange->reply(200, {{"Content-Type", "application/yaml"}}, noteToYaml(this->note()));
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
