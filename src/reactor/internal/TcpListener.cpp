#include "reactor/Reactor.h"

#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/SocketImpl.h>
#include <Poco/Net/StreamSocketImpl.h>

#include <boost/log/trivial.hpp>

#include <sys/socket.h>

#include <cerrno>
#include <cstring>

namespace lycheethread::reactor {

namespace {

/// The callers of a whole zone may reconnect at the same time.
constexpr int Backlog = 1024;
/// Connections accepted before other events are handled.
constexpr int MaxAcceptsPerEvent = 64;
/// Pause after the process has run out of descriptors; the listener would
/// otherwise be reported ready continuously.
constexpr Milliseconds AcceptPause{100};

} // namespace

struct TcpListener::Impl {
  EventLoop &Loop;
  OnAccept Accept;
  Poco::Net::ServerSocket Socket;
  TimerId Pause;

  Impl(EventLoop &Used, OnAccept Callback)
      : Loop(Used), Accept(std::move(Callback)) {}

  void acceptAll() {
    for (int Count = 0; Count < MaxAcceptsPerEvent; ++Count) {
      const int Descriptor =
          ::accept4(Socket.impl()->sockfd(), nullptr, nullptr, SOCK_CLOEXEC);
      if (Descriptor >= 0) {
        Accept(TcpStream::adopt(
            Loop, Poco::Net::StreamSocket(
                      new Poco::Net::StreamSocketImpl(Descriptor))));
        continue;
      }
      if (errno == EAGAIN)
        return;
      if (errno == EMFILE || errno == ENFILE) {
        pause();
        return;
      }
    }
  }

  void pause() {
    BOOST_LOG_TRIVIAL(error)
        << "reactor: cannot accept a connection, no free descriptor: "
        << std::strerror(errno);
    Loop.change(Socket.impl()->sockfd(), {false, false});
    Pause = Loop.runAfter(AcceptPause, [this] {
      Loop.change(Socket.impl()->sockfd(), {true, false});
    });
  }
};

TcpListener::TcpListener(EventLoop &Loop, const Endpoint &At, OnAccept Accept)
    : Impl_(std::make_unique<Impl>(Loop, std::move(Accept))) {
  Impl_->Socket.bind(Poco::Net::SocketAddress(At.Address, At.Port), true);
  Impl_->Socket.listen(Backlog);
  Impl_->Socket.setBlocking(false);
  Loop.watch(Impl_->Socket.impl()->sockfd(), {true, false},
             [Used = Impl_.get()](Readiness) { Used->acceptAll(); });
}

TcpListener::~TcpListener() {
  Impl_->Loop.cancel(Impl_->Pause);
  Impl_->Loop.unwatch(Impl_->Socket.impl()->sockfd());
}

} // namespace lycheethread::reactor
