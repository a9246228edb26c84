#pragma once

#include <endivespan/clock.h>

#include <compare>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

/// Notes on the load and warmth of backend servers that hosts exchange by gossip.
namespace endivespan {

/// Version of a server's load report; ordered over all successive owners of the server.
struct NoteVersion {
    std::uint64_t fence = 0; ///< Fencing number of the owner that wrote the note.
    std::uint64_t sequence = 0; ///< Number of the note among those of the same owner.

    auto operator<=>(const NoteVersion &) const = default; // NOLINT(modernize-use-nullptr): false positive
};

/// Load and warmth of one backend server. Merging notes is idempotent, and their order does not matter.
struct ServerNote {
    std::string server;
    std::string incarnation;
    NoteVersion version; ///< Of the fields incarnation, inFlight, capacity and age.
    std::uint32_t inFlight = 0; ///< Running and queued requests.
    std::uint32_t capacity = 0;
    Duration age {}; ///< Since the server sent the load report, including the time that the note was on the way.
    std::uint64_t warmEpoch = 0; ///< Highest epoch of the warm statements; 0 for none.
    std::uint64_t coldThrough = 0; ///< Warm statements up to this epoch are void; 0 for none.

    /// @returns true when the server is warm according to the note.
    [[nodiscard]] bool isWarm() const
    {
        return this->warmEpoch > this->coldThrough;
    }

    bool operator==(const ServerNote &) const = default;
};

/// The merged note of each backend server, for at most config::MaxServerNotes servers.
class ServerNotes
{
public:
    /// Merges a note of this host or of a peer. @returns true when that changed the server's note.
    bool merge(const ServerNote &note, TimePoint now);

    /// @returns the note of @p server with its age at @p now, or nothing when there is none.
    [[nodiscard]] std::optional<ServerNote> find(const std::string &server, TimePoint now) const;

    /// @returns how often the note of each server has changed, by server name.
    [[nodiscard]] const std::map<std::string, std::uint64_t> &changes() const;

    /// Drops the note of a server that operators have withdrawn.
    void forget(const std::string &server);

private:
    struct Entry {
        ServerNote note;
        TimePoint reportedAt; ///< When the server sent the load report.
    };

    std::map<std::string, Entry> entries;
    std::map<std::string, std::uint64_t> changeCounts;
};

} // namespace endivespan
