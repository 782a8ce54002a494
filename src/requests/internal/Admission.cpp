#include "requests/Requests.h"

#include <algorithm>

namespace lycheethread::requests {

namespace {

/// Weight of a new sample in the moving average is 1 / SampleWeight.
constexpr std::int64_t SampleWeight = 8;

std::int32_t callerShare(std::int32_t Total, const ServiceLimits &Limits) {
  return std::max(1, Total * Limits.CallerSharePercent / 100);
}

std::int32_t runningOf(const AdmissionState &State, const CallerId &Caller) {
  const auto It = State.RunningByCaller.find(Caller);
  return It == State.RunningByCaller.end() ? 0 : It->second;
}

std::int32_t waitingOf(const AdmissionState &State, const CallerId &Caller) {
  return static_cast<std::int32_t>(
      std::count_if(State.Queue.begin(), State.Queue.end(),
                    [&Caller](const AdmissionRequest &Item) {
                      return Item.Caller == Caller;
                    }));
}

bool uploadFits(const AdmissionState &State, const ServiceLimits &Limits) {
  return State.RunningUploads < std::max(1, Limits.Slots / 2);
}

bool mayRun(const AdmissionState &State, const ServiceLimits &Limits,
            const AdmissionRequest &Item) {
  if (State.Running >= Limits.Slots)
    return false;
  if (Item.Class == RequestClass::Upload && !uploadFits(State, Limits))
    return false;
  return runningOf(State, Item.Caller) < callerShare(Limits.Slots, Limits);
}

void book(AdmissionState &State, const AdmissionRequest &Item) {
  ++State.Running;
  State.RunningUploads += Item.Class == RequestClass::Upload ? 1 : 0;
  ++State.RunningByCaller[Item.Caller];
}

void unbook(AdmissionState &State, const AdmissionRequest &Item) {
  --State.Running;
  State.RunningUploads -= Item.Class == RequestClass::Upload ? 1 : 0;
  const auto It = State.RunningByCaller.find(Item.Caller);
  if (It != State.RunningByCaller.end() && --It->second == 0)
    State.RunningByCaller.erase(It);
}

std::int64_t roundsFor(std::int64_t Ahead, std::int32_t Slots) {
  return 1 + (Ahead + 1) / std::max(1, Slots);
}

/// Time until a request with \p Ahead others before it has been served; its
/// caller's own share may be the narrower way.
Milliseconds expectedTime(const AdmissionState &State,
                          const ServiceLimits &Limits, std::int64_t Ahead,
                          std::int64_t AheadOfCaller) {
  const std::int64_t Rounds =
      std::max(roundsFor(Ahead, Limits.Slots),
               roundsFor(AheadOfCaller, callerShare(Limits.Slots, Limits)));
  const std::chrono::microseconds Expected = State.ServiceTime * Rounds;
  // A quarter more, since an answer just after the deadline is wasted work.
  return std::chrono::ceil<Milliseconds>(Expected + Expected / 4);
}

/// Whether a request that may start now would end in time.
bool canFinish(const AdmissionState &State, const AdmissionRequest &Item,
               SteadyTime Now) {
  const std::chrono::microseconds Expected =
      State.ServiceTime + State.ServiceTime / 4;
  return after(Now, std::chrono::ceil<Milliseconds>(Expected)) < Item.Deadline;
}

RefusalReason fullReason(const AdmissionState &State,
                         const ServiceLimits &Limits,
                         const AdmissionRequest &Item) {
  if (runningOf(State, Item.Caller) >= callerShare(Limits.Slots, Limits))
    return RefusalReason::CallerLimit;
  return Limits.Queue == 0 ? RefusalReason::SlotsFull
                           : RefusalReason::QueueFull;
}

/// The waiting request of the caller with the fewest running ones; among
/// equals the one that came first.
std::deque<AdmissionRequest>::iterator nextInTurn(AdmissionState &State,
                                                  const ServiceLimits &Limits) {
  auto Best = State.Queue.end();
  for (auto It = State.Queue.begin(); It != State.Queue.end(); ++It) {
    if (!mayRun(State, Limits, *It))
      continue;
    if (Best == State.Queue.end() ||
        runningOf(State, It->Caller) < runningOf(State, Best->Caller))
      Best = It;
  }
  return Best;
}

void dropLate(AdmissionState &State, SteadyTime Now, ReleaseActions &Actions) {
  for (auto It = State.Queue.begin(); It != State.Queue.end();) {
    if (canFinish(State, *It, Now)) {
      ++It;
      continue;
    }
    Actions.Drop.push_back(It->Ticket);
    It = State.Queue.erase(It);
  }
}

void addSample(AdmissionState &State, std::chrono::microseconds Sample) {
  if (State.ServiceTime.count() == 0)
    State.ServiceTime = Sample;
  else
    State.ServiceTime += (Sample - State.ServiceTime) / SampleWeight;
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
  if (mayRun(State, Limits, Item)) {
    book(State, Item);
    return {AdmitAction::Run, RefusalReason::SlotsFull};
  }
  if (Waiting >= Limits.Queue)
    return {AdmitAction::Refuse, fullReason(State, Limits, Item)};
  const std::int32_t Own = waitingOf(State, Item.Caller);
  if (Own >= callerShare(Limits.Queue, Limits))
    return {AdmitAction::Refuse, RefusalReason::CallerLimit};
  if (after(Now, expectedTime(State, Limits, Waiting, Own)) >= Item.Deadline)
    return {AdmitAction::Refuse, RefusalReason::Deadline};
  State.Queue.push_back(Item);
  return {AdmitAction::Wait, RefusalReason::SlotsFull};
}

ReleaseActions release(AdmissionState &State, const ServiceLimits &Limits,
                       const AdmissionRequest &Done,
                       std::chrono::microseconds ServiceTime, SteadyTime Now) {
  unbook(State, Done);
  if (Done.Class != RequestClass::Upload)
    addSample(State, ServiceTime);
  ReleaseActions Actions;
  dropLate(State, Now, Actions);
  auto Next = nextInTurn(State, Limits);
  while (Next != State.Queue.end()) {
    book(State, *Next);
    Actions.Run.push_back(Next->Ticket);
    State.Queue.erase(Next);
    Next = nextInTurn(State, Limits);
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
