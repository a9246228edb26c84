#include <endivespan/config.h>
#include <endivespan/config_fold.h>
#include <endivespan/invariant.h>

#include <algorithm>
#include <utility>

namespace endivespan {

namespace {

constexpr std::uint32_t MaxSnapshotParts = 4096;

// Divides a state into parts with a limited number of entries and outcomes each.
class PartWriter
{
public:
    PartWriter(SnapshotPart head, std::size_t partEntries)
        : head(std::move(head))
        , partEntries(partEntries)
    {
        this->parts.push_back(this->head);
    }

    template<typename Entry>
    void add(const std::map<std::string, Entry> &entries, std::vector<Entry> FleetEntries::*list)
    {
        for (const auto &[name, entry] : entries) {
            (this->nextPart().entries.*list).push_back(entry);
        }
    }

    void add(const std::deque<NoteOutcome> &outcomes)
    {
        for (const NoteOutcome &outcome : outcomes) {
            this->nextPart().outcomes.push_back(outcome);
        }
    }

    std::vector<SnapshotPart> finish()
    {
        for (std::size_t i = 0; i < this->parts.size(); ++i) {
            this->parts[i].index = static_cast<std::uint32_t>(i);
            this->parts[i].count = static_cast<std::uint32_t>(this->parts.size());
        }
        return std::move(this->parts);
    }

private:
    SnapshotPart &nextPart()
    {
        if (this->entriesInPart == this->partEntries) {
            this->parts.push_back(this->head);
            this->entriesInPart = 0;
        }
        ++this->entriesInPart;
        return this->parts.back();
    }

    SnapshotPart head;
    std::size_t partEntries;
    std::vector<SnapshotPart> parts;
    std::size_t entriesInPart = 0;
};

bool isSameSnapshot(const SnapshotPart &left, const SnapshotPart &right)
{
    return left.id == right.id && left.count == right.count && left.covers == right.covers
        && left.digest == right.digest && left.revision == right.revision && left.origin == right.origin;
}

// Returns whether these are all parts of one snapshot, in order.
bool isComplete(const std::vector<SnapshotPart> &parts)
{
    if (parts.empty() || parts.size() != parts.front().count || parts.size() > MaxSnapshotParts) {
        return false;
    }
    for (std::size_t i = 0; i < parts.size(); ++i) {
        if (parts[i].index != i || !isSameSnapshot(parts.front(), parts[i])) {
            return false;
        }
    }
    return true;
}

} // namespace

std::vector<SnapshotPart> ConfigFold::snapshot(const RecordId &id, std::size_t partEntries) const
{
    SnapshotPart head;
    head.id = id;
    head.covers = this->state.covers;
    head.digest = this->state.digest();
    head.revision = this->fleet().revision;
    head.origin = this->state.origin;
    PartWriter writer(head, partEntries);
    const Fleet &fleet = this->fleet();
    writer.add(fleet.models, &FleetEntries::models);
    writer.add(fleet.services, &FleetEntries::services);
    writer.add(fleet.domains, &FleetEntries::domains);
    writer.add(fleet.servers, &FleetEntries::servers);
    writer.add(fleet.organisations, &FleetEntries::organisations);
    writer.add(this->state.outcomes);
    return writer.finish();
}

// A new snapshot is due when the newest one lies in the older half of what the log keeps, when it is old, or when a new
// reader would have to fold many records after it. The first rule works without knowing how long the log keeps records.
bool ConfigFold::needsSnapshot(std::uint64_t oldest, LogTime now) const
{
    if (!this->isContiguous() || this->state.outcomes.empty()) {
        return false;
    }
    if (!this->snapshotPlace) {
        const bool isOld = now - this->state.outcomes.front().at >= config::SnapshotPeriod;
        return oldest > 0 || isOld || this->state.covers >= config::SnapshotRecords;
    }
    const auto &[covers, parts, at] = *this->snapshotPlace;
    const std::uint64_t after = this->state.covers - covers;
    const bool isPastMiddle = oldest > 0 && covers < oldest + after;
    return isPastMiddle || now - at >= config::SnapshotPeriod || after >= config::SnapshotRecords + parts;
}

const std::optional<SnapshotPlace> &ConfigFold::newestSnapshot() const
{
    return this->snapshotPlace;
}

void ConfigFold::applyPart(LogTime at, const SnapshotPart &part, std::vector<ConfigAction> &actions)
{
    const bool isNeeded = !this->isContiguous();
    const std::vector<SnapshotPart> parts = this->assemble(part);
    if (parts.empty() || part.covers >= this->nextRead) {
        return;
    }
    if (!isNeeded && !this->agreesWith(part.covers, part.digest)) {
        ++this->counts.snapshotsRefused;
        actions.emplace_back(SnapshotDiffers {part.id, part.covers});
        return;
    }
    if (isNeeded && part.covers >= this->gapEnd) {
        auto built = buildState(parts);
        if (!built) {
            ++this->counts.snapshotsRefused;
            actions.emplace_back(SnapshotDiffers {part.id, part.covers});
            return;
        }
        ++this->counts.snapshotsInstalled;
        this->install(std::move(*built), actions);
    }
    this->snapshotPlace = SnapshotPlace {part.covers, part.count, at};
}

// Adds a part to its snapshot. Returns all parts in order once the last one has been read, else nothing.
std::vector<SnapshotPart> ConfigFold::assemble(const SnapshotPart &part)
{
    auto assembly = std::find_if(this->assemblies.begin(), this->assemblies.end(), [&part](const Assembly &entry) {
        return entry.id == part.id;
    });
    if (assembly == this->assemblies.end()) {
        if (this->assemblies.size() == config::SnapshotsInAssembly) {
            this->assemblies.pop_front();
        }
        this->assemblies.push_back({part.id, {}});
        assembly = std::prev(this->assemblies.end());
    }
    // A part that was appended twice has an index that was read already, and is ignored.
    if (part.index == assembly->parts.size()) {
        assembly->parts.push_back(part);
        if (this->isContiguous()) {
            assembly->parts.back().entries = {};
            assembly->parts.back().outcomes.clear();
        }
    }
    if (!isComplete(assembly->parts)) {
        return {};
    }
    std::vector<SnapshotPart> whole = std::move(assembly->parts);
    this->assemblies.erase(assembly);
    return whole;
}

std::optional<ConfigFold::State> ConfigFold::buildState(const std::vector<SnapshotPart> &parts)
{
    if (!isComplete(parts)) {
        return std::nullopt;
    }
    State built;
    built.covers = parts.front().covers;
    built.origin = parts.front().origin;
    built.table.setRevision(parts.front().revision);
    for (const SnapshotPart &part : parts) {
        built.table.put(part.entries);
        for (const NoteOutcome &outcome : part.outcomes) {
            built.addOutcome(outcome);
        }
    }
    if (built.digest() != parts.front().digest) {
        return std::nullopt;
    }
    return built;
}

Result<std::vector<ConfigAction>> ConfigFold::adopt(const std::vector<SnapshotPart> &parts)
{
    if (!isComplete(parts)) {
        return Error {ErrorKind::ProtocolError, "parts of the peer's configuration state are missing"};
    }
    std::vector<ConfigAction> actions;
    if (parts.front().covers <= this->state.covers) {
        if (!this->agreesWith(parts.front().covers, parts.front().digest)) {
            return Error {ErrorKind::ProtocolError,
                          "the peer's configuration state differs from the own one at the same offset"};
        }
        return actions;
    }
    auto built = buildState(parts);
    if (!built) {
        return Error {ErrorKind::ProtocolError, "the peer's configuration state does not match its digest"};
    }
    this->install(std::move(*built), actions);
    return actions;
}

void ConfigFold::install(State &&next, std::vector<ConfigAction> &actions)
{
    const bool isForward = next.table.fleet().revision >= this->fleet().revision;
    if (!checkInvariant(
            Invariant::RevisionNeverReverts, isForward, "a snapshot has an older revision than the one in force")) {
        return;
    }
    const bool closesGap = next.covers >= this->gapEnd;
    this->state = std::move(next);
    this->outcomeIndex.clear();
    for (const NoteOutcome &outcome : this->state.outcomes) {
        this->outcomeIndex.emplace(outcome.id, outcome);
    }
    this->digests.clear();
    this->rememberDigest(this->state.covers);
    FleetChanged change;
    change.revision = this->fleet().revision;
    change.whole = true;
    actions.emplace_back(std::move(change));
    if (this->state.covers >= this->nextRead) {
        this->nextRead = this->state.covers;
        this->recordsAfterGap.clear();
    } else if (closesGap) {
        this->replayAfterGap(actions);
    }
}

void ConfigFold::replayAfterGap(std::vector<ConfigAction> &actions)
{
    const std::deque<RecordAfterGap> records = std::exchange(this->recordsAfterGap, {});
    for (const RecordAfterGap &record : records) {
        if (record.offset < this->state.covers) {
            continue;
        }
        if (record.note) {
            this->applyNote(record.offset, record.at, *record.note, actions);
        }
        this->state.covers = record.offset + 1;
    }
}

} // namespace endivespan
