#include <endivespan/config.h>
#include <endivespan/server_notes.h>

#include <algorithm>

namespace endivespan {

bool ServerNotes::merge(const ServerNote &note, TimePoint now)
{
    const auto found = this->entries.find(note.server);
    if (found == this->entries.end()) {
        if (this->entries.size() >= config::MaxServerNotes) {
            return false;
        }
        this->entries[note.server] = {note, now - note.age};
        ++this->changeCounts[note.server];
        return true;
    }
    Entry &entry = found->second;
    const ServerNote before = entry.note;
    if (note.version > before.version) {
        entry.note = note;
        entry.reportedAt = now - note.age;
    }
    entry.note.warmEpoch = std::max(before.warmEpoch, note.warmEpoch);
    entry.note.coldThrough = std::max(before.coldThrough, note.coldThrough);
    const bool news = !(entry.note == before);
    this->changeCounts[note.server] += news ? 1 : 0;
    return news;
}

std::optional<ServerNote> ServerNotes::find(const std::string &server, TimePoint now) const
{
    const auto found = this->entries.find(server);
    if (found == this->entries.end()) {
        return {};
    }
    ServerNote note = found->second.note;
    note.age = std::max(now - found->second.reportedAt, Duration::zero());
    return note;
}

const std::map<std::string, std::uint64_t> &ServerNotes::changes() const
{
    return this->changeCounts;
}

void ServerNotes::forget(const std::string &server)
{
    this->entries.erase(server);
    this->changeCounts.erase(server);
}

} // namespace endivespan
