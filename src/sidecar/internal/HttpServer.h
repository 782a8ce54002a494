#ifndef LYCHEETHREAD_SIDECAR_INTERNAL_HTTPSERVER_H
#define LYCHEETHREAD_SIDECAR_INTERNAL_HTTPSERVER_H

#include "mesh/Mesh.h"
#include "reactor/Reactor.h"
#include "sidecar/internal/AnswerBudget.h"
#include "sidecar/internal/ServerRequest.h"

#include <functional>
#include <memory>

namespace lycheethread::sidecar {

/// The callbacks of an HTTP server.
struct HttpServerOptions {
  std::function<mesh::CallerLimits()> Limits;
  std::function<void(ServerRequestPtr)> Handle;
  /// Memory for answers that wait for earlier ones of their connection. While
  /// it is used up, no request is read behind others.
  std::shared_ptr<AnswerBudget> HeldAnswers = std::make_shared<AnswerBudget>();
};

/// Serves HTTP/1.1 on one endpoint. Requests that a caller sends without
/// waiting for answers are handled at the same time; their answers are sent in
/// order.
class HttpServer {
public:
  /// Throws Poco::Net::NetException if the endpoint cannot be bound.
  HttpServer(reactor::EventLoop &Loop, const Endpoint &At,
             HttpServerOptions Options);
  ~HttpServer();

  /// Returns the number of requests that have been read but not fully answered.
  std::size_t inProgress() const;
  /// Whether the server can end without cutting anything off: no request is in
  /// progress or waits to be read, and every answer has been sent.
  bool isQuiet() const;
  /// From now on a connection reads no request behind others, and its last
  /// answer announces that it will be closed.
  void announceClose();
  /// Closes connections that have no request in progress.
  void closeIdle();

private:
  struct Impl;
  std::unique_ptr<Impl> Impl_;
};

} // namespace lycheethread::sidecar

#endif // LYCHEETHREAD_SIDECAR_INTERNAL_HTTPSERVER_H
