#include <endivespan/config.h>
#include <endivespan/invariant.h>
#include <endivespan/suspect.h>

#include <openssl/sha.h>

#include <algorithm>
#include <cstring>
#include <set>

namespace endivespan {

namespace {

using Digest = std::array<std::uint8_t, SHA256_DIGEST_LENGTH>;

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
    if ((place != ids.end() && *place == id) || ids.size() >= config::CrashesKept) {
        return false;
    }
    ids.insert(place, id);
    return true;
}

} // namespace

Fingerprint fingerprintOf(std::string_view organisation, std::string_view target, std::string_view body)
{
    const Digest digest = digestOf({organisation, target, body});
    Fingerprint fingerprint;
    std::copy_n(digest.begin(), fingerprint.bytes.size(), fingerprint.bytes.begin());
    return fingerprint;
}

std::string fingerprintText(const Fingerprint &fingerprint)
{
    constexpr std::size_t Bytes = 6;
    constexpr std::string_view Digits = "0123456789abcdef";
    std::string text;
    for (std::size_t i = 0; i < Bytes; ++i) {
        text += Digits[fingerprint.bytes[i] >> 4U];
        text += Digits[fingerprint.bytes[i] & 0xfU];
    }
    return text;
}

CrashId crashIdOf(std::string_view server, std::string_view incarnation)
{
    const Digest digest = digestOf({server, incarnation});
    CrashId id = 0;
    std::memcpy(&id, digest.data(), sizeof(id));
    return id;
}

std::size_t SuspicionTable::openDeathsOf(const Entry &entry)
{
    return static_cast<std::size_t>(std::count_if(entry.deaths.begin(), entry.deaths.end(), [&entry](CrashId death) {
        return !std::binary_search(entry.cleared.begin(), entry.cleared.end(), death);
    }));
}

Verdict SuspicionTable::verdictOf(const Entry &entry)
{
    const std::size_t open = SuspicionTable::openDeathsOf(entry);
    if (open == 0) {
        return Verdict::Free;
    }
    return open < config::CrashesUntilRefused ? Verdict::Suspect : Verdict::Refused;
}

SuspicionTable::Entry &SuspicionTable::entryOf(const Fingerprint &fingerprint)
{
    if (this->entries.size() >= config::SuspectTableSize && !this->entries.contains(fingerprint)) {
        this->evictOldest();
    }
    return this->entries[fingerprint];
}

void SuspicionTable::forget(std::uint64_t version)
{
    this->byVersion.erase(version);
    this->refused.erase(version);
}

// Evicts refused requests last: many requests that were running during one crash must not displace those that have
// crashed several servers.
void SuspicionTable::evictOldest()
{
    const auto free = std::find_if(this->byVersion.begin(), this->byVersion.end(), [this](const auto &entry) {
        return !this->refused.contains(entry.first);
    });
    const auto oldest = free == this->byVersion.end() ? this->byVersion.begin() : free;
    this->entries.erase(oldest->second);
    this->forget(oldest->first);
    ++this->counters.evicted;
}

void SuspicionTable::touch(const Fingerprint &fingerprint, Entry &entry, Verdict before, TimePoint at)
{
    this->forget(entry.version);
    entry.version = ++this->lastVersion;
    entry.changedAt = std::max(entry.changedAt, at);
    this->byVersion[entry.version] = fingerprint;
    const Verdict after = SuspicionTable::verdictOf(entry);
    if (after == Verdict::Refused) {
        this->refused.insert(entry.version);
    }
    this->counters.refused += before != Verdict::Refused && after == Verdict::Refused ? 1 : 0;
}

void SuspicionTable::recordCrash(CrashId death, std::span<const Fingerprint> running, TimePoint now)
{
    for (const Fingerprint &fingerprint : running) {
        Entry &entry = this->entryOf(fingerprint);
        const Verdict before = SuspicionTable::verdictOf(entry);
        if (before == Verdict::Free && entry.deaths.size() >= config::CrashesKept) {
            entry.deaths.clear();
            entry.cleared.clear();
        }
        if (insertSorted(entry.deaths, death)) {
            ++this->counters.accused;
            this->touch(fingerprint, entry, before, now);
        }
    }
}

void SuspicionTable::clear(const Fingerprint &fingerprint, TimePoint now)
{
    const auto found = this->entries.find(fingerprint);
    if (found == this->entries.end() || SuspicionTable::verdictOf(found->second) == Verdict::Free) {
        return;
    }
    Entry &entry = found->second;
    const Verdict before = SuspicionTable::verdictOf(entry);
    entry.cleared = entry.deaths;
    ++this->counters.cleared;
    this->touch(fingerprint, entry, before, now);
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
    bool news = false;
    for (const CrashId death : suspicion.deaths) {
        news = insertSorted(entry.deaths, death) || news;
    }
    for (const CrashId death : suspicion.cleared) {
        news = insertSorted(entry.cleared, death) || news;
    }
    if (news) {
        this->touch(suspicion.fingerprint, entry, before, now - suspicion.age);
    }
    return news;
}

std::size_t SuspicionTable::openCrashes(const Fingerprint &fingerprint) const
{
    const auto found = this->entries.find(fingerprint);
    return found == this->entries.end() ? 0 : SuspicionTable::openDeathsOf(found->second);
}

Verdict SuspicionTable::verdict(const Fingerprint &fingerprint) const
{
    const auto found = this->entries.find(fingerprint);
    return found == this->entries.end() ? Verdict::Free : SuspicionTable::verdictOf(found->second);
}

std::optional<Suspicion> SuspicionTable::changedAt(std::uint64_t version, TimePoint now) const
{
    const auto found = this->byVersion.find(version);
    if (found == this->byVersion.end()) {
        return {};
    }
    const Entry &entry = this->entries.at(found->second);
    return Suspicion {found->second, entry.deaths, entry.cleared, std::max(now - entry.changedAt, Duration::zero())};
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

void SuspicionTable::tick(TimePoint now)
{
    std::erase_if(this->entries, [this, now](const auto &item) {
        const bool expired = now - item.second.changedAt >= config::SuspectRetention;
        if (expired) {
            this->forget(item.second.version);
        }
        return expired;
    });
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
