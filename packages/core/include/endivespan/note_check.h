#pragma once

#include <endivespan/fleet_table.h>

#include <string>
#include <vector>

/// Whether a release note fits the fleet that it would change.
namespace endivespan {

/// Checks @p note alone and against @p table. The revision it was written against plays no part.
/// @returns what is wrong, one sentence each, or nothing when the note can be applied.
std::vector<std::string> checkNote(const FleetTable &table, const ReleaseNote &note);

} // namespace endivespan
