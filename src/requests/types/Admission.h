#ifndef LYCHEETHREAD_REQUESTS_TYPES_ADMISSION_H
#define LYCHEETHREAD_REQUESTS_TYPES_ADMISSION_H

#include "model/Model.h"

#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <vector>

namespace lycheethread::requests {

/// One request that asks for a slot. Tickets are unique within a state.
struct AdmissionRequest {
  std::int64_t Ticket = 0;
  CallerId Caller;
  RequestClass Class = RequestClass::Repeatable;
  SteadyTime Deadline;
};

/// Slots and queue of the upstream beside the node.
struct AdmissionState {
  bool Draining = false;
  std::int32_t Running = 0;
  std::int32_t RunningUploads = 0;
  std::map<CallerId, std::int32_t> RunningByCaller;
  /// In the order of arrival.
  std::deque<AdmissionRequest> Queue;
  /// Moving average of the time that a request other than an upload holds its
  /// slot; 0 before the first.
  std::chrono::microseconds ServiceTime{0};
};

enum class AdmitAction { Run, Wait, Refuse };

struct AdmitDecision {
  AdmitAction Action = AdmitAction::Refuse;
  /// Set when refused.
  RefusalReason Reason = RefusalReason::SlotsFull;
};

/// Waiting requests whose time has come, by ticket.
struct ReleaseActions {
  std::vector<std::int64_t> Run;
  /// Cannot meet their deadline any more.
  std::vector<std::int64_t> Drop;
};

} // namespace lycheethread::requests

#endif // LYCHEETHREAD_REQUESTS_TYPES_ADMISSION_H
