#include "config_types.h"
#include "records_types.h"
#include "thrift_p.h"

#include <endivespan/config_codec.h>

#include <algorithm>
#include <utility>

namespace endivespan {

namespace {

constexpr std::string_view NoteKind = "note";
constexpr std::string_view SnapshotKind = "snapshot";

std::vector<std::string> pack(const std::set<std::string> &texts)
{
    return {texts.begin(), texts.end()};
}

std::set<std::string> unpack(const std::vector<std::string> &texts)
{
    return {texts.begin(), texts.end()};
}

gen::Organisation pack(const Organisation &organisation)
{
    gen::Organisation packed;
    packed.name = organisation.name;
    packed.keyDigests = pack(organisation.keyDigests);
    packed.models = pack(organisation.models);
    packed.services = pack(organisation.services);
    packed.requestsInFlight = static_cast<std::int32_t>(organisation.limits.requestsInFlight);
    packed.weight = static_cast<std::int32_t>(organisation.limits.weight);
    return packed;
}

Organisation unpack(const gen::Organisation &packed)
{
    const OrganisationLimits limits {static_cast<std::uint32_t>(packed.requestsInFlight),
                                     static_cast<std::uint32_t>(packed.weight)};
    return {packed.name, unpack(packed.keyDigests), unpack(packed.models), unpack(packed.services), limits};
}

gen::Model pack(const Model &model)
{
    gen::Model packed;
    packed.name = model.name;
    packed.version = model.version;
    packed.nextVersion = model.nextVersion;
    return packed;
}

Model unpack(const gen::Model &packed)
{
    return {packed.name, packed.version, packed.nextVersion};
}

Service serviceOf(bool takenOut)
{
    return takenOut ? Service::TakenOut : Service::InService;
}

gen::FailureDomain pack(const FailureDomain &domain)
{
    gen::FailureDomain packed;
    packed.name = domain.name;
    packed.region = domain.region;
    packed.takenOut = domain.service == Service::TakenOut;
    return packed;
}

FailureDomain unpack(const gen::FailureDomain &packed)
{
    return {packed.name, packed.region, serviceOf(packed.takenOut)};
}

gen::BackendServer pack(const BackendServer &server)
{
    gen::BackendServer packed;
    packed.name = server.name;
    packed.kind = static_cast<gen::ServerKind>(server.kind);
    packed.address = server.address;
    packed.domain = server.domain;
    packed.pool = server.pool;
    packed.checksOrders = server.checksOrders;
    packed.coldConcurrency = static_cast<std::int32_t>(server.coldConcurrency);
    packed.warmConcurrency = static_cast<std::int32_t>(server.warmConcurrency);
    packed.takenOut = server.service == Service::TakenOut;
    return packed;
}

BackendServer unpack(const gen::BackendServer &packed)
{
    return {packed.name,
            static_cast<ServerKind>(packed.kind),
            packed.address,
            packed.domain,
            packed.pool,
            packed.checksOrders,
            static_cast<std::uint32_t>(packed.coldConcurrency),
            static_cast<std::uint32_t>(packed.warmConcurrency),
            serviceOf(packed.takenOut)};
}

gen::PlainService pack(const PlainService &service)
{
    gen::PlainService packed;
    packed.name = service.name;
    packed.idempotentPaths = pack(service.idempotentPaths);
    return packed;
}

PlainService unpack(const gen::PlainService &packed)
{
    return {packed.name, unpack(packed.idempotentPaths)};
}

gen::NoteOutcome pack(const NoteOutcome &outcome)
{
    gen::NoteOutcome packed;
    packed.id.writer = outcome.id.writer;
    packed.id.sequence = static_cast<std::int64_t>(outcome.id.sequence);
    packed.offset = static_cast<std::int64_t>(outcome.offset);
    packed.atMs = outcome.at.time_since_epoch().count();
    packed.author = outcome.author;
    packed.against = static_cast<std::int64_t>(outcome.against);
    packed.verdict = static_cast<gen::NoteVerdict>(outcome.verdict);
    packed.revision = static_cast<std::int64_t>(outcome.revision);
    packed.reason = outcome.reason;
    return packed;
}

LogTime timeOf(std::int64_t milliseconds)
{
    return LogTime(std::chrono::milliseconds(milliseconds));
}

NoteOutcome unpack(const gen::NoteOutcome &packed)
{
    return {{packed.id.writer, static_cast<std::uint64_t>(packed.id.sequence)},
            static_cast<std::uint64_t>(packed.offset),
            timeOf(packed.atMs),
            packed.author,
            static_cast<std::uint64_t>(packed.against),
            static_cast<NoteVerdict>(packed.verdict),
            static_cast<std::uint64_t>(packed.revision),
            packed.reason};
}

template<typename To, typename From>
std::vector<To> packAll(const std::vector<From> &entries)
{
    std::vector<To> packed;
    packed.reserve(entries.size());
    for (const From &entry : entries) {
        packed.push_back(pack(entry));
    }
    return packed;
}

template<typename To, typename From>
std::vector<To> unpackAll(const std::vector<From> &packed)
{
    std::vector<To> entries;
    entries.reserve(packed.size());
    for (const From &entry : packed) {
        entries.push_back(unpack(entry));
    }
    return entries;
}

gen::FleetEntries pack(const FleetEntries &entries)
{
    gen::FleetEntries packed;
    packed.organisations = packAll<gen::Organisation>(entries.organisations);
    packed.models = packAll<gen::Model>(entries.models);
    packed.domains = packAll<gen::FailureDomain>(entries.domains);
    packed.servers = packAll<gen::BackendServer>(entries.servers);
    packed.services = packAll<gen::PlainService>(entries.services);
    return packed;
}

FleetEntries unpack(const gen::FleetEntries &packed)
{
    return {unpackAll<Organisation>(packed.organisations),
            unpackAll<Model>(packed.models),
            unpackAll<FailureDomain>(packed.domains),
            unpackAll<BackendServer>(packed.servers),
            unpackAll<PlainService>(packed.services)};
}

// Returns whether all enumerators are known. Thrift decodes an enumerator as any integer, and a record with an unknown
// one is rejected as a whole.
bool isKnown(const gen::FleetEntries &packed)
{
    return std::all_of(packed.servers.begin(), packed.servers.end(), [](const gen::BackendServer &server) {
        return server.kind >= gen::ServerKind::Runner && server.kind <= gen::ServerKind::Store;
    });
}

gen::FleetNames pack(const FleetNames &names)
{
    gen::FleetNames packed;
    packed.organisations = names.organisations;
    packed.models = names.models;
    packed.domains = names.domains;
    packed.servers = names.servers;
    packed.services = names.services;
    return packed;
}

FleetNames unpack(const gen::FleetNames &packed)
{
    return {packed.organisations, packed.models, packed.domains, packed.servers, packed.services};
}

gen::ReleaseNote pack(const ReleaseNote &note)
{
    gen::ReleaseNote packed;
    packed.author = note.author;
    packed.against = static_cast<std::int64_t>(note.against);
    packed.added = pack(note.added);
    packed.changed = pack(note.changed);
    packed.withdrawn = pack(note.withdrawn);
    return packed;
}

ReleaseNote unpack(const gen::ReleaseNote &packed)
{
    return {packed.author,
            static_cast<std::uint64_t>(packed.against),
            unpack(packed.added),
            unpack(packed.changed),
            unpack(packed.withdrawn)};
}

gen::SnapshotPart pack(const SnapshotPart &part)
{
    gen::SnapshotContent content;
    content.entries = pack(part.entries);
    content.outcomes = packAll<gen::NoteOutcome>(part.outcomes);
    gen::SnapshotPart packed;
    packed.index = static_cast<std::int32_t>(part.index);
    packed.count = static_cast<std::int32_t>(part.count);
    packed.covers = static_cast<std::int64_t>(part.covers);
    packed.digest.assign(part.digest.begin(), part.digest.end());
    packed.revision = static_cast<std::int64_t>(part.revision);
    packed.author = part.origin.author;
    packed.offset = static_cast<std::int64_t>(part.origin.offset);
    packed.atMs = part.origin.at.time_since_epoch().count();
    packed.content = encodeThrift(content);
    return packed;
}

std::optional<SnapshotPart> unpack(const RecordId &id, const gen::SnapshotPart &packed, SnapshotUse use)
{
    SnapshotPart part;
    if (packed.digest.size() != part.digest.size()) {
        return std::nullopt;
    }
    part.id = id;
    part.index = static_cast<std::uint32_t>(packed.index);
    part.count = static_cast<std::uint32_t>(packed.count);
    part.covers = static_cast<std::uint64_t>(packed.covers);
    std::copy(packed.digest.begin(), packed.digest.end(), part.digest.begin());
    part.revision = static_cast<std::uint64_t>(packed.revision);
    part.origin = {packed.author, static_cast<std::uint64_t>(packed.offset), timeOf(packed.atMs)};
    if (use == SnapshotUse::Head) {
        return part;
    }
    const auto content = decodeThrift<gen::SnapshotContent>(packed.content);
    if (!content || !isKnown(content->entries)) {
        return std::nullopt;
    }
    part.entries = unpack(content->entries);
    part.outcomes = unpackAll<NoteOutcome>(content->outcomes);
    return part;
}

std::string encodeEnvelope(const RecordId &id, std::string_view kind, std::string body)
{
    gen::RecordEnvelope envelope;
    envelope.writer = id.writer;
    envelope.sequence = static_cast<std::int64_t>(id.sequence);
    envelope.kind = kind;
    envelope.body = std::move(body);
    return encodeThrift(envelope);
}

std::string encodePart(const SnapshotPart &part)
{
    return encodeEnvelope(part.id, SnapshotKind, encodeThrift(pack(part)));
}

Error unreadable(std::string_view what)
{
    return {ErrorKind::ProtocolError, "the record is " + std::string(what)};
}

Result<ConfigRecord> decodeNote(const RecordId &id, const std::string &body)
{
    const auto packed = decodeThrift<gen::ReleaseNote>(body);
    if (!packed || !isKnown(packed->added) || !isKnown(packed->changed)) {
        return unreadable("not a valid release note");
    }
    return ConfigRecord(NoteRecord {id, unpack(*packed)});
}

Result<ConfigRecord> decodePart(const RecordId &id, const std::string &body, SnapshotUse use)
{
    const auto packed = decodeThrift<gen::SnapshotPart>(body);
    auto part = packed ? unpack(id, *packed, use) : std::nullopt;
    if (!part) {
        return unreadable("not a valid part of a snapshot");
    }
    return ConfigRecord(std::move(*part));
}

} // namespace

std::string encodeConfigRecord(const ConfigRecord &record)
{
    if (const auto *note = std::get_if<NoteRecord>(&record)) {
        return encodeEnvelope(note->id, NoteKind, encodeThrift(pack(note->note)));
    }
    return encodePart(std::get<SnapshotPart>(record));
}

Result<ConfigRecord> decodeConfigRecord(std::string_view bytes, SnapshotUse use)
{
    const auto envelope = decodeThrift<gen::RecordEnvelope>(bytes);
    if (!envelope) {
        return unreadable("not a valid envelope");
    }
    const RecordId id {envelope->writer, static_cast<std::uint64_t>(envelope->sequence)};
    if (envelope->kind == NoteKind) {
        return decodeNote(id, envelope->body);
    }
    if (envelope->kind == SnapshotKind) {
        return decodePart(id, envelope->body, use);
    }
    return unreadable("of unknown kind '" + envelope->kind + "'");
}

std::string encodeConfigState(const std::vector<SnapshotPart> &parts)
{
    gen::ConfigState state;
    for (const SnapshotPart &part : parts) {
        state.parts.push_back(encodePart(part));
    }
    return encodeThrift(state);
}

Result<std::vector<SnapshotPart>> decodeConfigState(std::string_view bytes)
{
    const auto state = decodeThrift<gen::ConfigState>(bytes);
    if (!state) {
        return Error {ErrorKind::ProtocolError, "configuration state cannot be decoded"};
    }
    std::vector<SnapshotPart> parts;
    for (const std::string &encoded : state->parts) {
        auto record = decodeConfigRecord(encoded, SnapshotUse::Whole);
        if (!record) {
            return record.error();
        }
        auto *part = std::get_if<SnapshotPart>(&record.value());
        if (part == nullptr) {
            return Error {ErrorKind::ProtocolError,
                          "configuration state contains a record that is not a part of a snapshot"};
        }
        parts.push_back(std::move(*part));
    }
    return parts;
}

} // namespace endivespan
