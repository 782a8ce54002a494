#ifndef LYCHEETHREAD_PEER_INTERNAL_RUMOURDISPATCHER_H
#define LYCHEETHREAD_PEER_INTERNAL_RUMOURDISPATCHER_H

#include "peer/types/PeerControl.h"

#include <cstdint>
#include <memory>

namespace lycheethread::peer {

/// Recognizes rumours that were seen before and runs the receivers in a thread
/// of its own, so that they cannot hold up the gossip. Thread-safe.
class RumourDispatcher {
public:
  RumourDispatcher();
  ~RumourDispatcher();

  void onRumour(const std::string &Topic, RumourHandler Handler);
  /// Returns false for an id that was seen before.
  bool take(std::int64_t Id, const std::string &Topic,
            const std::string &Payload);
  void start();
  void stop();

private:
  struct Impl;
  std::unique_ptr<Impl> Impl_;
};

} // namespace lycheethread::peer

#endif // LYCHEETHREAD_PEER_INTERNAL_RUMOURDISPATCHER_H
