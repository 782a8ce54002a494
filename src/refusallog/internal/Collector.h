#ifndef LYCHEETHREAD_REFUSALLOG_INTERNAL_COLLECTOR_H
#define LYCHEETHREAD_REFUSALLOG_INTERNAL_COLLECTOR_H

#include "refusallog/internal/ShipMessages.h"
#include "streamlog/types/LogClient.h"

#include <memory>

namespace lycheethread::refusallog {

/// Holds batches of several nodes until they are seen in the log. Thread-safe;
/// only one thread may be in step at a time.
class Collector {
public:
  Collector(streamlog::LogClient Log, AvailabilityZone Zone, NodeId Self,
            Incarnation IncarnationNumber);
  ~Collector();

  /// Takes a batch, or answers what became of it when it is known already.
  ShipState accept(const refusals::RefusalBatch &Batch);
  ShipState stateOf(const refusals::BatchId &Id) const;

  /// Appends what waits and reads it back. Returns whether nothing is left;
  /// throws streamlog::LogUnavailable, after which the batches are still held.
  bool step();

private:
  struct Impl;
  std::unique_ptr<Impl> Impl_;
};

} // namespace lycheethread::refusallog

#endif // LYCHEETHREAD_REFUSALLOG_INTERNAL_COLLECTOR_H
