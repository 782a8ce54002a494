#ifndef LYCHEETHREAD_SIDECAR_INTERNAL_CLIENTCONNECTION_H
#define LYCHEETHREAD_SIDECAR_INTERNAL_CLIENTCONNECTION_H

#include "http/Http.h"
#include "reactor/Reactor.h"
#include "sidecar/internal/BodyPipe.h"

#include <memory>
#include <string>

namespace lycheethread::sidecar {

/// Why an exchange ended without a usable answer.
enum class ClientFailure {
  /// Nothing was sent.
  NotConnected,
  /// The connection ended before an answer began.
  NoAnswer,
  /// What came was not an answer in HTTP, or it was cut off.
  BrokenAnswer
};

/// An answer whose body may still be growing.
struct ClientAnswer {
  Poco::Net::HTTPResponse Head;
  BodyPipePtr Body;
  /// -1 when the length is not known before the end.
  std::int64_t KnownLength = -1;
};

/// Appends the body of \p Answer to \p Into as it arrives.
void collectBody(const ClientAnswer &Answer,
                 const std::shared_ptr<std::string> &Into);

struct ClientRequest {
  /// The head with its framing, as it goes onto the wire.
  std::string Head;
  std::string Method;
  /// Null for a request without body.
  BodyPipePtr Body;
  bool Chunked = false;
  /// Waits for the peer's 100 before the body is sent.
  bool ExpectContinue = false;
};

struct ClientCallbacks {
  /// The peer wants the body.
  std::function<void()> OnContinue;
  /// The system has taken the whole body.
  std::function<void()> OnBodySent;
  /// False for an answer that belongs to another request; the next one on the
  /// connection is then awaited.
  std::function<bool(const Poco::Net::HTTPResponse &)> Accept;
  /// The head is here, and the body whole or its first BufferedAnswerBytes.
  std::function<void(ClientAnswer)> OnAnswer;
  std::function<void(ClientFailure)> OnFailure;
  /// Head and body of the answer have arrived in full.
  std::function<void()> OnComplete;
};

/// An HTTP/1.1 connection to a server, for one request at a time.
class ClientConnection : public std::enable_shared_from_this<ClientConnection> {
public:
  /// Answers up to this size are only reported whole, so that a cut one can be
  /// told from a complete one before any of it is passed on.
  static constexpr std::size_t BufferedAnswerBytes = 256 * 1024;

  static std::shared_ptr<ClientConnection>
  open(reactor::EventLoop &Loop, const Endpoint &To, Milliseconds Timeout);

  void start(ClientRequest Request, ClientCallbacks Callbacks);

  /// Another request may follow within idleLimit().
  bool isReusable() const;
  bool isConnected() const;
  /// How long the server keeps the connection between two requests.
  Milliseconds idleLimit() const;
  const Endpoint &peer() const;
  /// Called when the connection ends between two requests.
  std::function<void()> OnIdleEnd;
  /// Called when the connection is established.
  std::function<void()> OnConnected;

  /// No callback follows.
  void close();

private:
  explicit ClientConnection(Endpoint To);
  void onInput();
  void onEnd(reactor::StreamEnd How);
  bool readHead();
  bool readBody();
  void onAnswerHead(Poco::Net::HTTPResponse Head);
  void deliver();
  void complete();
  void fail(ClientFailure Why);
  void sendBody();
  void reportBodySent();

  Endpoint To_;
  std::shared_ptr<reactor::TcpStream> Stream_;
  bool Busy_ = false;
  ClientRequest Request_;
  ClientCallbacks Callbacks_;
  bool MaySendBody_ = false;
  bool BodySent_ = true;
  bool HasHead_ = false;
  /// The answer being read belongs to another request.
  bool Skipping_ = false;
  int Skipped_ = 0;
  bool Delivered_ = false;
  bool Reusable_ = true;
  ClientAnswer Answer_;
  http::BodyDecoder Decoder_;
  Milliseconds IdleLimit_;
};

using ClientConnectionPtr = std::shared_ptr<ClientConnection>;

} // namespace lycheethread::sidecar

#endif // LYCHEETHREAD_SIDECAR_INTERNAL_CLIENTCONNECTION_H
