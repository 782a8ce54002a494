#include "sidecar/internal/HopJob.h"

namespace lycheethread::sidecar {

HopOutcome notRun(RefusalReason Reason, Milliseconds RetryDelay) {
  HopOutcome Outcome;
  Outcome.End = HopResult::NotRun;
  Outcome.Reason = Reason;
  Outcome.RetryDelay = RetryDelay;
  return Outcome;
}

HopOutcome failed(RefusalReason Reason) {
  HopOutcome Outcome;
  Outcome.End = HopResult::Failed;
  Outcome.Reason = Reason;
  Outcome.Reached = true;
  return Outcome;
}

} // namespace lycheethread::sidecar
