#ifndef LYCHEETHREAD_PROXY_INTERNAL_HTTPSERVER_H
#define LYCHEETHREAD_PROXY_INTERNAL_HTTPSERVER_H

#include "proxy/internal/HttpConnection.h"

#include <cstdint>
#include <functional>
#include <memory>

namespace lycheethread::proxy {

/// Handlers of the requests of a server; called from many threads.
struct ServerCallbacks {
  /// Serves a request; returns false to close the connection.
  std::function<bool(HttpConnection &From,
                     const Poco::Net::HTTPRequest &Request,
                     const Framing &Body)>
      Serve;
  /// Refuses an invalid request or a connection above the limit.
  std::function<void(HttpConnection &From, RefusalReason Reason)> Refuse;
};

/// HTTP/1.1 server on top of POCO's TCPServer, with a thread per connection.
class HttpServer {
public:
  /// Throws Poco::Exception if the port cannot be opened.
  HttpServer(const Endpoint &Listen, std::int32_t MaxConnections,
             ServerCallbacks Callbacks);
  /// Closes all connections.
  ~HttpServer();

  /// Closes each connection after its next response from now on.
  void closeAfterNextResponse();
  /// Closes the port; connections accepted before are still served.
  void stopAccepting();

  /// Returns the number of requests that are being served.
  std::int64_t inProgress() const;

private:
  struct Impl;
  std::unique_ptr<Impl> Impl_;
};

} // namespace lycheethread::proxy

#endif // LYCHEETHREAD_PROXY_INTERNAL_HTTPSERVER_H
