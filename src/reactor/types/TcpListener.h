#ifndef LYCHEETHREAD_REACTOR_TYPES_TCPLISTENER_H
#define LYCHEETHREAD_REACTOR_TYPES_TCPLISTENER_H

#include "reactor/types/TcpStream.h"

namespace lycheethread::reactor {

/// Accepts connections on one endpoint.
class TcpListener {
public:
  using OnAccept = std::function<void(std::shared_ptr<TcpStream>)>;

  /// Throws Poco::Net::NetException when the endpoint cannot be bound.
  TcpListener(EventLoop &Loop, const Endpoint &At, OnAccept Accept);
  ~TcpListener();

private:
  struct Impl;
  std::unique_ptr<Impl> Impl_;
};

} // namespace lycheethread::reactor

#endif // LYCHEETHREAD_REACTOR_TYPES_TCPLISTENER_H
