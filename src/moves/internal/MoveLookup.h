#ifndef LYCHEETHREAD_MOVES_INTERNAL_MOVELOOKUP_H
#define LYCHEETHREAD_MOVES_INTERNAL_MOVELOOKUP_H

#include "moves/types/Move.h"

namespace lycheethread::moves {

bool samePlan(const MovePlan &L, const MovePlan &R);

/// Returns the running move of the group, or null when there is none.
const Move *findRunning(const MoveTable &Table, const ServiceName &Service,
                        const GroupName &Group);

/// Returns the last ended move of the group, or null when there is none.
const Move *findLastEnded(const MoveTable &Table, const ServiceName &Service,
                          const GroupName &Group);

/// Returns whether the group's running move, or else its last ended move, has
/// this plan.
bool isKnownPlan(const MoveTable &Table, const ServiceName &Service,
                 const MovePlan &Plan);

} // namespace lycheethread::moves

#endif // LYCHEETHREAD_MOVES_INTERNAL_MOVELOOKUP_H
