#include "mesh/Mesh.h"

#include <algorithm>

namespace lycheethread::mesh {

namespace {

/// Service times vary widely, so a request needs this many mean service times
/// to finish in time with some certainty.
constexpr int MinServiceTimesLeft = 2;
/// Longest wait of a request with time to spare, in percent of its objective. A
/// queue of a few requests keeps all slots busy; a longer queue only delays
/// every answer while the overload lasts.
constexpr int MaxWaitPercent = 20;
/// Requests arrive in bursts. With a short objective a fifth of it would allow
/// only two or three of them to wait.
constexpr Milliseconds MinLongestWait{60};
/// A request that can no longer meet its objective is admitted only if its wait
/// is about as short as the scheduling delay of the node itself.
constexpr Milliseconds MaxLateRequestWait{30};
/// A waiting request is given up when less than this share of the mean service
/// time is left, in percent: hardly any answer would be in time.
constexpr int MinTimeLeftPercent = 70;
/// The known load of an upstream is slightly out of date, so a request is still
/// sent when the expected wait is only slightly too long.
constexpr int EntryWaitPercent = 25;
constexpr Milliseconds EntryWaitTolerance{30};
constexpr int LongestServicePercent = 25;
/// Requests of a rank count as arriving for this time after the last one.
constexpr Milliseconds RecentRankTime{2000};
/// With fewer slots, a kept one would cost too much of the capacity.
constexpr std::int32_t MinSlotsToKeepOne = 4;
/// Slots do not become free at even intervals.
constexpr int SlotIntervalSpread = 2;
/// The load that goes before a request counts at most this much when it is
/// admitted. A higher value refused requests while slots became free.
constexpr double MaxLoadAtAdmission = 0.8;
/// And this much for the delay of a refused one: callers that came back earlier
/// were refused again.
constexpr double MaxLoadAtRefusal = 0.9;
/// A caller whose request is older than this has been refused before.
constexpr Milliseconds RetriedRequestAge{30};

bool canBeInTime(const QueuedJob &Job, SteadyTime Now) {
  return elapsed(Now, Job.ObjectiveAt) * 100 >=
         Job.ServiceTime * MinTimeLeftPercent;
}

/// Counts the waiting requests that are served before \p Job.
std::size_t jobsAhead(const HopQueue &Queue, const QueuedJob &Job,
                      SteadyTime Now) {
  return static_cast<std::size_t>(std::count_if(
      Queue.Waiting.begin(), Queue.Waiting.end(), [&](const QueuedJob &Other) {
        return runsBefore(Queue, Other, Job, Now);
      }));
}

/// Returns the time until a request with \p Ahead requests before it gets one
/// of \p Slots slots.
Milliseconds slotWait(const HopQueue &Queue, std::int32_t Slots,
                      std::int64_t Ahead, Milliseconds MeanService,
                      SteadyTime Now) {
  // With a limit, requests wait while there are free slots.
  if (limitOf(Queue, Now) && Queue.Running + Ahead < Slots)
    return Milliseconds(0);
  return Milliseconds(MeanService.count() * (Ahead + 1) / Slots);
}

/// Returns the wait of \p Job when requests that arrive later go before it.
Milliseconds stretched(const HopQueue &Queue, const QueuedJob &Job,
                       Milliseconds Wait, double MaxLoad, SteadyTime Now) {
  return Milliseconds(
      static_cast<std::int64_t>(static_cast<double>(Wait.count()) *
                                overtakingFactor(Queue, Job, MaxLoad, Now)));
}

} // namespace

bool runsBefore(const HopQueue &Queue, const QueuedJob &First,
                const QueuedJob &Second, SteadyTime Now) {
  if (First.Rank != Second.Rank)
    return First.Rank < Second.Rank;
  if (First.Account != Second.Account) {
    const int FirstLevel = shareLevel(Queue, First, Now);
    const int SecondLevel = shareLevel(Queue, Second, Now);
    if (FirstLevel != SecondLevel)
      return FirstLevel < SecondLevel;
  }
  const bool FirstInTime = canBeInTime(First, Now);
  if (FirstInTime != canBeInTime(Second, Now))
    return FirstInTime;
  // The oldest request goes first; a refused caller that tries again keeps the
  // age of its first attempt.
  if (First.ObjectiveAt != Second.ObjectiveAt)
    return First.ObjectiveAt < Second.ObjectiveAt;
  return First.Id < Second.Id;
}

Milliseconds longestWait(Milliseconds Objective) {
  return std::max(Objective * MaxWaitPercent / 100,
                  std::min(Objective / 2, MinLongestWait));
}

std::int32_t slotsOf(const MeshConfig *Config, const Upstream &Item) {
  if (Config == nullptr)
    return Item.Capacity;
  const auto Found = Config->Services.find(Item.Service);
  // Each slot takes one connection.
  return Found != Config->Services.end() && Found->second.MaxConnections > 0
             ? std::min(Item.Capacity, Found->second.MaxConnections)
             : Item.Capacity;
}

Milliseconds permitDelay(const HopQueue &Queue, std::int64_t Ahead,
                         SteadyTime Now) {
  return std::max(requests::permitDelay(Queue.Limit, Ahead, Now),
                  coldDelay(Queue.Cold, Ahead, Now));
}

std::optional<double> limitOf(const HopQueue &Queue, SteadyTime Now) {
  // Entries would leave an upstream alone that is only being checked.
  if (!isColdLimited(Queue.Cold, Now))
    return Queue.Limit.PerSecond;
  return std::min(*Queue.Cold.PerSecond,
                  Queue.Limit.PerSecond.value_or(*Queue.Cold.PerSecond));
}

QueueDecision admitJob(const HopQueue &Queue, const QueuedJob &Job,
                       Milliseconds MeanService, SteadyTime Now) {
  if (elapsed(Now, Job.DeadlineAt) <= Milliseconds(0) || Queue.Slots <= 0)
    return {QueueDecision::Action::Refuse, Milliseconds(0)};
  const std::int32_t Slots = slotsFor(Queue, Job, Now);
  const bool IsFirst = std::none_of(
      Queue.Waiting.begin(), Queue.Waiting.end(), [&](const QueuedJob &Other) {
        return Queue.Running < slotsFor(Queue, Other, Now) ||
               Other.Rank <= Job.Rank;
      });
  if (Queue.Running < Slots && IsFirst &&
      permitDelay(Queue, 0, Now) == Milliseconds(0))
    return {QueueDecision::Action::Run, Milliseconds(0)};
  const auto Ahead = static_cast<std::int64_t>(jobsAhead(Queue, Job, Now));
  Milliseconds PermitWait = permitDelay(Queue, Ahead, Now);
  Milliseconds SlotWait = slotWait(Queue, Slots, Ahead, MeanService, Now);
  Milliseconds Overtaken =
      stretched(Queue, Job, SlotWait, MaxLoadAtAdmission, Now);
  if (const auto Turn = turnDelay(Queue, Job, Now)) {
    const Milliseconds InTurn =
        *Turn + slotWait(Queue, Queue.Slots, 0, MeanService, Now);
    SlotWait = std::min(SlotWait, InTurn);
    Overtaken = std::min(Overtaken, InTurn);
    PermitWait =
        std::min(PermitWait, std::max(*Turn, permitDelay(Queue, 0, Now)));
  }
  const Milliseconds Wait = std::max(SlotWait, PermitWait);
  const Milliseconds InTime =
      elapsed(Now, Job.ObjectiveAt) -
      std::max(Job.ServiceTime, Milliseconds(1)) * MinServiceTimesLeft;
  const Milliseconds Allowed = std::max(
      std::min(InTime, longestWait(Job.Objective)), MaxLateRequestWait);
  // The queue stays short; requests that go first do not make it longer.
  const Milliseconds AllowedInAll = std::max(InTime, MaxLateRequestWait);
  const bool IsOvertaken = Overtaken > SlotWait;
  if (Wait <= Allowed && (!IsOvertaken || Overtaken <= AllowedInAll))
    return {QueueDecision::Action::Wait, Milliseconds(0)};
  Milliseconds RetryDelay = Wait - Allowed;
  if (IsOvertaken)
    RetryDelay =
        std::max({RetryDelay, shareDelay(Queue, Job, Now),
                  stretched(Queue, Job, SlotWait, MaxLoadAtRefusal, Now) -
                      AllowedInAll});
  return {QueueDecision::Action::Refuse, RetryDelay, PermitWait > SlotWait};
}

void recordArrival(HopQueue &Queue, const QueuedJob &Job, SteadyTime Now) {
  std::vector<RecentRank> &Ranks = Queue.RecentRanks;
  Ranks.erase(std::remove_if(Ranks.begin(), Ranks.end(),
                             [&](const RecentRank &Item) {
                               return Item.Running == 0 &&
                                      elapsed(Item.SeenAt, Now) >
                                          RecentRankTime;
                             }),
              Ranks.end());
  const Milliseconds Wait = longestWait(Job.Objective);
  const auto Found =
      std::find_if(Ranks.begin(), Ranks.end(), [&](const RecentRank &Item) {
        return Item.Rank == Job.Rank;
      });
  if (Found == Ranks.end()) {
    Ranks.push_back({Job.Rank, Now, Wait, 0, SteadyTime(), Now});
    return;
  }
  Found->SeenAt = Now;
  Found->LongestWait = std::min(Wait, Found->LongestWait);
  if (!Found->UnservedSince)
    Found->UnservedSince = Now;
}

// Long requests of a low rank that hold every slot make each more urgent one
// wait until one of them has finished, whatever the order of the queue.
std::int32_t slotsFor(const HopQueue &Queue, const QueuedJob &Job,
                      SteadyTime Now) {
  if (Queue.Slots < MinSlotsToKeepOne)
    return Queue.Slots;
  const Milliseconds SlotInterval =
      Job.ServiceTime * SlotIntervalSpread / Queue.Slots;
  const bool MustKeepOne =
      std::any_of(Queue.RecentRanks.begin(), Queue.RecentRanks.end(),
                  [&](const RecentRank &Item) {
                    return Item.Rank < Job.Rank &&
                           Item.LongestWait < SlotInterval &&
                           elapsed(Item.SeenAt, Now) <= RecentRankTime;
                  });
  return MustKeepOne ? Queue.Slots - 1 : Queue.Slots;
}

Milliseconds meanExpectedService(std::int32_t Slots, std::int32_t Jobs,
                                 Milliseconds Expected, Milliseconds Usual) {
  const std::int32_t Free = std::max(0, Slots - Jobs);
  return (Expected + Usual * Free) / std::max(1, Jobs + Free);
}

void startNow(HopQueue &Queue, SteadyTime Now) {
  ++Queue.Running;
  requests::takePermit(Queue.Limit, Now);
  takeColdPermit(Queue.Cold, Now);
}

void startNow(HopQueue &Queue, const QueuedJob &Job, SteadyTime Now) {
  startNow(Queue, Now);
  startSlot(Queue, Job, Now);
}

// The last hop decides admission by the requests that it serves before this
// one. Only a first attempt of the least urgent route waits behind every
// request that the upstream holds; any other would be refused for a queue that
// it does not wait in.
Milliseconds excessWaitAtEntry(const EntryRequest &Request, Milliseconds Wait) {
  if (!Request.IsServedLast || Request.SinceFirstAttempt >= RetriedRequestAge)
    return Milliseconds(0);
  // The service time is the mean of all routes of the upstream; requests with
  // a short objective take less.
  const Milliseconds Service = std::min(
      Request.ServiceTime, Request.Objective * LongestServicePercent / 100);
  const Milliseconds InTime = std::max(
      Milliseconds(0), Request.ObjectiveLeft - Service * MinServiceTimesLeft);
  const Milliseconds Allowed =
      std::min(InTime, std::max(Request.Objective * EntryWaitPercent / 100,
                                longestWait(Request.Objective))) +
      EntryWaitTolerance;
  return std::max(Milliseconds(0), Wait - Allowed);
}

std::vector<JobId> removeOverdue(HopQueue &Queue, SteadyTime Now) {
  std::vector<JobId> Removed;
  const auto IsOverdue = [&](const QueuedJob &Job) {
    const bool TooLate = !canBeInTime(Job, Now) &&
                         elapsed(Job.Arrived, Now) > MaxLateRequestWait;
    return TooLate || Job.DeadlineAt <= Now;
  };
  for (const QueuedJob &Job : Queue.Waiting)
    if (IsOverdue(Job))
      Removed.push_back(Job.Id);
  Queue.Waiting.erase(
      std::remove_if(Queue.Waiting.begin(), Queue.Waiting.end(), IsOverdue),
      Queue.Waiting.end());
  return Removed;
}

std::optional<JobId> startNext(HopQueue &Queue, SteadyTime Now) {
  if (Queue.Running >= Queue.Slots || Queue.Waiting.empty() ||
      permitDelay(Queue, 0, Now) > Milliseconds(0))
    return std::nullopt;
  const auto First =
      std::min_element(Queue.Waiting.begin(), Queue.Waiting.end(),
                       [&Queue, Now](const QueuedJob &L, const QueuedJob &R) {
                         return runsBefore(Queue, L, R, Now);
                       });
  const auto FirstIndex =
      static_cast<std::size_t>(First - Queue.Waiting.begin());
  const std::size_t Index = nextInTurn(Queue, FirstIndex, Now);
  if (Index == FirstIndex && Queue.Running >= slotsFor(Queue, *First, Now))
    return std::nullopt;
  const QueuedJob Next = Queue.Waiting[Index];
  Queue.Waiting.erase(Queue.Waiting.begin() +
                      static_cast<std::ptrdiff_t>(Index));
  startNow(Queue, Next, Now);
  return Next.Id;
}

bool removeWaiting(HopQueue &Queue, JobId Id) {
  const auto Found =
      std::find_if(Queue.Waiting.begin(), Queue.Waiting.end(),
                   [Id](const QueuedJob &Job) { return Job.Id == Id; });
  if (Found == Queue.Waiting.end())
    return false;
  Queue.Waiting.erase(Found);
  return true;
}

} // namespace lycheethread::mesh
