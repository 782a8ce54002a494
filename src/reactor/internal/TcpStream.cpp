#include "reactor/Reactor.h"

#include <Poco/Exception.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/SocketImpl.h>

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <cerrno>

namespace lycheethread::reactor {

namespace {

constexpr std::size_t ReadBufferBytes = 16 * 1024;
/// Bytes read from one connection before other events are handled.
constexpr std::size_t MaxReadBytesPerEvent = 16 * 1024;
/// Capacity that an emptied buffer keeps.
constexpr std::size_t MaxIdleBufferBytes = 4 * 1024;
/// Limits a graceful close when the peer keeps sending after the last answer,
/// or has taken nothing of it for this long.
constexpr Milliseconds LingerTimeout{1500};
/// Ends a connection whose data has not been acknowledged for this time.
constexpr int UnackedTimeoutMs = 4000;
/// Idle time before the first keep-alive probe, and the interval between
/// probes.
constexpr int KeepAliveSeconds = 2;
constexpr int KeepAliveProbes = 2;
constexpr int MillisecondsPerSecond = 1000;

void setOption(int Descriptor, int Level, int Name, int Value) {
  // Errors are ignored: the connection also works without the option.
  ::setsockopt(Descriptor, Level, Name, &Value, sizeof(Value));
}

void setPatienceMs(int Descriptor, int Longest) {
  setOption(Descriptor, IPPROTO_TCP, TCP_USER_TIMEOUT,
            std::max(UnackedTimeoutMs, Longest));
  setOption(Descriptor, IPPROTO_TCP, TCP_KEEPCNT,
            std::max(KeepAliveProbes,
                     Longest / (KeepAliveSeconds * MillisecondsPerSecond)));
}

void setOptions(int Descriptor) {
  setOption(Descriptor, IPPROTO_TCP, TCP_NODELAY, 1);
  setOption(Descriptor, SOL_SOCKET, SO_KEEPALIVE, 1);
  setOption(Descriptor, IPPROTO_TCP, TCP_KEEPIDLE, KeepAliveSeconds);
  setOption(Descriptor, IPPROTO_TCP, TCP_KEEPINTVL, KeepAliveSeconds);
  setPatienceMs(Descriptor, 0);
}

int pendingError(int Descriptor) {
  int Error = 0;
  socklen_t Size = sizeof(Error);
  if (::getsockopt(Descriptor, SOL_SOCKET, SO_ERROR, &Error, &Size) != 0)
    return errno;
  return Error;
}

} // namespace

struct TcpStream::Impl {
  EventLoop &Loop;
  Poco::Net::StreamSocket Socket;
  int Descriptor;
  Callbacks Handlers;
  std::string Input;
  std::string Output;
  bool Open = true;
  bool Connected = true;
  /// The peer has closed its side and all its data has been read.
  bool PeerClosed = false;
  /// The peer has closed its side; some of its data may be unread.
  bool PeerClosing = false;
  bool Paused = false;
  bool Draining = false;
  bool ShutDown = false;
  bool ResetsOnClose = false;
  Interest Watched;
  TimerId Timer;

  Impl(EventLoop &Used, Poco::Net::StreamSocket Taken)
      : Loop(Used), Socket(std::move(Taken)),
        Descriptor(Socket.impl()->sockfd()) {}

  void start(const std::shared_ptr<TcpStream> &Owner) {
    setOptions(Descriptor);
    Watched = wanted();
    Loop.watch(Descriptor, Watched,
               [Weak = std::weak_ptr<TcpStream>(Owner)](Readiness Found) {
                 // Keeps the stream alive while its callbacks run.
                 if (const auto Self = Weak.lock())
                   Self->Impl_->onReady(Found);
               });
  }

  Interest wanted() const {
    const bool Reads = Connected && !PeerClosed && (!Paused || Draining);
    return {Reads, !Connected || !Output.empty()};
  }

  void updateInterest() {
    if (!Open)
      return;
    const Interest Now = wanted();
    if (Now.Read == Watched.Read && Now.Write == Watched.Write)
      return;
    Watched = Now;
    Loop.change(Descriptor, Now);
  }

  void end(StreamEnd How) {
    const auto Callback = Handlers.OnEnd;
    const bool Report = !Draining;
    close();
    if (Report && Callback)
      Callback(How);
  }

  void close() {
    if (!Open)
      return;
    Open = false;
    Loop.cancel(Timer);
    Loop.unwatch(Descriptor);
    Socket.close();
  }

  void onReady(Readiness Found) {
    if (!Connected) {
      onConnectFinished();
      return;
    }
    PeerClosing = PeerClosing || Found.PeerClosed;
    if (Found.Writable && !Output.empty() && !flush())
      return;
    if (Found.Readable && !PeerClosed && (!Paused || Draining))
      read();
    else if (Found.PeerClosed && Paused)
      onPeerClosedWhilePaused();
  }

  /// Reports that the peer has closed although the owner has paused reading.
  void onPeerClosedWhilePaused() {
    if (const int Error = pendingError(Descriptor); Error != 0) {
      end(StreamEnd::Failed);
      return;
    }
    Paused = false;
    read();
  }

  void onConnectFinished() {
    if (pendingError(Descriptor) != 0) {
      end(StreamEnd::NotConnected);
      return;
    }
    Connected = true;
    Loop.cancel(Timer);
    const auto Callback = Handlers.OnConnected;
    if (!Output.empty() && !flush())
      return;
    updateInterest();
    if (Open && Callback)
      Callback();
  }

  bool flush() {
    while (!Output.empty()) {
      const ssize_t Count =
          ::send(Descriptor, Output.data(), Output.size(), MSG_NOSIGNAL);
      if (Count > 0) {
        Output.erase(0, static_cast<std::size_t>(Count));
        continue;
      }
      if (Count < 0 && errno == EINTR)
        continue;
      if (Count < 0 && errno == EAGAIN)
        break;
      end(StreamEnd::Failed);
      return false;
    }
    updateInterest();
    if (!Output.empty())
      return true;
    trimOutput();
    if (Draining && !ShutDown)
      shutDownSending();
    const auto Callback = Handlers.OnSent;
    if (!Draining && Callback)
      Callback();
    return Open;
  }

  void trimOutput() {
    if (Output.empty() && Output.capacity() > MaxIdleBufferBytes)
      Output.shrink_to_fit();
  }

  void shutDownSending() {
    ShutDown = true;
    if (ResetsOnClose)
      Socket.setLinger(false, 0);
    ::shutdown(Descriptor, SHUT_WR);
    if (PeerClosed)
      close();
  }

  void read() {
    std::array<char, ReadBufferBytes> Buffer; // NOLINT: recv fills it
    std::size_t Taken = 0;
    bool Closed = false;
    while (Taken < MaxReadBytesPerEvent) {
      const ssize_t Count =
          ::recv(Descriptor, Buffer.data(), Buffer.size(), MSG_DONTWAIT);
      if (Count > 0) {
        if (!Draining)
          Input.append(Buffer.data(), static_cast<std::size_t>(Count));
        Taken += static_cast<std::size_t>(Count);
        // After a short read the kernel has no more data, but it may still
        // have to report the end.
        if (static_cast<std::size_t>(Count) < Buffer.size() && !PeerClosing)
          break;
        continue;
      }
      if (Count == 0) {
        Closed = true;
        break;
      }
      if (errno == EINTR)
        continue;
      if (errno == EAGAIN)
        break;
      if (Taken > 0 && !Draining)
        deliver();
      if (Open)
        end(StreamEnd::Failed);
      return;
    }
    if (Taken > 0 && !Draining)
      deliver();
    if (Open && Closed)
      onPeerClosed();
  }

  void deliver() {
    const auto Callback = Handlers.OnInput;
    if (Callback)
      Callback();
    // Many connections that were busy once would hold their buffers.
    if (Input.empty() && Input.capacity() > MaxIdleBufferBytes)
      Input.shrink_to_fit();
  }

  /// Closes \p Owner when the linger time has passed since all written data was
  /// sent. A peer that takes nothing of it ends the connection by the patience
  /// of the kernel.
  void linger(const std::shared_ptr<TcpStream> &Owner, bool WasSent) {
    Timer = Loop.runAfter(LingerTimeout, [this, Owner, WasSent] {
      if (WasSent)
        close();
      else
        linger(Owner, Output.empty());
    });
  }

  void onPeerClosed() {
    PeerClosed = true;
    if (Draining) {
      if (ShutDown)
        close();
      else
        updateInterest();
      return;
    }
    end(StreamEnd::Closed);
  }
};

TcpStream::TcpStream(EventLoop &Loop, Poco::Net::StreamSocket Socket)
    : Impl_(std::make_unique<Impl>(Loop, std::move(Socket))) {}

TcpStream::~TcpStream() { Impl_->close(); }

std::shared_ptr<TcpStream> TcpStream::adopt(EventLoop &Loop,
                                            Poco::Net::StreamSocket Socket) {
  Socket.setBlocking(false);
  std::shared_ptr<TcpStream> Stream(new TcpStream(Loop, std::move(Socket)));
  Stream->Impl_->start(Stream);
  return Stream;
}

std::shared_ptr<TcpStream> TcpStream::connect(EventLoop &Loop,
                                              const Endpoint &Target,
                                              Milliseconds Timeout) {
  Poco::Net::StreamSocket Socket;
  bool Started = true;
  try {
    Socket.connectNB(Poco::Net::SocketAddress(Target.Address, Target.Port));
  } catch (const Poco::Exception &) {
    Started = false;
  }
  std::shared_ptr<TcpStream> Stream(new TcpStream(Loop, std::move(Socket)));
  Stream->Impl_->Connected = false;
  const std::weak_ptr<TcpStream> Weak = Stream;
  const auto Fail = [Weak] {
    const auto Self = Weak.lock();
    if (Self && Self->Impl_->Open && !Self->Impl_->Connected)
      Self->Impl_->end(StreamEnd::NotConnected);
  };
  if (!Started) {
    Loop.defer(Fail);
    return Stream;
  }
  Stream->Impl_->start(Stream);
  Stream->Impl_->Timer = Loop.runAfter(Timeout, Fail);
  return Stream;
}

void TcpStream::setCallbacks(Callbacks NewCallbacks) {
  Impl_->Handlers = std::move(NewCallbacks);
}

bool TcpStream::isOpen() const { return Impl_->Open && !Impl_->Draining; }

bool TcpStream::isConnected() const { return Impl_->Connected; }

bool TcpStream::hasPeerClosed() const {
  return Impl_->PeerClosing || Impl_->PeerClosed;
}

bool TcpStream::hasUnreadData() const {
  char Byte = 0;
  return Impl_->Open && Impl_->Connected &&
         ::recv(Impl_->Descriptor, &Byte, sizeof(Byte),
                MSG_PEEK | MSG_DONTWAIT) > 0;
}

std::string &TcpStream::input() { return Impl_->Input; }

void TcpStream::write(std::string_view Data) {
  if (!isOpen() || Data.empty())
    return;
  const bool Waiting = !Impl_->Output.empty() || !Impl_->Connected;
  Impl_->Output.append(Data);
  if (Waiting)
    return;
  // An immediate send usually accepts all data and saves a wait for
  // writability. Errors are left to the loop, so that no callback runs inside
  // write().
  const ssize_t Count = ::send(Impl_->Descriptor, Impl_->Output.data(),
                               Impl_->Output.size(), MSG_NOSIGNAL);
  if (Count > 0)
    Impl_->Output.erase(0, static_cast<std::size_t>(Count));
  Impl_->trimOutput();
  Impl_->updateInterest();
}

std::size_t TcpStream::unsentBytes() const { return Impl_->Output.size(); }

void TcpStream::setReadingPaused(bool Paused) {
  Impl_->Paused = Paused;
  Impl_->updateInterest();
}

void TcpStream::setPatience(Milliseconds Longest) {
  if (Impl_->Open)
    setPatienceMs(Impl_->Descriptor, static_cast<int>(Longest.count()));
}

void TcpStream::setResetOnClose() {
  if (!Impl_->Open)
    return;
  Impl_->ResetsOnClose = true;
  Impl_->Socket.setLinger(true, 0);
}

void TcpStream::close() {
  Impl_->Handlers = {};
  Impl_->close();
}

void TcpStream::closeGracefully() {
  if (!isOpen())
    return;
  Impl_->Handlers = {};
  Impl_->Draining = true;
  // The callback of the loop holds only a weak reference; the timer keeps the
  // object alive until the connection has ended.
  Impl_->linger(shared_from_this(), Impl_->Output.empty());
  if (Impl_->Output.empty())
    Impl_->shutDownSending();
  Impl_->updateInterest();
}

} // namespace lycheethread::reactor
