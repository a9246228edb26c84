#pragma once

#include <endivespan/fleet.h>
#include <endivespan/problem.h>

#include <string>
#include <string_view>

/// Release notes as operators write them, in YAML. docs/OPERATIONS.md describes the format.
namespace endivespan {

/// Reads a release note from @p yaml and checks all that can be told from the note alone.
/// @param file Name of the file, for problems only.
/// @returns the note, or all problems.
Checked<ReleaseNote> parseNote(std::string_view yaml, const std::string &file);

/// @returns @p note as YAML that parseNote() reads.
std::string noteToYaml(const ReleaseNote &note);

} // namespace endivespan
