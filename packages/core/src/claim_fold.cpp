#include <endivespan/claim.h>
#include <endivespan/config.h>
#include <endivespan/invariant.h>
#include <endivespan/prefix.h>

#include <openssl/sha.h>

#include <algorithm>
#include <initializer_list>
#include <utility>

namespace endivespan {

namespace {

// Each field is preceded by its length, so that ("ab", "c") and ("a", "bc") have different digests.
ClaimDigest digestOf(std::initializer_list<std::string_view> fields)
{
    std::string text;
    for (const std::string_view field : fields) {
        text += std::to_string(field.size());
        text += ':';
        text += field;
    }
    std::array<unsigned char, SHA256_DIGEST_LENGTH> whole;
    SHA256(reinterpret_cast<const unsigned char *>(text.data()), text.size(), whole.data());
    ClaimDigest digest;
    std::copy_n(whole.begin(), digest.size(), digest.begin());
    return digest;
}

std::string describe(const AttemptId &attempt)
{
    return "attempt " + std::to_string(attempt.writer) + "-" + std::to_string(attempt.sequence);
}

std::size_t entryBytes(const ClaimEntry &entry)
{
    constexpr std::size_t FixedBytes = 128;
    return FixedBytes + entry.host.size() + (entry.answer ? entry.answer->bytes() : 0);
}

constexpr std::size_t VoidBytes = 48;

void addNumber(std::string &text, std::uint64_t number)
{
    text += std::to_string(number);
    text += ',';
}

void addAttempt(std::string &text, const AttemptId &attempt)
{
    addNumber(text, attempt.writer);
    addNumber(text, attempt.sequence);
}

void addEntryText(std::string &text, const ClaimEntry &entry)
{
    text.append(entry.name.begin(), entry.name.end());
    text.append(entry.fingerprint.begin(), entry.fingerprint.end());
    addAttempt(text, entry.attempt);
    addNumber(text, entry.offset);
    addNumber(text, static_cast<std::uint64_t>(entry.at.time_since_epoch().count()));
    addNumber(text, static_cast<std::uint64_t>(entry.runLimit.count()));
    addNumber(text, entry.host.size());
    text += entry.host;
    addNumber(text, entry.outcome ? static_cast<std::uint64_t>(*entry.outcome) + 1 : 0);
    addNumber(text, entry.outcomeOffset);
    if (entry.answer) {
        addNumber(text, static_cast<std::uint64_t>(entry.answer->status));
        addNumber(text, entry.answer->bytes());
        text += entry.answer->body;
    }
}

} // namespace

ClaimDigest claimName(std::string_view organisation, std::string_view key)
{
    return digestOf({organisation, key});
}

ClaimDigest requestFingerprint(std::string_view method, std::string_view path, std::string_view body)
{
    return digestOf({method, path, body});
}

std::uint32_t claimShard(const ClaimDigest &name)
{
    return (name[0] * 256U + name[1]) % config::ClaimShards;
}

std::string claimStream(std::uint32_t shard)
{
    return (shard < 10 ? "claims-0" : "claims-") + std::to_string(shard);
}

std::size_t ClaimAnswer::bytes() const
{
    std::size_t total = this->body.size();
    for (const auto &[name, value] : this->headers) {
        total += name.size() + value.size();
    }
    return total;
}

ClaimLimits defaultClaimLimits()
{
    return {config::ClaimWindow, config::MaxClaimsPerShard, config::MaxShardAnswerBytes};
}

ClaimFold::ClaimFold(const ClaimLimits &limits)
    : limits(limits)
{
}

std::uint64_t ClaimFold::position() const
{
    return this->nextOffset;
}

bool ClaimFold::isComplete() const
{
    return this->complete;
}

LogTime ClaimFold::time() const
{
    return this->lastAt;
}

void ClaimFold::clear()
{
    this->entries.clear();
    this->entriesByOffset.clear();
    this->answersByOffset.clear();
    this->voids.clear();
    this->voidsByOffset.clear();
    this->pendingSnapshots.clear();
    this->answerBytes = 0;
}

void ClaimFold::restart(std::uint64_t oldest)
{
    this->clear();
    this->nextOffset = oldest;
    this->startOffset = oldest;
    this->complete = oldest == 0;
}

ClaimEffect ClaimFold::apply(const ClaimLogRecord &record)
{
    if (record.offset != this->nextOffset) {
        return ClaimEffect::None;
    }
    ++this->nextOffset;
    this->lastAt = std::max(this->lastAt, record.at);
    this->expire(this->lastAt);
    if (const auto *chunk = std::get_if<ClaimSnapshotChunk>(&record.record)) {
        return this->fold(record, *chunk);
    }
    // Skipped for now: once a snapshot is loaded, the records after it are read and folded again.
    if (!this->complete) {
        return ClaimEffect::None;
    }
    if (const auto *claim = std::get_if<Claim>(&record.record)) {
        return this->fold(record, *claim);
    }
    if (const auto *abandon = std::get_if<ClaimAbandon>(&record.record)) {
        return this->fold(record, *abandon);
    }
    if (const auto *outcome = std::get_if<ClaimOutcome>(&record.record)) {
        return this->fold(record, *outcome);
    }
    return ClaimEffect::None;
}

ClaimEffect ClaimFold::fold(const ClaimLogRecord &at, const Claim &claim)
{
    if (this->isVoid(claim.attempt)) {
        this->addVoid({claim.attempt, at.at, at.offset});
        return ClaimEffect::Void;
    }
    const ClaimDigest name = claimName(claim.organisation, claim.key);
    const auto holder = this->entries.find(name);
    if (holder != this->entries.end() && holder->second.attempt == claim.attempt) {
        return ClaimEffect::Repeated;
    }
    if (this->entries.size() + this->voids.size() >= this->limits.maxClaims) {
        ++this->fullCount;
        return ClaimEffect::Full;
    }
    if (holder != this->entries.end() && this->keepsName(holder->second)) {
        this->addVoid({claim.attempt, at.at, at.offset});
        ++this->lostCount;
        return ClaimEffect::Lost;
    }
    const bool free = holder == this->entries.end();
    checkInvariant(
        Invariant::OneWinningClaim, free, describe(claim.attempt) + " won a name that another attempt holds");
    if (!free) {
        this->eraseEntry(holder);
    }
    ClaimEntry entry;
    entry.name = name;
    entry.fingerprint = claim.fingerprint;
    entry.attempt = claim.attempt;
    entry.host = claim.host;
    entry.at = at.at;
    entry.runLimit = std::clamp(claim.runLimit, std::chrono::milliseconds::zero(), this->limits.window);
    entry.offset = at.offset;
    this->addEntry(std::move(entry));
    ++this->wonCount;
    return ClaimEffect::Won;
}

ClaimEffect ClaimFold::fold(const ClaimLogRecord &at, const ClaimAbandon &abandon)
{
    const auto holder = this->entries.find(abandon.name);
    const bool holds = holder != this->entries.end() && holder->second.attempt == abandon.attempt;
    if (holds && holder->second.outcome) {
        checkInvariant(
            Invariant::NotRunIsTrue, false, describe(abandon.attempt) + " was abandoned although it has an outcome");
        return ClaimEffect::None;
    }
    if (holds) {
        this->eraseEntry(holder);
        this->addVoid({abandon.attempt, at.at, at.offset});
        return ClaimEffect::Freed;
    }
    // When maxClaims is reached the abandonment is not stored. If the claim then comes after it, the claim holds the
    // name until its host abandons it again.
    if (this->isVoid(abandon.attempt) || this->entries.size() + this->voids.size() < this->limits.maxClaims) {
        this->addVoid({abandon.attempt, at.at, at.offset});
    }
    return ClaimEffect::None;
}

ClaimEffect ClaimFold::fold(const ClaimLogRecord &at, const ClaimOutcome &outcome)
{
    const bool neverRuns = this->isVoid(outcome.attempt);
    checkInvariant(Invariant::AtMostOneRun, !neverRuns, describe(outcome.attempt) + " is void but has an outcome");
    const auto holder = this->entries.find(outcome.name);
    if (holder == this->entries.end() || holder->second.attempt != outcome.attempt || holder->second.outcome) {
        return ClaimEffect::None;
    }
    ClaimEntry &entry = holder->second;
    entry.outcome = outcome.kind;
    entry.outcomeOffset = at.offset;
    if (outcome.kind == OutcomeKind::Answered) {
        entry.answer = std::make_shared<const ClaimAnswer>(outcome.answer);
        this->answerBytes += entry.answer->bytes();
        this->answersByOffset[at.offset] = entry.name;
        this->evictAnswers();
    }
    return ClaimEffect::OutcomeRecorded;
}

ClaimEffect ClaimFold::fold(const ClaimLogRecord &at, const ClaimSnapshotChunk &chunk)
{
    if (chunk.count == 0 || chunk.index >= chunk.count || chunk.through > at.offset) {
        return ClaimEffect::None;
    }
    if (this->pendingSnapshots.size() >= config::MaxPendingClaimSnapshots
        && this->pendingSnapshots.count(chunk.snapshot) == 0) {
        this->pendingSnapshots.erase(this->pendingSnapshots.begin());
    }
    PendingSnapshot &whole = this->pendingSnapshots[chunk.snapshot];
    whole.through = chunk.through;
    whole.at = chunk.at;
    whole.count = chunk.count;
    // A complete fold does not load the snapshot; it only needs to know when all chunks have been read.
    whole.chunks[chunk.index] = this->complete ? ClaimSnapshotChunk {} : chunk;
    if (whole.chunks.size() < whole.count) {
        return ClaimEffect::None;
    }
    if (!this->newestSnapshot || this->newestSnapshot->first < whole.through) {
        this->newestSnapshot = {whole.through, whole.at};
    }
    const PendingSnapshot loaded = std::move(whole);
    this->pendingSnapshots.erase(chunk.snapshot);
    if (!this->complete && loaded.through >= this->startOffset) {
        this->loadSnapshot(loaded);
    }
    return ClaimEffect::None;
}

void ClaimFold::loadSnapshot(const PendingSnapshot &whole)
{
    this->clear();
    for (const auto &[index, chunk] : whole.chunks) {
        for (const ClaimEntry &entry : chunk.entries) {
            this->addEntry(entry);
        }
        for (const VoidAttempt &attempt : chunk.voids) {
            this->addVoid(attempt);
        }
    }
    this->nextOffset = whole.through;
    this->lastAt = whole.at;
    this->complete = true;
}

void ClaimFold::addVoid(const VoidAttempt &attempt)
{
    const auto [known, added] = this->voids.emplace(attempt.attempt, attempt);
    if (!added) {
        this->voidsByOffset.erase(known->second.offset);
        known->second = attempt;
    }
    this->voidsByOffset[attempt.offset] = attempt.attempt;
}

void ClaimFold::addEntry(ClaimEntry entry)
{
    this->entriesByOffset[entry.offset] = entry.name;
    if (entry.answer) {
        this->answersByOffset[entry.outcomeOffset] = entry.name;
        this->answerBytes += entry.answer->bytes();
    }
    this->entries[entry.name] = std::move(entry);
}

void ClaimFold::eraseEntry(std::map<ClaimDigest, ClaimEntry>::iterator entry)
{
    this->entriesByOffset.erase(entry->second.offset);
    if (entry->second.answer) {
        this->answersByOffset.erase(entry->second.outcomeOffset);
        this->answerBytes -= entry->second.answer->bytes();
    }
    this->entries.erase(entry);
}

void ClaimFold::evictAnswers()
{
    while (this->answerBytes > this->limits.maxAnswerBytes && !this->answersByOffset.empty()) {
        ClaimEntry &oldest = this->entries.at(this->answersByOffset.begin()->second);
        this->answerBytes -= oldest.answer->bytes();
        oldest.answer.reset();
        oldest.outcome = OutcomeKind::NotKept;
        this->answersByOffset.erase(this->answersByOffset.begin());
    }
}

void ClaimFold::expire(LogTime now)
{
    while (!this->entriesByOffset.empty()) {
        const auto oldest = this->entries.find(this->entriesByOffset.begin()->second);
        if (oldest->second.at + this->limits.window > now) {
            break;
        }
        this->eraseEntry(oldest);
    }
    while (!this->voidsByOffset.empty()) {
        const auto oldest = this->voids.find(this->voidsByOffset.begin()->second);
        if (oldest->second.at + this->limits.window > now) {
            break;
        }
        this->voids.erase(oldest);
        this->voidsByOffset.erase(this->voidsByOffset.begin());
    }
}

ClaimView ClaimFold::lookUp(const ClaimDigest &name, const ClaimDigest &fingerprint, LogTime now) const
{
    const auto found = this->entries.find(name);
    if (found == this->entries.end()) {
        return {};
    }
    const ClaimEntry &entry = found->second;
    ClaimView view;
    view.host = entry.host;
    if (entry.fingerprint != fingerprint) {
        view.state = ClaimState::KeyReused;
        return view;
    }
    if (!entry.outcome) {
        view.remaining = entry.at + entry.runLimit - std::max(now, this->lastAt);
        view.state = view.remaining.count() > 0 ? ClaimState::InProgress : ClaimState::OutcomeUnknown;
        return view;
    }
    switch (*entry.outcome) {
    case OutcomeKind::Answered:
        view.state = ClaimState::Recorded;
        view.answer = entry.answer;
        break;
    case OutcomeKind::NotKept:
        view.state = ClaimState::AnswerNotKept;
        break;
    case OutcomeKind::Unknown:
        view.state = ClaimState::OutcomeUnknown;
        break;
    }
    return view;
}

bool ClaimFold::holds(const ClaimDigest &name, const AttemptId &attempt) const
{
    const auto found = this->entries.find(name);
    return found != this->entries.end() && found->second.attempt == attempt;
}

bool ClaimFold::isVoid(const AttemptId &attempt) const
{
    return this->voids.count(attempt) != 0;
}

bool ClaimFold::keepsName(const ClaimEntry &) const
{
    return true;
}

std::vector<ClaimSnapshotChunk> ClaimFold::snapshot(const AttemptId &id, std::size_t chunkBytes) const
{
    if (!this->complete) {
        return {};
    }
    std::vector<ClaimSnapshotChunk> chunks(1);
    std::size_t bytes = 0;
    const auto chunkFor = [&chunks, &bytes, chunkBytes](std::size_t size) -> ClaimSnapshotChunk & {
        if (bytes > 0 && bytes + size > chunkBytes) {
            chunks.emplace_back();
            bytes = 0;
        }
        bytes += size;
        return chunks.back();
    };
    for (const auto &[offset, name] : this->entriesByOffset) {
        const ClaimEntry &entry = this->entries.at(name);
        chunkFor(entryBytes(entry)).entries.push_back(entry);
    }
    for (const auto &[offset, attempt] : this->voidsByOffset) {
        chunkFor(VoidBytes).voids.push_back(this->voids.at(attempt));
    }
    for (std::uint32_t i = 0; i < chunks.size(); ++i) {
        chunks[i].snapshot = id;
        chunks[i].through = this->nextOffset;
        chunks[i].at = this->lastAt;
        chunks[i].index = i;
        chunks[i].count = static_cast<std::uint32_t>(chunks.size());
    }
    return chunks;
}

std::optional<std::pair<std::uint64_t, LogTime>> ClaimFold::lastSnapshot() const
{
    return this->newestSnapshot;
}

std::string ClaimFold::digest() const
{
    std::string text;
    addNumber(text, this->nextOffset);
    for (const auto &[name, entry] : this->entries) {
        addEntryText(text, entry);
    }
    for (const auto &[attempt, entry] : this->voids) {
        addAttempt(text, attempt);
        addNumber(text, entry.offset);
    }
    return sha256Hex(text);
}

ClaimFoldStats ClaimFold::stats() const
{
    return {
        this->entries.size(), this->voids.size(), this->answerBytes, this->wonCount, this->lostCount, this->fullCount};
}

} // namespace endivespan
