#ifndef LYCHEETHREAD_MESH_TYPES_LATENCYESTIMATE_H
#define LYCHEETHREAD_MESH_TYPES_LATENCYESTIMATE_H

#include "model/Model.h"

#include <memory>
#include <optional>

namespace lycheethread::mesh {

/// How long the answers to recent requests took.
struct UsualLatency {
  Milliseconds Mean{0};
  /// The 95th percentile.
  Milliseconds Slow{0};
};

/// Estimates the latency of a route from its answers of the last few seconds,
/// or of a longer time if there are few.
class LatencyEstimate {
public:
  LatencyEstimate();
  ~LatencyEstimate();
  LatencyEstimate(LatencyEstimate &&) noexcept;
  LatencyEstimate &operator=(LatencyEstimate &&) noexcept;

  void record(Milliseconds Took, SteadyTime Now);

  /// Returns nothing while there are too few recent answers.
  std::optional<UsualLatency> usual(SteadyTime Now);

private:
  struct Impl;
  std::unique_ptr<Impl> Impl_;
};

} // namespace lycheethread::mesh

#endif // LYCHEETHREAD_MESH_TYPES_LATENCYESTIMATE_H
