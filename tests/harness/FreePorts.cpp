#include "FreePorts.h"

#include <Poco/Exception.h>
#include <Poco/Net/DatagramSocket.h>
#include <Poco/Net/ServerSocket.h>

#include <cstddef>
#include <mutex>
#include <stdexcept>
#include <string>

#include <sys/socket.h>
#include <sys/un.h>
#include <unistd.h>

namespace lycheethread::harness {

namespace {

// The ports are below the range that the kernel uses for outgoing connections
// (32768 and above), so that a free port is not taken by a connection.
constexpr int FirstPort = 15000;
constexpr int PortCount = 17000;
constexpr int BlockSize = 100;
constexpr int BlockCount = PortCount / BlockSize;

/// Reserves a block of ports for the lifetime of this process, by binding an
/// abstract Unix socket. The port of a killed node is free until its restart.
/// Without the reservation a concurrent test could take that port, and the
/// nodes of both tests would join each other.
bool reserveBlock(int Block) {
  const int Socket = ::socket(AF_UNIX, SOCK_DGRAM | SOCK_CLOEXEC, 0);
  if (Socket < 0)
    return false;
  sockaddr_un Name{};
  Name.sun_family = AF_UNIX;
  // With a leading zero byte the name is abstract: it disappears with the
  // process that bound it.
  const std::string Text = "lychee-test-ports-" + std::to_string(Block);
  Text.copy(&Name.sun_path[1], sizeof(Name.sun_path) - 1);
  const auto Length =
      static_cast<socklen_t>(offsetof(sockaddr_un, sun_path) + 1 + Text.size());
  if (::bind(Socket, reinterpret_cast<const sockaddr *>(&Name), Length) == 0)
    return true;
  ::close(Socket);
  return false;
}

/// Reserves a block that no other test holds and returns its first port.
int reserveNextBlock() {
  static int Next = ::getpid() % BlockCount;
  for (int Attempt = 0; Attempt < BlockCount; ++Attempt) {
    const int Block = Next;
    Next = (Next + 1) % BlockCount;
    if (reserveBlock(Block))
      return FirstPort + Block * BlockSize;
  }
  throw std::runtime_error(
      "no block of ports from 15000 to 31999 could be reserved");
}

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
  static int Next = 0;
  static int End = 0;
  const std::lock_guard<std::mutex> Guard(Lock);
  for (;;) {
    if (Next == End) {
      Next = reserveNextBlock();
      End = Next + BlockSize;
    }
    const auto Port = static_cast<std::uint16_t>(Next++);
    if (isFree(Port))
      return Port;
  }
}

} // namespace lycheethread::harness
