#ifndef LYCHEETHREAD_PROXY_INTERNAL_ADMISSIONGATE_H
#define LYCHEETHREAD_PROXY_INTERNAL_ADMISSIONGATE_H

#include "proxy/internal/HttpConnection.h"
#include "requests/Requests.h"

#include <chrono>
#include <memory>
#include <optional>

namespace lycheethread::proxy {

/// Admits requests to the limited slots of the local upstream. Thread-safe.
class AdmissionGate {
public:
  AdmissionGate();
  ~AdmissionGate();

  /// Waits for a slot. Returns nothing if the request is admitted, otherwise
  /// the reason of the refusal. Sets the ticket of \p Item. Throws
  /// CallerDisconnected if the caller disconnects while it waits.
  std::optional<RefusalReason> acquireSlot(requests::AdmissionRequest &Item,
                                           const ServiceLimits &Limits,
                                           const HttpConnection &Caller);

  /// Releases the slot of an admitted request that occupied it for \p Held.
  void releaseSlot(const requests::AdmissionRequest &Item,
                   const ServiceLimits &Limits, std::chrono::microseconds Held);

  /// Takes the limit in requests a second that the upstream states in an answer
  /// to a request which was sent at \p SentAt; empty if it states none.
  void recordLimit(std::optional<double> PerSecond, SteadyTime SentAt);

  /// Refuses new requests from now on.
  void beginDrain();
  /// Admits requests to the next process of the upstream, whose limit is not
  /// known yet.
  void endDrain();

private:
  struct Impl;
  std::unique_ptr<Impl> Impl_;
};

} // namespace lycheethread::proxy

#endif // LYCHEETHREAD_PROXY_INTERNAL_ADMISSIONGATE_H
