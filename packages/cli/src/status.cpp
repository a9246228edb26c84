#include "command.h"

#include <CLI/CLI.hpp>
#include <fmt/core.h>
#include <nlohmann/json.hpp>

#include <memory>
#include <set>
#include <vector>

namespace endivespan::cli {

namespace {

using nlohmann::json;

std::string fieldText(const json &status, const char *field)
{
    const auto value = status.find(field);
    if (value == status.end() || value->is_null()) {
        return "-";
    }
    return value->is_string() ? value->get<std::string>() : value->dump();
}

/// Revision and digest of each host that has answered, to find out whether all hosts hold the same configuration.
struct Seen {
    std::set<std::string> states;
    std::size_t answered = 0;
};

void printHost(const std::string &address, const Result<HttpAnswer> &answer, Seen &seen)
{
    const json status = answer ? json::parse(answer.value().body, nullptr, false) : json();
    if (!status.is_object()) {
        fmt::print("{:<22} no status: {}\n", address, answer ? "answer is not a JSON object" : answer.error().detail);
        return;
    }
    const std::string digest = fieldText(status, "digest").substr(0, 16);
    ++seen.answered;
    seen.states.insert(fieldText(status, "revision") + " " + digest);
    fmt::print("{:<22} {:<16} revision {:<6} digest {:<16} in force after {} ms, ready {}, stale {}\n",
               address,
               fieldText(status, "host"),
               fieldText(status, "revision"),
               digest,
               fieldText(status, "in_force_ms"),
               fieldText(status, "ready"),
               fieldText(status, "stale"));
}

int showStatus(const std::vector<std::string> &hosts)
{
    Seen seen;
    for (const std::string &host : hosts) {
        printHost(host, get(host, "/status"), seen);
    }
    const bool same = seen.answered == hosts.size() && seen.states.size() == 1;
    fmt::print("{} of {} hosts answered, {}\n",
               seen.answered,
               hosts.size(),
               same ? "all hold the same configuration" : "not all hold the same configuration");
    return same ? ExitDone : ExitFailed;
}

} // namespace

void addStatus(CLI::App &app, int &exitCode)
{
    CLI::App *command = app.add_subcommand("status", "Queries hosts for their configuration and compares the answers");
    const auto hosts = std::make_shared<std::vector<std::string>>();
    command->add_option("--host", *hosts, "Addresses of the hosts, as callers use them")
        ->required()
        ->check(addressProblem);
    command->callback([hosts, &exitCode] { exitCode = showStatus(*hosts); });
}

} // namespace endivespan::cli
