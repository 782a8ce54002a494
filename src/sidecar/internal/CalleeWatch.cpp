#include "sidecar/internal/CalleeWatch.h"

#include <Poco/NumberFormatter.h>

namespace lycheethread::sidecar {

namespace {

/// A request that is older on arrival has been refused before and returns.
constexpr Milliseconds ReturnedAge{30};
/// With a smaller part of its objective left, an answer would be late, and a
/// new request is worth more to its caller.
constexpr int MinObjectivePart = 4;

/// Whether a refusal shows that the called service is short of capacity or out
/// of reach. Other reasons concern the one request, or an upstream that failed.
bool isShortage(RefusalReason Reason) {
  switch (Reason) {
  case RefusalReason::NoUpstream:
  case RefusalReason::Draining:
  case RefusalReason::SlotsFull:
  case RefusalReason::ConnectionsFull:
  case RefusalReason::QueueFull:
  case RefusalReason::Deadline:
  case RefusalReason::Shed:
  case RefusalReason::UpstreamTimeout:
  case RefusalReason::NotReady:
  case RefusalReason::RateLimited:
  case RefusalReason::CalleeFull:
    return true;
  default:
    return false;
  }
}

} // namespace

bool CalleeWatch::isOn() const { return Context_.Settings.MinFailedRuns > 0; }

void CalleeWatch::onAnswered(const ServiceName &Callee, SteadyTime BeganAt) {
  if (isOn())
    mesh::recordCall(Known_, {Callee, BeganAt, false, Milliseconds(0)},
                     Context_.now());
}

void CalleeWatch::onRefused(const ServiceName &Callee, SteadyTime BeganAt,
                            RefusalReason Reason, Milliseconds RetryDelay) {
  if (isOn() && isShortage(Reason))
    mesh::recordCall(Known_, {Callee, BeganAt, true, RetryDelay},
                     Context_.now());
}

void CalleeWatch::onRunEnd(const HopInfo &Info, SteadyTime SentAt, bool Good) {
  if (!isOn())
    return;
  Known_.MinFailedShare = Context_.Settings.MinFailedRuns;
  const auto Change =
      mesh::recordRun(Known_, {Info.Route, SentAt, !Good}, Context_.now());
  if (Change)
    log(*Change, true);
}

std::optional<Milliseconds> CalleeWatch::delay(const HopInfo &Info,
                                               const mesh::HopQueue &Queue) {
  if (!isOn() || Known_.Routes.empty())
    return std::nullopt;
  const SteadyTime Now = Context_.now();
  for (const mesh::CalleeChange &Change : mesh::endedLimits(Known_, Now))
    log(Change, false);
  const Milliseconds Left = elapsed(Now, Info.ObjectiveAt);
  mesh::CalleeRequest Request;
  Request.Route = Info.Route;
  Request.IsReturning = Info.Objective - Left > ReturnedAge &&
                        Left * MinObjectivePart >= Info.Objective;
  Request.HasIdleSlot = Queue.Waiting.empty() && Queue.Running < Queue.Slots;
  return mesh::calleeDelay(Known_, Request, Now);
}

void CalleeWatch::log(const mesh::CalleeChange &Change, bool IsFull) {
  Context_.Log.write(
      LogClass::State, Context_.now(),
      IsFull ? "callee-full" : "callee-available",
      {{"upstream", Context_.Registered.Current.Id.str()},
       {"route", Change.Route.str()},
       {"callee", Change.Callee.str()},
       {"failed_share", Poco::NumberFormatter::format(Change.FailedShare, 2)}});
}

} // namespace lycheethread::sidecar
