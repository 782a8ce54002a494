#ifndef LYCHEETHREAD_SIDECAR_INTERNAL_CRASHPROBE_H
#define LYCHEETHREAD_SIDECAR_INTERNAL_CRASHPROBE_H

#include "sidecar/internal/ConnectionPool.h"
#include "sidecar/internal/NodeContext.h"

namespace lycheethread::sidecar {

/// Detects crashes of the upstream beside this node and reports the requests
/// that were in progress.
class CrashProbe {
public:
  /// \p OnDown is called when the upstream accepts no connection.
  CrashProbe(NodeContext &Context, ConnectionPool &Pool,
             std::function<void()> OnDown);

  void recordAnswered(const requests::Fingerprint &RequestFingerprint);
  /// Called when the connection of a request broke before an answer began.
  void recordBrokenConnection(const requests::Fingerprint &RequestFingerprint);
  /// Called when the upstream accepted no connection.
  void recordNoConnection();
  /// Called when a different upstream has registered.
  void reset();

private:
  void onConnected();
  void onConnectFailed();

  NodeContext &Context_;
  ConnectionPool &Pool_;
  std::function<void()> OnDown_;
  requests::AnsweredTable Answered_;
  /// Requests whose connection broke recently, until it is known whether the
  /// upstream has crashed.
  std::vector<std::pair<requests::Fingerprint, SteadyTime>> Broken_;
  ClientConnectionPtr Probe_;
  std::int64_t Crashes_ = 0;
};

} // namespace lycheethread::sidecar

#endif // LYCHEETHREAD_SIDECAR_INTERNAL_CRASHPROBE_H
