#include "mesh/Mesh.h"

#include <algorithm>
#include <cmath>

namespace lycheethread::mesh {

namespace {

/// Window of one connection, the most that it keeps in flight on the link.
constexpr double WindowBytes = 64 * 1024;
/// Longest delay that concurrent bodies may add to a short request on the link.
constexpr double MaxAddedDelayMs = 100;
constexpr std::int32_t MaxReceiving = 24;
/// Share of the link that bodies may use; requests and answers need the rest.
constexpr double BodyShare = 0.85;
/// An arriving body may wait at least this long for earlier ones, whatever its
/// objective.
constexpr Milliseconds MinAllowedWait{50};

} // namespace

std::int32_t maxConcurrentUploads(const UploadBacklog &Backlog) {
  const double Fitting = Backlog.BytesPerMs * MaxAddedDelayMs / WindowBytes;
  return std::clamp(static_cast<std::int32_t>(std::lround(Fitting)), 1,
                    MaxReceiving);
}

Milliseconds uploadBacklogTime(const UploadBacklog &Backlog) {
  return Milliseconds(std::llround(static_cast<double>(Backlog.PendingBytes) /
                                   (Backlog.BytesPerMs * BodyShare)));
}

Milliseconds uploadDelay(const UploadBacklog &Backlog, std::int64_t Bytes,
                         Milliseconds Service, Milliseconds ObjectiveLeft) {
  UploadBacklog Updated = Backlog;
  Updated.PendingBytes += Bytes;
  const Milliseconds Allowed = std::max(
      ObjectiveLeft - Service,
      MinAllowedWait + uploadBacklogTime({Backlog.BytesPerMs, 0, Bytes}));
  return std::max(Milliseconds(0), uploadBacklogTime(Updated) - Allowed);
}

Milliseconds uploadPermitExcess(const HopQueue &Queue,
                                const UploadBacklog &Backlog,
                                std::size_t Queued, Milliseconds Objective,
                                SteadyTime Now) {
  const auto Ahead = static_cast<std::int64_t>(Queue.Waiting.size() + Queued) +
                     Backlog.Receiving;
  // Permits come while the body is being received.
  const Milliseconds Allowed =
      uploadBacklogTime(Backlog) + longestWait(Objective);
  return std::max(Milliseconds(0), permitDelay(Queue, Ahead, Now) - Allowed);
}

} // namespace lycheethread::mesh
