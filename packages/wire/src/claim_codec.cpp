#include "claims_types.h"
#include "records_types.h"
#include "thrift_p.h"

#include <endivespan/claim_codec.h>

#include <algorithm>
#include <charconv>
#include <memory>
#include <stdexcept>
#include <utility>

namespace endivespan {

namespace {

constexpr std::string_view ClaimKind = "claim";
constexpr std::string_view AbandonKind = "claim_abandon";
constexpr std::string_view OutcomeName = "claim_outcome";
constexpr std::string_view SnapshotKind = "claim_snapshot";
constexpr std::string_view UnknownKind = "unknown";

template<typename T>
T read(std::string_view bytes)
{
    if (auto value = decodeThrift<T>(bytes)) {
        return std::move(*value);
    }
    throw std::invalid_argument("record body does not match its kind");
}

gen::AttemptIdRecord pack(const AttemptId &id)
{
    gen::AttemptIdRecord packed;
    packed.writer = static_cast<std::int64_t>(id.writer);
    packed.sequence = static_cast<std::int64_t>(id.sequence);
    return packed;
}

AttemptId unpack(const gen::AttemptIdRecord &packed)
{
    return {static_cast<std::uint64_t>(packed.writer), static_cast<std::uint64_t>(packed.sequence)};
}

std::string pack(const ClaimDigest &digest)
{
    return {digest.begin(), digest.end()};
}

ClaimDigest unpackDigest(const std::string &packed)
{
    ClaimDigest digest {};
    if (packed.size() != digest.size()) {
        throw std::invalid_argument("digest has a wrong size");
    }
    std::copy(packed.begin(), packed.end(), digest.begin());
    return digest;
}

std::int64_t pack(LogTime time)
{
    return time.time_since_epoch().count();
}

LogTime unpackTime(std::int64_t packed)
{
    return LogTime(std::chrono::milliseconds(packed));
}

OutcomeKind unpackOutcome(std::int32_t packed)
{
    if (packed < 0 || packed > static_cast<std::int32_t>(OutcomeKind::Unknown)) {
        throw std::invalid_argument("unknown kind of outcome");
    }
    return static_cast<OutcomeKind>(packed);
}

gen::AnswerBody pack(const ClaimAnswer &answer)
{
    gen::AnswerBody packed;
    packed.status = answer.status;
    packed.headers = answer.headers;
    packed.body = answer.body;
    return packed;
}

ClaimAnswer unpack(const gen::AnswerBody &packed)
{
    return {packed.status, packed.headers, packed.body};
}

gen::ClaimBody pack(const Claim &claim)
{
    gen::ClaimBody packed;
    packed.attempt = pack(claim.attempt);
    packed.organisation = claim.organisation;
    packed.key = claim.key;
    packed.fingerprint = pack(claim.fingerprint);
    packed.host = claim.host;
    packed.run_limit_ms = claim.runLimit.count();
    return packed;
}

Claim unpack(const gen::ClaimBody &packed)
{
    return {unpack(packed.attempt),
            packed.organisation,
            packed.key,
            unpackDigest(packed.fingerprint),
            packed.host,
            std::chrono::milliseconds(packed.run_limit_ms)};
}

gen::AbandonBody pack(const ClaimAbandon &abandon)
{
    gen::AbandonBody packed;
    packed.attempt = pack(abandon.attempt);
    packed.name = pack(abandon.name);
    return packed;
}

gen::OutcomeBody pack(const ClaimOutcome &outcome)
{
    gen::OutcomeBody packed;
    packed.attempt = pack(outcome.attempt);
    packed.name = pack(outcome.name);
    packed.kind = static_cast<std::int32_t>(outcome.kind);
    if (outcome.kind == OutcomeKind::Answered) {
        packed.__set_answer(pack(outcome.answer));
    }
    return packed;
}

ClaimOutcome unpack(const gen::OutcomeBody &packed)
{
    return {unpack(packed.attempt), unpackDigest(packed.name), unpackOutcome(packed.kind), unpack(packed.answer)};
}

gen::SnapshotEntryBody pack(const ClaimEntry &entry)
{
    gen::SnapshotEntryBody packed;
    packed.name = pack(entry.name);
    packed.fingerprint = pack(entry.fingerprint);
    packed.attempt = pack(entry.attempt);
    packed.host = entry.host;
    packed.at_ms = pack(entry.at);
    packed.run_limit_ms = entry.runLimit.count();
    packed.offset = static_cast<std::int64_t>(entry.offset);
    packed.outcome_offset = static_cast<std::int64_t>(entry.outcomeOffset);
    if (entry.outcome) {
        packed.__set_outcome(static_cast<std::int32_t>(*entry.outcome));
    }
    if (entry.answer) {
        packed.__set_answer(pack(*entry.answer));
    }
    return packed;
}

ClaimEntry unpack(const gen::SnapshotEntryBody &packed)
{
    ClaimEntry entry;
    entry.name = unpackDigest(packed.name);
    entry.fingerprint = unpackDigest(packed.fingerprint);
    entry.attempt = unpack(packed.attempt);
    entry.host = packed.host;
    entry.at = unpackTime(packed.at_ms);
    entry.runLimit = std::chrono::milliseconds(packed.run_limit_ms);
    entry.offset = static_cast<std::uint64_t>(packed.offset);
    entry.outcomeOffset = static_cast<std::uint64_t>(packed.outcome_offset);
    if (packed.__isset.outcome) {
        entry.outcome = unpackOutcome(packed.outcome);
    }
    if (packed.__isset.answer) {
        entry.answer = std::make_shared<const ClaimAnswer>(unpack(packed.answer));
    }
    return entry;
}

gen::SnapshotBody pack(const ClaimSnapshotChunk &chunk)
{
    gen::SnapshotBody packed;
    packed.snapshot = pack(chunk.snapshot);
    packed.through = static_cast<std::int64_t>(chunk.through);
    packed.at_ms = pack(chunk.at);
    packed.index = static_cast<std::int32_t>(chunk.index);
    packed.count = static_cast<std::int32_t>(chunk.count);
    for (const ClaimEntry &entry : chunk.entries) {
        packed.entries.push_back(pack(entry));
    }
    for (const VoidAttempt &attempt : chunk.voids) {
        gen::VoidAttemptBody body;
        body.attempt = pack(attempt.attempt);
        body.at_ms = pack(attempt.at);
        body.offset = static_cast<std::int64_t>(attempt.offset);
        packed.voids.push_back(body);
    }
    return packed;
}

ClaimSnapshotChunk unpack(const gen::SnapshotBody &packed)
{
    ClaimSnapshotChunk chunk;
    chunk.snapshot = unpack(packed.snapshot);
    chunk.through = static_cast<std::uint64_t>(packed.through);
    chunk.at = unpackTime(packed.at_ms);
    chunk.index = static_cast<std::uint32_t>(packed.index);
    chunk.count = static_cast<std::uint32_t>(packed.count);
    for (const auto &entry : packed.entries) {
        chunk.entries.push_back(unpack(entry));
    }
    for (const auto &body : packed.voids) {
        chunk.voids.push_back({unpack(body.attempt), unpackTime(body.at_ms), static_cast<std::uint64_t>(body.offset)});
    }
    return chunk;
}

// Returns the kind and the body for the envelope.
std::pair<std::string_view, std::string> packRecord(const ClaimRecord &record)
{
    if (const auto *claim = std::get_if<Claim>(&record)) {
        return {ClaimKind, encodeThrift(pack(*claim))};
    }
    if (const auto *abandon = std::get_if<ClaimAbandon>(&record)) {
        return {AbandonKind, encodeThrift(pack(*abandon))};
    }
    if (const auto *outcome = std::get_if<ClaimOutcome>(&record)) {
        return {OutcomeName, encodeThrift(pack(*outcome))};
    }
    if (const auto *chunk = std::get_if<ClaimSnapshotChunk>(&record)) {
        return {SnapshotKind, encodeThrift(pack(*chunk))};
    }
    return {UnknownKind, {}};
}

ClaimRecord unpackRecord(const gen::RecordEnvelope &envelope)
{
    if (envelope.kind == ClaimKind) {
        return unpack(read<gen::ClaimBody>(envelope.body));
    }
    if (envelope.kind == AbandonKind) {
        const auto packed = read<gen::AbandonBody>(envelope.body);
        return ClaimAbandon {unpack(packed.attempt), unpackDigest(packed.name)};
    }
    if (envelope.kind == OutcomeName) {
        return unpack(read<gen::OutcomeBody>(envelope.body));
    }
    if (envelope.kind == SnapshotKind) {
        return unpack(read<gen::SnapshotBody>(envelope.body));
    }
    return std::monostate {};
}

std::uint64_t parseWriter(const std::string &text)
{
    std::uint64_t writer = 0;
    std::from_chars(text.data(), text.data() + text.size(), writer);
    return writer;
}

} // namespace

std::string encodeClaimRecord(const AttemptId &recordId, const ClaimRecord &record)
{
    auto [kind, body] = packRecord(record);
    gen::RecordEnvelope envelope;
    envelope.writer = std::to_string(recordId.writer);
    envelope.sequence = static_cast<std::int64_t>(recordId.sequence);
    envelope.kind = kind;
    envelope.body = std::move(body);
    return encodeThrift(envelope);
}

std::pair<AttemptId, ClaimRecord> decodeClaimRecord(std::string_view bytes)
{
    AttemptId recordId;
    try {
        const auto envelope = read<gen::RecordEnvelope>(bytes);
        recordId = {parseWriter(envelope.writer), static_cast<std::uint64_t>(envelope.sequence)};
        return {recordId, unpackRecord(envelope)};
    } catch (const std::invalid_argument &) {
        return {recordId, std::monostate {}};
    }
}

} // namespace endivespan
