// Messages between a node and the collector of its availability zone, and the
// records of the stream "refusals". Regenerate gen/ with
//   thrift --gen cpp:no_skeleton -out src/refusallog/gen src/refusallog/refusals.thrift
namespace cpp lycheethread.refusallog.gen

// reason, executed and request_class are the positions in the enumerations of
// src/model/types/; those lists only grow at the end.
struct CountEntry {
  1: string caller,
  2: string service_name,
  3: string route,
  4: i32 reason,
  5: i32 executed,
  6: i32 request_class,
  7: i64 count,
  // Milliseconds since the Unix epoch.
  8: i64 first,
  9: i64 last,
  10: i64 config_position,
  11: list<string> samples
}

struct BatchKey {
  1: string node,
  2: i64 life,
  3: i64 number
}

struct Batch {
  1: BatchKey id,
  2: i64 interval_from,
  3: i64 interval_to,
  4: i64 total_before,
  5: i64 total,
  6: bool is_final,
  7: list<CountEntry> entries
}

// Stores the batch, or without one queries the state of the batch with this id.
struct ShipRequest {
  1: BatchKey id,
  2: optional Batch batch
}

enum ShipState {
  // Read back from the log.
  STORED = 0,
  // Held by the collector and not read back from the log yet.
  PENDING = 1,
  // Not held by the collector.
  UNKNOWN = 2,
  // Rejected, because the collector already holds too much data.
  BUSY = 3
}

struct ShipAnswer {
  1: ShipState state
}

// collector, life and number distinguish records with the same batches.
struct ZoneRecord {
  1: string zone,
  2: string collector,
  3: i64 life,
  4: i64 number,
  5: list<Batch> batches
}
