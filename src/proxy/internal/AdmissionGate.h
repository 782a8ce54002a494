#ifndef LYCHEETHREAD_PROXY_INTERNAL_ADMISSIONGATE_H
#define LYCHEETHREAD_PROXY_INTERNAL_ADMISSIONGATE_H

#include "proxy/internal/HttpConnection.h"
#include "requests/Requests.h"

#include <chrono>
#include <memory>
#include <optional>

namespace lycheethread::proxy {

/// Slots of the upstream beside this node. Thread-safe.
class AdmissionGate {
public:
  AdmissionGate();
  ~AdmissionGate();

  /// Waits for a slot; returns the reason when there is none. Fills in the
  /// ticket of \p Item. Throws CallerDisconnected.
  std::optional<RefusalReason> enter(requests::AdmissionRequest &Item,
                                     const ServiceLimits &Limits,
                                     const HttpConnection &Caller);

  /// Frees the slot of an entered request that held it for \p Held.
  void leave(const requests::AdmissionRequest &Item,
             const ServiceLimits &Limits, std::chrono::microseconds Held);

  void beginDrain();

private:
  struct Impl;
  std::unique_ptr<Impl> Impl_;
};

} // namespace lycheethread::proxy

#endif // LYCHEETHREAD_PROXY_INTERNAL_ADMISSIONGATE_H
