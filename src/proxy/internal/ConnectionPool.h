#ifndef LYCHEETHREAD_PROXY_INTERNAL_CONNECTIONPOOL_H
#define LYCHEETHREAD_PROXY_INTERNAL_CONNECTIONPOOL_H

#include "proxy/internal/HttpConnection.h"

#include <memory>

namespace lycheethread::proxy {

/// Pool of idle connections by peer. Thread-safe.
class ConnectionPool {
public:
  ConnectionPool();
  ~ConnectionPool();

  /// Returns an idle connection or opens a new one. Throws ConnectionBroken or
  /// ConnectionTimeout; no request has been sent in this case.
  std::unique_ptr<HttpConnection> acquire(const Endpoint &Target,
                                          SteadyTime Deadline);

  /// Returns a connection to the pool. Its last exchange must be complete.
  void release(const Endpoint &Target, std::unique_ptr<HttpConnection> Idle);

private:
  struct Impl;
  std::unique_ptr<Impl> Impl_;
};

} // namespace lycheethread::proxy

#endif // LYCHEETHREAD_PROXY_INTERNAL_CONNECTIONPOOL_H
