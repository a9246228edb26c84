#pragma once

#include <endivespan/fleet.h>
#include <endivespan/problem.h>

#include <string>
#include <string_view>

/// Release notes, which operators write in YAML. docs/OPERATIONS.md describes the format.
namespace endivespan {

/// Parses a release note from @p yaml and makes all checks that need only the note itself.
/// @param file File name, used only in problems.
/// @returns the note, or all problems found.
Checked<ReleaseNote> parseNote(std::string_view yaml, const std::string &file);

/// @returns @p note as YAML that parseNote() can parse.
std::string noteToYaml(const ReleaseNote &note);

} // namespace endivespan
