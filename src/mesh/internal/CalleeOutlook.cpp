#include "mesh/Mesh.h"

#include <algorithm>
#include <cmath>

namespace lycheethread::mesh {

namespace {

/// Time over which the counts of a route decay.
constexpr double DecayMs = 2000;
/// Refused calls and called services are forgotten after this time. A call is
/// refused before its run ends, and runs are short compared with it.
constexpr Milliseconds MemoryTime{4000};
constexpr std::size_t MaxRefusedCalls = 64;
constexpr double MinEndedRuns = 8;
constexpr double MinFailedRuns = 4;
/// Share of the calls that should be served. A run makes several calls and
/// needs all of them; without any refused call, spare room would go unnoticed.
constexpr double TargetServed = 0.9;
/// The admitted share is lowered below this share of served calls. Between it
/// and the target, the difference is within the noise of some calls.
constexpr double MinServed = 0.8;
constexpr double MinShare = 0.08;
constexpr double LargestCut = 0.5;
/// The first cut is at least this large: where a run makes many calls, a few
/// refused ones make most runs fail.
constexpr double SmallestFirstCut = 0.8;
/// Calls that were refused after a cut belong to runs admitted before it.
constexpr Milliseconds SettleTime{200};
/// While nothing is limited, the counts are halved at this number of calls, so
/// that they show the recent ones.
constexpr std::int32_t MaxCountedCalls = 32;
/// Calls that are counted before the share is raised, or lowered.
constexpr std::int32_t CallsToRaise = 3;
/// At a small share few runs make calls; this is one of them.
constexpr std::int32_t CallsToRaiseSmallShare = 2;
/// The same if one was refused before them.
constexpr std::int32_t CallsAfterRefusal = 4;
constexpr std::int32_t CallsToCut = 4;
constexpr std::int32_t RefusedToCut = 2;
constexpr std::int32_t CallsToKeep = 8;
constexpr Milliseconds MinRaiseInterval{100};
/// The first raises are small, so that the share stays near the room that the
/// called service has. Several in turn, or any at a small share, show that it
/// has recovered.
constexpr double FirstRaise = 1.15;
constexpr double SecondRaise = 1.3;
constexpr double LaterRaise = 2;
constexpr double SmallShare = 0.25;
/// Without calls for this time, nothing is known against the called service.
constexpr Milliseconds NoCallsTime{1000};
/// One request in this time is admitted in any case.
constexpr Milliseconds ProbeInterval{400};
constexpr double MaxCredit = 1.5;
/// Requests that returned after a refusal may be admitted ahead of new ones.
constexpr double MinCredit = -2;
/// Bounds of the delay stated to rejected requests. A shortage that has lasted
/// for some time is likely to last for about the same time again.
constexpr Milliseconds MinDelay{200};
constexpr Milliseconds MaxDelay{2000};
/// An entry offers a request to so many upstreams.
constexpr double OffersOfRequest = 3;
/// By how much running everything must bring more answers than limiting, as a
/// share of the requests. Both are estimated from few calls.
constexpr double MinGain = 0.05;

double decayFactor(SteadyTime From, SteadyTime Now) {
  const auto Since = static_cast<double>(elapsed(From, Now).count());
  return std::exp(-std::max(0.0, Since) / DecayMs);
}

void decay(RouteOutlook &Route, SteadyTime Now) {
  const double Factor = decayFactor(Route.DecayedAt, Now);
  Route.Ended *= Factor;
  Route.Failed *= Factor;
  Route.Offered *= Factor;
  Route.Admitted *= Factor;
  Route.DecayedAt = Now;
}

void decay(CalleeState &Callee, SteadyTime Now) {
  const double Factor = decayFactor(Callee.DecayedAt, Now);
  Callee.RecentlyAnswered *= Factor;
  Callee.RecentlyRefused *= Factor;
  Callee.DecayedAt = Now;
}

/// Returns whether running every request brings more answers than running only
/// as many as the called service has room for. Runs that make no calls succeed
/// in any case; limited requests do so only when they are admitted.
bool gainsFromIdleSlots(const RouteOutlook &Route, const CalleeState &Callee) {
  const double Calls = Callee.RecentlyAnswered + Callee.RecentlyRefused;
  if (Calls <= 0 || Route.Ended <= 0)
    return false;
  const double Served = Callee.RecentlyAnswered / Calls;
  // A run that makes calls makes about two.
  const double CallsFail = 1 - Served * Served;
  if (CallsFail <= 0)
    return false;
  const double MakesCalls =
      std::min(1.0, Route.Failed / Route.Ended / CallsFail);
  const double Rejected =
      Route.Offered <= 0 ? 0 : 1 - Route.Admitted / Route.Offered;
  // Share of the requests whose calls could be served if all were run.
  const double Room = Served * (1 - std::pow(Rejected, OffersOfRequest));
  const double AnsweredIfAllRun = 1 - MakesCalls * (1 - Room * Room);
  return AnsweredIfAllRun > Room + MinGain;
}

void restartCount(CalleeState &Callee, SteadyTime From) {
  Callee.CountedFrom = From;
  Callee.Answered = 0;
  Callee.Refused = 0;
  Callee.AnsweredInTurn = 0;
}

double servedShare(const CalleeState &Callee) {
  const std::int32_t Calls = Callee.Answered + Callee.Refused;
  return Calls == 0 ? 1 : static_cast<double>(Callee.Answered) / Calls;
}

/// Lowers the share to that of the runs whose calls can be served.
void cut(CalleeState &Callee, SteadyTime Now) {
  const bool IsFirst = Callee.AdmittedShare >= 1;
  const double Factor = std::clamp(servedShare(Callee) / TargetServed,
                                   LargestCut, IsFirst ? SmallestFirstCut : 1);
  if (IsFirst)
    Callee.LimitedAt = Now;
  Callee.AdmittedShare = std::max(MinShare, Callee.AdmittedShare * Factor);
  Callee.ChangedAt = Now;
  Callee.Raises = 0;
  restartCount(Callee, after(Now, SettleTime));
}

/// \p Admitted is the share that has been admitted, which is larger than the
/// stated one while idle slots are used.
void raise(CalleeState &Callee, double Admitted, SteadyTime Now) {
  ++Callee.Raises;
  const bool HasRecovered =
      Callee.AdmittedShare < SmallShare || Callee.Raises > 2;
  const double Factor = HasRecovered         ? LaterRaise
                        : Callee.Raises == 1 ? FirstRaise
                                             : SecondRaise;
  Callee.AdmittedShare =
      std::min(1.0, std::max(Callee.AdmittedShare, Admitted) * Factor);
  Callee.ChangedAt = Now;
  restartCount(Callee, Now);
}

/// Returns the share of the requests that has been admitted of the routes which
/// use idle slots, or 0 if none does.
double admittedToIdleSlots(const CalleeOutlook &Known,
                           const ServiceName &Callee) {
  double Least = 1;
  bool UsesIdleSlots = false;
  for (const auto &[Name, Route] : Known.Routes) {
    if (Route.Callee != Callee || Route.Offered <= 0)
      continue;
    UsesIdleSlots = UsesIdleSlots || Route.UsesIdleSlots;
    Least = std::min(Least, Route.Admitted / Route.Offered);
  }
  return UsesIdleSlots ? Least : 0;
}

/// Adapts the share of a service that limits requests to the calls counted.
/// Returns false if there are too few of them.
bool adaptShare(const CalleeOutlook &Known, const ServiceName &Name,
                CalleeState &Callee, SteadyTime Now) {
  const std::int32_t Calls = Callee.Answered + Callee.Refused;
  const Milliseconds Since = elapsed(Callee.ChangedAt, Now);
  // A refused call that was counted before a recovery must not delay it, where
  // few runs make calls.
  const bool IsSmall = Callee.AdmittedShare < SmallShare;
  const std::int32_t Needed = !IsSmall              ? CallsToRaise
                              : Callee.Refused == 0 ? CallsToRaiseSmallShare
                                                    : CallsAfterRefusal;
  const bool AllServed =
      Callee.AnsweredInTurn >= Needed && (IsSmall || Callee.Refused == 0);
  const bool NoCalls =
      std::min(Since, elapsed(Callee.DecayedAt, Now)) >= NoCallsTime;
  const bool MayRaise = (AllServed && Since >= MinRaiseInterval) || NoCalls;
  if (MayRaise) {
    raise(Callee, admittedToIdleSlots(Known, Name), Now);
    return true;
  }
  if (Callee.Refused >= RefusedToCut && Calls >= CallsToCut &&
      servedShare(Callee) < MinServed) {
    cut(Callee, Now);
    return true;
  }
  if (Calls < CallsToKeep)
    return false;
  Callee.Raises = 0;
  Callee.ChangedAt = Now;
  restartCount(Callee, Now);
  return true;
}

bool isLimiting(const CalleeState &Callee) { return Callee.AdmittedShare < 1; }

/// Drops what is too old to matter, so that nothing is recorded while no calls
/// are refused.
void forget(CalleeOutlook &Known, SteadyTime Now) {
  while (!Known.Refused.empty() &&
         elapsed(Known.Refused.front().EndedAt, Now) > MemoryTime)
    Known.Refused.pop_front();
  for (auto Item = Known.Callees.begin(); Item != Known.Callees.end();) {
    const bool IsOld = !isLimiting(Item->second) &&
                       elapsed(Item->second.RefusedAt, Now) > MemoryTime;
    Item = IsOld ? Known.Callees.erase(Item) : std::next(Item);
  }
  if (Known.Callees.empty())
    Known.Routes.clear();
}

/// Removes and returns the service of the last call that was refused since
/// \p BeganAt. Each refused call explains the failure of one run only.
std::optional<ServiceName> takeRefusedCall(CalleeOutlook &Known,
                                           SteadyTime BeganAt) {
  if (Known.Refused.empty() || Known.Refused.back().EndedAt < BeganAt)
    return std::nullopt;
  const ServiceName Callee = Known.Refused.back().Callee;
  Known.Refused.pop_back();
  return Callee;
}

bool failsTooOften(const RouteOutlook &Route, double MinFailedShare) {
  return Route.Ended >= MinEndedRuns && Route.Failed >= MinFailedRuns &&
         Route.Failed >= Route.Ended * MinFailedShare;
}

/// Decides about a request of a route that is limited by \p Callee.
bool takeCredit(RouteOutlook &Route, const CalleeState &Callee,
                const CalleeRequest &Request, SteadyTime Now) {
  decay(Route, Now);
  ++Route.Offered;
  Route.Credit = std::min(MaxCredit, Route.Credit + Callee.AdmittedShare);
  const bool IsProbe = elapsed(Route.AdmittedAt, Now) >= ProbeInterval;
  const double Needed = Request.IsReturning ? MinCredit + 1 : 1;
  const bool UsesIdleSlot = Route.UsesIdleSlots && Request.HasIdleSlot;
  if (Route.Credit < Needed && !IsProbe && !UsesIdleSlot)
    return false;
  Route.Credit = std::max(MinCredit, Route.Credit - 1);
  Route.AdmittedAt = Now;
  ++Route.Admitted;
  return true;
}

/// Follows a change of the share of \p Name.
void updateIdleUse(CalleeOutlook &Known, const ServiceName &Name,
                   const CalleeState &Callee) {
  for (auto &[RouteId, Route] : Known.Routes)
    if (Route.Callee == Name)
      Route.UsesIdleSlots =
          Callee.Raises == 0 && gainsFromIdleSlots(Route, Callee);
}

} // namespace

void recordCall(CalleeOutlook &Known, const NestedCall &Call, SteadyTime Now) {
  if (!Call.IsRefused && Known.Callees.empty())
    return;
  forget(Known, Now);
  const auto Found = Known.Callees.find(Call.Callee);
  if (Found == Known.Callees.end() && !Call.IsRefused)
    return;
  CalleeState &Callee =
      Found == Known.Callees.end() ? Known.Callees[Call.Callee] : Found->second;
  if (Call.IsRefused) {
    Known.Refused.push_back({Call.Callee, Now});
    if (Known.Refused.size() > MaxRefusedCalls)
      Known.Refused.pop_front();
    Callee.RefusedAt = Now;
    Callee.RetryDelay = Call.RetryDelay;
  }
  decay(Callee, Now);
  ++(Call.IsRefused ? Callee.RecentlyRefused : Callee.RecentlyAnswered);
  if (Call.BeganAt < Callee.CountedFrom)
    return;
  ++(Call.IsRefused ? Callee.Refused : Callee.Answered);
  Callee.AnsweredInTurn = Call.IsRefused ? 0 : Callee.AnsweredInTurn + 1;
  if (isLimiting(Callee)) {
    if (adaptShare(Known, Call.Callee, Callee, Now))
      updateIdleUse(Known, Call.Callee, Callee);
  } else if (Callee.Answered + Callee.Refused >= MaxCountedCalls) {
    Callee.Answered /= 2;
    Callee.Refused /= 2;
  }
}

std::optional<CalleeChange> recordRun(CalleeOutlook &Known, const EndedRun &Run,
                                      SteadyTime Now) {
  if (Known.Callees.empty())
    return std::nullopt;
  RouteOutlook &Route = Known.Routes[Run.Route];
  decay(Route, Now);
  ++Route.Ended;
  if (!Run.HasFailed)
    return std::nullopt;
  const auto By = takeRefusedCall(Known, Run.BeganAt);
  if (!By)
    return std::nullopt;
  ++Route.Failed;
  if (Route.Callee || !failsTooOften(Route, Known.MinFailedShare))
    return std::nullopt;
  CalleeState &Callee = Known.Callees[*By];
  if (!isLimiting(Callee))
    cut(Callee, Now);
  Route.Callee = By;
  Route.Credit = 0;
  Route.Offered = 0;
  Route.Admitted = 0;
  Route.UsesIdleSlots = gainsFromIdleSlots(Route, Callee);
  return CalleeChange{Run.Route, *By, Route.Failed / Route.Ended};
}

std::optional<Milliseconds> calleeDelay(CalleeOutlook &Known,
                                        const CalleeRequest &Request,
                                        SteadyTime Now) {
  if (Known.Routes.empty())
    return std::nullopt;
  const auto Found = Known.Routes.find(Request.Route);
  if (Found == Known.Routes.end() || !Found->second.Callee)
    return std::nullopt;
  RouteOutlook &Route = Found->second;
  const auto State = Known.Callees.find(*Route.Callee);
  if (State == Known.Callees.end() || !isLimiting(State->second))
    return std::nullopt;
  CalleeState &Callee = State->second;
  if (adaptShare(Known, *Route.Callee, Callee, Now))
    updateIdleUse(Known, *Route.Callee, Callee);
  if (takeCredit(Route, Callee, Request, Now))
    return std::nullopt;
  // With a larger share, a request that returns is likely to be admitted.
  if (Callee.AdmittedShare >= SmallShare)
    return MinDelay;
  return std::max(Callee.RetryDelay, std::clamp(elapsed(Callee.LimitedAt, Now),
                                                MinDelay, MaxDelay));
}

std::vector<CalleeChange> endedLimits(CalleeOutlook &Known, SteadyTime Now) {
  std::vector<CalleeChange> Ended;
  for (auto &[Name, Route] : Known.Routes) {
    if (!Route.Callee)
      continue;
    const auto State = Known.Callees.find(*Route.Callee);
    if (State != Known.Callees.end() && isLimiting(State->second))
      continue;
    decay(Route, Now);
    Ended.push_back({Name, *Route.Callee, Route.Failed / Route.Ended});
    Route.Callee.reset();
    // Runs that failed before say nothing about the recovered service.
    Route.Ended = 0;
    Route.Failed = 0;
  }
  if (!Known.Callees.empty())
    forget(Known, Now);
  return Ended;
}

} // namespace lycheethread::mesh
