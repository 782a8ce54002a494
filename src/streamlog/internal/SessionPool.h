#ifndef LYCHEETHREAD_STREAMLOG_INTERNAL_SESSIONPOOL_H
#define LYCHEETHREAD_STREAMLOG_INTERNAL_SESSIONPOOL_H

#include "streamlog/internal/DeadlineSocket.h"

#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/SocketAddress.h>

#include <memory>

namespace lycheethread::streamlog {

/// A connection to the log and the socket below it.
struct LogSession {
  std::unique_ptr<Poco::Net::HTTPClientSession> Http;
  /// Owned by Http.
  DeadlineSocket *Socket = nullptr;
  /// Whether the connection carried an exchange before.
  bool Reused = false;
};

/// Idle keep-alive connections to one address. Thread-safe.
class SessionPool {
public:
  explicit SessionPool(const Poco::Net::SocketAddress &Server);
  ~SessionPool();

  /// An idle connection that the server has not closed, else a new one.
  LogSession take(Deadline Latest);
  /// A new connection.
  LogSession open(Deadline Latest) const;
  /// Takes back a connection after a complete exchange.
  void giveBack(LogSession Session);

private:
  struct Impl;
  std::unique_ptr<Impl> Impl_;
};

} // namespace lycheethread::streamlog

#endif // LYCHEETHREAD_STREAMLOG_INTERNAL_SESSIONPOOL_H
