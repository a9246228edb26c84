#pragma once

#include <endivespan/fleet_table.h>

#include <string>
#include <vector>

/// Checks whether a release note can be applied to the fleet in force.
namespace endivespan {

/// Checks @p note itself and against the entries in @p table. Does not check the revision that it was written against.
/// @returns one text for each fault; empty when the note can be applied. Every host must return the same texts, since
///     they become part of the digest of the state (see NoteOutcome::reason).
std::vector<std::string> checkNote(const FleetTable &table, const ReleaseNote &note);

} // namespace endivespan
