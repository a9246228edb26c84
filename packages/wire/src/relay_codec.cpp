#include "gossip_codec_p.h"
#include "relay_codec_p.h"

#include <endivespan/config.h>

#include <algorithm>
#include <cmath>
#include <map>
#include <utility>

namespace endivespan {

namespace {

gen::RelayedStoreRecord pack(const RelayedStore &store)
{
    gen::RelayedStoreRecord record;
    record.store = static_cast<std::int32_t>(store.store);
    record.whole = store.whole;
    record.ageMicroseconds = store.age.count();
    record.epoch = toSigned(store.events.epoch);
    record.nextEvent = toSigned(store.events.next);
    if (store.events.clock) {
        record.__set_clockMilliseconds(store.events.clock->count());
    }
    // Many parts share few scopes; each scope is encoded once and parts refer to it by index.
    std::map<std::string, std::int32_t> scopes;
    for (const StoreEvent &event : store.events.events) {
        const auto [place, isNew] = scopes.try_emplace(event.part.scope, static_cast<std::int32_t>(scopes.size()));
        if (isNew) {
            record.scopes.push_back(event.part.scope);
        }
        gen::PartEventRecord part;
        part.scope = place->second;
        part.part = event.part.id;
        part.tokens = event.stored ? toSigned(event.tokens) : -1;
        record.events.push_back(std::move(part));
    }
    return record;
}

std::optional<RelayedStore> unpack(const gen::RelayedStoreRecord &record)
{
    RelayedStore store;
    store.store = static_cast<std::uint32_t>(record.store);
    store.whole = record.whole;
    store.age = unpackAge(record.ageMicroseconds);
    store.events.epoch = toUnsigned(record.epoch);
    store.events.next = toUnsigned(record.nextEvent);
    if (record.__isset.clockMilliseconds) {
        store.events.clock = std::chrono::milliseconds(record.clockMilliseconds);
    }
    for (const gen::PartEventRecord &part : record.events) {
        if (part.scope < 0 || static_cast<std::size_t>(part.scope) >= record.scopes.size()) {
            return std::nullopt;
        }
        store.events.events.push_back({{record.scopes[static_cast<std::size_t>(part.scope)], part.part},
                                       part.tokens >= 0,
                                       toUnsigned(std::max<std::int64_t>(part.tokens, 0))});
    }
    return store;
}

constexpr double PaceUnit = 10'000.0; ///< Of the pace in a record, for the usual pace.

std::vector<gen::RelayedLoadRecord> packLoads(const std::vector<RelayedLoad> &loads)
{
    std::vector<gen::RelayedLoadRecord> records;
    records.reserve(loads.size());
    for (const RelayedLoad &load : loads) {
        gen::RelayedLoadRecord record;
        record.server = static_cast<std::int32_t>(load.server);
        record.running = static_cast<std::int32_t>(load.running);
        record.waiting = static_cast<std::int32_t>(load.waiting);
        record.ageMicroseconds = load.age.count();
        if (load.pace) {
            record.__set_paceTenThousandths(static_cast<std::int32_t>(std::lround(*load.pace * PaceUnit)));
        }
        records.push_back(record);
    }
    return records;
}

// Returns nothing for a pace that no server may report, since a faulty host must not make a server seem idle.
std::optional<double> unpackPace(const gen::RelayedLoadRecord &record)
{
    const double pace = record.paceTenThousandths / PaceUnit;
    const bool isPlausible = record.__isset.paceTenThousandths && pace * 100 >= config::PaceLeastPercent
        && pace * 100 <= config::PaceMostPercent;
    return isPlausible ? std::optional(pace) : std::nullopt;
}

std::vector<RelayedLoad> unpackLoads(const std::vector<gen::RelayedLoadRecord> &records)
{
    std::vector<RelayedLoad> loads;
    loads.reserve(records.size());
    for (const gen::RelayedLoadRecord &record : records) {
        loads.push_back({static_cast<std::uint32_t>(record.server),
                         static_cast<std::uint32_t>(std::max(record.running, 0)),
                         static_cast<std::uint32_t>(std::max(record.waiting, 0)),
                         unpackAge(record.ageMicroseconds),
                         unpackPace(record)});
    }
    return loads;
}

std::vector<gen::RelayedSpeedRecord> packSpeeds(const std::vector<RelayedSpeed> &speeds)
{
    std::vector<gen::RelayedSpeedRecord> records;
    records.reserve(speeds.size());
    for (const RelayedSpeed &speed : speeds) {
        gen::RelayedSpeedRecord record;
        record.store = static_cast<std::int32_t>(speed.store);
        record.excessMicroseconds = speed.excess.count();
        record.ageMicroseconds = speed.age.count();
        records.push_back(record);
    }
    return records;
}

std::vector<RelayedSpeed> unpackSpeeds(const std::vector<gen::RelayedSpeedRecord> &records)
{
    std::vector<RelayedSpeed> speeds;
    speeds.reserve(records.size());
    for (const gen::RelayedSpeedRecord &record : records) {
        // The excess may be negative, when the first token came earlier than expected for prefilling the new part of
        // the prompt.
        speeds.push_back({static_cast<std::uint32_t>(record.store),
                          Duration(record.excessMicroseconds),
                          unpackAge(record.ageMicroseconds)});
    }
    return speeds;
}

} // namespace

gen::RelayAskRecord packRelayAsk(const RelayAsk &ask)
{
    gen::RelayAskRecord record;
    record.serversNext = toSigned(ask.serversNext);
    record.unconfirmed = ask.unconfirmed;
    for (const StoreCursor &cursor : ask.stores) {
        gen::StoreCursorRecord packed;
        packed.store = static_cast<std::int32_t>(cursor.store);
        packed.epoch = toSigned(cursor.epoch);
        packed.nextEvent = toSigned(cursor.next);
        record.stores.push_back(packed);
    }
    record.sinceLastMicroseconds = ask.sinceLast.count();
    record.loads = packLoads(ask.loads);
    record.samples = packSpeeds(ask.samples);
    return record;
}

RelayAsk unpackRelayAsk(const gen::RelayAskRecord &record)
{
    RelayAsk ask;
    ask.serversNext = toUnsigned(record.serversNext);
    ask.unconfirmed = record.unconfirmed;
    for (const gen::StoreCursorRecord &cursor : record.stores) {
        ask.stores.push_back(
            {static_cast<std::uint32_t>(cursor.store), toUnsigned(cursor.epoch), toUnsigned(cursor.nextEvent)});
    }
    ask.sinceLast = unpackAge(record.sinceLastMicroseconds);
    ask.loads = unpackLoads(record.loads);
    ask.samples = unpackSpeeds(record.samples);
    return ask;
}

gen::RelayReplyRecord packRelayReply(const RelayReply &reply)
{
    gen::RelayReplyRecord record;
    record.config = packStatement(reply.config);
    record.serversNext = toSigned(reply.serversNext);
    record.serversGap = reply.serversGap;
    if (reply.serversAge) {
        record.__set_serversAgeMicroseconds(reply.serversAge->count());
    }
    for (const RelayedServer &server : reply.servers) {
        gen::RelayedServerRecord packed;
        packed.key = server.key;
        if (server.value) {
            packed.__set_value(*server.value);
        }
        packed.lapsedForMicroseconds = server.keepFor.count();
        record.servers.push_back(std::move(packed));
    }
    for (const RelayedStore &store : reply.stores) {
        record.stores.push_back(pack(store));
    }
    record.more = reply.more;
    record.loads = packLoads(reply.loads);
    record.speeds = packSpeeds(reply.speeds);
    return record;
}

std::optional<RelayReply> unpackRelayReply(const gen::RelayReplyRecord &record)
{
    RelayReply reply;
    reply.config = unpackStatement(record.config);
    reply.serversNext = toUnsigned(record.serversNext);
    reply.serversGap = record.serversGap;
    if (record.__isset.serversAgeMicroseconds) {
        reply.serversAge = unpackAge(record.serversAgeMicroseconds);
    }
    for (const gen::RelayedServerRecord &server : record.servers) {
        reply.servers.push_back({server.key,
                                 server.__isset.value ? std::optional(server.value) : std::nullopt,
                                 unpackAge(server.lapsedForMicroseconds)});
    }
    for (const gen::RelayedStoreRecord &packed : record.stores) {
        auto store = unpack(packed);
        if (!store) {
            return std::nullopt;
        }
        reply.stores.push_back(std::move(*store));
    }
    reply.more = record.more;
    reply.loads = unpackLoads(record.loads);
    reply.speeds = unpackSpeeds(record.speeds);
    return reply;
}

} // namespace endivespan
