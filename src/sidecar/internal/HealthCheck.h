#ifndef LYCHEETHREAD_SIDECAR_INTERNAL_HEALTHCHECK_H
#define LYCHEETHREAD_SIDECAR_INTERNAL_HEALTHCHECK_H

#include "sidecar/internal/ConnectionPool.h"
#include "sidecar/internal/NodeContext.h"

namespace lycheethread::sidecar {

/// Asks the upstream beside this node how long it stays cold.
class HealthCheck {
public:
  HealthCheck(NodeContext &Context, ConnectionPool &Pool)
      : Context_(Context), Pool_(Pool) {}
  ~HealthCheck() { cancel(); }

  /// Sends GET \p Path; ends an earlier check without a call. \p OnEnd is
  /// called once, within mesh::HealthCheckTimeout.
  void start(const std::string &Path,
             std::function<void(mesh::HealthAnswer)> OnEnd);
  /// No call follows.
  void cancel();

private:
  void connect(const std::string &Path);
  void send(const std::string &Path);
  void end(mesh::HealthAnswer Answer);

  NodeContext &Context_;
  ConnectionPool &Pool_;
  std::function<void(mesh::HealthAnswer)> OnEnd_;
  ClientConnectionPtr Connection_;
  reactor::TimerId Timer_;
};

} // namespace lycheethread::sidecar

#endif // LYCHEETHREAD_SIDECAR_INTERNAL_HEALTHCHECK_H
