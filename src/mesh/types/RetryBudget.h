#ifndef LYCHEETHREAD_MESH_TYPES_RETRYBUDGET_H
#define LYCHEETHREAD_MESH_TYPES_RETRYBUDGET_H

namespace lycheethread::mesh {

/// Why a request is sent to an upstream again.
enum class RetryKind {
  /// The upstream rejected the request without running it.
  Rejected,
  /// The request may have run, including all the calls that it makes.
  Rerun
};

/// This node's part of the retries that all nodes together may make.
struct MeshRetryBudget {
  /// Retry tokens; each request of the service adds a fraction of one.
  double Rejected = 2;
  double Reruns = 2;
};

} // namespace lycheethread::mesh

#endif // LYCHEETHREAD_MESH_TYPES_RETRYBUDGET_H
