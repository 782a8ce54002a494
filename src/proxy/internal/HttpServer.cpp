#include "proxy/internal/HttpServer.h"
#include "proxy/internal/Clock.h"

#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/TCPServer.h>
#include <Poco/Net/TCPServerConnection.h>
#include <Poco/Net/TCPServerConnectionFactory.h>
#include <Poco/ThreadPool.h>

#include <boost/log/trivial.hpp>

#include <atomic>
#include <mutex>
#include <set>
#include <thread>
#include <vector>

namespace lycheethread::proxy {

namespace {

using Poco::Net::HTTPRequest;

/// Maximum time that a connection may stay open without a request.
constexpr Milliseconds IdleTimeout{10000};
/// Maximum time to read a head, so that a client which sends it byte by byte
/// does not block a thread.
constexpr Milliseconds HeadTimeout{5000};
constexpr int Backlog = 1024;
/// Additional threads that refuse the connections above the limit.
constexpr int RefusalThreads = 8;
constexpr int MaxQueued = 64;
/// Maximum time to wait for queued connections to get a thread before the port
/// is closed.
constexpr Milliseconds QueueTimeout{1000};
constexpr Milliseconds QueuePollInterval{10};

} // namespace

struct HttpServer::Impl {
  ServerCallbacks Callbacks;
  std::int32_t MaxConnections = 0;
  std::atomic<std::int64_t> InProgress{0};
  std::atomic<std::int32_t> Connections{0};
  std::atomic<bool> Closing{false};
  std::atomic<bool> Stopping{false};
  std::mutex Lock;
  std::set<HttpConnection *> Open;
  std::unique_ptr<Poco::ThreadPool> Threads;
  Poco::Net::ServerSocket Socket;
  std::unique_ptr<Poco::Net::TCPServer> Server;
  /// Threads of connections that were in the backlog when the port was closed.
  std::vector<std::thread> BacklogThreads;

  void add(HttpConnection &Item) {
    const std::lock_guard<std::mutex> Guard(Lock);
    Open.insert(&Item);
  }

  void remove(HttpConnection &Item) {
    const std::lock_guard<std::mutex> Guard(Lock);
    Open.erase(&Item);
  }

  bool serveNext(HttpConnection &From) {
    HTTPRequest Request;
    Framing Body;
    try {
      parseRequest(From.readHead(after(steadyNow(), HeadTimeout)), Request);
      Body = bodyFraming(Request);
    } catch (const BadMessage &Error) {
      BOOST_LOG_TRIVIAL(debug) << "proxy: invalid request: " << Error.what();
      Callbacks.Refuse(From, RefusalReason::BadRequest);
      return false;
    }
    if (Closing.load())
      Request.setKeepAlive(false);
    ++InProgress;
    bool KeepOpen = false;
    try {
      KeepOpen = Callbacks.Serve(From, Request, Body);
    } catch (const std::exception &Error) {
      BOOST_LOG_TRIVIAL(error) << "proxy: request failed: " << Error.what();
    }
    --InProgress;
    return KeepOpen;
  }

  void serveAll(HttpConnection &From) {
    if (Connections.load() > MaxConnections) {
      From.waitForInput(after(steadyNow(), HeadTimeout));
      Callbacks.Refuse(From, RefusalReason::ConnectionsFull);
      return;
    }
    while (!Stopping.load() &&
           From.waitForInput(after(steadyNow(), IdleTimeout)) &&
           serveNext(From)) {
    }
  }

  void run(const Poco::Net::StreamSocket &Socket) {
    HttpConnection From(Socket);
    ++Connections;
    add(From);
    try {
      serveAll(From);
    } catch (const std::exception &Error) {
      BOOST_LOG_TRIVIAL(trace) << "proxy: connection ended: " << Error.what();
    }
    remove(From);
    --Connections;
  }
};

namespace {

class Connection : public Poco::Net::TCPServerConnection {
public:
  Connection(const Poco::Net::StreamSocket &Socket,
             std::function<void(const Poco::Net::StreamSocket &)> Run)
      : TCPServerConnection(Socket), Run_(std::move(Run)) {}

  void run() override { Run_(socket()); }

private:
  std::function<void(const Poco::Net::StreamSocket &)> Run_;
};

class Factory : public Poco::Net::TCPServerConnectionFactory {
public:
  explicit Factory(std::function<void(const Poco::Net::StreamSocket &)> Run)
      : Run_(std::move(Run)) {}

  Poco::Net::TCPServerConnection *
  createConnection(const Poco::Net::StreamSocket &Socket) override {
    return new Connection(Socket, Run_);
  }

private:
  std::function<void(const Poco::Net::StreamSocket &)> Run_;
};

} // namespace

HttpServer::HttpServer(const Endpoint &Listen, std::int32_t MaxConnections,
                       ServerCallbacks Callbacks)
    : Impl_(std::make_unique<Impl>()) {
  Impl_->Callbacks = std::move(Callbacks);
  Impl_->MaxConnections = MaxConnections;
  const int MaxThreads = MaxConnections + RefusalThreads;
  // The accept loop of the server does not use a thread of the pool.
  Impl_->Threads = std::make_unique<Poco::ThreadPool>(2, MaxThreads);
  Poco::Net::TCPServerParams::Ptr Params = new Poco::Net::TCPServerParams;
  Params->setMaxThreads(MaxThreads);
  Params->setMaxQueued(MaxQueued);
  Impl_->Socket = Poco::Net::ServerSocket(
      Poco::Net::SocketAddress(Listen.Address, Listen.Port), Backlog);
  Impl *Shared = Impl_.get();
  Impl_->Server = std::make_unique<Poco::Net::TCPServer>(
      new Factory([Shared](const Poco::Net::StreamSocket &Accepted) {
        Shared->run(Accepted);
      }),
      *Impl_->Threads, Impl_->Socket, Params);
  Impl_->Server->start();
}

HttpServer::~HttpServer() {
  Impl_->Stopping = true;
  Impl_->Server->stop();
  {
    const std::lock_guard<std::mutex> Guard(Impl_->Lock);
    for (HttpConnection *Item : Impl_->Open)
      Item->shutdown();
  }
  for (std::thread &Each : Impl_->BacklogThreads)
    Each.join();
  Impl_->Threads->joinAll();
  Impl_->Server.reset();
}

void HttpServer::closeAfterNextResponse() { Impl_->Closing = true; }

void HttpServer::stopAccepting() {
  const SteadyTime Limit = after(steadyNow(), QueueTimeout);
  while (Impl_->Server->queuedConnections() > 0 &&
         timeLeft(Limit) > Milliseconds(0))
    std::this_thread::sleep_for(QueuePollInterval);
  Impl_->Server->stop();
  // Closing the port would reset the connections that the kernel has accepted
  // in the meantime.
  Impl *Shared = Impl_.get();
  while (
      Impl_->Socket.poll(Poco::Timespan(0), Poco::Net::Socket::SELECT_READ)) {
    const Poco::Net::StreamSocket Accepted = Impl_->Socket.acceptConnection();
    Impl_->BacklogThreads.emplace_back(
        [Shared, Accepted] { Shared->run(Accepted); });
  }
  Impl_->Socket.close();
}

std::int64_t HttpServer::inProgress() const { return Impl_->InProgress.load(); }

} // namespace lycheethread::proxy
