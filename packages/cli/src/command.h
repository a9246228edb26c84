#pragma once

#include <endivespan/error.h>
#include <endivespan/http_client.h>

#include <optional>
#include <string>

namespace CLI { // NOLINT(readability-identifier-naming): named by the library
class App;
}

/// Subcommands of the program `endivespan` and the functions that they share. Each subcommand is defined in a source
/// file of its own. Its add function registers it with the parser; the subcommand sets the exit code
/// when it runs.
namespace endivespan::cli {

/// Exit codes of all subcommands; docs/OPERATIONS.md lists them.
enum ExitCode : int {
    ExitDone = 0,
    ExitFailed = 1, ///< The command failed and has changed nothing.
    ExitBadInput = 2, ///< A file or an argument is invalid.
    ExitRefused = 3, ///< The release note was refused, for instance because a conflicting note was accepted first.
    ExitUnknown = 4, ///< It is not known whether the release note was published.
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

/// Makes one HTTP GET call and blocks until it is answered or fails.
Result<HttpAnswer> get(const std::string &address, const std::string &target);

/// Validates an address of the form "a.b.c.d:port".
/// @returns an error message, or an empty string when @p text is valid.
std::string addressProblem(const std::string &text);

} // namespace endivespan::cli
