#ifndef LYCHEETHREAD_SIDECAR_INTERNAL_HTTPSERVER_H
#define LYCHEETHREAD_SIDECAR_INTERNAL_HTTPSERVER_H

#include "http/Http.h"
#include "mesh/Mesh.h"
#include "reactor/Reactor.h"
#include "sidecar/internal/BodyPipe.h"

#include <memory>
#include <string>

namespace lycheethread::sidecar {

/// One request that was received, until it is answered.
class ServerRequest {
public:
  ServerRequest();
  ~ServerRequest();

  const Poco::Net::HTTPRequest &head() const;
  const http::Framing &framing() const;
  const BodyPipePtr &body() const;
  /// The caller has closed its connection; an answer would reach nobody.
  bool hasPeerClosed() const;
  bool isAnswered() const;

  /// Called at most once, when the caller leaves before the answer is sent.
  void onGone(std::function<void()> Callback);

  /// Tells a caller that waits for it to send the body.
  void sendContinue();

  /// Sends the answer. The head's framing is set here; \p Body may still be
  /// growing. \p KnownLength is the body's length if it is not complete yet
  /// and the length is known, else -1.
  void answer(Poco::Net::HTTPResponse &Head, const BodyPipePtr &Body,
              std::int64_t KnownLength = -1);
  void answer(int Status, const std::string &Body,
              const std::string &ContentType = "text/plain");

  /// What the connection and this handle share.
  struct State;
  std::unique_ptr<State> Shared;
};

using ServerRequestPtr = std::shared_ptr<ServerRequest>;

/// What an HTTP server needs to know of its surroundings.
struct HttpServerOptions {
  std::function<mesh::CallerLimits()> Limits;
  std::function<void(ServerRequestPtr)> Handle;
};

/// Serves HTTP/1.1 on one endpoint.
class HttpServer {
public:
  /// Throws Poco::Net::NetException when the endpoint cannot be bound.
  HttpServer(reactor::EventLoop &Loop, const Endpoint &At,
             HttpServerOptions Options);
  ~HttpServer();

  /// Requests that were read and not yet answered in full.
  std::size_t inProgress() const;
  /// From now on each answer says that its connection will be closed.
  void announceClose();
  /// Closes connections that are between two requests.
  void closeIdle();

private:
  struct Impl;
  std::unique_ptr<Impl> Impl_;
};

} // namespace lycheethread::sidecar

#endif // LYCHEETHREAD_SIDECAR_INTERNAL_HTTPSERVER_H
