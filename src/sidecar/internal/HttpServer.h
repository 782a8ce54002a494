#ifndef LYCHEETHREAD_SIDECAR_INTERNAL_HTTPSERVER_H
#define LYCHEETHREAD_SIDECAR_INTERNAL_HTTPSERVER_H

#include "http/Http.h"
#include "mesh/Mesh.h"
#include "reactor/Reactor.h"
#include "sidecar/internal/BodyPipe.h"

#include <memory>
#include <string>

namespace lycheethread::sidecar {

/// A received request until it has been answered.
class ServerRequest {
public:
  ServerRequest();
  ~ServerRequest();

  const Poco::Net::HTTPRequest &head() const;
  const http::Framing &framing() const;
  const BodyPipePtr &body() const;
  /// Whether the caller has closed its connection, so that no answer can be
  /// delivered. May already be set when the request is handed over.
  bool hasPeerClosed() const;
  bool isAnswered() const;

  /// Sets a callback, which is called at most once, when the caller disconnects
  /// before the answer has been sent.
  void onGone(std::function<void()> Callback);

  /// Sends 100 Continue to a caller that waits for it before it sends the body.
  void sendContinue();

  /// Sends the answer and sets the framing of its headers. \p Body may still be
  /// growing; \p KnownLength is its full length, or -1 when that is not known.
  void answer(Poco::Net::HTTPResponse &Head, const BodyPipePtr &Body,
              std::int64_t KnownLength = -1);
  void answer(int Status, const std::string &Body,
              const std::string &ContentType = "text/plain");

  /// State shared by the connection and this handle.
  struct State;
  std::unique_ptr<State> Shared;
};

using ServerRequestPtr = std::shared_ptr<ServerRequest>;

/// The callbacks of an HTTP server.
struct HttpServerOptions {
  std::function<mesh::CallerLimits()> Limits;
  std::function<void(ServerRequestPtr)> Handle;
};

/// Serves HTTP/1.1 on one endpoint.
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
  /// From now on each answer announces that its connection will be closed.
  void announceClose();
  /// Closes connections that have no request in progress.
  void closeIdle();

private:
  struct Impl;
  std::unique_ptr<Impl> Impl_;
};

} // namespace lycheethread::sidecar

#endif // LYCHEETHREAD_SIDECAR_INTERNAL_HTTPSERVER_H
