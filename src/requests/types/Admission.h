#ifndef LYCHEETHREAD_REQUESTS_TYPES_ADMISSION_H
#define LYCHEETHREAD_REQUESTS_TYPES_ADMISSION_H

#include "requests/types/RateLimit.h"

#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <vector>

namespace lycheethread::requests {

/// A request for a slot. Tickets are unique within one AdmissionState.
struct AdmissionRequest {
  std::int64_t Ticket = 0;
  CallerId Caller;
  RequestClass Class = RequestClass::Repeatable;
  SteadyTime Deadline;
};

/// Slots and wait queue of the upstream beside the node.
struct AdmissionState {
  bool Draining = false;
  std::int32_t Running = 0;
  std::int32_t RunningUploads = 0;
  std::map<CallerId, std::int32_t> RunningByCaller;
  /// Waiting requests in order of arrival.
  std::deque<AdmissionRequest> Queue;
  /// Moving average of the time that a request holds its slot, without uploads;
  /// 0 before the first sample.
  std::chrono::microseconds ServiceTime{0};
  /// The rate at which the upstream takes requests.
  RateLimit Limit;
};

enum class AdmitAction { Run, Wait, Refuse };

struct AdmitDecision {
  AdmitAction Action = AdmitAction::Refuse;
  /// Only meaningful when the request is refused.
  RefusalReason Reason = RefusalReason::SlotsFull;
};

/// Tickets of the waiting requests that leave the queue.
struct ReleaseActions {
  std::vector<std::int64_t> Run;
  /// Requests that can no longer meet their deadline.
  std::vector<std::int64_t> Drop;
};

} // namespace lycheethread::requests

#endif // LYCHEETHREAD_REQUESTS_TYPES_ADMISSION_H
