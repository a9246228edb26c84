#include "gossip_codec_p.h"

#include <algorithm>

namespace endivespan {

namespace {

constexpr std::int8_t LeavingFlag = 1;
constexpr std::int8_t LogReachableFlag = 2;

gen::HostStatusRecord pack(const HostStatus &status)
{
    gen::HostStatusRecord record;
    record.incarnation = toSigned(status.version.incarnation);
    record.sequence = toSigned(status.version.sequence);
    record.flags = static_cast<std::int8_t>((status.state == HostState::Leaving ? LeavingFlag : 0)
                                            | (status.logReachable ? LogReachableFlag : 0));
    record.configOffset = toSigned(status.configOffset);
    return record;
}

HostStatus unpack(const gen::HostStatusRecord &record)
{
    HostStatus status;
    status.version = {toUnsigned(record.incarnation), toUnsigned(record.sequence)};
    status.state = (record.flags & LeavingFlag) != 0 ? HostState::Leaving : HostState::Live;
    status.logReachable = (record.flags & LogReachableFlag) != 0;
    status.configOffset = toUnsigned(record.configOffset);
    return status;
}

gen::HostReportRecord pack(const HostReport &report)
{
    gen::HostReportRecord record;
    record.name = report.name;
    record.address = report.address;
    record.domain = report.domain;
    record.region = report.region;
    record.status = pack(report.status);
    return record;
}

gen::ServerNoteRecord pack(const ServerNote &note)
{
    gen::ServerNoteRecord record;
    record.server = note.server;
    record.incarnation = note.incarnation;
    record.fence = toSigned(note.version.fence);
    record.sequence = toSigned(note.version.sequence);
    record.inFlight = static_cast<std::int32_t>(note.inFlight);
    record.capacity = static_cast<std::int32_t>(note.capacity);
    record.ageMicroseconds = note.age.count();
    record.warmEpoch = toSigned(note.warmEpoch);
    record.coldThrough = toSigned(note.coldThrough);
    return record;
}

ServerNote unpack(const gen::ServerNoteRecord &record)
{
    ServerNote note;
    note.server = record.server;
    note.incarnation = record.incarnation;
    note.version = {toUnsigned(record.fence), toUnsigned(record.sequence)};
    note.inFlight = static_cast<std::uint32_t>(record.inFlight);
    note.capacity = static_cast<std::uint32_t>(record.capacity);
    note.age = unpackAge(record.ageMicroseconds);
    note.warmEpoch = toUnsigned(record.warmEpoch);
    note.coldThrough = toUnsigned(record.coldThrough);
    return note;
}

gen::SuspicionRecord pack(const Suspicion &suspicion)
{
    gen::SuspicionRecord record;
    record.fingerprint = packFingerprint(suspicion.fingerprint);
    record.deaths.assign(suspicion.deaths.begin(), suspicion.deaths.end());
    record.cleared.assign(suspicion.cleared.begin(), suspicion.cleared.end());
    record.ageMicroseconds = suspicion.age.count();
    return record;
}

} // namespace

std::int64_t toSigned(std::uint64_t value)
{
    return static_cast<std::int64_t>(value);
}

std::uint64_t toUnsigned(std::int64_t value)
{
    return static_cast<std::uint64_t>(value);
}

Duration unpackAge(std::int64_t microseconds)
{
    return std::max(Duration(microseconds), Duration::zero());
}

gen::ConfigStatementRecord packStatement(const ConfigStatement &statement)
{
    gen::ConfigStatementRecord record;
    record.offset = toSigned(statement.offset);
    record.digest = toSigned(statement.digest);
    if (statement.confirmedAge) {
        record.__set_confirmedAgeMicroseconds(statement.confirmedAge->count());
    }
    record.inForce = statement.inForce;
    record.knownHosts = static_cast<std::int32_t>(statement.knownHosts);
    return record;
}

ConfigStatement unpackStatement(const gen::ConfigStatementRecord &record)
{
    ConfigStatement statement;
    statement.offset = toUnsigned(record.offset);
    statement.digest = toUnsigned(record.digest);
    if (record.__isset.confirmedAgeMicroseconds) {
        statement.confirmedAge = unpackAge(record.confirmedAgeMicroseconds);
    }
    statement.inForce = record.inForce;
    statement.knownHosts = static_cast<std::uint32_t>(record.knownHosts);
    return statement;
}

std::string packFingerprint(const Fingerprint &fingerprint)
{
    return {fingerprint.bytes.begin(), fingerprint.bytes.end()};
}

std::optional<Fingerprint> unpackFingerprint(const std::string &bytes)
{
    Fingerprint fingerprint;
    if (bytes.size() != fingerprint.bytes.size()) {
        return {};
    }
    std::copy(bytes.begin(), bytes.end(), fingerprint.bytes.begin());
    return fingerprint;
}

gen::GossipRecord packGossip(const GossipMessage &message)
{
    gen::GossipRecord record;
    for (const HostReport &report : message.reports) {
        record.reports.push_back(pack(report));
    }
    for (const Heartbeat &heartbeat : message.heartbeats) {
        gen::HeartbeatRecord beat;
        beat.host = toSigned(heartbeat.host);
        beat.status = pack(heartbeat.status);
        record.heartbeats.push_back(beat);
    }
    record.wanted.assign(message.wanted.begin(), message.wanted.end());
    for (const ServerNote &note : message.servers) {
        record.servers.push_back(pack(note));
    }
    for (const Suspicion &suspicion : message.suspicions) {
        record.suspicions.push_back(pack(suspicion));
    }
    if (message.config) {
        record.__set_config(packStatement(*message.config));
    }
    return record;
}

std::optional<GossipMessage> unpackGossip(const gen::GossipRecord &record)
{
    GossipMessage message;
    for (const gen::HostReportRecord &report : record.reports) {
        message.reports.push_back({report.name, report.address, report.domain, report.region, unpack(report.status)});
    }
    for (const gen::HeartbeatRecord &beat : record.heartbeats) {
        message.heartbeats.push_back({toUnsigned(beat.host), unpack(beat.status)});
    }
    message.wanted.assign(record.wanted.begin(), record.wanted.end());
    for (const gen::ServerNoteRecord &note : record.servers) {
        message.servers.push_back(unpack(note));
    }
    for (const gen::SuspicionRecord &item : record.suspicions) {
        const auto fingerprint = unpackFingerprint(item.fingerprint);
        if (!fingerprint) {
            return {};
        }
        Suspicion suspicion;
        suspicion.fingerprint = *fingerprint;
        suspicion.deaths.assign(item.deaths.begin(), item.deaths.end());
        suspicion.cleared.assign(item.cleared.begin(), item.cleared.end());
        suspicion.age = unpackAge(item.ageMicroseconds);
        message.suspicions.push_back(std::move(suspicion));
    }
    if (record.__isset.config) {
        message.config = unpackStatement(record.config);
    }
    return message;
}

} // namespace endivespan
