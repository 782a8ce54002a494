#ifndef LYCHEETHREAD_MOVES_TYPES_MOVE_H
#define LYCHEETHREAD_MOVES_TYPES_MOVE_H

#include "model/Model.h"

#include <deque>
#include <map>
#include <string>
#include <vector>

namespace lycheethread::moves {

enum class MoveStatus { Running, Finished, Undone };

/// One move of a group's traffic between two versions.
struct Move {
  MoveId Id;
  ServiceName Service;
  MovePlan Plan;
  MoveStatus Status = MoveStatus::Running;
  /// Share of the new version; 0 until the first step and after an undo.
  Permille Share;
  /// Number of entries of Plan.Steps that have been taken.
  std::int32_t StepsTaken = 0;
  /// Log time at which the move was accepted and the last step was folded.
  WallTime StartedAt;
  WallTime SteppedAt;
  WallTime EndedAt;
  std::string Reason;
  std::string Evidence;
};

/// Lease as the fold of the control stream sees it.
struct Lease {
  NodeId Holder;
  Epoch Generation;
  /// Log time after which another holder may take the next epoch.
  WallTime ExpiresAt;
};

/// Moves in progress, the last ended ones, and the leases.
struct MoveTable {
  std::map<MoveId, Move> Running;
  /// Newest last, at most MaxEndedMoves besides the last one of each group,
  /// which decides where the group's traffic goes.
  std::deque<Move> Ended;
  std::map<LeaseSubject, Lease> Leases;
};

inline constexpr std::size_t MaxEndedMoves = 256;
inline constexpr std::size_t MaxLeases = 4096;
inline constexpr Milliseconds MaxLeaseDuration{60'000};
/// Longest reason or evidence that is kept, in bytes.
inline constexpr std::size_t MaxMoveTextBytes = 1024;

/// How the traffic of one group is divided.
struct TrafficSplit {
  VersionName Stable;
  /// Both empty when no move is in progress.
  MoveId InProgress;
  VersionName Candidate;
  Permille CandidateShare;
  /// The same for once-only and upload routes: the share of the step before,
  /// so that requests that cannot be repeated are not the probe.
  Permille NonRetryableShare;
};

} // namespace lycheethread::moves

#endif // LYCHEETHREAD_MOVES_TYPES_MOVE_H
