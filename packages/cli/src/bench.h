#pragma once

#include <CLI/CLI.hpp>

/// The subcommand `bench` of the program `endivespan`.
namespace endivespan::cli {

/// Adds `bench decisions` and `bench policies`.
/// @param exitCode Set when one of the two has run.
void addBench(CLI::App &app, int &exitCode);

} // namespace endivespan::cli
