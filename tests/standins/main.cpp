#include "deployment.h"

#include <endivespan/log.h>
#include <endivespan/note.h>

#include <CLI/CLI.hpp>
#include <fmt/core.h>

#include <csignal>
#include <fstream>

using namespace endivespan;
using namespace endivespan::standins;

namespace {

void announce(const Deployment &deployment)
{
    for (const auto &standIn : deployment.standIns()) {
        fmt::print("standin {} {} {}\n", standIn->kind(), standIn->name(), standIn->address());
    }
    fmt::print("standin control control {}\n", deployment.controlAddress());
    fmt::print("standins ready\n");
    std::fflush(stdout);
}

// Takes "KIND={...}" with settings as JSON.
std::string takeSetting(const std::string &text, DeploymentPlan &plan)
{
    const auto equals = text.find('=');
    const json settings = equals == std::string::npos ? json() : json::parse(text.substr(equals + 1), nullptr, false);
    if (!settings.is_object()) {
        return "--set takes KIND={\"setting\": value}, not " + text;
    }
    plan.settings[text.substr(0, equals)] = settings;
    return {};
}

// Writes the release note that adds the deployment.
bool writeNote(const Deployment &deployment, const std::string &path)
{
    std::ofstream file(path);
    file << noteToYaml(deployment.note());
    return file.good();
}

int run(const DeploymentPlan &plan, const std::string &notePath)
{
    Loop loop;
    Deployment deployment(loop);
    if (const std::string problem = deployment.start(plan); !problem.empty()) {
        logLine("standin", "{}", problem);
        return 1;
    }
    if (!notePath.empty() && !writeNote(deployment, notePath)) {
        logLine("standin", "{} cannot be written", notePath);
        return 1;
    }
    const auto terminated = loop.onSignal(SIGTERM, [&loop] { loop.stop(); });
    const auto interrupted = loop.onSignal(SIGINT, [&loop] { loop.stop(); });
    announce(deployment);
    loop.run();
    return 0;
}

} // namespace

int main(int argc, char **argv)
{
    std::signal(SIGPIPE, SIG_IGN);
    CLI::App app {"Small stand-ins for the outside systems, for tests and the demo"};
    std::string name = "nukkekoti";
    std::vector<std::string> settings;
    const DeploymentPlan defaults;
    std::uint64_t runners = defaults.runners;
    std::uint64_t orderRunners = defaults.orderRunners;
    std::uint64_t stores = defaults.stores;
    std::string notePath;
    bool cold = false;
    app.add_option("--deployment", name, "nukkekoti or torun")->capture_default_str();
    app.add_option("--runners", runners, "Model engines")->capture_default_str();
    app.add_option("--order-runners", orderRunners, "Servers of the plain service")->capture_default_str();
    app.add_option("--stores", stores, "Store hosts")->capture_default_str();
    app.add_option("--set", settings, "Settings for all stand-ins of a kind, as KIND={\"setting\": value}");
    app.add_option("--write-note", notePath, "File to write the release note to that adds the deployment");
    app.add_flag("--cold", cold, "Backend servers start cold");
    CLI11_PARSE(app, argc, argv);

    const auto plan = namedPlan(name);
    if (plan == nullptr) {
        logLine("standin", "no deployment is named {}", name);
        return 1;
    }
    plan->runners = runners;
    plan->orderRunners = orderRunners;
    plan->stores = stores;
    plan->startCold = cold;
    for (const std::string &text : settings) {
        if (const std::string problem = takeSetting(text, *plan); !problem.empty()) {
            logLine("standin", "{}", problem);
            return 1;
        }
    }
    return run(*plan, notePath);
}
