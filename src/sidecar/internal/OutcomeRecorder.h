#ifndef LYCHEETHREAD_SIDECAR_INTERNAL_OUTCOMERECORDER_H
#define LYCHEETHREAD_SIDECAR_INTERNAL_OUTCOMERECORDER_H

#include "mesh/Mesh.h"

#include <map>
#include <utility>
#include <vector>

namespace lycheethread::sidecar {

/// Counts the outcomes at the upstream beside this node, as evidence on the
/// running rollout of its service.
class OutcomeRecorder {
public:
  /// \p Timed tells whether \p Took counts; a cold upstream is slow regardless
  /// of its version.
  void recordGood(Offset Order, const RouteName &Route, Milliseconds Took,
                  bool Timed);
  void recordBad(Offset Order, const RouteName &Route);
  mesh::EvidenceByRoute evidence(Offset Order) const;
  /// The order at the position \p From is now known by \p To.
  void moveOrder(Offset From, Offset To);
  void clear() { Items_.clear(); }

private:
  mesh::RouteEvidence &itemOf(Offset Order, const RouteName &Route);

  std::map<std::pair<Offset, RouteName>, mesh::RouteEvidence> Items_;
};

} // namespace lycheethread::sidecar

#endif // LYCHEETHREAD_SIDECAR_INTERNAL_OUTCOMERECORDER_H
