#include "command.h"
#include "publisher.h"

#include <endivespan/config.h>
#include <endivespan/config_codec.h>
#include <endivespan/note.h>
#include <endivespan/text.h>

#include <CLI/CLI.hpp>
#include <fmt/core.h>

#include <memory>
#include <random>

namespace endivespan::cli {

namespace {

struct Arguments {
    std::string path;
    std::string log;
    unsigned timeoutSeconds = 30;
};

std::string randomWriter()
{
    std::random_device source;
    return fmt::format("publish-{:08x}{:08x}", source(), source());
}

Publication publishNote(const NoteRecord &record, const Arguments &arguments)
{
    Loop loop;
    const auto log = LogClient::create(loop, arguments.log);
    Publication end;
    Publisher publisher(
        loop, *log, record, std::chrono::seconds(arguments.timeoutSeconds), [&](const Publication &publication) {
            end = publication;
            loop.stop();
        });
    publisher.start();
    loop.run();
    return end;
}

int report(const std::string &path, const Publication &publication)
{
    if (!publication.outcome) {
        const char *state = publication.mayBeAppended ? "outcome unknown" : "not published";
        fmt::print(stderr, "{}: {}: {}\n", path, state, publication.problem);
        return publication.mayBeAppended ? ExitUnknown : ExitFailed;
    }
    const NoteOutcome &outcome = *publication.outcome;
    if (outcome.verdict == NoteVerdict::Accepted) {
        fmt::print("{}: accepted as revision {}\n", path, outcome.revision);
        return ExitDone;
    }
    fmt::print(stderr, "{}: refused: {}\n", path, outcome.reason);
    return ExitRefused;
}

int publish(const Arguments &arguments)
{
    const auto text = readFile(arguments.path);
    if (!text) {
        fmt::print(stderr, "{}:1:1: cannot be read\n", arguments.path);
        return ExitBadInput;
    }
    const auto note = parseNote(*text, arguments.path);
    if (!note) {
        fmt::print(stderr, "{}", problemTexts(note.error()));
        return ExitBadInput;
    }
    const NoteRecord record {{randomWriter(), 1}, note.value()};
    if (encodeConfigRecord(record).size() > config::MaxNoteBytes) {
        fmt::print(stderr, "{}:1:1: the note is larger than 1 MiB; split it into several notes\n", arguments.path);
        return ExitBadInput;
    }
    return report(arguments.path, publishNote(record, arguments));
}

} // namespace

void addPublish(CLI::App &app, int &exitCode)
{
    CLI::App *command = app.add_subcommand("publish", "Publishes a release note and reports whether it was accepted");
    const auto arguments = std::make_shared<Arguments>();
    command->add_option("note", arguments->path, "Release note, in YAML")->required();
    command->add_option("--log", arguments->log, "Address of the log service")->required()->check(addressProblem);
    command->add_option("--wait", arguments->timeoutSeconds, "Maximum time in seconds to wait for the outcome")
        ->capture_default_str()
        ->check(CLI::Range(1U, 3600U));
    command->callback([arguments, &exitCode] { exitCode = publish(*arguments); });
}

} // namespace endivespan::cli
