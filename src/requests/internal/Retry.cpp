#include "requests/Requests.h"

#include <algorithm>

namespace lycheethread::requests {

namespace {

constexpr std::int64_t RetryCostHundredths = 100;
/// Equals the initial budget, so that a service with little traffic may retry
/// ten times.
constexpr std::int64_t MaxBudgetHundredths = 1000;

/// Returns whether the same request could succeed at another upstream.
bool dependsOnUpstream(RefusalReason Reason) {
  switch (Reason) {
  case RefusalReason::Draining:
  case RefusalReason::SlotsFull:
  case RefusalReason::ConnectionsFull:
  case RefusalReason::QueueFull:
  case RefusalReason::RateLimited:
  case RefusalReason::Shed:
  case RefusalReason::UpstreamFailed:
  case RefusalReason::UpstreamTimeout:
  case RefusalReason::NotReady:
    return true;
  default:
    return false;
  }
}

} // namespace

Executed deduceExecuted(const AttemptProgress &Progress) {
  if (Progress.Shed || !Progress.Sent)
    return Executed::No;
  return Progress.Complete ? Executed::Yes : Executed::Unknown;
}

void recordOriginal(RetryBudget &Budget, const ServiceLimits &Limits) {
  Budget.Hundredths = std::min(MaxBudgetHundredths,
                               Budget.Hundredths + Limits.RetryBudgetPercent);
}

bool decideRetry(RetryBudget &Budget, const FailedAttempt &Failed) {
  if (Failed.FromLaterHop || Failed.Attempt > 1 || !Failed.BodyBuffered)
    return false;
  if (Failed.TimeLeft <= Milliseconds(0) || !dependsOnUpstream(Failed.Reason))
    return false;
  if (Failed.ExecutionStatus != Executed::No &&
      Failed.Class != RequestClass::Repeatable)
    return false;
  if (Budget.Hundredths < RetryCostHundredths)
    return false;
  Budget.Hundredths -= RetryCostHundredths;
  return true;
}

} // namespace lycheethread::requests
