#include "mesh/Mesh.h"

namespace lycheethread::mesh {

namespace {

/// The users' objectives are three to five times the service time of a request.
constexpr int ServiceTimesPerObjective = 3;
/// Weight of the newest sample in the moving average.
constexpr double SampleWeight = 0.08;

} // namespace

void initServiceTime(ServiceTime &Time, Milliseconds Objective, bool IsCold) {
  if (Time.IsKnown)
    return;
  const Milliseconds Assumed =
      Objective * (IsCold ? ColdFactor : 1) / ServiceTimesPerObjective;
  Time = {static_cast<double>(Assumed.count()), true};
}

void recordServiceTime(ServiceTime &Time, Milliseconds Took) {
  const auto Sample = static_cast<double>(Took.count());
  if (!Time.IsKnown)
    Time = {Sample, true};
  // The first answers of an upstream come from its shortest requests, so the
  // first sample gets no more weight than later ones.
  Time.MeanMs += SampleWeight * (Sample - Time.MeanMs);
}

Milliseconds meanServiceTime(const ServiceTime &Time) {
  return Milliseconds(static_cast<std::int64_t>(Time.MeanMs));
}

} // namespace lycheethread::mesh
