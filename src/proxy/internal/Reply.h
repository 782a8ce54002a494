#ifndef LYCHEETHREAD_PROXY_INTERNAL_REPLY_H
#define LYCHEETHREAD_PROXY_INTERNAL_REPLY_H

#include "proxy/internal/Attempt.h"
#include "proxy/internal/CallContext.h"
#include "proxy/internal/Exchange.h"
#include "proxy/internal/HttpConnection.h"

#include <string>

namespace lycheethread::proxy {

/// Destination and state of the response to a request.
struct Reply {
  HttpConnection &Connection;
  std::string Method;
  /// Whether the caller uses HTTP/1.0, which has no chunked encoding.
  bool IsHttp10 = false;
  /// Whether the connection stays open after the response.
  bool KeepAlive = true;
  /// Id of this node for the header lt-path.
  NodeId Node;
  /// Whether any byte of the response has been written.
  bool Started = false;
};

/// Copy of a response that is recorded for repeated requests. The body is not
/// recorded if it exceeds requests::MaxRecordedBody.
struct ResponseCopy {
  std::string ContentType;
  std::string Body;
  bool IsComplete = true;
};

/// Forwards the response of \p From while it arrives. \p MaxStall is the
/// longest time without input. If \p Copy is set, it receives the body up to
/// MaxRecordedBody bytes. A small response that breaks off before any byte was
/// written ends as Refused instead of Truncated.
AttemptResult relayResponse(Exchange &From, Reply &To, Milliseconds MaxStall,
                            ResponseCopy *Copy);

/// Writes the response for a refusal.
void writeRefusal(Reply &To, const CallContext &Call,
                  const AttemptResult &Result);

/// Writes the recorded response of an earlier execution.
void writeRecorded(Reply &To, const requests::RecordedAnswer &Answer);

/// Writes 100 Continue, so that the caller sends its body.
void writeContinue(HttpConnection &To, SteadyTime Deadline);

} // namespace lycheethread::proxy

#endif // LYCHEETHREAD_PROXY_INTERNAL_REPLY_H
