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

// Below the range from which the kernel takes ports of outgoing connections
// (32768 on), so that a port that was found free stays free.
constexpr int FirstPort = 15000;
constexpr int PortCount = 17000;
constexpr int BlockSize = 100;
constexpr int BlockCount = PortCount / BlockSize;

/// Takes a block of ports for the life of this process. A port of a killed
/// node is free for a while; without the block another test that runs at the
/// same time could take it, and the nodes of both would join each other.
bool takeBlock(int Block) {
  const int Socket = ::socket(AF_UNIX, SOCK_DGRAM | SOCK_CLOEXEC, 0);
  if (Socket < 0)
    return false;
  sockaddr_un Name{};
  Name.sun_family = AF_UNIX;
  // A leading zero byte: the name ends with the process that bound it.
  const std::string Text = "lychee-test-ports-" + std::to_string(Block);
  Text.copy(&Name.sun_path[1], sizeof(Name.sun_path) - 1);
  const auto Length =
      static_cast<socklen_t>(offsetof(sockaddr_un, sun_path) + 1 + Text.size());
  if (::bind(Socket, reinterpret_cast<const sockaddr *>(&Name), Length) == 0)
    return true;
  ::close(Socket);
  return false;
}

/// First port of a block that no other test holds.
int newBlock() {
  static int Next = ::getpid() % BlockCount;
  for (int Tried = 0; Tried < BlockCount; ++Tried) {
    const int Block = Next;
    Next = (Next + 1) % BlockCount;
    if (takeBlock(Block))
      return FirstPort + Block * BlockSize;
  }
  throw std::runtime_error("no free block of ports from 15000 to 31999");
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
      Next = newBlock();
      End = Next + BlockSize;
    }
    const auto Port = static_cast<std::uint16_t>(Next++);
    if (isFree(Port))
      return Port;
  }
}

} // namespace lycheethread::harness
