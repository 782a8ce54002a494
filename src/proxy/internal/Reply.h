#ifndef LYCHEETHREAD_PROXY_INTERNAL_REPLY_H
#define LYCHEETHREAD_PROXY_INTERNAL_REPLY_H

#include "proxy/internal/Attempt.h"
#include "proxy/internal/CallContext.h"
#include "proxy/internal/Exchange.h"
#include "proxy/internal/HttpConnection.h"

#include <string>

namespace lycheethread::proxy {

/// The answer to one request, to be written to its caller.
struct Reply {
  HttpConnection &To;
  std::string Method;
  /// Of HTTP/1.0: no chunks.
  bool IsHttp10 = false;
  /// Whether the connection stays open afterwards.
  bool KeepAlive = true;
  /// This node, for lt-path.
  NodeId Node;
  /// Whether any byte of the answer has been written.
  bool Started = false;
};

/// A first part of an answer that is kept for repeats.
struct AnswerCopy {
  std::string ContentType;
  std::string Body;
  bool Whole = true;
};

/// Passes the answer of \p From on as it comes. \p Stall is the longest pause;
/// \p Copy, when set, gets the body up to MaxRecordedBody bytes. A small answer
/// that breaks off before anything was written is Refused, not Truncated.
AttemptResult relayAnswer(Exchange &From, Reply &To, Milliseconds Stall,
                          AnswerCopy *Copy);

/// Writes a refusal.
void writeRefusal(Reply &To, const CallContext &Call,
                  const AttemptResult &Result);

/// Writes the recorded answer of an earlier execution.
void writeRecorded(Reply &To, const requests::RecordedAnswer &Answer);

/// Tells a caller with a large body to send it.
void writeContinue(HttpConnection &To, SteadyTime Deadline);

} // namespace lycheethread::proxy

#endif // LYCHEETHREAD_PROXY_INTERNAL_REPLY_H
