#ifndef LYCHEETHREAD_MODEL_TYPES_RECORD_H
#define LYCHEETHREAD_MODEL_TYPES_RECORD_H

#include "model/types/Ids.h"
#include "model/types/Units.h"

#include <string>
#include <variant>

namespace lycheethread {

/// Identifies a record across repeated appends.
struct RecordHeader {
  NodeId Writer;
  Incarnation IncarnationNumber;
  Sequence Number;
  WallTime WrittenAt;
};

/// An operator's edit of one service document.
struct PublishRecord {
  ServiceName Service;
  Revision BaseRevision;
  /// INI text, at most 256 KiB.
  std::string Text;
};

/// A claim of a lease for \p Length from the time of writing.
struct LeaseRecord {
  LeaseSubject Subject;
  NodeId Holder;
  Epoch Generation;
  Milliseconds Length{0};
};

/// The new version's share rises to \p Share.
struct MoveStepRecord {
  MoveId Move;
  Epoch Generation;
  Permille Share;
  /// Counts and test values behind the decision, for people.
  std::string Evidence;
};

enum class MoveOutcome { Finished, Undone };

/// The end of a move.
struct MoveEndRecord {
  MoveId Move;
  Epoch Generation;
  MoveOutcome Outcome = MoveOutcome::Undone;
  std::string Reason;
  std::string Evidence;
};

/// A complete checkpoint of the state before \p Position exists.
struct CheckpointNotice {
  Offset Position;
  /// Where the first part stands in the checkpoints stream.
  Offset FirstPart;
  std::int32_t Parts = 0;
  std::string Digest;
};

using RecordBody = std::variant<PublishRecord, LeaseRecord, MoveStepRecord,
                                MoveEndRecord, CheckpointNotice>;

/// One record of the control stream.
struct Record {
  RecordHeader Header;
  RecordBody Body;
};

} // namespace lycheethread

#endif // LYCHEETHREAD_MODEL_TYPES_RECORD_H
