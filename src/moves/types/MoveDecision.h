#ifndef LYCHEETHREAD_MOVES_TYPES_MOVEDECISION_H
#define LYCHEETHREAD_MOVES_TYPES_MOVEDECISION_H

#include "model/Model.h"

#include <optional>
#include <string>

namespace lycheethread::moves {

/// The last lease record that this node wrote for a service.
struct LeaseClaim {
  Epoch Generation;
  /// Time before the append started.
  SteadyTime WrittenAt;
};

/// The lease records that this node wrote since it started.
struct OwnClaims {
  /// Read back from the control stream.
  std::optional<LeaseClaim> Confirmed;
  /// Appended, but not read back yet.
  std::optional<LeaseClaim> Pending;
  /// Time of the last append of the pending record.
  SteadyTime LastAttemptAt;
};

/// State of this node that decideMove() depends on.
struct OwnerState {
  NodeId Self;
  /// Whether this node is the first ready member of the service in rendezvous
  /// order.
  bool FirstCandidate = false;
  /// Empty after a restart: a node never acts on a lease from before its
  /// restart.
  std::optional<LeaseClaim> Claim;
  SteadyTime SteadyNow;
};

enum class MoveAction { None, Renew, Step, Finish, Undo, Hold };

/// Next action of the owner, with the reason for it.
struct MoveDecision {
  MoveAction Action = MoveAction::None;
  /// Epoch of the record to write.
  Epoch Generation;
  /// Share of the new version, for a Step.
  Permille Share;
  /// Short description for operators.
  std::string Reason;
  std::string Evidence;
};

} // namespace lycheethread::moves

#endif // LYCHEETHREAD_MOVES_TYPES_MOVEDECISION_H
