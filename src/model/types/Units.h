#ifndef LYCHEETHREAD_MODEL_TYPES_UNITS_H
#define LYCHEETHREAD_MODEL_TYPES_UNITS_H

#include "model/types/StrongNumber.h"

#include <chrono>

namespace lycheethread {

using Milliseconds = std::chrono::milliseconds;

/// Position of a record in a stream of the platform's log.
using Offset = StrongNumber<struct OffsetTag>;
/// Number of accepted documents of a service; 0 before the first.
using Revision = StrongNumber<struct RevisionTag>;
/// Generation of a lease; a higher epoch fences a lower one.
using Epoch = StrongNumber<struct EpochTag>;
/// Incarnation of a node id; it increases with every restart of the node.
using Incarnation = StrongNumber<struct IncarnationTag>;
/// Number of a record or batch within one incarnation of its writer.
using Sequence = StrongNumber<struct SequenceTag>;
/// Share of traffic in thousandths, 0 to 1000.
using Permille = StrongNumber<struct PermilleTag>;
using ByteCount = StrongNumber<struct ByteCountTag>;
/// Milliseconds since the Unix epoch according to the writer's wall clock.
using WallTime = StrongNumber<struct WallTimeTag>;
/// Milliseconds of a monotonic clock that also advances while the instance is
/// suspended (CLOCK_BOOTTIME). Only differences between times of the same
/// instance are meaningful.
using SteadyTime = StrongNumber<struct SteadyTimeTag>;

/// Returns the time that is \p Length after \p From.
template <typename Tag>
constexpr StrongNumber<Tag> after(StrongNumber<Tag> From, Milliseconds Length) {
  return StrongNumber<Tag>(From.value() + Length.count());
}

/// Returns the time from \p Earlier to \p Later; negative if \p Later is before
/// \p Earlier.
template <typename Tag>
constexpr Milliseconds elapsed(StrongNumber<Tag> Earlier,
                               StrongNumber<Tag> Later) {
  return Milliseconds(Later.value() - Earlier.value());
}

} // namespace lycheethread

#endif // LYCHEETHREAD_MODEL_TYPES_UNITS_H
