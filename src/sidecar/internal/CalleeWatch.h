#ifndef LYCHEETHREAD_SIDECAR_INTERNAL_CALLEEWATCH_H
#define LYCHEETHREAD_SIDECAR_INTERNAL_CALLEEWATCH_H

#include "sidecar/internal/HopJob.h"
#include "sidecar/internal/NodeContext.h"

namespace lycheethread::sidecar {

/// Watches the calls of the upstream beside this node and how its runs end, and
/// rejects requests whose calls cannot be served. Does nothing while the
/// setting admission.min_failed_runs is 0.
class CalleeWatch {
public:
  explicit CalleeWatch(NodeContext &Context) : Context_(Context) {}

  /// A call of the upstream was answered.
  void onAnswered(const ServiceName &Callee, SteadyTime BeganAt);

  /// A call of the upstream was not answered, for \p Reason.
  void onRefused(const ServiceName &Callee, SteadyTime BeganAt,
                 RefusalReason Reason, Milliseconds RetryDelay);

  /// A request that was sent to the upstream has ended.
  void onRunEnd(const HopInfo &Info, SteadyTime SentAt, bool Good);

  /// Decides about a request before it runs. Returns the time after which a
  /// retry may be admitted, or nothing if the request is admitted.
  std::optional<Milliseconds> delay(const HopInfo &Info,
                                    const mesh::HopQueue &Queue);

  /// Another upstream process has registered.
  void reset() { Known_ = {}; }

private:
  bool isOn() const;
  void log(const mesh::CalleeChange &Change, bool IsFull);

  NodeContext &Context_;
  mesh::CalleeOutlook Known_;
};

} // namespace lycheethread::sidecar

#endif // LYCHEETHREAD_SIDECAR_INTERNAL_CALLEEWATCH_H
