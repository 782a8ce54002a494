#ifndef LYCHEETHREAD_PROXY_INTERNAL_LASTHOP_H
#define LYCHEETHREAD_PROXY_INTERNAL_LASTHOP_H

#include "proxy/internal/Attempt.h"
#include "proxy/internal/CallContext.h"
#include "proxy/internal/NodeServices.h"
#include "proxy/internal/Reply.h"
#include "proxy/internal/RequestBody.h"

#include <cstdint>
#include <memory>

namespace lycheethread::proxy {

/// Sends requests to the local upstream: admission, idempotency claims, crash
/// quarantine and the HTTP exchange. Thread-safe.
class LastHop {
public:
  explicit LastHop(const NodeServices &Services);
  ~LastHop();

  /// Serves \p Call. With \p ExpectsContinue the sender waits for 100 Continue
  /// before it sends the body.
  AttemptResult run(const CallContext &Call,
                    const Poco::Net::HTTPRequest &Request, RequestBody &Body,
                    Reply &To, bool ExpectsContinue);

  /// Refuses new requests and announces the draining state.
  void beginDrain();
  /// Returns the number of admitted requests, including those of the local
  /// entry.
  std::int64_t inProgress() const;
  /// Returns the number of outcomes of once-only requests that are not written
  /// yet.
  std::int64_t unwrittenOutcomes() const;

private:
  struct Impl;
  std::unique_ptr<Impl> Impl_;
};

} // namespace lycheethread::proxy

#endif // LYCHEETHREAD_PROXY_INTERNAL_LASTHOP_H
