#ifndef LYCHEETHREAD_REFUSALLOG_INTERNAL_COLLECTOR_H
#define LYCHEETHREAD_REFUSALLOG_INTERNAL_COLLECTOR_H

#include "refusallog/internal/ShipMessages.h"
#include "streamlog/types/LogClient.h"

#include <memory>

namespace lycheethread::refusallog {

/// Holds batches of several nodes until they have been appended to the log and
/// read back. Thread-safe, but only one thread at a time may call step().
class Collector {
public:
  Collector(streamlog::LogClient Log, AvailabilityZone Zone, NodeId Self,
            Incarnation IncarnationNumber);
  ~Collector();

  /// Accepts a batch and returns its state. A batch that is already known is
  /// not added again.
  ShipState accept(const refusals::RefusalBatch &Batch);
  ShipState stateOf(const refusals::BatchId &Id) const;

  /// Appends the waiting batches and reads them back. Returns whether none are
  /// left. Throws streamlog::LogUnavailable and keeps the batches when the log
  /// is not available.
  bool step();

private:
  struct Impl;
  std::unique_ptr<Impl> Impl_;
};

} // namespace lycheethread::refusallog

#endif // LYCHEETHREAD_REFUSALLOG_INTERNAL_COLLECTOR_H
