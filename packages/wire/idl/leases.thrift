namespace cpp endivespan.gen

struct LeasedResourceRecord {
  1: string resource,
  2: i64 fence,
}

// Body of a record in the stream "leases".
struct LeaseBody {
  1: i32 action,
  2: string host,
  3: i64 incarnation,
  4: i64 number,
  5: i64 ttlMilliseconds,
  6: list<LeasedResourceRecord> resources,
}
