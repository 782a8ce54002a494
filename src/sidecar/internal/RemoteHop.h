#ifndef LYCHEETHREAD_SIDECAR_INTERNAL_REMOTEHOP_H
#define LYCHEETHREAD_SIDECAR_INTERNAL_REMOTEHOP_H

#include "sidecar/internal/ConnectionPool.h"
#include "sidecar/internal/HopJob.h"
#include "sidecar/internal/NodeContext.h"

#include <unordered_map>

namespace lycheethread::sidecar {

/// Forwards requests to the last hop on another instance.
class RemoteHop {
public:
  explicit RemoteHop(NodeContext &Context);

  /// OnEnd is always called after submit() has returned.
  mesh::JobId submit(const Endpoint &To, HopJob Job);

  /// Closes the connection, which tells the last hop that the caller has left.
  /// No callback follows.
  void cancel(mesh::JobId Id);

private:
  struct Running;
  using RunningPtr = std::shared_ptr<Running>;

  void send(const RunningPtr &Item);
  void finish(const RunningPtr &Item, HopOutcome Outcome);
  void release(const RunningPtr &Item);

  NodeContext &Context_;
  ConnectionPool Pool_;
  std::unordered_map<std::int64_t, RunningPtr> Jobs_;
  mesh::JobId LastJob_;
};

} // namespace lycheethread::sidecar

#endif // LYCHEETHREAD_SIDECAR_INTERNAL_REMOTEHOP_H
