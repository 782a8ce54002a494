#ifndef LYCHEETHREAD_METRICS_TYPES_REQUESTOUTCOME_H
#define LYCHEETHREAD_METRICS_TYPES_REQUESTOUTCOME_H

#include "model/Model.h"

namespace lycheethread::metrics {

/// How a request ended for its caller.
enum class RequestEnd {
  /// The caller got an answer of an upstream, other than a server error.
  Answered,
  /// The request may have run, and the caller got a server error.
  Failed,
  /// The caller disconnected before there was an answer.
  CallerLeft,
  /// The request has not run.
  Refused
};

struct RequestOutcome {
  RequestEnd End = RequestEnd::Answered;
  /// With Refused.
  RefusalReason Reason = RefusalReason::NoRoute;
};

inline bool operator==(const RequestOutcome &L, const RequestOutcome &R) {
  return L.End == R.End &&
         (L.End != RequestEnd::Refused || L.Reason == R.Reason);
}

/// Returns "answered", "failed", "caller-left" or the code of the reason.
std::string_view toString(const RequestOutcome &Outcome);

} // namespace lycheethread::metrics

#endif // LYCHEETHREAD_METRICS_TYPES_REQUESTOUTCOME_H
