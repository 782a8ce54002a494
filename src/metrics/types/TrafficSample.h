#ifndef LYCHEETHREAD_METRICS_TYPES_TRAFFICSAMPLE_H
#define LYCHEETHREAD_METRICS_TYPES_TRAFFICSAMPLE_H

#include "model/Model.h"

#include <functional>

namespace lycheethread::metrics {

/// What a message between processes was for.
enum class TrafficKind {
  Probe,
  Feed,
  Fetch,
  Snapshot,
  Call,
  Rumour,
  Log,
  Data
};

enum class Direction { Sent, Received };

/// Bytes of one message, without headers below TCP or UDP.
struct TrafficSample {
  TrafficKind Kind = TrafficKind::Probe;
  Direction Way = Direction::Sent;
  /// Whether it crossed the link between the regions.
  bool CrossRegion = false;
  ByteCount Bytes;
};

/// Takes the size of each message. Thread-safe.
struct TrafficRecorder {
  std::function<void(const TrafficSample &Sample)> Record;
};

} // namespace lycheethread::metrics

#endif // LYCHEETHREAD_METRICS_TYPES_TRAFFICSAMPLE_H
