#ifndef LYCHEETHREAD_MOVES_TYPES_MOVE_H
#define LYCHEETHREAD_MOVES_TYPES_MOVE_H

#include "model/Model.h"

#include <deque>
#include <map>
#include <string>
#include <vector>

namespace lycheethread::moves {

enum class MoveStatus { Running, Finished, Undone };

/// A gradual move of a group's traffic from one version to another.
struct Move {
  MoveId Id;
  ServiceName Service;
  MovePlan Plan;
  MoveStatus Status = MoveStatus::Running;
  /// Share of the new version. It is 0 before the first step and after an undo.
  Permille Share;
  /// Number of completed entries of Plan.Steps.
  std::int32_t StepsTaken = 0;
  /// Log times of the accepted plan and of the last step.
  WallTime StartedAt;
  WallTime SteppedAt;
  WallTime EndedAt;
  std::string Reason;
  std::string Evidence;
};

/// Lease according to the records of the control stream.
struct Lease {
  NodeId Holder;
  Epoch Generation;
  /// Log time after which another holder may take the next epoch.
  WallTime ExpiresAt;
};

/// Running moves, recently ended moves and leases.
struct MoveTable {
  std::map<MoveId, Move> Running;
  /// Newest last, at most MaxEndedMoves. The last ended move of each group is
  /// kept in addition, because it selects the version that serves the group.
  std::deque<Move> Ended;
  std::map<LeaseSubject, Lease> Leases;
};

inline constexpr std::size_t MaxEndedMoves = 256;
inline constexpr std::size_t MaxLeases = 4096;
inline constexpr Milliseconds MaxLeaseDuration{60'000};
/// Maximum length of a stored reason or evidence, in bytes.
inline constexpr std::size_t MaxMoveTextBytes = 1024;

/// Split of one group's traffic between the old and the new version.
struct TrafficSplit {
  VersionName Stable;
  /// Both empty when no move is in progress.
  MoveId InProgress;
  VersionName Candidate;
  Permille CandidateShare;
  /// Share of the new version on once-only and upload routes. It is the share
  /// of the previous step, so that requests that cannot be retried are not the
  /// first to reach a possibly bad version.
  Permille NonRetryableShare;
};

} // namespace lycheethread::moves

#endif // LYCHEETHREAD_MOVES_TYPES_MOVE_H
