#ifndef LYCHEETHREAD_PEER_INTERNAL_LOGREADER_H
#define LYCHEETHREAD_PEER_INTERNAL_LOGREADER_H

#include "peer/internal/PeerContext.h"

#include <memory>

namespace lycheethread::peer {

/// Runs all blocking operations on the platform's log: reads the control stream
/// if this node is the reader of its region, and writes checkpoints and the
/// join record.
class LogReader {
public:
  explicit LogReader(PeerContext &Context);
  ~LogReader();

  void start();
  void stop();

private:
  struct Impl;
  std::unique_ptr<Impl> Impl_;
};

} // namespace lycheethread::peer

#endif // LYCHEETHREAD_PEER_INTERNAL_LOGREADER_H
