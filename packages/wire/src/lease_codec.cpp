#include "leases_types.h"
#include "records_types.h"
#include "thrift_p.h"

#include <endivespan/lease_codec.h>

namespace endivespan {

namespace {

constexpr std::string_view LeaseKind = "lease";

} // namespace

std::string encodeLeaseRecord(const LeaseRecord &record)
{
    gen::LeaseBody body;
    body.action = static_cast<std::int32_t>(record.action);
    body.host = record.owner.host;
    body.incarnation = static_cast<std::int64_t>(record.owner.incarnation);
    body.number = static_cast<std::int64_t>(record.number);
    body.ttlMilliseconds = record.ttl.count();
    for (const auto &[resource, fence] : record.resources) {
        gen::LeasedResourceRecord leased;
        leased.resource = resource;
        leased.fence = static_cast<std::int64_t>(fence);
        body.resources.push_back(leased);
    }
    gen::RecordEnvelope envelope;
    envelope.writer = record.owner.host;
    envelope.sequence = body.number;
    envelope.kind = LeaseKind;
    envelope.body = encodeThrift(body);
    return encodeThrift(envelope);
}

std::optional<LeaseRecord> decodeLeaseRecord(std::string_view bytes)
{
    const auto envelope = decodeThrift<gen::RecordEnvelope>(bytes);
    if (!envelope || envelope->kind != LeaseKind) {
        return {};
    }
    const auto body = decodeThrift<gen::LeaseBody>(envelope->body);
    const auto last = static_cast<std::int32_t>(LeaseAction::Release);
    if (!body || body->action < 0 || body->action > last || body->ttlMilliseconds < 0) {
        return {};
    }
    LeaseRecord record;
    record.action = static_cast<LeaseAction>(body->action);
    record.owner = {body->host, static_cast<std::uint64_t>(body->incarnation)};
    record.number = static_cast<std::uint64_t>(body->number);
    record.ttl = std::chrono::milliseconds(body->ttlMilliseconds);
    for (const gen::LeasedResourceRecord &leased : body->resources) {
        record.resources.push_back({leased.resource, static_cast<std::uint64_t>(leased.fence)});
    }
    return record;
}

} // namespace endivespan
