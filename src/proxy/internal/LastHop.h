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

/// The way to the upstream beside this node: admission, claims, crash
/// suspects, the exchange. Thread-safe.
class LastHop {
public:
  explicit LastHop(const NodeServices &Services);
  ~LastHop();

  /// Serves \p Call. With \p ExpectsContinue the sender waits for 100 Continue
  /// before it sends the body.
  AttemptResult run(const CallContext &Call,
                    const Poco::Net::HTTPRequest &Request, RequestBody &Body,
                    Reply &To, bool ExpectsContinue);

  void beginDrain();
  /// Admitted requests, of this entry too.
  std::int64_t inProgress() const;
  /// Outcomes of once-only requests that are not yet written.
  std::int64_t unwrittenOutcomes() const;

private:
  struct Impl;
  std::unique_ptr<Impl> Impl_;
};

} // namespace lycheethread::proxy

#endif // LYCHEETHREAD_PROXY_INTERNAL_LASTHOP_H
