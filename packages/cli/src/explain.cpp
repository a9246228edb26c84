#include "command.h"

#include <CLI/CLI.hpp>
#include <fmt/core.h>
#include <nlohmann/json.hpp>

#include <memory>

namespace endivespan::cli {

namespace {

struct Arguments {
    std::string request;
    std::string host;
};

int explain(const Arguments &arguments)
{
    const auto answer = get(arguments.host, "/explain/" + arguments.request);
    if (!answer) {
        fmt::print(stderr, "{}: {}\n", arguments.host, answer.error().detail);
        return ExitFailed;
    }
    const auto body = nlohmann::json::parse(answer.value().body, nullptr, false);
    const std::string text = body.is_discarded() ? answer.value().body : body.dump(2);
    if (answer.value().status != 200) {
        fmt::print(stderr, "{}\n", text);
        return ExitFailed;
    }
    fmt::print("{}\n", text);
    return ExitDone;
}

} // namespace

void addExplain(CLI::App &app, int &exitCode)
{
    CLI::App *command = app.add_subcommand("explain", "Prints the decisions about one request");
    const auto arguments = std::make_shared<Arguments>();
    command->add_option("request", arguments->request, "Id of the request, as its answer gave it")
        ->required()
        ->check(CLI::Validator(
            [](std::string &text) { return CLI::detail::valid_name_string(text) ? "" : "no request id"; }, "ID"));
    command->add_option("--host", arguments->host, "Address for callers of the host that took the request")
        ->required()
        ->check(addressProblem);
    command->callback([arguments, &exitCode] { exitCode = explain(*arguments); });
}

} // namespace endivespan::cli
