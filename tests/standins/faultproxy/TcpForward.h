#ifndef LYCHEETHREAD_TESTS_STANDINS_FAULTPROXY_TCPFORWARD_H
#define LYCHEETHREAD_TESTS_STANDINS_FAULTPROXY_TCPFORWARD_H

#include "Pipe.h"

#include <Poco/Net/ServerSocket.h>

#include <list>
#include <poll.h>
#include <vector>

namespace lycheethread::testfault {

/// Rules and totals of one forward.
struct ForwardState {
  FaultRule Up;
  FaultRule Down;
  ForwardTotals Totals;
};

/// A TCP listener and its connections. Not thread-safe.
class TcpForward {
public:
  explicit TcpForward(const ForwardSpec &Spec);

  /// Adds the descriptors to poll, and lowers \p WakeAt to the time of the next
  /// write.
  void prepare(const ForwardState &State, std::vector<pollfd> &Polled,
               std::int64_t &WakeAt) const;
  /// Accepts connections and forwards data; reads and writes do not block.
  void process(ForwardState &State, std::mt19937 &Random);

private:
  struct Connection {
    Poco::Net::StreamSocket Client;
    Poco::Net::StreamSocket Server;
    Pipe Up;
    Pipe Down;
  };

  void acceptNew(ForwardState &State);
  static bool step(Connection &Link, ForwardState &State, std::mt19937 &Random);

  Poco::Net::ServerSocket Listener_;
  Poco::Net::SocketAddress Target_;
  std::list<Connection> Connections_;
};

} // namespace lycheethread::testfault

#endif // LYCHEETHREAD_TESTS_STANDINS_FAULTPROXY_TCPFORWARD_H
