#include "node.h"

#include <endivespan/log.h>
#include <endivespan/process_memory.h>
#include <endivespan/standard_streams.h>
#include <endivespan/text.h>

#include <CLI/CLI.hpp>

#include <csignal>
#include <iostream>

namespace {

constexpr int ExitBadSettings = 2;
constexpr int ExitCannotStart = 1;

int serve(endivespan::Settings settings)
{
    endivespan::Loop loop;
    endivespan::Node node(loop, std::move(settings), [&loop] { loop.stop(); });
    const auto onTerminate = loop.onSignal(SIGTERM, [&node] { node.beginStop(); });
    const auto onInterrupt = loop.onSignal(SIGINT, [&node] { node.beginStop(); });
    if (const auto started = node.start(); !started) {
        endivespan::logLine("node", "cannot start: {}", started.error().detail);
        return ExitCannotStart;
    }
    loop.run();
    return 0;
}

} // namespace

int main(int argc, char **argv)
{
    CLI::App app {"Runs one host of Endivespan, which serves prompts that return after long gaps."};
    std::string path;
    app.add_option("settings", path, "Settings of this host, in YAML")->required();
    CLI11_PARSE(app, argc, argv);
    std::signal(SIGPIPE, SIG_IGN);
    // The settings are read at the start only. SIGHUP, which asks to read them again, must not end the process.
    std::signal(SIGHUP, SIG_IGN);
    if (const auto opened = endivespan::openStandardStreams(); !opened) {
        return ExitCannotStart;
    }
    endivespan::returnFreedMemory();
    const auto text = endivespan::readFile(path);
    if (!text) {
        std::cerr << path << ": cannot be read\n";
        return ExitBadSettings;
    }
    auto settings = endivespan::parseSettings(*text, path);
    if (!settings) {
        std::cerr << endivespan::problemTexts(settings.error());
        return ExitBadSettings;
    }
    return serve(std::move(settings.value()));
}
