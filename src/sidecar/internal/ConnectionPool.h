#ifndef LYCHEETHREAD_SIDECAR_INTERNAL_CONNECTIONPOOL_H
#define LYCHEETHREAD_SIDECAR_INTERNAL_CONNECTIONPOOL_H

#include "sidecar/internal/ClientConnection.h"

#include <map>
#include <vector>

namespace lycheethread::sidecar {

/// Idle connections for reuse, by server.
class ConnectionPool {
public:
  /// \p OnLost is called when a peer has closed the last idle connection to it.
  explicit ConnectionPool(
      reactor::EventLoop &Loop,
      std::function<void(const Endpoint &)> OnLost = nullptr);
  ~ConnectionPool();

  /// Returns the most recently used connection if it has been idle for at most
  /// \p MaxIdle, otherwise null.
  ClientConnectionPtr take(const Endpoint &To, Milliseconds MaxIdle);

  /// Keeps \p Item for reuse, or closes it if it is not reusable.
  void recycle(const ClientConnectionPtr &Item);

  std::size_t idleCount(const Endpoint &To) const;
  void closeAll(const Endpoint &To);

private:
  struct Idle {
    ClientConnectionPtr Item;
    SteadyTime Since;
  };
  void sweep();
  void remove(const ClientConnectionPtr &Item);

  reactor::EventLoop &Loop_;
  std::function<void(const Endpoint &)> OnLost_;
  std::map<Endpoint, std::vector<Idle>> Idle_;
  reactor::TimerId Timer_;
};

} // namespace lycheethread::sidecar

#endif // LYCHEETHREAD_SIDECAR_INTERNAL_CONNECTIONPOOL_H
