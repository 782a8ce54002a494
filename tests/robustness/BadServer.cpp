#include "BadServer.h"

#include <Poco/Net/NetException.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/StreamSocket.h>

#include <atomic>
#include <mutex>
#include <thread>

namespace lycheethread::robustness {

namespace {

const Poco::Timespan AcceptTimeout(0, 20'000);
const Poco::Timespan RequestTimeout(0, 200'000);

} // namespace

struct BadServer::Impl {
  Poco::Net::ServerSocket Socket{Poco::Net::SocketAddress("127.0.0.1", 0)};
  std::mutex Lock;
  PreparedResponse NextResponse;
  std::atomic<bool> Stopping{false};
  std::thread Worker;

  PreparedResponse nextResponse() {
    const std::lock_guard<std::mutex> Guard(Lock);
    return NextResponse;
  }

  void run() {
    while (!Stopping)
      if (Socket.poll(AcceptTimeout, Poco::Net::Socket::SELECT_READ))
        serve();
  }

  void serve() {
    try {
      Poco::Net::StreamSocket Peer = Socket.acceptConnection();
      readRequest(Peer);
      send(Peer, nextResponse());
      Peer.shutdownSend();
      discardInput(Peer);
    } catch (const Poco::Exception &) {
      // The client may close the connection at any time.
    }
  }

  static void readRequest(Poco::Net::StreamSocket &Peer) {
    Peer.setReceiveTimeout(RequestTimeout);
    std::string Header;
    char Block[1024];
    while (Header.find("\r\n\r\n") == std::string::npos) {
      const int Length = Peer.receiveBytes(Block, sizeof(Block));
      if (Length <= 0)
        return;
      Header.append(Block, static_cast<std::size_t>(Length));
    }
  }

  void send(Poco::Net::StreamSocket &Peer, const PreparedResponse &Response) {
    std::size_t Sent = 0;
    while (Sent < Response.Bytes.size() && !Stopping) {
      const bool Slow = Response.Pause.count() > 0;
      const std::size_t Remaining = Response.Bytes.size() - Sent;
      const int Length = Peer.sendBytes(Response.Bytes.data() + Sent,
                                        static_cast<int>(Slow ? 1 : Remaining));
      Sent += static_cast<std::size_t>(Length);
      std::this_thread::sleep_for(Response.Pause);
    }
  }

  /// Reads the remaining input: a close with unread bytes would reset the
  /// connection, and the client would not see the response.
  static void discardInput(Poco::Net::StreamSocket &Peer) {
    char Block[1024];
    while (Peer.receiveBytes(Block, sizeof(Block)) > 0) {
    }
  }
};

BadServer::BadServer() : Impl_(std::make_unique<Impl>()) {
  Impl_->Worker = std::thread([this] { Impl_->run(); });
}

BadServer::~BadServer() {
  Impl_->Stopping = true;
  Impl_->Worker.join();
}

std::string BadServer::url() const {
  return "http://" + Impl_->Socket.address().toString();
}

void BadServer::prepare(PreparedResponse Response) {
  const std::lock_guard<std::mutex> Guard(Impl_->Lock);
  Impl_->NextResponse = std::move(Response);
}

} // namespace lycheethread::robustness
