namespace cpp endivespan.gen

struct Organisation {
  1: string name,
  2: list<string> keyDigests,
  3: list<string> models,
  4: list<string> services,
  5: i32 requestsInFlight,
  6: i32 weight,
}

struct Model {
  1: string name,
  2: string version,
  3: string nextVersion,
}

struct FailureDomain {
  1: string name,
  2: string region,
  3: bool takenOut,
}

enum ServerKind {
  Runner = 0,
  Plain = 1,
  Store = 2,
}

struct BackendServer {
  1: string name,
  2: ServerKind kind,
  3: string address,
  4: string domain,
  5: string pool,
  6: bool checksOrders,
  7: i32 coldConcurrency,
  8: i32 warmConcurrency,
  9: bool takenOut,
}

struct PlainService {
  1: string name,
  2: list<string> idempotentPaths,
}

struct FleetEntries {
  1: list<Organisation> organisations,
  2: list<Model> models,
  3: list<FailureDomain> domains,
  4: list<BackendServer> servers,
  5: list<PlainService> services,
}

struct FleetNames {
  1: list<string> organisations,
  2: list<string> models,
  3: list<string> domains,
  4: list<string> servers,
  5: list<string> services,
}

// Body of a record of kind "note" in the stream "config".
struct ReleaseNote {
  1: string author,
  2: i64 against,
  3: FleetEntries added,
  4: FleetEntries changed,
  5: FleetNames withdrawn,
}

struct RecordId {
  1: string writer,
  2: i64 sequence,
}

enum NoteVerdict {
  Accepted = 0,
  Conflict = 1,
  Refused = 2,
}

struct NoteOutcome {
  1: RecordId id,
  2: i64 offset,
  3: i64 atMs,
  4: string author,
  5: i64 against,
  6: NoteVerdict verdict,
  7: i64 revision,
  8: string reason,
}

struct SnapshotContent {
  1: FleetEntries entries,
  2: list<NoteOutcome> outcomes,
}

// Body of a record of kind "snapshot" in the stream "config". The content is encoded separately, so that a reader that
// needs only the digest need not decode it.
struct SnapshotPart {
  1: i32 index,
  2: i32 count,
  3: i64 covers,
  4: binary digest,
  5: i64 revision,
  6: string author,
  7: i64 offset,
  8: i64 atMs,
  9: binary content,
}

// The complete configuration, as one host sends it to another. Each part is an encoded RecordEnvelope.
struct ConfigState {
  1: list<binary> parts,
}
