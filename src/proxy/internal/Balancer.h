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

/// What this node knows about the load and failures of others, and its retry
/// budgets. Thread-safe.
class Balancer {
public:
  explicit Balancer(
      std::shared_ptr<kernel::SnapshotStore<moves::StoppedMoveSet>>
          StoppedMoves);
  ~Balancer();

  /// Picks a member and counts a request in progress there until done().
  std::optional<requests::Selection> select(const CallContext &Call,
                                            const std::set<NodeId> &Excluded);

  /// Ends a request in progress and draws the conclusions.
  void done(const NodeId &Target, const AttemptResult &Result);

  void recordOriginal(const CallContext &Call);
  bool mayRetry(const CallContext &Call, const requests::FailedAttempt &Failed);

private:
  struct Impl;
  std::unique_ptr<Impl> Impl_;
};

} // namespace lycheethread::proxy

#endif // LYCHEETHREAD_PROXY_INTERNAL_BALANCER_H
