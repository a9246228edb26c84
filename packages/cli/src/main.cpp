#include "bench.h"
#include "command.h"

#include <CLI/CLI.hpp>

#include <csignal>

int main(int argc, char **argv)
{
    std::signal(SIGPIPE, SIG_IGN);
    CLI::App app {"Operates endivespan hosts: checks and publishes release notes and queries the state of hosts."};
    app.require_subcommand(1);
    int exitCode = endivespan::cli::ExitDone;
    endivespan::cli::addCheck(app, exitCode);
    endivespan::cli::addPublish(app, exitCode);
    endivespan::cli::addStatus(app, exitCode);
    endivespan::cli::addExplain(app, exitCode);
    endivespan::cli::addKey(app, exitCode);
    endivespan::cli::addBench(app, exitCode);
    try {
        app.parse(argc, argv);
    } catch (const CLI::ParseError &problem) {
        const bool isHelp = app.exit(problem) == 0;
        return isHelp ? endivespan::cli::ExitDone : endivespan::cli::ExitBadInput;
    }
    return exitCode;
}
