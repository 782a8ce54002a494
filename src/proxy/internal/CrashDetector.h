#ifndef LYCHEETHREAD_PROXY_INTERNAL_CRASHDETECTOR_H
#define LYCHEETHREAD_PROXY_INTERNAL_CRASHDETECTOR_H

#include "peer/types/PeerControl.h"
#include "requests/Requests.h"

#include <cstdint>
#include <memory>
#include <string>

namespace lycheethread::proxy {

/// Requests in progress at the upstream beside this node, and the suspects of
/// crashes anywhere. Thread-safe.
class CrashDetector {
public:
  /// Listens to the rumours of other nodes.
  CrashDetector(std::shared_ptr<peer::PeerControl> Peers, Endpoint Upstream);
  ~CrashDetector();

  bool isQuarantined(const requests::Fingerprint &RequestFingerprint) const;

  /// A request goes to the upstream; the result is for ended().
  std::int64_t started(const requests::Fingerprint &RequestFingerprint);
  void ended(std::int64_t Ticket, bool Answered);

  /// The connection of \p Ticket broke: checks whether the upstream is gone
  /// and, if so, reports what was in progress. Returns whether it is gone.
  bool onConnectionBroken(std::int64_t Ticket);

private:
  struct Impl;
  std::shared_ptr<Impl> Impl_;
};

} // namespace lycheethread::proxy

#endif // LYCHEETHREAD_PROXY_INTERNAL_CRASHDETECTOR_H
