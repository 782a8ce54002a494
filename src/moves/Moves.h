#ifndef LYCHEETHREAD_MOVES_MOVES_H
#define LYCHEETHREAD_MOVES_MOVES_H

/// Public header of the moves library: leases, steps and the end of version
/// moves, as pure functions.

#include "moves/types/BrakeSet.h"
#include "moves/types/Move.h"

#include <optional>

namespace lycheethread::moves {

/// Checks whether the steps of \p Plan fit before its deadline when it is
/// accepted at \p LogTime. Places are filled in by the caller.
Findings checkPlan(const MovePlan &Plan, WallTime LogTime);

/// Starts, keeps or drops the moves of a document that was just accepted as
/// \p Accepted: a changed plan ends the running move as undone.
void applyDocument(MoveTable &Table, const ServiceDocument &Document,
                   Revision Accepted, WallTime LogTime);

/// Folds a lease, step or end record; other bodies are ignored. Returns false
/// when the record had no effect.
bool foldMoveRecord(MoveTable &Table, const Record &Item, WallTime LogTime);

/// Ends moves whose deadline lies before \p LogTime as undone.
void expireMoves(MoveTable &Table, WallTime LogTime);

/// Division of the group's traffic: the running move, else the last finished
/// one whose versions the group still lists, else the first listed version.
GroupShare shareOf(const MoveTable &Table, const ServiceDocument &Document,
                   const GroupName &Group);

} // namespace lycheethread::moves

#endif // LYCHEETHREAD_MOVES_MOVES_H
