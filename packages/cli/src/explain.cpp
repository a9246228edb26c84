#include "command.h"

#include <endivespan/log_cause.h>

#include <CLI/CLI.hpp>
#include <fmt/core.h>
#include <nlohmann/json.hpp>

#include <fstream>
#include <iostream>
#include <memory>
#include <vector>

namespace endivespan::cli {

namespace {

struct Arguments {
    std::string request;
    std::string host;
    std::vector<std::string> logs;
    bool why = false;
};

bool readLog(const std::string &path, LogIndex &book)
{
    std::ifstream file;
    if (path != "-") {
        file.open(path);
        if (!file) {
            fmt::print(stderr, "{}: cannot be read\n", path);
            return false;
        }
    }
    std::istream &input = path == "-" ? std::cin : file;
    for (std::string line; std::getline(input, line);) {
        book.add(line);
    }
    return true;
}

int explainFromLogs(const Arguments &arguments)
{
    LogIndex book;
    for (const std::string &path : arguments.logs) {
        if (!readLog(path, book)) {
            return ExitFailed;
        }
    }
    book.finish();
    const auto cause = book.cause(arguments.request);
    if (!cause) {
        fmt::print(stderr, "none of {} log lines mentions request {}\n", book.size(), arguments.request);
        return ExitFailed;
    }
    for (const LogEntry *entry : book.linesOf(arguments.request)) {
        fmt::print("{}\n", entry->text);
    }
    if (arguments.why) {
        fmt::print("cause: {}\n", *cause);
    }
    return ExitDone;
}

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
    command->add_option("request", arguments->request, "Id of the request, as returned with its answer")
        ->required()
        ->check(CLI::Validator(
            [](std::string &text) { return CLI::detail::valid_name_string(text) ? "" : "not a valid request id"; },
            "ID"));
    CLI::Option *host
        = command->add_option("--host", arguments->host, "Address, for callers, of the host that handled the request")
              ->check(addressProblem);
    CLI::Option *logs
        = command
              ->add_option("--log",
                           arguments->logs,
                           "Log files of one or more hosts, read instead of asking a host; - for standard input")
              ->excludes(host);
    command->add_flag("--why", arguments->why, "With --log: prints the first cause found in the logs")->needs(logs);
    command->callback([arguments, &exitCode] {
        if (arguments->host.empty() && arguments->logs.empty()) {
            throw CLI::RequiredError("--host or --log");
        }
        exitCode = arguments->logs.empty() ? explain(*arguments) : explainFromLogs(*arguments);
    });
}

} // namespace endivespan::cli
