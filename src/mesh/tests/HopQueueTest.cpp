#include "mesh/Mesh.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <map>
#include <random>

using namespace lycheethread;
using namespace lycheethread::mesh;

namespace {

constexpr Milliseconds Service{100};

QueuedJob job(std::int64_t Id, std::int32_t Rank, std::int64_t ObjectiveMs) {
  QueuedJob Made;
  Made.Id = JobId(Id);
  Made.Rank = Rank;
  Made.Objective = Milliseconds(400);
  Made.ObjectiveAt = SteadyTime(ObjectiveMs);
  Made.DeadlineAt = SteadyTime(ObjectiveMs + 1000);
  Made.Service = Service;
  return Made;
}

HopQueue full(std::int32_t Slots) {
  HopQueue Queue;
  Queue.Slots = Slots;
  Queue.Running = Slots;
  return Queue;
}

/// A request stream above capacity for one upstream, with what became of it.
struct Replay {
  std::map<std::int32_t, int> Asked;
  std::map<std::int32_t, int> InTime;
  std::map<std::int32_t, int> Late;
  std::int64_t LongestRefusalMs = 0;
};

/// Plays arrivals at \p PerSecond for \p Length with two ranks, three of rank 2
/// for each of rank 1, in steps of 1 ms.
Replay replay(double PerSecond, std::int64_t LengthMs, unsigned Seed) {
  std::mt19937_64 Random(Seed);
  std::exponential_distribution<double> Work(1.0 / 100);
  std::bernoulli_distribution Arrives(PerSecond / 1000);
  HopQueue Queue;
  Queue.Slots = 13;
  Replay Result;
  std::map<JobId, QueuedJob> Jobs;
  std::multimap<std::int64_t, JobId> Ends;
  std::int64_t LastId = 0;
  const auto Start = [&](JobId Id, std::int64_t Now) {
    Ends.emplace(Now + 1 + static_cast<std::int64_t>(Work(Random)), Id);
  };
  const auto Refused = [&](JobId Id, std::int64_t Now) {
    Result.LongestRefusalMs =
        std::max(Result.LongestRefusalMs, Now - Jobs[Id].Arrived.value());
  };
  for (std::int64_t Now = 1; Now < LengthMs; ++Now) {
    while (!Ends.empty() && Ends.begin()->first <= Now) {
      const QueuedJob &Done = Jobs[Ends.begin()->second];
      const bool InTime = Done.ObjectiveAt >= SteadyTime(Now);
      ++(InTime ? Result.InTime : Result.Late)[Done.Rank];
      Ends.erase(Ends.begin());
      --Queue.Running;
    }
    for (const JobId Id : removeOverdue(Queue, SteadyTime(Now)))
      Refused(Id, Now);
    while (const auto Next = startNext(Queue, SteadyTime(Now)))
      Start(*Next, Now);
    if (!Arrives(Random))
      continue;
    ++LastId;
    QueuedJob Item = job(LastId, LastId % 4 == 0 ? 1 : 2, Now + 400);
    Item.Arrived = SteadyTime(Now);
    Jobs[Item.Id] = Item;
    ++Result.Asked[Item.Rank];
    const AdmissionDecision Verdict =
        admitJob(Queue, Item, Service, SteadyTime(Now));
    if (Verdict.Do == AdmissionDecision::Action::Run) {
      ++Queue.Running;
      Start(Item.Id, Now);
    } else if (Verdict.Do == AdmissionDecision::Action::Wait) {
      Queue.Waiting.push_back(Item);
    } else {
      Refused(Item.Id, Now);
    }
  }
  return Result;
}

double share(const Replay &Of, std::int32_t Rank) {
  return static_cast<double>(Of.InTime.at(Rank)) / Of.Asked.at(Rank);
}

} // namespace

BOOST_AUTO_TEST_SUITE(Queue)

// Guards against more requests at an upstream than it has slots.
BOOST_AUTO_TEST_CASE(runsOnlyWithAFreeSlot) {
  HopQueue Queue = full(2);
  Queue.Running = 1;
  BOOST_TEST((admitJob(Queue, job(1, 0, 400), Service, SteadyTime(0)).Do ==
              AdmissionDecision::Action::Run));
  Queue.Running = 2;
  BOOST_TEST((admitJob(Queue, job(1, 0, 400), Service, SteadyTime(0)).Do ==
              AdmissionDecision::Action::Wait));
  BOOST_TEST((startNext(Queue, SteadyTime(0)) == std::nullopt));
}

// Guards against a wait that only ends in a late answer or a late refusal.
BOOST_AUTO_TEST_CASE(refusesAtOnceWhatCannotBeInTime) {
  HopQueue Queue = full(2);
  for (std::int64_t Id = 1; Id <= 2; ++Id)
    Queue.Waiting.push_back(job(Id, 1, 400));
  const AdmissionDecision Verdict =
      admitJob(Queue, job(7, 1, 400), Service, SteadyTime(0));
  BOOST_TEST((Verdict.Do == AdmissionDecision::Action::Refuse));
  BOOST_TEST(Verdict.RetryDelay.count() == 70);
  // Nor does a caller that was refused and has come back.
  BOOST_TEST((admitJob(Queue, job(9, 1, 300), Service, SteadyTime(0)).Do ==
              AdmissionDecision::Action::Wait));
  // A higher rank does not wait for the lower ones.
  BOOST_TEST((admitJob(Queue, job(8, 0, 400), Service, SteadyTime(0)).Do ==
              AdmissionDecision::Action::Wait));
}

BOOST_AUTO_TEST_CASE(orderIsRankThenHopeThenArrival) {
  HopQueue Queue = full(1);
  Queue.Running = 0;
  Queue.Waiting = {job(1, 2, 1000), job(2, 1, 0), job(3, 1, 1000),
                   job(4, 1, 1000)};
  std::vector<std::int64_t> Order;
  while (const auto Next = startNext(Queue, SteadyTime(0))) {
    Order.push_back(Next->value());
    --Queue.Running;
  }
  BOOST_TEST(Order == (std::vector<std::int64_t>{3, 4, 2, 1}),
             boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(hopelessWaitEndsBeforeTheDeadline) {
  HopQueue Queue = full(1);
  Queue.Waiting = {job(1, 1, 400)};
  BOOST_TEST(removeOverdue(Queue, SteadyTime(300)).empty());
  BOOST_TEST(removeOverdue(Queue, SteadyTime(340)).size() == 1U);
  BOOST_TEST(Queue.Waiting.empty());
}

// Load pattern: a burst of 1.7 times what the upstream can serve, for 10 s.
// Guards against a queue in which everyone waits and nobody is in time, and
// against a lower rank that is served more often than a higher one.
BOOST_AUTO_TEST_CASE(burstServesHigherRankAndRefusesEarly) {
  for (unsigned Seed = 1; Seed <= 5; ++Seed) {
    const Replay Burst = replay(1.7 * 130, 10'000, Seed);
    BOOST_TEST(share(Burst, 1) > 0.8, "seed " << Seed);
    BOOST_TEST(share(Burst, 1) > share(Burst, 2), "seed " << Seed);
    const double All =
        static_cast<double>(Burst.InTime.at(1) + Burst.InTime.at(2)) /
        (Burst.Asked.at(1) + Burst.Asked.at(2));
    // 1 / 1.7 is all that the slots allow.
    BOOST_TEST(All > 0.75 / 1.7, "seed " << Seed);
    BOOST_TEST(Burst.LongestRefusalMs < 400, "seed " << Seed);
    // What is taken is in time: a longer queue would make most of it late.
    const int Late = Burst.Late.at(1) + Burst.Late.at(2);
    BOOST_TEST(Late < 0.15 * (Burst.InTime.at(1) + Burst.InTime.at(2)),
               "seed " << Seed << ": " << Late << " late");
  }
}

// Load pattern: 0.7 of the capacity. Guards against refusals without need.
BOOST_AUTO_TEST_CASE(usualLoadIsServed) {
  for (unsigned Seed = 1; Seed <= 5; ++Seed) {
    const Replay Usual = replay(0.7 * 130, 10'000, Seed);
    BOOST_TEST(share(Usual, 1) > 0.95, "seed " << Seed);
    BOOST_TEST(share(Usual, 2) > 0.95, "seed " << Seed);
  }
}

BOOST_AUTO_TEST_SUITE_END()
