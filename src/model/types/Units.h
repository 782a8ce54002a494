#ifndef LYCHEETHREAD_MODEL_TYPES_UNITS_H
#define LYCHEETHREAD_MODEL_TYPES_UNITS_H

#include "model/types/StrongNumber.h"

#include <chrono>

namespace lycheethread {

using Milliseconds = std::chrono::milliseconds;

/// Position of a record in one stream of the platform's log.
using Offset = StrongNumber<struct OffsetTag>;
/// Number of accepted documents of one service; 0 before the first.
using Revision = StrongNumber<struct RevisionTag>;
/// Generation of a lease; a higher one fences a lower one.
using Epoch = StrongNumber<struct EpochTag>;
/// Life of a node under one id; a restarted node has a higher one.
using Incarnation = StrongNumber<struct IncarnationTag>;
/// Number of a record or batch of one writer and incarnation.
using Sequence = StrongNumber<struct SequenceTag>;
/// Share of traffic in thousandths, 0 to 1000.
using Permille = StrongNumber<struct PermilleTag>;
using ByteCount = StrongNumber<struct ByteCountTag>;
/// Milliseconds since the Unix epoch by the writer's wall clock.
using WallTime = StrongNumber<struct WallTimeTag>;
/// Milliseconds of a clock that also counts while the process is suspended
/// (CLOCK_BOOTTIME); only differences on one instance have a meaning.
using SteadyTime = StrongNumber<struct SteadyTimeTag>;

/// Adds a length to a point in time of either clock.
template <typename Tag>
constexpr StrongNumber<Tag> after(StrongNumber<Tag> From, Milliseconds Length) {
  return StrongNumber<Tag>(From.value() + Length.count());
}

/// Length from \p Earlier to \p Later; negative when they are swapped.
template <typename Tag>
constexpr Milliseconds elapsed(StrongNumber<Tag> Earlier,
                               StrongNumber<Tag> Later) {
  return Milliseconds(Later.value() - Earlier.value());
}

} // namespace lycheethread

#endif // LYCHEETHREAD_MODEL_TYPES_UNITS_H
