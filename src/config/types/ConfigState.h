#ifndef LYCHEETHREAD_CONFIG_TYPES_CONFIGSTATE_H
#define LYCHEETHREAD_CONFIG_TYPES_CONFIGSTATE_H

#include "model/Model.h"
#include "moves/Moves.h"

#include <deque>
#include <map>
#include <string>

namespace lycheethread::config {

/// The document of a service that is in force.
struct AcceptedDocument {
  ServiceDocument Document;
  Revision Accepted;
  Offset AcceptedAt;
  std::string Text;
};

/// What became of one publish record.
struct PublishVerdict {
  RecordHeader Header;
  Offset At;
  ServiceName Service;
  bool Accepted = false;
  /// Revision in force after the record: the own one or the winner's.
  Revision InForce;
  Findings Problems;
};

/// Highest sequence folded of one writer; older ones are repeats.
struct WriterMark {
  Incarnation Life;
  Sequence Last;
};

/// The fold of the control stream.
struct ConfigState {
  /// First offset that is not folded yet.
  Offset Position;
  /// Highest written_at folded so far.
  WallTime LogTime;
  std::map<ServiceName, AcceptedDocument> Documents;
  moves::MoveTable Moves;
  std::map<NodeId, WriterMark> Writers;
  /// Newest last, at most MaxVerdicts.
  std::deque<PublishVerdict> Verdicts;
};

inline constexpr std::size_t MaxVerdicts = 256;

} // namespace lycheethread::config

#endif // LYCHEETHREAD_CONFIG_TYPES_CONFIGSTATE_H
