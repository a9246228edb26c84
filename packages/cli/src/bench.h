#pragma once

#include <CLI/CLI.hpp>

/// The subcommand `bench` and its parts.
namespace endivespan::cli {

/// Adds `bench decisions` and `bench policies`.
/// @param exitCode Set when one of them has run.
void addBench(CLI::App &app, int &exitCode);

} // namespace endivespan::cli
