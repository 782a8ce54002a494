#ifndef LYCHEETHREAD_MODEL_TYPES_RECORD_H
#define LYCHEETHREAD_MODEL_TYPES_RECORD_H

#include "model/types/Ids.h"
#include "model/types/Units.h"

#include <string>
#include <variant>

namespace lycheethread {

/// Identifies a record, so that a repeated append can be recognised.
struct RecordHeader {
  NodeId Writer;
  Incarnation IncarnationNumber;
  Sequence Number;
  WallTime WrittenAt;
};

/// A new version of a service document, published by an operator.
struct PublishRecord {
  ServiceName Service;
  Revision BaseRevision;
  /// INI text, at most 256 KiB.
  std::string Text;
};

/// Claims a lease for \p Length from the time of writing.
struct LeaseRecord {
  LeaseSubject Subject;
  NodeId Holder;
  Epoch Generation;
  Milliseconds Length{0};
};

/// Raises the traffic share of the new version to \p Share.
struct MoveStepRecord {
  MoveId Move;
  Epoch Generation;
  Permille Share;
  /// Counts and test statistics that justify the decision; not parsed.
  std::string Evidence;
};

enum class MoveOutcome { Finished, Undone };

/// Ends a move.
struct MoveEndRecord {
  MoveId Move;
  Epoch Generation;
  MoveOutcome Outcome = MoveOutcome::Undone;
  std::string Reason;
  std::string Evidence;
};

/// Announces a complete checkpoint of the state before \p Position.
struct CheckpointNotice {
  Offset Position;
  /// Offset of the first part in the checkpoints stream.
  Offset FirstPart;
  std::int32_t Parts = 0;
  std::string Digest;
};

using RecordBody = std::variant<PublishRecord, LeaseRecord, MoveStepRecord,
                                MoveEndRecord, CheckpointNotice>;

/// A record of the control stream.
struct Record {
  RecordHeader Header;
  RecordBody Body;
};

} // namespace lycheethread

#endif // LYCHEETHREAD_MODEL_TYPES_RECORD_H
