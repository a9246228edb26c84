#include "command.h"

#include <endivespan/note.h>
#include <endivespan/settings.h>
#include <endivespan/text.h>

#include <CLI/CLI.hpp>
#include <fmt/core.h>

#include <memory>
#include <regex>
#include <vector>

namespace endivespan::cli {

namespace {

// Recognises a release note by a top-level key that settings files never have.
bool looksLikeNote(const std::string &text)
{
    static const std::regex NoteKey("(^|\n)[\"']?(author|against|added|changed|withdrawn)[\"']?[ \t]*:");
    return std::regex_search(text, NoteKey);
}

std::vector<Problem> problemsOf(const std::string &path)
{
    const auto text = readFile(path);
    if (!text) {
        return {{path, 1, 1, "cannot be read"}};
    }
    if (looksLikeNote(*text)) {
        const auto note = parseNote(*text, path);
        return note ? std::vector<Problem>() : note.error();
    }
    const auto settings = parseSettings(*text, path);
    return settings ? std::vector<Problem>() : settings.error();
}

int check(const std::vector<std::string> &paths)
{
    int exitCode = ExitDone;
    for (const std::string &path : paths) {
        const std::vector<Problem> problems = problemsOf(path);
        if (problems.empty()) {
            fmt::print("{}: good\n", path);
            continue;
        }
        fmt::print(stderr, "{}", problemTexts(problems));
        exitCode = ExitBadInput;
    }
    return exitCode;
}

} // namespace

void addCheck(CLI::App &app, int &exitCode)
{
    CLI::App *command = app.add_subcommand("check", "Checks settings and release notes without publishing anything");
    const auto paths = std::make_shared<std::vector<std::string>>();
    command->add_option("file", *paths, "Settings file of a host, or a release note")->required();
    command->callback([paths, &exitCode] { exitCode = check(*paths); });
}

} // namespace endivespan::cli
