namespace cpp endivespan.gen

// Bodies of the records of the claim streams.

struct AttemptIdRecord {
  1: i64 writer,
  2: i64 sequence,
}

struct ClaimBody {
  1: AttemptIdRecord attempt,
  2: string organisation,
  3: string key,
  4: binary fingerprint,
  5: string host,
  6: i64 run_limit_ms,
}

struct AbandonBody {
  1: AttemptIdRecord attempt,
  2: binary name,
}

struct AnswerBody {
  1: i32 status,
  2: map<string, string> headers,
  3: binary body,
}

struct OutcomeBody {
  1: AttemptIdRecord attempt,
  2: binary name,
  3: i32 kind,
  4: optional AnswerBody answer,
}

struct SnapshotEntryBody {
  1: binary name,
  2: binary fingerprint,
  3: AttemptIdRecord attempt,
  4: string host,
  5: i64 at_ms,
  6: i64 run_limit_ms,
  7: i64 offset,
  8: optional i32 outcome,
  9: i64 outcome_offset,
  10: optional AnswerBody answer,
}

struct VoidAttemptBody {
  1: AttemptIdRecord attempt,
  2: i64 at_ms,
  3: i64 offset,
}

struct SnapshotBody {
  1: AttemptIdRecord snapshot,
  2: i64 through,
  3: i64 at_ms,
  4: i32 index,
  5: i32 count,
  6: list<SnapshotEntryBody> entries,
  7: list<VoidAttemptBody> voids,
}
