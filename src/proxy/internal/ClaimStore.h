#ifndef LYCHEETHREAD_PROXY_INTERNAL_CLAIMSTORE_H
#define LYCHEETHREAD_PROXY_INTERNAL_CLAIMSTORE_H

#include "requests/Requests.h"
#include "streamlog/StreamLog.h"

#include <cstdint>
#include <memory>
#include <string>

namespace lycheethread::proxy {

/// Records claims of idempotency keys in the claims stream of a service, so
/// that a once-only request is executed at most once. Thread-safe.
class ClaimStore {
public:
  ClaimStore(std::shared_ptr<streamlog::LogClient> Log,
             const ServiceName &Service, std::string TokenPrefix);
  /// Writes the queued outcomes, with a time limit.
  ~ClaimStore();

  /// Appends a claim, reads the stream up to it and decides which claim holds
  /// the key. Sets the token of \p Claim. Throws streamlog::LogUnavailable; the
  /// request must not be executed in this case.
  requests::ClaimDecision claim(requests::ClaimEntry &Claim,
                                SteadyTime Deadline);

  /// Queues an outcome or a release for writing.
  void append(requests::ClaimEntry Entry);

  /// Returns the number of queued entries.
  std::int64_t queued() const;

private:
  struct Impl;
  std::unique_ptr<Impl> Impl_;
};

} // namespace lycheethread::proxy

#endif // LYCHEETHREAD_PROXY_INTERNAL_CLAIMSTORE_H
