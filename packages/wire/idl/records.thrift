namespace cpp endivespan.gen

// Envelope of every record that the system appends to a stream of the platform's log.
struct RecordEnvelope {
  1: string writer,
  2: i64 sequence,
  3: string kind,
  4: binary body,
}
