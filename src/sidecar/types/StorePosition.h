#ifndef LYCHEETHREAD_SIDECAR_TYPES_STOREPOSITION_H
#define LYCHEETHREAD_SIDECAR_TYPES_STOREPOSITION_H

#include "model/Model.h"

namespace lycheethread::sidecar {

/// Counts how often the store has come back from an older copy.
using StoreEra = StrongNumber<struct StoreEraTag>;

/// Offsets are given out again in each era. Nodes use positions that combine
/// both, so that records of a later era count as newer wherever offsets are
/// compared, kept or sent to other nodes. Only StoreClient sees plain offsets.
inline constexpr std::int64_t OffsetsPerEra = 1LL << 40;

constexpr Offset positionOf(StoreEra Era, Offset Plain) {
  return Offset(Era.value() * OffsetsPerEra + Plain.value());
}

constexpr StoreEra eraOf(Offset Position) {
  return StoreEra(Position.value() / OffsetsPerEra);
}

constexpr Offset plainOffset(Offset Position) {
  return Offset(Position.value() % OffsetsPerEra);
}

} // namespace lycheethread::sidecar

#endif // LYCHEETHREAD_SIDECAR_TYPES_STOREPOSITION_H
