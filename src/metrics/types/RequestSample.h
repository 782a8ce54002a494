#ifndef LYCHEETHREAD_METRICS_TYPES_REQUESTSAMPLE_H
#define LYCHEETHREAD_METRICS_TYPES_REQUESTSAMPLE_H

#include "model/Model.h"

#include <chrono>
#include <functional>

namespace lycheethread::metrics {

/// Hop of the request path that measured the sample.
enum class Hop { Entry, LastHop };

/// Measurements of one finished request.
struct RequestSample {
  Hop At = Hop::Entry;
  CallerId Caller;
  RequestClass Class = RequestClass::Repeatable;
  std::chrono::microseconds Latency{0};
  std::chrono::microseconds QueueTime{0};
  ByteCount RequestBytes;
  ByteCount ResponseBytes;
};

/// Records finished requests. Thread-safe.
struct RequestRecorder {
  std::function<void(const RequestSample &Sample)> Record;
};

} // namespace lycheethread::metrics

#endif // LYCHEETHREAD_METRICS_TYPES_REQUESTSAMPLE_H
