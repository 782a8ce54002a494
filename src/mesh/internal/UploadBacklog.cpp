#include "mesh/Mesh.h"

#include <algorithm>
#include <cmath>

namespace lycheethread::mesh {

namespace {

/// Bytes of one connection that may wait on the link at once (its window).
constexpr double WindowBytes = 64 * 1024;
/// Bodies that are received together may hold up a short request on the link
/// by this long.
constexpr double HoldUpMs = 100;
constexpr std::int32_t MaxReceiving = 24;
/// Part of the link that bodies can use; requests and answers need the rest.
constexpr double BodyShare = 0.85;
/// Bodies that have begun before this one are worth waiting for at least this
/// long, whatever the objective says.
constexpr Milliseconds LeastWait{50};

} // namespace

std::int32_t maxConcurrentUploads(const UploadBacklog &Intake) {
  const double Fitting = Intake.BytesPerMs * HoldUpMs / WindowBytes;
  return std::clamp(static_cast<std::int32_t>(std::lround(Fitting)), 1,
                    MaxReceiving);
}

Milliseconds uploadBacklogTime(const UploadBacklog &Intake) {
  return Milliseconds(std::llround(static_cast<double>(Intake.PendingBytes) /
                                   (Intake.BytesPerMs * BodyShare)));
}

Milliseconds uploadDelay(const UploadBacklog &Intake, std::int64_t Bytes,
                         Milliseconds Service, Milliseconds ObjectiveLeft) {
  UploadBacklog With = Intake;
  With.PendingBytes += Bytes;
  const Milliseconds Allowed =
      std::max(ObjectiveLeft - Service,
               LeastWait + uploadBacklogTime({Intake.BytesPerMs, 0, Bytes}));
  return std::max(Milliseconds(0), uploadBacklogTime(With) - Allowed);
}

} // namespace lycheethread::mesh
