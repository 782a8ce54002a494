#ifndef LYCHEETHREAD_SIDECAR_INTERNAL_CRASHPROBE_H
#define LYCHEETHREAD_SIDECAR_INTERNAL_CRASHPROBE_H

#include "sidecar/internal/ConnectionPool.h"
#include "sidecar/internal/NodeContext.h"

namespace lycheethread::sidecar {

/// Finds out whether the upstream beside this node has crashed, and which
/// requests were in progress then.
class CrashProbe {
public:
  /// \p OnDown is called when the upstream takes no connection.
  CrashProbe(NodeContext &Context, ConnectionPool &Pool,
             std::function<void()> OnDown);

  void recordAnswered(const requests::Fingerprint &RequestFingerprint);
  /// The connection of a request broke before an answer began.
  void noteBroken(const requests::Fingerprint &RequestFingerprint);
  /// The upstream took no connection.
  void noteNoConnection();
  /// Another upstream is registered.
  void reset();

private:
  void onConnected();
  void onNotConnected();

  NodeContext &Context_;
  ConnectionPool &Pool_;
  std::function<void()> OnDown_;
  requests::AnsweredTable Answered_;
  /// Requests whose connection broke a moment ago, while it is not known yet
  /// whether the upstream crashed.
  std::vector<std::pair<requests::Fingerprint, SteadyTime>> Broken_;
  ClientConnectionPtr Probe_;
  std::int64_t Crashes_ = 0;
};

} // namespace lycheethread::sidecar

#endif // LYCHEETHREAD_SIDECAR_INTERNAL_CRASHPROBE_H
