#ifndef LYCHEETHREAD_STREAMLOG_INTERNAL_SESSIONPOOL_H
#define LYCHEETHREAD_STREAMLOG_INTERNAL_SESSIONPOOL_H

#include "streamlog/internal/DeadlineSocket.h"

#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/SocketAddress.h>

#include <memory>

namespace lycheethread::streamlog {

/// A connection to the log and its socket.
struct LogSession {
  std::unique_ptr<Poco::Net::HTTPClientSession> Http;
  /// Owned by Http.
  DeadlineSocket *Socket = nullptr;
  /// Whether the connection has been used for an earlier exchange.
  bool Reused = false;
};

/// Idle keep-alive connections to one address. Thread-safe.
class SessionPool {
public:
  explicit SessionPool(const Poco::Net::SocketAddress &Server);
  ~SessionPool();

  /// Returns an idle connection that the server has not closed, or a new
  /// connection.
  LogSession take(Deadline Latest);
  /// Opens a new connection.
  LogSession open(Deadline Latest) const;
  /// Returns a connection to the pool after a complete exchange.
  void returnSession(LogSession Session);

private:
  struct Impl;
  std::unique_ptr<Impl> Impl_;
};

} // namespace lycheethread::streamlog

#endif // LYCHEETHREAD_STREAMLOG_INTERNAL_SESSIONPOOL_H
