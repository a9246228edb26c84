#include <endivespan/config.h>
#include <endivespan/digest.h>
#include <endivespan/invariant.h>
#include <endivespan/suspect.h>

#include <openssl/sha.h>

#include <algorithm>
#include <cstring>
#include <functional>
#include <iterator>
#include <set>
#include <utility>

namespace endivespan {

namespace {

Digest digestOf(std::initializer_list<std::string_view> fields)
{
    std::string buffer;
    for (const std::string_view field : fields) {
        buffer += std::to_string(field.size());
        buffer += ':';
        buffer += field;
    }
    Digest digest;
    SHA256(reinterpret_cast<const unsigned char *>(buffer.data()), buffer.size(), digest.data());
    return digest;
}

bool insertSorted(std::vector<CrashId> &ids, CrashId id)
{
    const auto place = std::lower_bound(ids.begin(), ids.end(), id);
    if (place != ids.end() && *place == id) {
        return false;
    }
    ids.insert(place, id);
    return true;
}

bool containsSorted(const std::vector<CrashId> &ids, CrashId id)
{
    return std::binary_search(ids.begin(), ids.end(), id);
}

} // namespace

Fingerprint fingerprintOf(std::string_view organisation, std::string_view target, std::string_view body)
{
    const Digest digest = digestOf({organisation, target, body});
    Fingerprint fingerprint;
    std::copy_n(digest.begin(), fingerprint.bytes.size(), fingerprint.bytes.begin());
    return fingerprint;
}

Fingerprint partFingerprintOf(std::string_view model, std::string_view part)
{
    return fingerprintOf("part", model, part);
}

bool SuspectKeys::contains(const Fingerprint &fingerprint) const
{
    return fingerprint == this->request
        || std::find(this->parts.begin(), this->parts.end(), fingerprint) != this->parts.end();
}

std::string fingerprintText(const Fingerprint &fingerprint)
{
    constexpr std::size_t Bytes = 6;
    return hexText(std::span(fingerprint.bytes).first<Bytes>());
}

CrashId crashIdOf(std::string_view server, std::string_view incarnation)
{
    const Digest digest = digestOf({server, incarnation});
    CrashId id = 0;
    std::memcpy(&id, digest.data(), sizeof(id));
    return id;
}

std::vector<CrashId> SuspicionTable::openDeathsOf(const Entry &entry)
{
    std::vector<CrashId> open;
    std::set_difference(
        entry.deaths.begin(), entry.deaths.end(), entry.cleared.begin(), entry.cleared.end(), std::back_inserter(open));
    return open;
}

// Drops cleared crashes first, and the highest ids first, so that all hosts keep the same ones.
void SuspicionTable::dropExcess(Entry &entry)
{
    while (entry.deaths.size() > config::CrashesKept) {
        const auto cleared = std::find_if(entry.deaths.rbegin(), entry.deaths.rend(), [&entry](CrashId death) {
            return containsSorted(entry.cleared, death);
        });
        const CrashId dropped = cleared == entry.deaths.rend() ? entry.deaths.back() : *cleared;
        std::erase(entry.deaths, dropped);
        std::erase(entry.cleared, dropped);
    }
    while (entry.cleared.size() > config::CrashesKept) {
        const auto unknown = std::find_if(entry.cleared.rbegin(), entry.cleared.rend(), [&entry](CrashId death) {
            return !containsSorted(entry.deaths, death);
        });
        entry.cleared.erase(std::next(unknown).base());
    }
}

Verdict SuspicionTable::verdictOf(const Entry &entry)
{
    const std::size_t open = SuspicionTable::openDeathsOf(entry).size();
    if (open == 0) {
        return Verdict::Free;
    }
    return open < config::CrashesUntilRefused ? Verdict::Suspect : Verdict::Refused;
}

bool SuspicionTable::isAnsweredSince(const Fingerprint &fingerprint, TimePoint at) const
{
    for (const auto *answers : {&this->answeredAt, &this->answeredBefore}) {
        if (const auto found = answers->find(fingerprint); found != answers->end() && found->second > at) {
            return true;
        }
    }
    return false;
}

// Counts the crashes of an entry that no other suspect explains. Of two suspects that were in the same crashes each
// explains those of the other, so that only requests with both are refused; the next answer or crash tells them apart.
std::size_t
SuspicionTable::unexplainedDeaths(const Fingerprint &fingerprint, const SuspectKeys &keys, TimePoint now) const
{
    const TimePoint soundSince = now - config::PartSoundMemory;
    const bool sound = this->isSoundSince(fingerprint, soundSince);
    std::vector<CrashId> rest = SuspicionTable::openDeathsOf(this->entries.at(fingerprint));
    const std::size_t own = rest.size();
    for (const Fingerprint &suspect : this->candidates) {
        if (keys.contains(suspect) || this->isSoundSince(suspect, soundSince)) {
            continue;
        }
        const std::vector<CrashId> other = SuspicionTable::openDeathsOf(this->entries.at(suspect));
        if (!sound && other.size() < own) {
            continue;
        }
        // Of a full entry only the lowest ids are kept, so that it may have been in any crash above them.
        const bool mayHaveMore = sound && other.size() >= config::CrashesKept;
        std::erase_if(rest, [&other, mayHaveMore](CrashId death) {
            return containsSorted(other, death) || (mayHaveMore && death > other.back());
        });
    }
    return rest.size();
}

bool SuspicionTable::isSoundSince(const Fingerprint &fingerprint, TimePoint at) const
{
    return this->entries.at(fingerprint).clearedAt > at || this->isAnsweredSince(fingerprint, at);
}

std::optional<std::size_t> SuspicionTable::findRefusedPart(const std::string &service,
                                                           const SuspectKeys &keys,
                                                           TimePoint now,
                                                           const std::set<Fingerprint> &exempt) const
{
    std::optional<std::size_t> found;
    std::size_t most = 0;
    for (std::size_t i = 0; i < keys.parts.size(); ++i) {
        if (!this->candidates.contains(keys.parts[i]) || exempt.contains(keys.parts[i])) {
            continue;
        }
        const Entry &entry = this->entries.at(keys.parts[i]);
        const std::size_t deaths = SuspicionTable::openDeathsOf(entry).size();
        if (deaths >= most && entry.answeredWithout.contains(service)
            && !this->isSoundSince(keys.parts[i], now - config::PartSoundTime)
            && this->unexplainedDeaths(keys.parts[i], keys, now) >= config::PartCrashesUntilRefused) {
            found = i;
            most = deaths;
        }
    }
    return found;
}

SuspicionTable::Entry &SuspicionTable::entryOf(const Fingerprint &fingerprint)
{
    if (this->entries.size() >= config::SuspectTableSize && !this->entries.contains(fingerprint)) {
        this->evictOldest();
    }
    return this->entries[fingerprint];
}

void SuspicionTable::forget(const Fingerprint &fingerprint, std::uint64_t version)
{
    this->byVersion.erase(version);
    this->refused.erase(version);
    this->candidates.erase(fingerprint);
}

// Evicts refused requests last: many requests that were running during one crash must not displace those that have
// crashed several servers.
void SuspicionTable::evictOldest()
{
    const auto free = std::find_if(this->byVersion.begin(), this->byVersion.end(), [this](const auto &entry) {
        return !this->refused.contains(entry.first);
    });
    const auto oldest = free == this->byVersion.end() ? this->byVersion.begin() : free;
    const auto [version, fingerprint] = *oldest;
    this->entries.erase(fingerprint);
    this->forget(fingerprint, version);
    ++this->counters.evicted;
}

void SuspicionTable::touch(const Fingerprint &fingerprint, Entry &entry, Verdict before, TimePoint at)
{
    const bool wasCandidate = this->candidates.contains(fingerprint);
    this->forget(fingerprint, entry.version);
    entry.version = ++this->lastVersion;
    entry.changedAt = std::max(entry.changedAt, at);
    this->byVersion[entry.version] = fingerprint;
    const Verdict after = SuspicionTable::verdictOf(entry);
    if (after == Verdict::Refused) {
        this->refused.insert(entry.version);
    }
    this->counters.refused += before != Verdict::Refused && after == Verdict::Refused ? 1 : 0;
    if (SuspicionTable::openDeathsOf(entry).size() >= config::PartCrashesUntilRefused) {
        this->candidates.insert(fingerprint);
        if (!wasCandidate) {
            entry.candidateSince = at;
            entry.answeredWithout.clear();
        }
    }
}

void SuspicionTable::recordCrash(CrashId death, std::span<const Fingerprint> running, TimePoint at)
{
    for (const Fingerprint &fingerprint : running) {
        if (this->isAnsweredSince(fingerprint, at)) {
            continue;
        }
        Entry &entry = this->entryOf(fingerprint);
        const Verdict before = SuspicionTable::verdictOf(entry);
        if (insertSorted(entry.deaths, death)) {
            SuspicionTable::dropExcess(entry);
            ++this->counters.accused;
            this->touch(fingerprint, entry, before, at);
        }
    }
}

void SuspicionTable::clear(const Fingerprint &fingerprint, TimePoint now)
{
    this->answeredAt[fingerprint] = now;
    const auto found = this->entries.find(fingerprint);
    if (found == this->entries.end() || SuspicionTable::verdictOf(found->second) == Verdict::Free) {
        return;
    }
    Entry &entry = found->second;
    const Verdict before = SuspicionTable::verdictOf(entry);
    entry.cleared = entry.deaths;
    entry.clearedAt = now;
    ++this->counters.cleared;
    this->touch(fingerprint, entry, before, now);
}

void SuspicionTable::recordAnswer(const std::string &service, const SuspectKeys &keys, TimePoint beganAt, TimePoint now)
{
    this->clear(keys.request, now);
    for (const Fingerprint &part : keys.parts) {
        this->clear(part, now);
    }
    for (const Fingerprint &fingerprint : this->candidates) {
        Entry &entry = this->entries.at(fingerprint);
        if (beganAt > entry.candidateSince) {
            entry.answeredWithout.insert(service);
        }
    }
}

void SuspicionTable::retractCrash(CrashId death, std::span<const Fingerprint> running, TimePoint now)
{
    for (const Fingerprint &fingerprint : running) {
        const auto found = this->entries.find(fingerprint);
        if (found == this->entries.end()) {
            continue;
        }
        Entry &entry = found->second;
        const Verdict before = SuspicionTable::verdictOf(entry);
        if (insertSorted(entry.cleared, death)) {
            SuspicionTable::dropExcess(entry);
            ++this->counters.cleared;
            this->touch(fingerprint, entry, before, now);
        }
    }
}

bool SuspicionTable::merge(const Suspicion &suspicion, TimePoint now)
{
    if (suspicion.age >= config::SuspectRetention || suspicion.deaths.empty()) {
        return false;
    }
    Entry &entry = this->entryOf(suspicion.fingerprint);
    const Verdict before = SuspicionTable::verdictOf(entry);
    const auto deathsBefore = entry.deaths;
    const auto clearedBefore = entry.cleared;
    // None of the crashes is later than the last change.
    const bool answered = this->isAnsweredSince(suspicion.fingerprint, now - suspicion.age);
    for (const CrashId death : suspicion.deaths) {
        if (insertSorted(entry.deaths, death) && answered) {
            insertSorted(entry.cleared, death);
        }
    }
    for (const CrashId death : suspicion.cleared) {
        insertSorted(entry.cleared, death);
    }
    SuspicionTable::dropExcess(entry);
    const bool news = entry.deaths != deathsBefore || entry.cleared != clearedBefore;
    if (entry.cleared != clearedBefore) {
        entry.clearedAt = std::max(entry.clearedAt, now - suspicion.age);
    }
    if (news) {
        this->touch(suspicion.fingerprint, entry, before, now - suspicion.age);
    }
    return news;
}

std::size_t SuspicionTable::openCrashes(const Fingerprint &fingerprint) const
{
    const auto found = this->entries.find(fingerprint);
    return found == this->entries.end() ? 0 : SuspicionTable::openDeathsOf(found->second).size();
}

std::size_t SuspicionTable::urgency(const Fingerprint &fingerprint, TimePoint now) const
{
    const std::size_t open = this->openCrashes(fingerprint);
    return open > 0 && this->isSoundSince(fingerprint, now - config::PartSoundMemory) ? 0 : open;
}

Verdict SuspicionTable::verdict(const Fingerprint &fingerprint) const
{
    const auto found = this->entries.find(fingerprint);
    return found == this->entries.end() ? Verdict::Free : SuspicionTable::verdictOf(found->second);
}

std::optional<Suspicion> SuspicionTable::find(const Fingerprint &fingerprint, TimePoint now) const
{
    const auto found = this->entries.find(fingerprint);
    if (found == this->entries.end()) {
        return {};
    }
    const Entry &entry = found->second;
    return Suspicion {fingerprint, entry.deaths, entry.cleared, std::max(now - entry.changedAt, Duration::zero())};
}

std::optional<Suspicion> SuspicionTable::changedAt(std::uint64_t version, TimePoint now) const
{
    const auto found = this->byVersion.find(version);
    return found == this->byVersion.end() ? std::nullopt : this->find(found->second, now);
}

std::vector<std::uint64_t> SuspicionTable::versionsAfter(std::uint64_t version, std::size_t limit) const
{
    std::vector<std::uint64_t> versions;
    auto next = this->byVersion.upper_bound(version);
    while (next != this->byVersion.end() && versions.size() < limit) {
        versions.push_back(next->first);
        ++next;
    }
    return versions;
}

std::vector<std::uint64_t> SuspicionTable::refusedAfter(std::uint64_t version, std::size_t limit) const
{
    std::vector<std::uint64_t> versions;
    for (auto next = this->refused.upper_bound(version); next != this->refused.end() && versions.size() < limit;
         ++next) {
        versions.push_back(*next);
    }
    return versions;
}

std::uint64_t SuspicionTable::version() const
{
    return this->lastVersion;
}

std::vector<std::uint64_t> SuspicionTable::mostUrgent(std::size_t limit, TimePoint now) const
{
    std::vector<std::pair<std::size_t, std::uint64_t>> ranked;
    for (const Fingerprint &fingerprint : this->candidates) {
        if (const std::size_t urgency = this->urgency(fingerprint, now); urgency > 0) {
            ranked.emplace_back(urgency, this->entries.at(fingerprint).version);
        }
    }
    std::sort(ranked.begin(), ranked.end(), std::greater<>());
    ranked.resize(std::min(ranked.size(), limit));
    std::vector<std::uint64_t> versions;
    versions.reserve(ranked.size());
    for (const auto &[urgency, version] : ranked) {
        versions.push_back(version);
    }
    return versions;
}

void SuspicionTable::tick(TimePoint now)
{
    std::erase_if(this->entries, [this, now](const auto &item) {
        const bool expired = now - item.second.changedAt >= config::SuspectRetention;
        if (expired) {
            this->forget(item.first, item.second.version);
        }
        return expired;
    });
    if (now - this->answersRotatedAt >= config::CrashWatchTime
        || this->answeredAt.size() >= config::AnswersRemembered / 2) {
        this->answersRotatedAt = now;
        this->answeredBefore = std::exchange(this->answeredAt, {});
    }
}

SuspicionStats SuspicionTable::stats() const
{
    SuspicionStats stats = this->counters;
    stats.entries = this->entries.size();
    return stats;
}

void SuspectOwner::own(std::uint64_t fence, TimePoint now)
{
    this->fence = fence;
    this->permits.clear();
    this->grantableFrom = now + config::SuspectPermitTtl + config::SuspectRunBound + config::CreditClockMargin;
}

void SuspectOwner::disown()
{
    this->fence.reset();
    this->permits.clear();
}

bool SuspectOwner::isFree(const SuspectRequest &request) const
{
    return std::none_of(this->permits.begin(), this->permits.end(), [&request](const auto &item) {
        return item.second.fingerprint == request.fingerprint || item.second.server == request.server;
    });
}

bool SuspectOwner::areAllAlone() const
{
    std::set<Fingerprint> fingerprints;
    std::set<ServerHandle> servers;
    for (const auto &[id, permit] : this->permits) {
        fingerprints.insert(permit.fingerprint);
        servers.insert(permit.server);
    }
    return fingerprints.size() == this->permits.size() && servers.size() == this->permits.size();
}

SuspectPermit SuspectOwner::request(const SuspectRequest &request, TimePoint now)
{
    SuspectPermit answer {request.requestId, false, this->fence.value_or(0), 0};
    if (!this->fence || now < this->grantableFrom || !this->isFree(request)) {
        return answer;
    }
    answer.granted = true;
    answer.id = this->nextId++;
    const TimePoint endsBy = now + config::SuspectPermitTtl + config::SuspectRunBound + config::CreditClockMargin;
    this->permits[answer.id] = {request.fingerprint, request.server, endsBy};
    checkInvariant(Invariant::SuspectRunsAlone, this->areAllAlone(), "two permits for one suspect or one server");
    return answer;
}

void SuspectOwner::giveBack(const SuspectReturn &permit)
{
    if (this->fence == permit.fence) {
        this->permits.erase(permit.id);
    }
}

void SuspectOwner::tick(TimePoint now)
{
    std::erase_if(this->permits, [now](const auto &item) { return item.second.endsBy <= now; });
}

std::size_t SuspectOwner::outstanding() const
{
    return this->permits.size();
}

SuspectRequest SuspectHolder::ask(const Fingerprint &fingerprint, ServerHandle server, TimePoint now)
{
    const SuspectRequest request {this->nextRequestId++, fingerprint, server};
    this->pending[request.requestId] = {request, now};
    return request;
}

std::optional<SuspectUse> SuspectHolder::answered(const SuspectPermit &permit, TimePoint now)
{
    const auto item = this->pending.extract(permit.requestId);
    if (item.empty() || !permit.granted) {
        return {};
    }
    // Counted from when the request was sent, so that a run ends here no later than the owner assumes.
    const TimePoint expires = item.mapped().sentAt + config::SuspectPermitTtl;
    if (expires <= now) {
        return {};
    }
    return SuspectUse {item.mapped().request, permit.fence, permit.id, expires, expires + config::SuspectRunBound};
}

void SuspectHolder::tick(TimePoint now)
{
    std::erase_if(this->pending,
                  [now](const auto &item) { return now - item.second.sentAt >= config::SuspectPermitTtl; });
}

bool SuspectHolder::checkDispatch(const SuspicionTable &table,
                                  const Fingerprint &fingerprint,
                                  ServerHandle server,
                                  const std::optional<SuspectUse> &use,
                                  TimePoint now)
{
    const Verdict verdict = table.verdict(fingerprint);
    const bool permitted
        = use && use->request.fingerprint == fingerprint && use->request.server == server && now < use->expires;
    const bool holds = verdict == Verdict::Free || (verdict == Verdict::Suspect && permitted);
    return checkInvariant(Invariant::SuspectRunsAlone, holds, "dispatch of a suspect without a valid permit");
}

} // namespace endivespan
