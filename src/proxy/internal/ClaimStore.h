#ifndef LYCHEETHREAD_PROXY_INTERNAL_CLAIMSTORE_H
#define LYCHEETHREAD_PROXY_INTERNAL_CLAIMSTORE_H

#include "requests/Requests.h"
#include "streamlog/StreamLog.h"

#include <cstdint>
#include <memory>
#include <string>

namespace lycheethread::proxy {

/// Claims of once-only keys in the stream of one service. Thread-safe.
class ClaimStore {
public:
  ClaimStore(std::shared_ptr<streamlog::LogClient> Log,
             const ServiceName &Service, std::string TokenPrefix);
  /// Writes the outcomes that are still waiting, bounded in time.
  ~ClaimStore();

  /// Appends a claim, reads the stream back and settles. Fills in the token of
  /// \p Claim. Throws streamlog::LogUnavailable; the request must not be
  /// executed then.
  requests::ClaimDecision claim(requests::ClaimEntry &Claim,
                                SteadyTime Deadline);

  /// Queues an outcome or a release.
  void append(requests::ClaimEntry Entry);

  /// Entries that are queued and not yet written.
  std::int64_t waiting() const;

private:
  struct Impl;
  std::unique_ptr<Impl> Impl_;
};

} // namespace lycheethread::proxy

#endif // LYCHEETHREAD_PROXY_INTERNAL_CLAIMSTORE_H
