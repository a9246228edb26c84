#pragma once

#include <endivespan/clock.h>

#include <compare>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

/// What hosts tell each other of backend servers: load, and whether they are warm.
namespace endivespan {

/// Orders the load reports of one server over all its owners.
struct NoteVersion {
    std::uint64_t fence = 0; ///< Fencing number of the owner that wrote the note.
    std::uint64_t sequence = 0;

    auto operator<=>(const NoteVersion &) const = default; // NOLINT(modernize-use-nullptr): false positive
};

/// What is known of one backend server. Merging is idempotent and does not depend on the order.
struct ServerNote {
    std::string server;
    std::string incarnation;
    NoteVersion version; ///< Of the incarnation and load fields.
    std::uint32_t inFlight = 0;
    std::uint32_t capacity = 0;
    Duration age {}; ///< Since the server sent the load report; time on the way adds to it.
    std::uint64_t warmEpoch = 0; ///< Greatest epoch at which the server was warm.
    std::uint64_t coldThrough = 0; ///< Warm statements up to this epoch are void.

    /// @returns true when the server is warm as far as the note says.
    [[nodiscard]] bool isWarm() const
    {
        return this->warmEpoch > this->coldThrough;
    }

    bool operator==(const ServerNote &) const = default;
};

/// The newest note of each backend server; bounded.
class ServerNotes
{
public:
    /// Merges a note, own or of a peer. @returns true when it was news.
    bool merge(const ServerNote &note, TimePoint now);

    /// @returns the note of @p server with its age at @p now.
    [[nodiscard]] std::optional<ServerNote> find(const std::string &server, TimePoint now) const;

    /// @returns the names of all servers with notes and how often each note has changed.
    [[nodiscard]] const std::map<std::string, std::uint64_t> &changes() const;

    /// Drops the note of a withdrawn server.
    void forget(const std::string &server);

private:
    struct Entry {
        ServerNote note;
        TimePoint reportedAt;
    };

    std::map<std::string, Entry> entries;
    std::map<std::string, std::uint64_t> changeCounts;
};

} // namespace endivespan
