#pragma once

#include <endivespan/error.h>
#include <endivespan/http_client.h>

#include <optional>
#include <string>

namespace CLI { // NOLINT(readability-identifier-naming): named by the library
class App;
}

/// What the subcommands of `endivespan` share. Each subcommand stands in a file of its own and sets the exit code.
namespace endivespan::cli {

/// Exit codes of all subcommands; docs/OPERATIONS.md lists them.
enum ExitCode : int {
    ExitDone = 0,
    ExitFailed = 1, ///< Could not be done; nothing has changed.
    ExitBadInput = 2, ///< A file or an argument has a mistake.
    ExitRefused = 3, ///< The note was refused or lost against another one.
    ExitUnknown = 4, ///< The outcome is not known.
};

/// Adds `check FILE...`.
void addCheck(CLI::App &app, int &exitCode);

/// Adds `publish NOTE --log ADDRESS`.
void addPublish(CLI::App &app, int &exitCode);

/// Adds `status --host ADDRESS...`.
void addStatus(CLI::App &app, int &exitCode);

/// Adds `explain REQUEST --host ADDRESS`.
void addExplain(CLI::App &app, int &exitCode);

/// Adds `key`.
void addKey(CLI::App &app, int &exitCode);

/// Makes one GET call and waits for its answer.
Result<HttpAnswer> get(const std::string &address, const std::string &target);

/// @returns what is wrong with @p text as an address "a.b.c.d:port", or an empty text.
std::string addressProblem(const std::string &text);

} // namespace endivespan::cli
