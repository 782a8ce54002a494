#ifndef LYCHEETHREAD_REACTOR_TYPES_UDPSOCKET_H
#define LYCHEETHREAD_REACTOR_TYPES_UDPSOCKET_H

#include "reactor/types/EventLoop.h"

#include <string_view>

namespace lycheethread::reactor {

/// Sends and receives datagrams on one endpoint. Datagrams may get lost.
class UdpSocket {
public:
  using OnDatagram = std::function<void(std::string_view Data)>;

  /// Throws Poco::Net::NetException when the endpoint cannot be bound.
  UdpSocket(EventLoop &Loop, const Endpoint &At, OnDatagram Receive);
  ~UdpSocket();

  /// Returns false when the kernel did not accept the datagram.
  bool send(const Endpoint &To, std::string_view Data);

private:
  struct Impl;
  std::unique_ptr<Impl> Impl_;
};

} // namespace lycheethread::reactor

#endif // LYCHEETHREAD_REACTOR_TYPES_UDPSOCKET_H
