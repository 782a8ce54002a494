#ifndef LYCHEETHREAD_CONFIG_TYPES_CONFIGSTATE_H
#define LYCHEETHREAD_CONFIG_TYPES_CONFIGSTATE_H

#include "model/Model.h"
#include "moves/Moves.h"

#include <deque>
#include <map>
#include <string>

namespace lycheethread::config {

/// The current document of a service.
struct AcceptedDocument {
  ServiceDocument Document;
  Revision Accepted;
  Offset AcceptedAt;
  std::string Text;
};

/// Result of one publish record.
struct PublishResult {
  RecordHeader Header;
  Offset At;
  ServiceName Service;
  bool Accepted = false;
  /// Revision in force after the record: the new revision if it was accepted,
  /// else the current one.
  Revision InForce;
  /// At most MaxResultFindings with texts of at most MaxFindingTextBytes bytes.
  Findings Problems;
};

/// Highest sequence number folded from one writer. Records with the same or a
/// lower number are duplicates.
struct WriterProgress {
  Incarnation IncarnationNumber;
  Sequence Last;
  /// Offset of the last folded record of this writer.
  Offset LastRecordAt;
};

/// State of the configuration after folding the control stream.
struct ConfigState {
  /// Offset of the next record to fold.
  Offset Position;
  /// Highest written_at folded so far.
  WallTime LogTime;
  std::map<ServiceName, AcceptedDocument> Documents;
  moves::MoveTable Moves;
  /// At most MaxWriters; the writers that have been silent for longest are
  /// dropped first.
  std::map<NodeId, WriterProgress> Writers;
  /// Newest last, at most MaxPublishResults.
  std::deque<PublishResult> PublishResults;
};

inline constexpr std::size_t MaxPublishResults = 256;
inline constexpr std::size_t MaxResultFindings = 16;
inline constexpr std::size_t MaxFindingTextBytes = 256;
inline constexpr std::size_t MaxWriters = 4096;
/// 9999-12-31T23:59:59.999Z. Records with a later time, or with one before
/// 1970, count as malformed, so that arithmetic on log time cannot overflow.
inline constexpr WallTime LatestWrittenAt{253'402'300'799'999};

} // namespace lycheethread::config

#endif // LYCHEETHREAD_CONFIG_TYPES_CONFIGSTATE_H
