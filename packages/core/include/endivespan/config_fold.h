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

/// Computes the configuration from the records of the log stream "config". The fold is deterministic: hosts that have
/// folded the same records hold the same configuration.
namespace endivespan {

/// Identity of one appended record. A repeated append of the record carries the same one, so that it counts once.
struct RecordId {
    std::string writer; ///< Identifier of the appending process, chosen at random at its start.
    std::uint64_t sequence = 0;

    auto operator<=>(const RecordId &) const = default; // NOLINT(modernize-use-nullptr): meant for the generated code
};

/// A release note as appended to the log.
struct NoteRecord {
    RecordId id;
    ReleaseNote note;

    bool operator==(const NoteRecord &) const = default;
};

/// Decision on a release note.
enum class NoteVerdict {
    Accepted,
    Conflict, ///< Written against a revision that is not in force; usually another note was accepted first.
    Refused, ///< The note has a fault of its own or cannot be applied to the fleet in force.
};

/// The decision on one note with what belongs to it. Every host computes the same one.
struct NoteOutcome {
    RecordId id;
    std::uint64_t offset = 0;
    LogTime at; ///< When the log service received the note.
    std::string author;
    std::uint64_t against = 0; ///< Revision that the note was written against.
    NoteVerdict verdict = NoteVerdict::Accepted;
    std::uint64_t revision = 0; ///< Made by the note if accepted, else the revision in force.
    std::string reason; ///< Why the note was not accepted; part of the digest of the state.

    bool operator==(const NoteOutcome &) const = default;
};

/// Author of the note that made the revision in force, its offset, and when the log service received it.
struct RevisionOrigin {
    std::string author;
    std::uint64_t offset = 0;
    LogTime at;

    bool operator==(const RevisionOrigin &) const = default;
};

/// One part of a snapshot in the log, or of the state that one host sends another. All parts with one id together make
/// up the state.
struct SnapshotPart {
    RecordId id;
    std::uint32_t index = 0; ///< From 0.
    std::uint32_t count = 1; ///< Number of parts.
    std::uint64_t covers = 0; ///< The state includes every record below this offset.
    Digest digest {}; ///< Of the whole state.
    std::uint64_t revision = 0;
    RevisionOrigin origin;
    FleetEntries entries;
    std::vector<NoteOutcome> outcomes; ///< Oldest first.

    bool operator==(const SnapshotPart &) const = default;
};

/// A record of the stream "config".
using ConfigRecord = std::variant<NoteRecord, SnapshotPart>;

/// Reports the decision on a note.
struct NoteDecided {
    NoteOutcome outcome;
};

/// Reports that another revision is in force, and which entries changed.
struct FleetChanged {
    std::uint64_t revision = 0;
    bool whole = false; ///< True when any entry may have changed; the names are empty then.
    FleetNames names; ///< Added, changed or withdrawn.
};

/// Reports that a snapshot in the log was rejected: it differs from the state that this host has folded, or from its
/// own digest.
struct SnapshotDiffers {
    RecordId id;
    std::uint64_t covers = 0;
};

using ConfigAction = std::variant<NoteDecided, FleetChanged, SnapshotDiffers>;

/// A complete snapshot that was read from the log.
struct SnapshotPlace {
    std::uint64_t covers = 0;
    std::uint32_t parts = 0;
    LogTime at; ///< When the log service received its last part.
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

/// Folds the records of the stream into the configuration. When records are missing, because the log has dropped them,
/// it keeps its state until a snapshot or the state of a peer closes the gap.
class ConfigFold
{
public:
    /// @returns the offset of the record to read from the log next.
    [[nodiscard]] std::uint64_t nextOffset() const;

    /// @returns the offset below which the state includes every record of the stream.
    [[nodiscard]] std::uint64_t covers() const;

    /// @returns false while records between covers() and nextOffset() are missing.
    [[nodiscard]] bool isContiguous() const;

    /// Folds the record at @p offset. A record before nextOffset() is ignored; one beyond it opens a gap first.
    /// @param at When the log service received the record.
    /// @returns what the caller has to act on.
    std::vector<ConfigAction> apply(std::uint64_t offset, LogTime at, const ConfigRecord &record);

    /// Skips a record that cannot be decoded. Every host skips the same ones.
    std::vector<ConfigAction> skip(std::uint64_t offset);

    /// Continues at @p oldest when the log has dropped the records before it; opens a gap if some of them were not
    /// read.
    void skipDroppedBefore(std::uint64_t oldest);

    /// Replaces the state with that of a peer if that one covers more of the stream.
    /// @returns what changed; ProtocolError if parts are missing, the state differs from its digest, or it differs from
    ///     the own state at the same offset.
    Result<std::vector<ConfigAction>> adopt(const std::vector<SnapshotPart> &parts);

    /// @param partEntries Most entries and outcomes in one part.
    /// @returns the state in parts, to append to the log or to send to a peer.
    [[nodiscard]] std::vector<SnapshotPart> snapshot(const RecordId &id,
                                                     std::size_t partEntries = config::SnapshotPartEntries) const;

    /// @returns true when a snapshot should be appended, so that a new reader can start from the records that the log
    ///     still keeps.
    /// @param oldest Offset of the oldest record that the log keeps.
    /// @param now Wall-clock time.
    [[nodiscard]] bool needsSnapshot(std::uint64_t oldest, LogTime now) const;

    /// @returns the newest complete snapshot in the log, if one was read.
    [[nodiscard]] const std::optional<SnapshotPlace> &newestSnapshot() const;

    [[nodiscard]] const FleetTable &table() const;
    [[nodiscard]] const Fleet &fleet() const;
    [[nodiscard]] const RevisionOrigin &origin() const;

    /// @returns the digest of the whole state.
    [[nodiscard]] Digest digest() const;

    /// Compares the state of another host with the own one at the same offset; a difference violates
    /// Invariant::SameOffsetSameDigest.
    /// @param covers The offset that the state of the other host covers.
    /// @param digest The digest of that state.
    /// @returns false when the digests differ; true when they agree or the own digest at that offset is not kept.
    [[nodiscard]] bool agreesWith(std::uint64_t covers, const Digest &digest) const;

    /// @returns the outcome of the note with @p id, or null when the note was not read or its outcome is no longer
    /// kept.
    [[nodiscard]] const NoteOutcome *outcomeOf(const RecordId &id) const;

    [[nodiscard]] const ConfigFoldStats &stats() const;

private:
    /// What the digest covers, and the sum from which it is computed. Equal on all hosts at the same offset.
    struct State {
        std::uint64_t covers = 0;
        FleetTable table;
        RevisionOrigin origin;
        std::deque<NoteOutcome> outcomes; ///< Oldest first.
        SetDigest outcomeSum;

        [[nodiscard]] Digest digest() const;
        void addOutcome(const NoteOutcome &outcome);
    };

    /// A record read beyond a gap, kept until the gap is closed.
    struct RecordAfterGap {
        std::uint64_t offset = 0;
        LogTime at;
        std::optional<NoteRecord> note; ///< Empty for a record that does not change the state.
    };

    /// The parts of one snapshot that have been read so far.
    struct Assembly {
        RecordId id;
        std::vector<SnapshotPart> parts;
    };

    void applyNote(std::uint64_t offset, LogTime at, const NoteRecord &record, std::vector<ConfigAction> &actions);
    [[nodiscard]] NoteOutcome evaluate(std::uint64_t offset, LogTime at, const NoteRecord &record) const;
    [[nodiscard]] std::string conflictReason(std::uint64_t against) const;
    void applyPart(LogTime at, const SnapshotPart &part, std::vector<ConfigAction> &actions);
    void advance(std::uint64_t offset);
    std::vector<SnapshotPart> assemble(const SnapshotPart &part);
    static std::optional<State> buildState(const std::vector<SnapshotPart> &parts);
    void install(State &&next, std::vector<ConfigAction> &actions);
    void replayAfterGap(std::vector<ConfigAction> &actions);
    void rememberDigest(std::uint64_t covers);

    State state;
    std::uint64_t nextRead = 0;
    std::uint64_t gapEnd = 0; ///< Offset at which reading continued after the last gap.
    std::deque<RecordAfterGap> recordsAfterGap;
    std::deque<Assembly> assemblies;
    std::optional<SnapshotPlace> snapshotPlace;
    std::map<RecordId, NoteOutcome> outcomeIndex;
    std::deque<std::pair<std::uint64_t, Digest>>
        digests; ///< Covered offset and digest after each change; oldest first.
    ConfigFoldStats counts;
};

} // namespace endivespan
