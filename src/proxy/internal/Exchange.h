#ifndef LYCHEETHREAD_PROXY_INTERNAL_EXCHANGE_H
#define LYCHEETHREAD_PROXY_INTERNAL_EXCHANGE_H

#include "proxy/internal/BodyReader.h"
#include "proxy/internal/ConnectionPool.h"
#include "proxy/internal/RequestBody.h"

#include <memory>
#include <optional>

namespace lycheethread::proxy {

/// A request to a peer and its response. The connection is closed at the end
/// unless finish() is called, so that a late response cannot be taken for the
/// response to another request.
class Exchange {
public:
  /// Throws ConnectionBroken or ConnectionTimeout; nothing has been sent in
  /// this case.
  Exchange(ConnectionPool &Pool, const Endpoint &Target, SteadyTime Deadline);

  /// Sends the request and reads the head of the response. With
  /// \p UseContinue, a body that is not completely buffered is sent only after
  /// the peer has answered 100 Continue. Throws ConnectionBroken,
  /// ConnectionTimeout, BadMessage (from the peer), CallerDisconnected and
  /// CallerError.
  void run(Poco::Net::HTTPRequest &Request, RequestBody &Body, bool UseContinue,
           SteadyTime Deadline);

  /// Sets whether the exchange is cancelled if the caller disconnects.
  void setCancelOnDisconnect(bool Cancel) { CancelOnDisconnect_ = Cancel; }

  /// Waits for input from the peer. Throws ConnectionTimeout, and
  /// CallerDisconnected if the caller disconnects and the exchange is to be
  /// cancelled in this case.
  void waitForPeer(const HttpConnection &Caller, SteadyTime Deadline);

  /// Returns whether any byte may have reached the peer.
  bool hasSent() const { return Sent_; }
  Poco::Net::HTTPResponse &response() { return Response_; }
  BodyReader &body() { return *Body_; }
  HttpConnection &connection() { return *Connection_; }

  /// Returns the connection to the pool if the exchange is complete.
  void finish();

private:
  void sendRemainingBody(RequestBody &Body, SteadyTime Deadline);
  void sendPart(RequestBody &Body, std::string_view Part, SteadyTime Deadline);
  void readResponseHead(SteadyTime Deadline);
  void readFinalHead(const HttpConnection &Caller, SteadyTime Deadline);
  bool hasEarlyResponse();

  ConnectionPool &Pool_;
  Endpoint Target_;
  std::unique_ptr<HttpConnection> Connection_;
  std::string Method_;
  Poco::Net::HTTPResponse Response_;
  std::optional<BodyReader> Body_;
  bool CancelOnDisconnect_ = true;
  bool Sent_ = false;
  bool SentAll_ = false;
  bool HasResponse_ = false;
};

} // namespace lycheethread::proxy

#endif // LYCHEETHREAD_PROXY_INTERNAL_EXCHANGE_H
