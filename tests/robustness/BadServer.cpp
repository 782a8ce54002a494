#include "BadServer.h"

#include <Poco/Net/NetException.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/StreamSocket.h>

#include <atomic>
#include <mutex>
#include <thread>

namespace lycheethread::robustness {

namespace {

const Poco::Timespan AcceptWait(0, 20'000);
const Poco::Timespan RequestWait(0, 200'000);

} // namespace

struct BadServer::Impl {
  Poco::Net::ServerSocket Socket{Poco::Net::SocketAddress("127.0.0.1", 0)};
  std::mutex Lock;
  BadAnswer Next;
  std::atomic<bool> Stopped{false};
  std::thread Worker;

  BadAnswer next() {
    const std::lock_guard<std::mutex> Guard(Lock);
    return Next;
  }

  void run() {
    while (!Stopped)
      if (Socket.poll(AcceptWait, Poco::Net::Socket::SELECT_READ))
        serve();
  }

  void serve() {
    try {
      Poco::Net::StreamSocket Peer = Socket.acceptConnection();
      readRequest(Peer);
      send(Peer, next());
      Peer.shutdownSend();
      discard(Peer);
    } catch (const Poco::Exception &) {
      // The client has closed the connection, as it may.
    }
  }

  static void readRequest(Poco::Net::StreamSocket &Peer) {
    Peer.setReceiveTimeout(RequestWait);
    std::string Head;
    char Block[1024];
    while (Head.find("\r\n\r\n") == std::string::npos) {
      const int Length = Peer.receiveBytes(Block, sizeof(Block));
      if (Length <= 0)
        return;
      Head.append(Block, static_cast<std::size_t>(Length));
    }
  }

  void send(Poco::Net::StreamSocket &Peer, const BadAnswer &Answer) {
    std::size_t Sent = 0;
    while (Sent < Answer.Bytes.size() && !Stopped) {
      const bool Slow = Answer.Pause.count() > 0;
      const std::size_t Left = Answer.Bytes.size() - Sent;
      const int Length = Peer.sendBytes(Answer.Bytes.data() + Sent,
                                        static_cast<int>(Slow ? 1 : Left));
      Sent += static_cast<std::size_t>(Length);
      std::this_thread::sleep_for(Answer.Pause);
    }
  }

  /// A close with unread bytes would reset the connection and hide the answer.
  static void discard(Poco::Net::StreamSocket &Peer) {
    char Block[1024];
    while (Peer.receiveBytes(Block, sizeof(Block)) > 0) {
    }
  }
};

BadServer::BadServer() : Impl_(std::make_unique<Impl>()) {
  Impl_->Worker = std::thread([this] { Impl_->run(); });
}

BadServer::~BadServer() {
  Impl_->Stopped = true;
  Impl_->Worker.join();
}

std::string BadServer::url() const {
  return "http://" + Impl_->Socket.address().toString();
}

void BadServer::prepare(BadAnswer Answer) {
  const std::lock_guard<std::mutex> Guard(Impl_->Lock);
  Impl_->Next = std::move(Answer);
}

} // namespace lycheethread::robustness
