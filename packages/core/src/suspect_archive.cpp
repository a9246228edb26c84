#include <endivespan/config.h>
#include <endivespan/digest.h>
#include <endivespan/suspect_archive.h>

#include <algorithm>
#include <charconv>

namespace endivespan {

namespace {

constexpr std::size_t DigitsPerByte = 2;

} // namespace

std::string fingerprintKey(const Fingerprint &fingerprint)
{
    return hexText(fingerprint.bytes);
}

std::optional<Fingerprint> parseFingerprintKey(std::string_view key)
{
    Fingerprint fingerprint;
    if (key.size() != DigitsPerByte * fingerprint.bytes.size()) {
        return std::nullopt;
    }
    for (std::size_t i = 0; i < fingerprint.bytes.size(); ++i) {
        const char *begin = key.data() + DigitsPerByte * i;
        if (std::from_chars(begin, begin + DigitsPerByte, fingerprint.bytes[i], 16).ptr != begin + DigitsPerByte) {
            return std::nullopt;
        }
    }
    return fingerprint;
}

void SuspectArchive::watch(const Fingerprint &fingerprint, std::size_t least)
{
    if (this->watched.size() >= config::SuspectsArchived && !this->watched.contains(fingerprint)) {
        const auto unwritten = std::find_if(this->watched.begin(), this->watched.end(), [](const auto &entry) {
            return entry.second.storedCrashes == 0;
        });
        // With nothing but written ones the new one is left to the memory of the hosts.
        if (unwritten == this->watched.end()) {
            return;
        }
        this->watched.erase(unwritten);
    }
    this->watched[fingerprint].least = least;
}

// Answers clear popular parts of prompts all the time, so that a part counts by its urgency. A record is deleted only
// when no crash is left: its number may fall below the least one and rise again.
std::optional<Fingerprint> SuspectArchive::due(const SuspicionTable &table, TimePoint now) const
{
    std::optional<Fingerprint> due;
    std::size_t most = 0;
    for (const auto &[fingerprint, state] : this->watched) {
        const std::size_t crashes = table.urgency(fingerprint, now);
        const bool isNews = crashes >= state.least && crashes != state.storedCrashes;
        const bool isDue = isNews || (state.storedCrashes > 0 && table.openCrashes(fingerprint) == 0);
        if (isDue && (!due || crashes > most)) {
            due = fingerprint;
            most = crashes;
        }
    }
    return due;
}

void SuspectArchive::stored(const Fingerprint &fingerprint, std::size_t crashes)
{
    if (const auto found = this->watched.find(fingerprint); found != this->watched.end()) {
        found->second.storedCrashes = crashes;
        if (crashes == 0) {
            this->watched.erase(found);
        }
    }
}

} // namespace endivespan
