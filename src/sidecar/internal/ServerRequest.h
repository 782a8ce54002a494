#ifndef LYCHEETHREAD_SIDECAR_INTERNAL_SERVERREQUEST_H
#define LYCHEETHREAD_SIDECAR_INTERNAL_SERVERREQUEST_H

#include "http/Http.h"
#include "sidecar/internal/BodyPipe.h"

#include <cstdint>
#include <functional>
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
  /// Whether the caller has closed its connection, or an earlier answer ends
  /// it, so that no answer can be delivered. May already be set when the
  /// request is handed over.
  bool hasPeerClosed() const;
  bool isAnswered() const;

  /// Whether all answers before this one on its connection have been sent.
  /// Otherwise the connection may still end before this request is answered,
  /// and its caller would send it again.
  bool isFirst() const;
  /// Whether the request was read before the answers to earlier requests of its
  /// connection had been sent.
  bool isPipelined() const;
  /// Sets a callback, which is called at most once, when an unanswered request
  /// becomes the first one and its connection stays open.
  void onFirst(std::function<void()> Callback);

  /// Sets a callback, which is called at most once, when the caller disconnects
  /// before the answer has been sent, or will not get it because an earlier
  /// answer ends the connection.
  void onGone(std::function<void()> Callback);

  /// Sends 100 Continue to a caller that waits for it before it sends the body,
  /// after the answers to the requests before this one.
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

} // namespace lycheethread::sidecar

#endif // LYCHEETHREAD_SIDECAR_INTERNAL_SERVERREQUEST_H
