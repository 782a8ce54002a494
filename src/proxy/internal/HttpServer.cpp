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

namespace lycheethread::proxy {

namespace {

using Poco::Net::HTTPRequest;

/// How long a connection may stay without a request.
constexpr Milliseconds IdleTime{10000};
/// A slow sender must not hold a thread by single bytes of a head.
constexpr Milliseconds HeadTime{5000};
constexpr int Backlog = 1024;
/// Threads beyond the limit, which tell callers that there are too many.
constexpr int SpareThreads = 8;
constexpr int MaxQueued = 64;

} // namespace

struct HttpServer::Impl {
  ServerCallbacks Callbacks;
  std::int32_t MaxConnections = 0;
  std::atomic<std::int64_t> InProgress{0};
  std::atomic<std::int32_t> Connections{0};
  std::atomic<bool> Stopping{false};
  std::mutex Lock;
  std::set<HttpConnection *> Open;
  std::unique_ptr<Poco::ThreadPool> Threads;
  std::unique_ptr<Poco::Net::TCPServer> Server;

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
      parseRequest(From.readHead(after(steadyNow(), HeadTime)), Request);
      Body = framingOf(Request);
    } catch (const BadMessage &Error) {
      BOOST_LOG_TRIVIAL(debug) << "proxy: invalid request: " << Error.what();
      Callbacks.Refuse(From, RefusalReason::BadRequest);
      return false;
    }
    ++InProgress;
    bool Keep = false;
    try {
      Keep = Callbacks.Serve(From, Request, Body);
    } catch (const std::exception &Error) {
      BOOST_LOG_TRIVIAL(error) << "proxy: request failed: " << Error.what();
    }
    --InProgress;
    return Keep;
  }

  void serveAll(HttpConnection &From) {
    if (Connections.load() > MaxConnections) {
      From.waitForInput(after(steadyNow(), HeadTime));
      Callbacks.Refuse(From, RefusalReason::ConnectionsFull);
      return;
    }
    while (!Stopping.load() &&
           From.waitForInput(after(steadyNow(), IdleTime)) && serveNext(From)) {
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
  const int MaxThreads = MaxConnections + SpareThreads;
  // The server's own accept loop takes no thread of the pool.
  Impl_->Threads = std::make_unique<Poco::ThreadPool>(2, MaxThreads);
  Poco::Net::TCPServerParams::Ptr Params = new Poco::Net::TCPServerParams;
  Params->setMaxThreads(MaxThreads);
  Params->setMaxQueued(MaxQueued);
  const Poco::Net::ServerSocket Socket(
      Poco::Net::SocketAddress(Listen.Address, Listen.Port), Backlog);
  Impl *Shared = Impl_.get();
  Impl_->Server = std::make_unique<Poco::Net::TCPServer>(
      new Factory([Shared](const Poco::Net::StreamSocket &Accepted) {
        Shared->run(Accepted);
      }),
      *Impl_->Threads, Socket, Params);
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
  Impl_->Threads->joinAll();
  Impl_->Server.reset();
}

std::int64_t HttpServer::inProgress() const { return Impl_->InProgress.load(); }

} // namespace lycheethread::proxy
