#ifndef LYCHEETHREAD_METRICS_TYPES_TRAFFICSAMPLE_H
#define LYCHEETHREAD_METRICS_TYPES_TRAFFICSAMPLE_H

#include "model/Model.h"

#include <functional>

namespace lycheethread::metrics {

/// Purpose of a message between processes.
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

/// Size of one message, without the TCP, UDP and lower headers.
struct TrafficSample {
  TrafficKind Kind = TrafficKind::Probe;
  Direction Way = Direction::Sent;
  /// Whether the message was exchanged with another region.
  bool CrossRegion = false;
  ByteCount Bytes;
};

/// Records messages. Thread-safe.
struct TrafficRecorder {
  std::function<void(const TrafficSample &Sample)> Record;
};

} // namespace lycheethread::metrics

#endif // LYCHEETHREAD_METRICS_TYPES_TRAFFICSAMPLE_H
