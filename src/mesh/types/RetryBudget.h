#ifndef LYCHEETHREAD_MESH_TYPES_RETRYBUDGET_H
#define LYCHEETHREAD_MESH_TYPES_RETRYBUDGET_H

namespace lycheethread::mesh {

/// Why a request is sent to an upstream again.
enum class RetryKind {
  /// The upstream rejected the request without running it.
  Rejected,
  /// The request may have run, including all the calls that it makes.
  Rerun,
  /// The request is sent to a second upstream while the first one runs it.
  /// Draws on the balance of Rejected, which is little used unless upstreams
  /// are full, and then nothing is hedged.
  Hedge
};

/// How one node earns retry tokens for a service, by kind.
struct RetryLimits {
  double RejectedPerRequest = 0;
  double RerunsPerRequest = 0;
  /// Tokens of a kind that a node can save up.
  double MaxTokens = 1;
};

/// Retry tokens of one node for one service; a node starts with one of a kind.
struct MeshRetryBudget {
  double Rejected = 1;
  double Reruns = 1;
};

} // namespace lycheethread::mesh

#endif // LYCHEETHREAD_MESH_TYPES_RETRYBUDGET_H
