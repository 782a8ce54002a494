// Records of the control stream. Regenerate with
//   thrift -r --gen cpp:no_skeleton -out src/records/gen src/records/records.thrift

namespace cpp lycheethread.records.gen

struct Header {
  1: required string writer
  2: required i64 incarnation
  3: required i64 sequence
  4: required i64 writtenAtMs
}

struct Publish {
  1: required string serviceName
  2: required i64 buildsOn
  3: required string text
}

struct Lease {
  1: required string subject
  2: required string holder
  3: required i64 epoch
  4: required i64 lengthMs
}

struct MoveStep {
  1: required string move
  2: required i64 epoch
  3: required i64 sharePermille
  4: required string evidence
}

struct MoveEnd {
  1: required string move
  2: required i64 epoch
  // 1 finished, 2 undone. Not an enum: Thrift's C++ code loads unknown values
  // into one, which is undefined behaviour.
  3: required i32 outcome
  4: required string reason
  5: required string evidence
}

struct CheckpointNotice {
  1: required i64 position
  2: required i64 firstPart
  3: required i32 parts
  4: required string digest
}

// Exactly one body is set.
struct Record {
  1: required Header header
  2: optional Publish publish
  3: optional Lease lease
  4: optional MoveStep moveStep
  5: optional MoveEnd moveEnd
  6: optional CheckpointNotice checkpointNotice
}
