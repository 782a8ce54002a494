#include "requests/Requests.h"

#include <algorithm>

namespace lycheethread::requests {

namespace {

/// A new sample enters the moving average with the weight
/// 1 / ServiceTimeSamples.
constexpr std::int64_t ServiceTimeSamples = 8;

std::int32_t maxPerCaller(std::int32_t Total, const ServiceLimits &Limits) {
  return std::max(1, Total * Limits.CallerSharePercent / 100);
}

std::int32_t runningCount(const AdmissionState &State, const CallerId &Caller) {
  const auto It = State.RunningByCaller.find(Caller);
  return It == State.RunningByCaller.end() ? 0 : It->second;
}

std::int32_t waitingCount(const AdmissionState &State, const CallerId &Caller) {
  return static_cast<std::int32_t>(
      std::count_if(State.Queue.begin(), State.Queue.end(),
                    [&Caller](const AdmissionRequest &Item) {
                      return Item.Caller == Caller;
                    }));
}

bool hasFreeUploadSlot(const AdmissionState &State,
                       const ServiceLimits &Limits) {
  return State.RunningUploads < std::max(1, Limits.Slots / 2);
}

bool canStart(const AdmissionState &State, const ServiceLimits &Limits,
              const AdmissionRequest &Item, SteadyTime Now) {
  if (State.Running >= Limits.Slots ||
      permitDelay(State.Limit, 0, Now) > Milliseconds(0))
    return false;
  if (Item.Class == RequestClass::Upload && !hasFreeUploadSlot(State, Limits))
    return false;
  return runningCount(State, Item.Caller) < maxPerCaller(Limits.Slots, Limits);
}

void occupySlot(AdmissionState &State, const AdmissionRequest &Item,
                SteadyTime Now) {
  takePermit(State.Limit, Now);
  ++State.Running;
  State.RunningUploads += Item.Class == RequestClass::Upload ? 1 : 0;
  ++State.RunningByCaller[Item.Caller];
}

void freeSlot(AdmissionState &State, const AdmissionRequest &Item) {
  --State.Running;
  State.RunningUploads -= Item.Class == RequestClass::Upload ? 1 : 0;
  const auto It = State.RunningByCaller.find(Item.Caller);
  if (It != State.RunningByCaller.end() && --It->second == 0)
    State.RunningByCaller.erase(It);
}

std::int64_t serviceRounds(std::int64_t Ahead, std::int32_t Slots) {
  return 1 + (Ahead + 1) / std::max(1, Slots);
}

/// Returns the expected time until a request with \p Ahead requests before it
/// is done. \p AheadOfCaller of these belong to its own caller, whose share of
/// the slots may be the tighter limit.
Milliseconds expectedTime(const AdmissionState &State,
                          const ServiceLimits &Limits, std::int64_t Ahead,
                          std::int64_t AheadOfCaller) {
  const std::int64_t Rounds = std::max(
      serviceRounds(Ahead, Limits.Slots),
      serviceRounds(AheadOfCaller, maxPerCaller(Limits.Slots, Limits)));
  const std::chrono::microseconds Expected = State.ServiceTime * Rounds;
  // Adds a margin of 25 %, since an answer after the deadline is wasted work.
  return std::chrono::ceil<Milliseconds>(Expected + Expected / 4);
}

/// Returns whether a request that starts now would finish before its deadline.
bool canFinish(const AdmissionState &State, const AdmissionRequest &Item,
               SteadyTime Now) {
  const std::chrono::microseconds Expected =
      State.ServiceTime + State.ServiceTime / 4;
  return after(Now, std::chrono::ceil<Milliseconds>(Expected)) < Item.Deadline;
}

RefusalReason fullReason(const AdmissionState &State,
                         const ServiceLimits &Limits,
                         const AdmissionRequest &Item, SteadyTime Now) {
  if (State.Running < Limits.Slots &&
      permitDelay(State.Limit, 0, Now) > Milliseconds(0))
    return RefusalReason::RateLimited;
  if (runningCount(State, Item.Caller) >= maxPerCaller(Limits.Slots, Limits))
    return RefusalReason::CallerLimit;
  return Limits.Queue == 0 ? RefusalReason::SlotsFull
                           : RefusalReason::QueueFull;
}

/// Returns the waiting request whose caller has the fewest running requests;
/// on a tie, the request that arrived first.
std::deque<AdmissionRequest>::iterator
selectNextWaiting(AdmissionState &State, const ServiceLimits &Limits,
                  SteadyTime Now) {
  auto Best = State.Queue.end();
  for (auto It = State.Queue.begin(); It != State.Queue.end(); ++It) {
    if (!canStart(State, Limits, *It, Now))
      continue;
    if (Best == State.Queue.end() ||
        runningCount(State, It->Caller) < runningCount(State, Best->Caller))
      Best = It;
  }
  return Best;
}

void dropOverdue(AdmissionState &State, SteadyTime Now,
                 ReleaseActions &Actions) {
  for (auto It = State.Queue.begin(); It != State.Queue.end();) {
    if (canFinish(State, *It, Now)) {
      ++It;
      continue;
    }
    Actions.Drop.push_back(It->Ticket);
    It = State.Queue.erase(It);
  }
}

void updateServiceTime(AdmissionState &State,
                       std::chrono::microseconds Sample) {
  if (State.ServiceTime.count() == 0)
    State.ServiceTime = Sample;
  else
    State.ServiceTime += (Sample - State.ServiceTime) / ServiceTimeSamples;
}

} // namespace

AdmitDecision admit(AdmissionState &State, const ServiceLimits &Limits,
                    const AdmissionRequest &Item, SteadyTime Now) {
  if (State.Draining)
    return {AdmitAction::Refuse, RefusalReason::Draining};
  if (Item.Deadline <= Now)
    return {AdmitAction::Refuse, RefusalReason::Deadline};
  const auto Waiting = static_cast<std::int32_t>(State.Queue.size());
  if (State.Running + Waiting >= Limits.Connections)
    return {AdmitAction::Refuse, RefusalReason::ConnectionsFull};
  // Those that wait for a permit come first.
  const bool MustQueue = State.Limit.PerSecond && !State.Queue.empty();
  if (!MustQueue && canStart(State, Limits, Item, Now)) {
    occupySlot(State, Item, Now);
    return {AdmitAction::Run, RefusalReason::SlotsFull};
  }
  if (Waiting >= Limits.Queue)
    return {AdmitAction::Refuse, fullReason(State, Limits, Item, Now)};
  const std::int32_t Own = waitingCount(State, Item.Caller);
  if (Own >= maxPerCaller(Limits.Queue, Limits))
    return {AdmitAction::Refuse, RefusalReason::CallerLimit};
  if (after(Now, expectedTime(State, Limits, Waiting, Own)) >= Item.Deadline)
    return {AdmitAction::Refuse, RefusalReason::Deadline};
  const Milliseconds PermitWait = permitDelay(State.Limit, Waiting, Now);
  if (!canFinish(State, Item, after(Now, PermitWait)))
    return {AdmitAction::Refuse, RefusalReason::RateLimited};
  State.Queue.push_back(Item);
  return {AdmitAction::Wait, RefusalReason::SlotsFull};
}

ReleaseActions release(AdmissionState &State, const ServiceLimits &Limits,
                       const AdmissionRequest &Done,
                       std::chrono::microseconds ServiceTime, SteadyTime Now) {
  freeSlot(State, Done);
  if (Done.Class != RequestClass::Upload)
    updateServiceTime(State, ServiceTime);
  return startWaiting(State, Limits, Now);
}

ReleaseActions startWaiting(AdmissionState &State, const ServiceLimits &Limits,
                            SteadyTime Now) {
  ReleaseActions Actions;
  dropOverdue(State, Now, Actions);
  auto Next = selectNextWaiting(State, Limits, Now);
  while (Next != State.Queue.end()) {
    occupySlot(State, *Next, Now);
    Actions.Run.push_back(Next->Ticket);
    State.Queue.erase(Next);
    Next = selectNextWaiting(State, Limits, Now);
  }
  return Actions;
}

bool removeQueued(AdmissionState &State, std::int64_t Ticket) {
  const auto It = std::find_if(
      State.Queue.begin(), State.Queue.end(),
      [Ticket](const AdmissionRequest &Item) { return Item.Ticket == Ticket; });
  if (It == State.Queue.end())
    return false;
  State.Queue.erase(It);
  return true;
}

} // namespace lycheethread::requests
