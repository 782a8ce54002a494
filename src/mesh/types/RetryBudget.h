#ifndef LYCHEETHREAD_MESH_TYPES_RETRYBUDGET_H
#define LYCHEETHREAD_MESH_TYPES_RETRYBUDGET_H

namespace lycheethread::mesh {

/// What a repeated arrival at an upstream is due to.
enum class RetryKind {
  /// The upstream rejected the request without running it.
  Rejected,
  /// The request may have run, with all the calls that it makes.
  Rerun
};

/// This node's part of the repeats that all nodes may make together.
struct MeshRetryBudget {
  /// Repeats that are left; grows with each request of the service.
  double Rejected = 2;
  double Reruns = 2;
};

} // namespace lycheethread::mesh

#endif // LYCHEETHREAD_MESH_TYPES_RETRYBUDGET_H
