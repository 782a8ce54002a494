#ifndef LYCHEETHREAD_PROXY_INTERNAL_EXCHANGE_H
#define LYCHEETHREAD_PROXY_INTERNAL_EXCHANGE_H

#include "proxy/internal/BodyReader.h"
#include "proxy/internal/ConnectionPool.h"
#include "proxy/internal/RequestBody.h"

#include <memory>
#include <optional>

namespace lycheethread::proxy {

/// One request to one peer and its answer. Unless finish() is called, the
/// connection is closed at the end: an answer that comes late has no reader.
class Exchange {
public:
  /// Throws ConnectionBroken or ConnectionTimeout; nothing has been sent then.
  Exchange(ConnectionPool &Pool, const Endpoint &Target, SteadyTime Deadline);

  /// Sends head and body and reads the head of the answer. With
  /// \p AskFirst a body that is not kept whole is sent only after the peer
  /// agreed (100 Continue). Throws ConnectionBroken, ConnectionTimeout,
  /// BadMessage (of the peer), CallerDisconnected and CallerError.
  void run(Poco::Net::HTTPRequest &Request, RequestBody &Body, bool AskFirst,
           SteadyTime Deadline);

  /// Whether the exchange ends when the caller closes its connection.
  void setFollowsCaller(bool Follows) { FollowsCaller_ = Follows; }

  /// Waits for the peer. Throws ConnectionTimeout and, when the exchange
  /// follows its caller, CallerDisconnected.
  void waitForPeer(const HttpConnection &Caller, SteadyTime Deadline);

  /// Whether any byte may have reached the peer.
  bool hasSent() const { return Sent_; }
  Poco::Net::HTTPResponse &answer() { return Answer_; }
  BodyReader &body() { return *Body_; }
  HttpConnection &connection() { return *Connection_; }

  /// Gives the connection back when the exchange was complete.
  void finish();

private:
  void sendRest(RequestBody &Body, SteadyTime Deadline);
  void sendPart(RequestBody &Body, std::string_view Part, SteadyTime Deadline);
  void readAnswerHead(SteadyTime Deadline);
  void readFinalHead(const HttpConnection &Caller, SteadyTime Deadline);
  bool answeredEarly();

  ConnectionPool &Pool_;
  Endpoint Target_;
  std::unique_ptr<HttpConnection> Connection_;
  std::string Method_;
  Poco::Net::HTTPResponse Answer_;
  std::optional<BodyReader> Body_;
  bool FollowsCaller_ = true;
  bool Sent_ = false;
  bool SentAll_ = false;
  bool HasAnswer_ = false;
};

} // namespace lycheethread::proxy

#endif // LYCHEETHREAD_PROXY_INTERNAL_EXCHANGE_H
