#ifndef LYCHEETHREAD_METRICS_TYPES_REQUESTSAMPLE_H
#define LYCHEETHREAD_METRICS_TYPES_REQUESTSAMPLE_H

#include "model/Model.h"

#include <chrono>
#include <functional>

namespace lycheethread::metrics {

/// Which part of the path measured the sample.
enum class Hop { Entry, LastHop };

/// One finished request.
struct RequestSample {
  Hop At = Hop::Entry;
  CallerId Caller;
  RequestClass Class = RequestClass::Repeatable;
  std::chrono::microseconds Latency{0};
  std::chrono::microseconds QueueTime{0};
  ByteCount RequestBytes;
  ByteCount ResponseBytes;
};

/// Takes each finished request. Thread-safe.
struct RequestRecorder {
  std::function<void(const RequestSample &Sample)> Record;
};

} // namespace lycheethread::metrics

#endif // LYCHEETHREAD_METRICS_TYPES_REQUESTSAMPLE_H
