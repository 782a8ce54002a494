// Checkpoints of the folded control stream. Regenerate with
//   thrift -r --gen cpp:no_skeleton -out src/config/gen src/config/checkpoint.thrift

namespace cpp lycheethread.config.gen

struct Writer {
  1: required string id
  2: required i64 incarnation
  3: required i64 sequence
  4: required i64 lastAt
}

// The document is parsed again from its text.
struct Document {
  1: required string serviceName
  2: required i64 revision
  3: required i64 acceptedAt
  4: required string text
}

struct FindingItem {
  1: required string file
  2: required i32 line
  3: required string key
  4: required string problem
  5: required string allowed
}

struct Verdict {
  1: required string writer
  2: required i64 incarnation
  3: required i64 sequence
  4: required i64 writtenAtMs
  5: required i64 at
  6: required string serviceName
  7: required bool accepted
  8: required i64 inForce
  9: required list<FindingItem> problems
}

struct Plan {
  1: required string group
  2: required string fromVersion
  3: required string toVersion
  4: required i64 finishByMs
  5: required list<i64> stepsPermille
  6: required i64 stepLengthMs
}

struct Move {
  1: required string id
  2: required string serviceName
  3: required Plan plan
  // 1 running, 2 finished, 3 undone. Not an enum: Thrift's C++ code loads
  // unknown values into one, which is undefined behaviour.
  4: required i32 status
  5: required i64 sharePermille
  6: required i32 stepsTaken
  7: required i64 startedAtMs
  8: required i64 steppedAtMs
  9: required i64 endedAtMs
  10: required string reason
  11: required string evidence
}

struct Lease {
  1: required string subject
  2: required string holder
  3: required i64 epoch
  4: required i64 expiresAtMs
}

struct State {
  1: required i64 position
  2: required i64 logTimeMs
  3: required list<Document> documents
  4: required list<Move> running
  5: required list<Move> ended
  6: required list<Lease> leases
  7: required list<Writer> writers
  8: required list<Verdict> verdicts
}

struct Part {
  1: required i32 index
  2: required i32 parts
  3: required i64 position
  4: required string digest
  5: required binary data
}
