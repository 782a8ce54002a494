#include "reactor/Reactor.h"

#include <Poco/Net/DatagramSocket.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/SocketImpl.h>

#include <sys/socket.h>

#include <array>

namespace lycheethread::reactor {

namespace {

constexpr std::size_t MaxDatagramBytes = 64 * 1024;
constexpr int MaxDatagramsPerEvent = 64;

} // namespace

struct UdpSocket::Impl {
  EventLoop &Loop;
  OnDatagram Receive;
  Poco::Net::DatagramSocket Socket;
  std::array<char, MaxDatagramBytes> Buffer{};

  Impl(EventLoop &Used, const Endpoint &At, OnDatagram Callback)
      : Loop(Used), Receive(std::move(Callback)),
        Socket(Poco::Net::SocketAddress(At.Address, At.Port), true) {}

  int descriptor() const { return Socket.impl()->sockfd(); }

  void receiveAll() {
    for (int Count = 0; Count < MaxDatagramsPerEvent; ++Count) {
      const ssize_t Size =
          ::recv(descriptor(), Buffer.data(), Buffer.size(), MSG_DONTWAIT);
      if (Size < 0)
        return;
      Receive(std::string_view(Buffer.data(), static_cast<std::size_t>(Size)));
    }
  }
};

UdpSocket::UdpSocket(EventLoop &Loop, const Endpoint &At, OnDatagram Receive)
    : Impl_(std::make_unique<Impl>(Loop, At, std::move(Receive))) {
  Loop.watch(Impl_->descriptor(), {true, false},
             [Used = Impl_.get()](Readiness) { Used->receiveAll(); });
}

UdpSocket::~UdpSocket() { Impl_->Loop.unwatch(Impl_->descriptor()); }

bool UdpSocket::send(const Endpoint &To, std::string_view Data) {
  const Poco::Net::SocketAddress Address(To.Address, To.Port);
  return ::sendto(Impl_->descriptor(), Data.data(), Data.size(), MSG_DONTWAIT,
                  Address.addr(),
                  Address.length()) == static_cast<ssize_t>(Data.size());
}

} // namespace lycheethread::reactor
