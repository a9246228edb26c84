#pragma once

#include <endivespan/clock.h>
#include <endivespan/suspect.h>

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <string_view>

/// Keeps suspicions in the log, for the time when all hosts have been killed at once and no peer is left to pass them
/// on.
namespace endivespan {

/// @returns all digits of a fingerprint in hexadecimal.
std::string fingerprintKey(const Fingerprint &fingerprint);

/// @returns the fingerprint that fingerprintKey() wrote, or nothing for any other text.
std::optional<Fingerprint> parseFingerprintKey(std::string_view key);

/// Decides which suspicions are written to the log. Few are: of requests that were running during several crashes,
/// and of parts of prompts that no server has answered since. Each is written by the hosts that recorded one of its
/// crashes, and again when the number of its crashes has changed.
class SuspectArchive
{
public:
    /// Handles that this host has recorded or withdrawn a crash of a request or part.
    /// @param least Number of crashes from which it is written.
    void watch(const Fingerprint &fingerprint, std::size_t least);

    /// @returns the entry with most crashes of those whose record has to be written or, when no crash counts against it
    ///     any more, deleted.
    [[nodiscard]] std::optional<Fingerprint> due(const SuspicionTable &table, TimePoint now) const;

    /// Handles that the record of an entry was written with @p crashes crashes; 0 when it was deleted.
    void stored(const Fingerprint &fingerprint, std::size_t crashes);

private:
    struct Watched {
        std::size_t least = 0;
        std::size_t storedCrashes = 0; ///< In the record as this host wrote it last.
    };

    std::map<Fingerprint, Watched> watched; ///< At most config::SuspectsArchived.
};

} // namespace endivespan
