#include "FreePorts.h"

#include <Poco/Exception.h>
#include <Poco/Net/DatagramSocket.h>
#include <Poco/Net/ServerSocket.h>

#include <mutex>
#include <stdexcept>

#include <unistd.h>

namespace lycheethread::harness {

namespace {

// Below the range from which the kernel takes ports of outgoing connections
// (32768 on), so that a port that was found free stays free.
constexpr int FirstPort = 15000;
constexpr int PortCount = 17000;
/// Tests that run at once start at different places.
constexpr int PortsOfOneTest = 331;

bool isFree(std::uint16_t Port) {
  try {
    const Poco::Net::SocketAddress Address("127.0.0.1", Port);
    const Poco::Net::ServerSocket Tcp(Address);
    const Poco::Net::DatagramSocket Udp(Address);
    return true;
  } catch (const Poco::Exception &) {
    return false;
  }
}

} // namespace

std::uint16_t freePort() {
  static std::mutex Lock;
  static int Next = (::getpid() * PortsOfOneTest) % PortCount;
  const std::lock_guard<std::mutex> Guard(Lock);
  for (int Tried = 0; Tried < PortCount; ++Tried) {
    const auto Port = static_cast<std::uint16_t>(FirstPort + Next);
    Next = (Next + 1) % PortCount;
    if (isFree(Port))
      return Port;
  }
  throw std::runtime_error("no free port from 15000 to 31999");
}

} // namespace lycheethread::harness
