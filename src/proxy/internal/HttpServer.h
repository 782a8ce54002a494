#ifndef LYCHEETHREAD_PROXY_INTERNAL_HTTPSERVER_H
#define LYCHEETHREAD_PROXY_INTERNAL_HTTPSERVER_H

#include "proxy/internal/HttpConnection.h"

#include <cstdint>
#include <functional>
#include <memory>

namespace lycheethread::proxy {

/// What a server does with its connections; called from many threads.
struct ServerCallbacks {
  /// Serves a request; false closes the connection.
  std::function<bool(HttpConnection &From,
                     const Poco::Net::HTTPRequest &Request,
                     const Framing &Body)>
      Serve;
  /// Refuses what is no valid request, or one connection too many.
  std::function<void(HttpConnection &From, RefusalReason Reason)> Refuse;
};

/// An HTTP/1.1 server on POCO's TCPServer, one thread a connection.
class HttpServer {
public:
  /// Throws Poco::Exception when the port cannot be opened.
  HttpServer(const Endpoint &Listen, std::int32_t MaxConnections,
             ServerCallbacks Callbacks);
  /// Ends all connections.
  ~HttpServer();

  /// Ends each connection with its next answer from now on.
  void closeAfterAnswers();
  /// Closes the port; accepted connections are served.
  void stopAccepting();

  /// Requests that are being served.
  std::int64_t inProgress() const;

private:
  struct Impl;
  std::unique_ptr<Impl> Impl_;
};

} // namespace lycheethread::proxy

#endif // LYCHEETHREAD_PROXY_INTERNAL_HTTPSERVER_H
