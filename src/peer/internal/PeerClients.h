#ifndef LYCHEETHREAD_PEER_INTERNAL_PEERCLIENTS_H
#define LYCHEETHREAD_PEER_INTERNAL_PEERCLIENTS_H

#include "metrics/types/TrafficSample.h"
#include "peer/gen/peer_types.h"
#include "peer/types/PeerControl.h"

#include <functional>
#include <memory>
#include <vector>

namespace lycheethread::peer {

/// Calls other nodes over pooled TCP connections. Each function throws
/// PeerUnavailable. Thread-safe.
class PeerClients {
public:
  PeerClients(Region Own, std::function<bool(const Endpoint &)> Allow,
              metrics::TrafficRecorder Traffic);
  ~PeerClients();

  /// \p In is the region of the target, empty if it is not known.
  wire::FetchReply fetch(const Endpoint &To, const Region &In, Offset From,
                         std::size_t MaxRecords);
  wire::SnapshotReply snapshot(const Endpoint &To, const Region &In,
                               bool WithState, bool WithMembers);
  Offset acknowledge(const Endpoint &To, const Region &In,
                     const std::vector<wire::RawRecord> &Records);
  std::string call(const Endpoint &To, const Region &In,
                   const std::string &Topic, const std::string &Payload);

private:
  struct Impl;
  std::unique_ptr<Impl> Impl_;
};

} // namespace lycheethread::peer

#endif // LYCHEETHREAD_PEER_INTERNAL_PEERCLIENTS_H
