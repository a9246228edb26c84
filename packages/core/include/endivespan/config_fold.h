#pragma once

#include <endivespan/clock.h>
#include <endivespan/config.h>
#include <endivespan/error.h>
#include <endivespan/fleet_table.h>

#include <compare>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

/// Deterministic fold of the stream "config": two hosts that folded the same records hold the same configuration.
namespace endivespan {

/// Identity of one appended record; a repeated append carries the same one.
struct RecordId {
    std::string writer; ///< Random for each run of a program.
    std::uint64_t sequence = 0;

    auto operator<=>(const RecordId &) const = default; // NOLINT(modernize-use-nullptr): meant for the generated code
};

/// A release note as appended to the log.
struct NoteRecord {
    RecordId id;
    ReleaseNote note;

    bool operator==(const NoteRecord &) const = default;
};

/// What became of a note.
enum class NoteVerdict {
    Accepted,
    Conflict, ///< Another note was accepted first.
    Refused, ///< The note does not fit the fleet.
};

/// The fate of one note, the same on every host.
struct NoteOutcome {
    RecordId id;
    std::uint64_t offset = 0;
    LogTime at; ///< When the log service took the note.
    std::string author;
    std::uint64_t against = 0;
    NoteVerdict verdict = NoteVerdict::Accepted;
    std::uint64_t revision = 0; ///< The revision that the note made, or the one that was in force instead.
    std::string reason; ///< Empty when accepted.

    bool operator==(const NoteOutcome &) const = default;
};

/// Who made the revision in force, and when the log service took the note.
struct RevisionOrigin {
    std::string author;
    std::uint64_t offset = 0;
    LogTime at;

    bool operator==(const RevisionOrigin &) const = default;
};

/// One part of a snapshot, or of the state that one host hands another. A state is the parts of one id together.
struct SnapshotPart {
    RecordId id;
    std::uint32_t index = 0; ///< From 0.
    std::uint32_t count = 1; ///< Parts of the snapshot.
    std::uint64_t covers = 0; ///< The state after every record below this offset.
    Digest digest {}; ///< Of the whole state.
    std::uint64_t revision = 0;
    RevisionOrigin origin;
    FleetEntries entries;
    std::vector<NoteOutcome> outcomes; ///< Oldest first.

    bool operator==(const SnapshotPart &) const = default;
};

/// A record of the stream.
using ConfigRecord = std::variant<NoteRecord, SnapshotPart>;

/// Tells that a note met its fate.
struct NoteSettled {
    NoteOutcome outcome;
};

/// Tells that another revision is in force, and which entries differ.
struct FleetChanged {
    std::uint64_t revision = 0;
    bool whole = false; ///< Everything may differ; the names are empty then.
    FleetNames names; ///< Added, changed or withdrawn.
};

/// Tells that a snapshot in the log differs from the state that this host folded itself.
struct SnapshotDiffers {
    RecordId id;
    std::uint64_t covers = 0;
};

using ConfigAction = std::variant<NoteSettled, FleetChanged, SnapshotDiffers>;

/// A whole snapshot that was read from the log.
struct SnapshotPlace {
    std::uint64_t covers = 0;
    std::uint32_t parts = 0;
    LogTime at; ///< When the log service took its last part.
};

/// Counts since the process started.
struct ConfigFoldStats {
    std::uint64_t notesAccepted = 0;
    std::uint64_t notesRefused = 0;
    std::uint64_t notesRepeated = 0;
    std::uint64_t recordsUnreadable = 0;
    std::uint64_t snapshotsInstalled = 0;
    std::uint64_t snapshotsRefused = 0;
};

/// The fold. After a gap in what it read it keeps the state it has and waits for a snapshot that closes the gap.
class ConfigFold
{
public:
    /// @returns the offset of the record to read next.
    [[nodiscard]] std::uint64_t readFrom() const;

    /// @returns the offset up to which the state covers the stream.
    [[nodiscard]] std::uint64_t covers() const;

    /// @returns false while records between covers() and readFrom() are missing.
    [[nodiscard]] bool isContiguous() const;

    /// Folds the record at readFrom(); an earlier offset does nothing, a later one opens a gap first.
    std::vector<ConfigAction> apply(std::uint64_t offset, LogTime at, const ConfigRecord &record);

    /// Passes over a record that cannot be read, as every host does.
    std::vector<ConfigAction> skip(std::uint64_t offset);

    /// Notes that records below @p oldest are gone from the log.
    void startAt(std::uint64_t oldest);

    /// Takes over the state of a peer when it covers more than the own one.
    /// @returns what changed, ProtocolError for parts that are no whole state or differ from their digest.
    Result<std::vector<ConfigAction>> adopt(const std::vector<SnapshotPart> &parts);

    /// @param partEntries Entries and outcomes that one part holds at most.
    /// @returns the state in parts, to append to the log or to hand to a peer.
    [[nodiscard]] std::vector<SnapshotPart> snapshot(const RecordId &id,
                                                     std::size_t partEntries = config::SnapshotPartEntries) const;

    /// @returns true when a snapshot should be appended, so that a reader can start from what the log keeps.
    /// @param oldest Offset of the oldest record that the log keeps.
    /// @param now Wall-clock time.
    [[nodiscard]] bool needsSnapshot(std::uint64_t oldest, LogTime now) const;

    /// @returns the newest whole snapshot in the log, if one was read.
    [[nodiscard]] const std::optional<SnapshotPlace> &newestSnapshot() const;

    [[nodiscard]] const FleetTable &table() const;
    [[nodiscard]] const Fleet &fleet() const;
    [[nodiscard]] const RevisionOrigin &origin() const;

    /// @returns the digest of the whole state.
    [[nodiscard]] Digest digest() const;

    /// Compares with what another host holds, as an invariant check.
    /// @param covers The offset that the other state covers.
    /// @returns false when the digests differ; true when they agree or the offset is not remembered.
    [[nodiscard]] bool agreesWith(std::uint64_t covers, const Digest &digest) const;

    /// @returns the fate of the note with @p id, or null when it is not known (any more).
    [[nodiscard]] const NoteOutcome *outcomeOf(const RecordId &id) const;

    [[nodiscard]] const ConfigFoldStats &stats() const;

private:
    /// The folded state and nothing else.
    struct State {
        std::uint64_t covers = 0;
        FleetTable table;
        RevisionOrigin origin;
        std::deque<NoteOutcome> outcomes; ///< Oldest first.
        SetDigest outcomeSum;

        [[nodiscard]] Digest digest() const;
        void remember(const NoteOutcome &outcome);
    };

    /// A record read beyond a gap.
    struct Held {
        std::uint64_t offset = 0;
        LogTime at;
        std::optional<NoteRecord> note; ///< Empty for a record that changes nothing.
    };

    /// Parts of one snapshot that were read so far.
    struct Assembly {
        RecordId id;
        std::vector<SnapshotPart> parts;
    };

    void applyNote(std::uint64_t offset, LogTime at, const NoteRecord &record, std::vector<ConfigAction> &actions);
    [[nodiscard]] NoteOutcome judge(std::uint64_t offset, LogTime at, const NoteRecord &record) const;
    [[nodiscard]] std::string conflictReason(std::uint64_t against) const;
    void applyPart(LogTime at, const SnapshotPart &part, std::vector<ConfigAction> &actions);
    void advance(std::uint64_t offset);
    std::vector<SnapshotPart> assemble(const SnapshotPart &part);
    static std::optional<State> buildState(const std::vector<SnapshotPart> &parts);
    void install(State &&next, std::vector<ConfigAction> &actions);
    void replayHeld(std::vector<ConfigAction> &actions);
    void rememberDigest(std::uint64_t covers);

    State state;
    std::uint64_t nextRead = 0;
    std::uint64_t heldFrom = 0; ///< Where reading went on after a gap.
    std::deque<Held> held;
    std::deque<Assembly> assemblies;
    std::optional<SnapshotPlace> snapshotPlace;
    std::map<RecordId, NoteOutcome> outcomeIndex;
    std::deque<std::pair<std::uint64_t, Digest>> digests; ///< Digest from each offset on, oldest first.
    ConfigFoldStats counts;
};

} // namespace endivespan
