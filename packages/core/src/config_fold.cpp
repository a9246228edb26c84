#include <endivespan/config.h>
#include <endivespan/config_fold.h>
#include <endivespan/invariant.h>
#include <endivespan/note_check.h>

#include <algorithm>
#include <utility>

namespace endivespan {

namespace {

// Covers every field, the text of the reason included: hosts compare these digests, so every build of a fleet must
// compute the same bytes for the same record.
Digest digestOf(const NoteOutcome &outcome)
{
    CanonicalEncoder bytes;
    bytes.add(outcome.id.writer).add(outcome.id.sequence).add(outcome.offset);
    bytes.add(static_cast<std::uint64_t>(outcome.at.time_since_epoch().count()));
    bytes.add(outcome.author).add(outcome.against).add(static_cast<std::uint64_t>(outcome.verdict));
    bytes.add(outcome.revision).add(outcome.reason);
    return sha256(bytes.bytes());
}

// The result is part of the state that hosts compare by digest: the separator and the limit must not change.
std::string joined(const std::vector<std::string> &faults)
{
    std::string text;
    for (const std::string &fault : faults) {
        text += text.empty() ? "" : "; ";
        text += fault;
    }
    text.resize(std::min(text.size(), config::MaxNoteReasonBytes));
    return text;
}

template<typename Entry>
void appendNames(std::vector<std::string> &names, const std::vector<Entry> &entries)
{
    for (const Entry &entry : entries) {
        names.push_back(entry.name);
    }
}

FleetChanged changeOf(const ReleaseNote &note, std::uint64_t revision)
{
    FleetChanged change;
    change.revision = revision;
    change.names = note.withdrawn;
    for (const FleetEntries *entries : {&note.added, &note.changed}) {
        appendNames(change.names.organisations, entries->organisations);
        appendNames(change.names.models, entries->models);
        appendNames(change.names.domains, entries->domains);
        appendNames(change.names.servers, entries->servers);
        appendNames(change.names.services, entries->services);
    }
    return change;
}

} // namespace

Digest ConfigFold::State::digest() const
{
    const Digest entries = this->table.digest();
    const Digest outcomeDigest = this->outcomeSum.value();
    CanonicalEncoder bytes;
    bytes.add(std::string_view(reinterpret_cast<const char *>(entries.data()), entries.size()));
    bytes.add(std::string_view(reinterpret_cast<const char *>(outcomeDigest.data()), outcomeDigest.size()));
    bytes.add(this->table.fleet().revision).add(this->origin.author).add(this->origin.offset);
    bytes.add(static_cast<std::uint64_t>(this->origin.at.time_since_epoch().count()));
    return sha256(bytes.bytes());
}

void ConfigFold::State::addOutcome(const NoteOutcome &outcome)
{
    this->outcomes.push_back(outcome);
    this->outcomeSum.add(digestOf(outcome));
}

std::uint64_t ConfigFold::nextOffset() const
{
    return this->nextRead;
}

std::uint64_t ConfigFold::covers() const
{
    return this->state.covers;
}

bool ConfigFold::isContiguous() const
{
    return this->state.covers == this->nextRead;
}

std::vector<ConfigAction> ConfigFold::apply(std::uint64_t offset, LogTime at, const ConfigRecord &record)
{
    std::vector<ConfigAction> actions;
    if (offset < this->nextRead) {
        return actions;
    }
    this->skipDroppedBefore(offset);
    const auto *note = std::get_if<NoteRecord>(&record);
    if (!this->isContiguous()) {
        this->recordsAfterGap.push_back({offset, at, note != nullptr ? std::optional(*note) : std::nullopt});
    } else if (note != nullptr) {
        this->applyNote(offset, at, *note, actions);
    }
    this->advance(offset);
    if (const auto *part = std::get_if<SnapshotPart>(&record)) {
        this->applyPart(at, *part, actions);
    }
    return actions;
}

std::vector<ConfigAction> ConfigFold::skip(std::uint64_t offset)
{
    if (offset >= this->nextRead) {
        this->skipDroppedBefore(offset);
        ++this->counts.recordsUnreadable;
        if (!this->isContiguous()) {
            this->recordsAfterGap.push_back({offset, {}, std::nullopt});
        }
        this->advance(offset);
    }
    return {};
}

void ConfigFold::skipDroppedBefore(std::uint64_t oldest)
{
    if (oldest <= this->nextRead) {
        return;
    }
    this->recordsAfterGap.clear();
    this->assemblies.clear();
    this->gapEnd = oldest;
    this->nextRead = oldest;
}

// Moves on to the next record. The state then covers the record at the offset too, unless that lies beyond a gap.
void ConfigFold::advance(std::uint64_t offset)
{
    if (this->isContiguous()) {
        this->state.covers = offset + 1;
    }
    this->nextRead = offset + 1;
}

void ConfigFold::applyNote(std::uint64_t offset,
                           LogTime at,
                           const NoteRecord &record,
                           std::vector<ConfigAction> &actions)
{
    if (this->outcomeIndex.contains(record.id)) {
        ++this->counts.notesRepeated;
        return;
    }
    NoteOutcome outcome = this->evaluate(offset, at, record);
    const std::uint64_t before = this->fleet().revision;
    if (outcome.verdict == NoteVerdict::Accepted) {
        ++this->counts.notesAccepted;
        this->state.table.apply(record.note);
        this->state.origin = {record.note.author, offset, at};
        actions.emplace_back(changeOf(record.note, this->fleet().revision));
    } else {
        ++this->counts.notesRefused;
    }
    checkInvariant(
        Invariant::RevisionNeverReverts, this->fleet().revision >= before, "a release note lowered the revision");
    this->outcomeIndex.emplace(record.id, outcome);
    this->state.addOutcome(outcome);
    if (this->state.outcomes.size() > config::NoteOutcomesKept) {
        this->outcomeIndex.erase(this->state.outcomes.front().id);
        this->state.outcomeSum.remove(digestOf(this->state.outcomes.front()));
        this->state.outcomes.pop_front();
    }
    this->rememberDigest(offset + 1);
    actions.emplace_back(NoteDecided {std::move(outcome)});
}

NoteOutcome ConfigFold::evaluate(std::uint64_t offset, LogTime at, const NoteRecord &record) const
{
    NoteOutcome outcome {record.id, offset, at, record.note.author, record.note.against, NoteVerdict::Accepted, 0, {}};
    outcome.revision = this->fleet().revision;
    if (record.note.against != this->fleet().revision) {
        outcome.verdict = NoteVerdict::Conflict;
        outcome.reason = this->conflictReason(record.note.against);
        return outcome;
    }
    if (const auto faults = checkNote(this->state.table, record.note); !faults.empty()) {
        outcome.verdict = NoteVerdict::Refused;
        outcome.reason = joined(faults);
        return outcome;
    }
    ++outcome.revision;
    return outcome;
}

// These texts are part of the state that hosts compare by digest: they must not change.
std::string ConfigFold::conflictReason(std::uint64_t against) const
{
    const std::string written = "written against revision " + std::to_string(against);
    const std::uint64_t revision = this->fleet().revision;
    if (against > revision) {
        return written + ", but only revision " + std::to_string(revision) + " is in force";
    }
    const auto isWinner = [against](const NoteOutcome &outcome) {
        return outcome.verdict == NoteVerdict::Accepted && outcome.revision == against + 1;
    };
    const auto &outcomes = this->state.outcomes;
    if (const auto winner = std::find_if(outcomes.begin(), outcomes.end(), isWinner); winner != outcomes.end()) {
        return written + ", but lost against revision " + std::to_string(winner->revision) + " by " + winner->author;
    }
    return written + ", but lost against revision " + std::to_string(revision) + " by " + this->state.origin.author;
}

void ConfigFold::rememberDigest(std::uint64_t covers)
{
    this->digests.emplace_back(covers, this->state.digest());
    if (this->digests.size() > config::DigestHistoryKept) {
        this->digests.pop_front();
    }
}

const FleetTable &ConfigFold::table() const
{
    return this->state.table;
}

const Fleet &ConfigFold::fleet() const
{
    return this->state.table.fleet();
}

const RevisionOrigin &ConfigFold::origin() const
{
    return this->state.origin;
}

Digest ConfigFold::digest() const
{
    return this->state.digest();
}

bool ConfigFold::agreesWith(std::uint64_t covers, const Digest &digest) const
{
    if (covers > this->state.covers) {
        return true;
    }
    const auto after = std::find_if(
        this->digests.rbegin(), this->digests.rend(), [covers](const auto &entry) { return entry.first <= covers; });
    if (after == this->digests.rend()) {
        return true;
    }
    return checkInvariant(Invariant::SameOffsetSameDigest,
                          after->second == digest,
                          "hosts have different configuration states at offset " + std::to_string(covers));
}

const NoteOutcome *ConfigFold::outcomeOf(const RecordId &id) const
{
    const auto outcome = this->outcomeIndex.find(id);
    return outcome == this->outcomeIndex.end() ? nullptr : &outcome->second;
}

const ConfigFoldStats &ConfigFold::stats() const
{
    return this->counts;
}

} // namespace endivespan
