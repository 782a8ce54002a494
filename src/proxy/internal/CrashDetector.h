#ifndef LYCHEETHREAD_PROXY_INTERNAL_CRASHDETECTOR_H
#define LYCHEETHREAD_PROXY_INTERNAL_CRASHDETECTOR_H

#include "peer/types/PeerControl.h"
#include "requests/Requests.h"

#include <cstdint>
#include <memory>
#include <string>

namespace lycheethread::proxy {

/// Detects crashes of the local upstream, reports the requests that were in
/// progress, and quarantines requests that are suspected of causing crashes on
/// any node. Thread-safe.
class CrashDetector {
public:
  /// Subscribes to the crash reports of other nodes.
  CrashDetector(std::shared_ptr<peer::PeerControl> Peers, Endpoint Upstream);
  ~CrashDetector();

  bool isQuarantined(const requests::Fingerprint &RequestFingerprint) const;

  /// Registers a request that is sent to the upstream; returns the ticket for
  /// ended().
  std::int64_t started(const requests::Fingerprint &RequestFingerprint);
  void ended(std::int64_t Ticket, bool Answered);

  /// Checks whether the upstream is down after the connection of \p Ticket
  /// broke; if so, reports the requests in progress. Returns whether it is
  /// down.
  bool onConnectionBroken(std::int64_t Ticket);

private:
  struct Impl;
  std::shared_ptr<Impl> Impl_;
};

} // namespace lycheethread::proxy

#endif // LYCHEETHREAD_PROXY_INTERNAL_CRASHDETECTOR_H
