#ifndef LYCHEETHREAD_MOVES_INTERNAL_MOVELOOKUP_H
#define LYCHEETHREAD_MOVES_INTERNAL_MOVELOOKUP_H

#include "moves/types/Move.h"

namespace lycheethread::moves {

bool samePlan(const MovePlan &L, const MovePlan &R);

/// The running move of the group; null when there is none.
const Move *findRunning(const MoveTable &Table, const ServiceName &Service,
                        const GroupName &Group);

/// The last ended move of the group; null when there is none.
const Move *findLastEnded(const MoveTable &Table, const ServiceName &Service,
                          const GroupName &Group);

/// Whether \p Plan is the one of the group's running or last ended move.
bool isKnownPlan(const MoveTable &Table, const ServiceName &Service,
                 const MovePlan &Plan);

} // namespace lycheethread::moves

#endif // LYCHEETHREAD_MOVES_INTERNAL_MOVELOOKUP_H
