#ifndef LYCHEETHREAD_METRICS_TYPES_REQUESTSAMPLE_H
#define LYCHEETHREAD_METRICS_TYPES_REQUESTSAMPLE_H

#include "metrics/types/RequestOutcome.h"
#include "organisations/types/Organisation.h"

#include <chrono>
#include <functional>
#include <optional>

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
  /// Name from the configuration; empty for a request without one.
  organisations::OrganisationId Organisation = {};
  /// At the entry of the event-driven node; without it no outcome is counted.
  std::optional<RequestOutcome> Outcome = std::nullopt;
  /// An upstream sent it for a request that it ran.
  bool IsNestedCall = false;
  /// It was read before the answers to earlier requests of its connection had
  /// been sent.
  bool IsPipelined = false;
};

/// Records finished requests. Thread-safe. Allocates memory only for the first
/// request of a series.
struct RequestRecorder {
  std::function<void(const RequestSample &Sample)> Record;
};

} // namespace lycheethread::metrics

#endif // LYCHEETHREAD_METRICS_TYPES_REQUESTSAMPLE_H
