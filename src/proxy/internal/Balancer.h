#ifndef LYCHEETHREAD_PROXY_INTERNAL_BALANCER_H
#define LYCHEETHREAD_PROXY_INTERNAL_BALANCER_H

#include "kernel/SnapshotStore.h"
#include "proxy/internal/Attempt.h"
#include "proxy/internal/CallContext.h"
#include "requests/Requests.h"

#include <memory>
#include <optional>
#include <set>

namespace lycheethread::proxy {

/// Selects the upstream for a request by the load and the failures that this
/// node has observed, and keeps the retry budgets. Thread-safe.
class Balancer {
public:
  explicit Balancer(
      std::shared_ptr<kernel::SnapshotStore<moves::StoppedMoveSet>>
          StoppedMoves);
  ~Balancer();

  /// Selects a member and counts a request in progress there until
  /// attemptEnded() is called.
  std::optional<requests::Selection> select(const CallContext &Call,
                                            const std::set<NodeId> &Excluded);

  /// Ends a request in progress and updates ejections by its result.
  void attemptEnded(const NodeId &Target, const AttemptResult &Result);

  /// Counts an original request, which adds to the retry budget.
  void recordOriginal(const CallContext &Call);
  /// Returns whether a retry is allowed and within the budget; if so, consumes
  /// budget.
  bool mayRetry(const CallContext &Call, const requests::FailedAttempt &Failed);

private:
  struct Impl;
  std::unique_ptr<Impl> Impl_;
};

} // namespace lycheethread::proxy

#endif // LYCHEETHREAD_PROXY_INTERNAL_BALANCER_H
