namespace cpp endivespan.gen

// Messages between the hosts of the system. Unsigned integers of the C++ types are encoded as signed integers with the
// same bit pattern.

struct PeerHelloRecord {
  1: i32 protocol,
  2: string host,
  3: i64 incarnation,
}

struct HostStatusRecord {
  1: i64 incarnation,
  2: i64 sequence,
  3: i8 flags,
  4: i64 configOffset,
}

struct HostReportRecord {
  1: string name,
  2: string address,
  3: string domain,
  4: string region,
  5: HostStatusRecord status,
}

struct HeartbeatRecord {
  1: i64 host,
  2: HostStatusRecord status,
}

struct ServerNoteRecord {
  1: string server,
  2: string incarnation,
  3: i64 fence,
  4: i64 sequence,
  5: i32 inFlight,
  6: i32 capacity,
  7: i64 ageMicroseconds,
  8: i64 warmEpoch,
  9: i64 coldThrough,
}

struct SuspicionRecord {
  1: binary fingerprint,
  2: list<i64> deaths,
  3: list<i64> cleared,
  4: i64 ageMicroseconds,
}

struct ConfigStatementRecord {
  1: i64 offset,
  2: i64 digest,
  3: optional i64 confirmedAgeMicroseconds,
  4: bool inForce,
  5: i32 knownHosts,
}

struct GossipRecord {
  1: list<HostReportRecord> reports,
  2: list<HeartbeatRecord> heartbeats,
  3: list<i64> wanted,
  4: list<ServerNoteRecord> servers,
  5: list<SuspicionRecord> suspicions,
  6: optional ConfigStatementRecord config,
}

struct CreditAskRecord {
  1: string server,
  2: i64 requestId,
  3: i32 wanted,
}

struct CreditReplyRecord {
  1: string server,
  2: i64 requestId,
  3: i64 fence,
  4: i64 firstId,
  5: i32 count,
  6: optional string warmIncarnation,
  7: optional i64 warmEpoch,
}

struct CreditBackRecord {
  1: string server,
  2: i64 fence,
  3: i64 id,
  4: i32 outcome,
}

struct SuspectAskRecord {
  1: i64 requestId,
  2: binary fingerprint,
  3: string server,
}

struct SuspectReplyRecord {
  1: i64 requestId,
  2: bool granted,
  3: i64 fence,
  4: i64 id,
}

struct SuspectBackRecord {
  1: i64 fence,
  2: i64 id,
}

struct ConfigAskRecord {
  1: i64 heldOffset,
}

struct ConfigReplyRecord {
  1: i64 offset,
  2: binary state,
}

struct StoreCursorRecord {
  1: i32 store,
  2: i64 epoch,
  3: i64 nextEvent,
}

struct RelayedLoadRecord {
  1: i32 server,
  2: i32 running,
  3: i32 waiting,
  4: i64 ageMicroseconds,
  5: optional i32 paceTenThousandths,
}

struct RelayedSpeedRecord {
  1: i32 store,
  2: i64 excessMicroseconds,
  3: i64 ageMicroseconds,
}

struct RelayAskRecord {
  1: i64 serversNext,
  2: list<string> unconfirmed,
  3: list<StoreCursorRecord> stores,
  4: i64 sinceLastMicroseconds,
  5: list<RelayedLoadRecord> loads,
  6: list<RelayedSpeedRecord> samples,
}

struct RelayedServerRecord {
  1: string key,
  2: optional binary value,
  3: i64 lapsedForMicroseconds,
}

struct PartEventRecord {
  1: i32 scope,
  2: string part,
  3: i64 tokens, // Negative when the part was freed.
}

struct RelayedStoreRecord {
  1: i32 store,
  2: bool whole,
  3: i64 ageMicroseconds,
  4: i64 epoch,
  5: i64 nextEvent,
  6: optional i64 clockMilliseconds,
  7: list<string> scopes,
  8: list<PartEventRecord> events,
}

struct RelayReplyRecord {
  1: ConfigStatementRecord config,
  2: i64 serversNext,
  3: bool serversGap,
  4: optional i64 serversAgeMicroseconds,
  5: list<RelayedServerRecord> servers,
  6: list<RelayedStoreRecord> stores,
  7: bool more,
  8: list<RelayedLoadRecord> loads,
  9: list<RelayedSpeedRecord> speeds,
}

struct PeerAckRecord {
}

// One message. Exactly one of the optional fields is set.
struct PeerFrameRecord {
  1: i64 id,
  2: bool answer,
  3: optional PeerHelloRecord hello,
  4: optional GossipRecord gossip,
  5: optional CreditAskRecord creditAsk,
  6: optional CreditReplyRecord creditReply,
  7: optional CreditBackRecord creditBack,
  8: optional SuspectAskRecord suspectAsk,
  9: optional SuspectReplyRecord suspectReply,
  10: optional SuspectBackRecord suspectBack,
  11: optional ConfigAskRecord configAsk,
  12: optional ConfigReplyRecord configReply,
  13: optional PeerAckRecord ack,
  14: optional RelayAskRecord relayAsk,
  15: optional RelayReplyRecord relayReply,
}
