#ifndef LYCHEETHREAD_PROXY_INTERNAL_CONNECTIONPOOL_H
#define LYCHEETHREAD_PROXY_INTERNAL_CONNECTIONPOOL_H

#include "proxy/internal/HttpConnection.h"

#include <memory>

namespace lycheethread::proxy {

/// Idle connections by peer. Thread-safe.
class ConnectionPool {
public:
  ConnectionPool();
  ~ConnectionPool();

  /// Returns an idle connection or opens one. Throws ConnectionBroken or
  /// ConnectionTimeout; nothing has been sent then.
  std::unique_ptr<HttpConnection> take(const Endpoint &Target,
                                       SteadyTime Deadline);

  /// Only for a connection whose last exchange was complete.
  void give(const Endpoint &Target, std::unique_ptr<HttpConnection> Idle);

private:
  struct Impl;
  std::unique_ptr<Impl> Impl_;
};

} // namespace lycheethread::proxy

#endif // LYCHEETHREAD_PROXY_INTERNAL_CONNECTIONPOOL_H
