#ifndef LYCHEETHREAD_PEER_INTERNAL_RUMOURDISPATCHER_H
#define LYCHEETHREAD_PEER_INTERNAL_RUMOURDISPATCHER_H

#include "peer/types/PeerControl.h"

#include <cstdint>
#include <memory>

namespace lycheethread::peer {

/// Drops duplicate rumours and calls the handlers in its own thread, so that
/// they cannot block the gossip. Thread-safe.
class RumourDispatcher {
public:
  RumourDispatcher();
  ~RumourDispatcher();

  /// Sets the handler of rumours of \p Topic.
  void onRumour(const std::string &Topic, RumourHandler Handler);
  /// Queues a rumour for its handler. Returns false for a duplicate id.
  bool accept(std::int64_t Id, const std::string &Topic,
              const std::string &Payload);
  void start();
  void stop();

private:
  struct Impl;
  std::unique_ptr<Impl> Impl_;
};

} // namespace lycheethread::peer

#endif // LYCHEETHREAD_PEER_INTERNAL_RUMOURDISPATCHER_H
