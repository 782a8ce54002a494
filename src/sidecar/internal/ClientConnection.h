#ifndef LYCHEETHREAD_SIDECAR_INTERNAL_CLIENTCONNECTION_H
#define LYCHEETHREAD_SIDECAR_INTERNAL_CLIENTCONNECTION_H

#include "http/Http.h"
#include "reactor/Reactor.h"
#include "sidecar/internal/AnswerBudget.h"
#include "sidecar/internal/BodyPipe.h"

#include <memory>
#include <string>

namespace lycheethread::sidecar {

/// Why an exchange ended without a usable answer.
enum class ClientFailure {
  /// The connection was not established; nothing was sent.
  NotConnected,
  /// The connection ended before an answer began.
  NoAnswer,
  /// The answer was malformed HTTP or truncated.
  BrokenAnswer
};

/// Size of a body that collectBody() takes, at most.
inline constexpr std::size_t MaxCollectedBytes = 16 * 1024 * 1024;

/// An answer whose body may still be arriving.
struct ClientAnswer {
  Poco::Net::HTTPResponse Head;
  BodyPipePtr Body;
  /// -1 if the length is not known before the end of the body.
  std::int64_t KnownLength = -1;
};

/// Appends the body of \p Answer to \p Into as it arrives, up to
/// MaxCollectedBytes; the rest is dropped, and \p Into cannot be read.
void collectBody(const ClientAnswer &Answer,
                 const std::shared_ptr<std::string> &Into);

struct ClientRequest {
  /// The request line and headers, including the framing, as sent.
  std::string Head;
  std::string Method;
  /// Null for a request without a body.
  BodyPipePtr Body;
  bool Chunked = false;
  /// Sends the body only after the server's 100 Continue.
  bool ExpectContinue = false;
};

struct ClientCallbacks {
  /// The server has asked for the body with 100 Continue.
  std::function<void()> OnContinue;
  /// The operating system has accepted the whole body.
  std::function<void()> OnBodySent;
  /// Returns false for an answer to a different request; the next answer on the
  /// connection is then awaited.
  std::function<bool(const Poco::Net::HTTPResponse &)> Accept;
  /// The headers have arrived, and the whole body or its first
  /// BufferedAnswerBytes.
  std::function<void(ClientAnswer)> OnAnswer;
  std::function<void(ClientFailure)> OnFailure;
  /// The answer has arrived completely.
  std::function<void()> OnComplete;
};

/// An HTTP/1.1 connection to a server, for one request at a time.
class ClientConnection : public std::enable_shared_from_this<ClientConnection> {
public:
  /// Answers up to this size are only reported when complete, so that a
  /// truncated answer is detected before any of it is forwarded.
  static constexpr std::size_t BufferedAnswerBytes = 256 * 1024;

  static std::shared_ptr<ClientConnection>
  open(reactor::EventLoop &Loop, const Endpoint &To, Milliseconds Timeout);

  void start(ClientRequest Request, ClientCallbacks Callbacks);

  /// Shares the memory for held answers with other connections; without it,
  /// each may hold BufferedAnswerBytes.
  void setBudget(std::shared_ptr<AnswerBudget> Budget);

  /// Waits at least \p Longest for a server that acknowledges nothing.
  void setPatience(Milliseconds Longest) { Stream_->setPatience(Longest); }

  /// Whether another request may be sent within idleLimit().
  bool isReusable() const;
  /// Whether the connection has carried an earlier request, of which a late
  /// copy of the answer may still come.
  bool wasUsedBefore() const;
  bool isConnected() const;
  /// Returns how long the server keeps the connection between two requests.
  Milliseconds idleLimit() const;
  const Endpoint &peer() const;
  /// Called when the connection ends between two requests.
  std::function<void()> OnIdleEnd;
  /// Called when the connection is established.
  std::function<void()> OnConnected;

  /// Closes the connection; no callback follows.
  void close();
  ~ClientConnection();

private:
  explicit ClientConnection(Endpoint To);
  void onInput();
  void onEnd(reactor::StreamEnd How);
  bool readHead();
  bool readBody();
  void onAnswerHead(Poco::Net::HTTPResponse Head);
  bool mayHoldMore() const;
  void countHeld(std::size_t Bytes);
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
  /// Bytes of the body that have been written.
  std::size_t BodyBytes_ = 0;
  bool HasHead_ = false;
  /// The answer being read belongs to a different request.
  bool Skipping_ = false;
  int Skipped_ = 0;
  std::size_t SkippedBytes_ = 0;
  int InterimAnswers_ = 0;
  int Requests_ = 0;
  std::shared_ptr<AnswerBudget> Budget_;
  /// Bytes counted in Budget_.
  std::size_t Held_ = 0;
  bool Delivered_ = false;
  bool Reusable_ = true;
  ClientAnswer Answer_;
  http::BodyDecoder Decoder_;
  Milliseconds IdleLimit_;
};

using ClientConnectionPtr = std::shared_ptr<ClientConnection>;

} // namespace lycheethread::sidecar

#endif // LYCHEETHREAD_SIDECAR_INTERNAL_CLIENTCONNECTION_H
