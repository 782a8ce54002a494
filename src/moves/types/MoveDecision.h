#ifndef LYCHEETHREAD_MOVES_TYPES_MOVEDECISION_H
#define LYCHEETHREAD_MOVES_TYPES_MOVEDECISION_H

#include "model/Model.h"

#include <optional>
#include <string>

namespace lycheethread::moves {

/// The last lease record that this node wrote for a service.
struct LeaseClaim {
  Epoch Generation;
  /// Taken before the append.
  SteadyTime WrittenAt;
};

/// The lease records that this life of the node wrote.
struct OwnClaims {
  /// Read back from the fold.
  std::optional<LeaseClaim> Confirmed;
  /// Appended, possibly with effect.
  std::optional<LeaseClaim> Pending;
  /// Last append of the pending record.
  SteadyTime LastAttemptAt;
};

/// What decideMove knows of this node and of the lease.
struct OwnerState {
  NodeId Self;
  /// First alive member of the service in rendezvous order.
  bool FirstCandidate = false;
  /// Empty after a restart: a lease of an earlier life is never acted on.
  std::optional<LeaseClaim> Claim;
  SteadyTime SteadyNow;
};

enum class MoveAction { None, Renew, Step, Finish, Undo, Hold };

/// What the owner does next, and why.
struct MoveDecision {
  MoveAction Action = MoveAction::None;
  /// Epoch of the record to write.
  Epoch Generation;
  /// Share of a Step.
  Permille Share;
  /// Short and for people.
  std::string Reason;
  std::string Evidence;
};

} // namespace lycheethread::moves

#endif // LYCHEETHREAD_MOVES_TYPES_MOVEDECISION_H
