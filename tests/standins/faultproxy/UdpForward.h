#ifndef LYCHEETHREAD_TESTS_STANDINS_FAULTPROXY_UDPFORWARD_H
#define LYCHEETHREAD_TESTS_STANDINS_FAULTPROXY_UDPFORWARD_H

#include "TcpForward.h"

#include <Poco/Net/DatagramSocket.h>

#include <map>

namespace lycheethread::testfault {

/// A UDP socket and a flow for each client. Not thread-safe.
class UdpForward {
public:
  explicit UdpForward(const ForwardSpec &Spec);

  void prepare(std::vector<pollfd> &Polled, std::int64_t &WakeAt) const;
  void process(ForwardState &State, std::mt19937 &Random);

private:
  struct Datagram {
    Poco::Net::DatagramSocket Socket;
    Poco::Net::SocketAddress To;
    std::string Data;
  };

  Poco::Net::DatagramSocket &flowFor(const Poco::Net::SocketAddress &Client);
  void receiveAll(ForwardState &State, std::mt19937 &Random);
  void enqueue(const FaultRule &Rule, Datagram Item, std::mt19937 &Random);
  void sendDue();

  Poco::Net::DatagramSocket Listener_;
  Poco::Net::SocketAddress Target_;
  std::map<Poco::Net::SocketAddress, Poco::Net::DatagramSocket> Flows_;
  /// Ordered by due time; jitter may reorder datagrams, as in a network.
  std::multimap<std::int64_t, Datagram> Queue_;
};

} // namespace lycheethread::testfault

#endif // LYCHEETHREAD_TESTS_STANDINS_FAULTPROXY_UDPFORWARD_H
