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
  QueuedJob Result;
  Result.Id = JobId(Id);
  Result.Rank = Rank;
  Result.Objective = Milliseconds(400);
  Result.ObjectiveAt = SteadyTime(ObjectiveMs);
  Result.DeadlineAt = SteadyTime(ObjectiveMs + 1000);
  Result.ServiceTime = Service;
  return Result;
}

HopQueue full(std::int32_t Slots) {
  HopQueue Queue;
  Queue.Slots = Slots;
  Queue.Running = Slots;
  return Queue;
}

/// Outcomes of a request stream above the capacity of one upstream.
struct SimulationResult {
  std::map<std::int32_t, int> Offered;
  std::map<std::int32_t, int> InTime;
  std::map<std::int32_t, int> Late;
  std::int64_t LongestRefusalMs = 0;
};

/// Simulates arrivals at \p PerSecond for \p LengthMs in steps of 1 ms, with
/// three requests of rank 2 for each request of rank 1.
SimulationResult simulate(double PerSecond, std::int64_t LengthMs,
                          unsigned Seed) {
  std::mt19937_64 Random(Seed);
  std::exponential_distribution<double> Work(1.0 / 100);
  std::bernoulli_distribution Arrives(PerSecond / 1000);
  HopQueue Queue;
  Queue.Slots = 13;
  SimulationResult Result;
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
    ++Result.Offered[Item.Rank];
    const QueueDecision Admission =
        admitJob(Queue, Item, Service, SteadyTime(Now));
    if (Admission.Choice == QueueDecision::Action::Run) {
      ++Queue.Running;
      Start(Item.Id, Now);
    } else if (Admission.Choice == QueueDecision::Action::Wait) {
      Queue.Waiting.push_back(Item);
    } else {
      Refused(Item.Id, Now);
    }
  }
  return Result;
}

double share(const SimulationResult &Of, std::int32_t Rank) {
  return static_cast<double>(Of.InTime.at(Rank)) / Of.Offered.at(Rank);
}

} // namespace

BOOST_AUTO_TEST_SUITE(Queue)

// Guards against more concurrent requests at an upstream than it has slots.
BOOST_AUTO_TEST_CASE(runsOnlyWithAFreeSlot) {
  HopQueue Queue = full(2);
  Queue.Running = 1;
  BOOST_TEST((admitJob(Queue, job(1, 0, 400), Service, SteadyTime(0)).Choice ==
              QueueDecision::Action::Run));
  Queue.Running = 2;
  BOOST_TEST((admitJob(Queue, job(1, 0, 400), Service, SteadyTime(0)).Choice ==
              QueueDecision::Action::Wait));
  BOOST_TEST((startNext(Queue, SteadyTime(0)) == std::nullopt));
}

// Guards against a wait that can only end in a late answer or a late refusal.
BOOST_AUTO_TEST_CASE(refusesRequestsThatCannotBeInTime) {
  HopQueue Queue = full(2);
  for (std::int64_t Id = 1; Id <= 2; ++Id)
    Queue.Waiting.push_back(job(Id, 1, 400));
  const QueueDecision Admission =
      admitJob(Queue, job(7, 1, 400), Service, SteadyTime(0));
  BOOST_TEST((Admission.Choice == QueueDecision::Action::Refuse));
  BOOST_TEST(Admission.RetryDelay.count() == 70);
  // A refused caller that tries again is older than the waiting requests, so it
  // goes before them and is admitted.
  BOOST_TEST((admitJob(Queue, job(9, 1, 300), Service, SteadyTime(0)).Choice ==
              QueueDecision::Action::Wait));
  // A request of a more urgent rank does not wait for the others.
  BOOST_TEST((admitJob(Queue, job(8, 0, 400), Service, SteadyTime(0)).Choice ==
              QueueDecision::Action::Wait));
}

BOOST_AUTO_TEST_CASE(orderIsRankThenInTimeThenAge) {
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

BOOST_AUTO_TEST_CASE(overdueWaitEndsBeforeTheDeadline) {
  HopQueue Queue = full(1);
  Queue.Waiting = {job(1, 1, 400)};
  BOOST_TEST(removeOverdue(Queue, SteadyTime(300)).empty());
  BOOST_TEST(removeOverdue(Queue, SteadyTime(340)).size() == 1U);
  BOOST_TEST(Queue.Waiting.empty());
}

// Load pattern: a burst of 1.7 times the capacity of the upstream for 10 s.
// Guards against a queue in which all requests wait until they are late, and
// against a less urgent rank that is served more often than a more urgent one.
BOOST_AUTO_TEST_CASE(burstServesUrgentRankAndRefusesEarly) {
  for (unsigned Seed = 1; Seed <= 5; ++Seed) {
    const SimulationResult Burst = simulate(1.7 * 130, 10'000, Seed);
    BOOST_TEST(share(Burst, 1) > 0.8, "seed " << Seed);
    BOOST_TEST(share(Burst, 1) > share(Burst, 2), "seed " << Seed);
    const double All =
        static_cast<double>(Burst.InTime.at(1) + Burst.InTime.at(2)) /
        (Burst.Offered.at(1) + Burst.Offered.at(2));
    // The slots allow at most 1 / 1.7.
    BOOST_TEST(All > 0.75 / 1.7, "seed " << Seed);
    BOOST_TEST(Burst.LongestRefusalMs < 400, "seed " << Seed);
    // Most admitted requests are in time; a longer queue would make them late.
    const int Late = Burst.Late.at(1) + Burst.Late.at(2);
    BOOST_TEST(Late < 0.15 * (Burst.InTime.at(1) + Burst.InTime.at(2)),
               "seed " << Seed << ": " << Late << " late");
  }
}

// Load pattern: 0.7 of the capacity. Guards against unnecessary refusals.
BOOST_AUTO_TEST_CASE(usualLoadIsServed) {
  for (unsigned Seed = 1; Seed <= 5; ++Seed) {
    const SimulationResult Usual = simulate(0.7 * 130, 10'000, Seed);
    BOOST_TEST(share(Usual, 1) > 0.95, "seed " << Seed);
    BOOST_TEST(share(Usual, 2) > 0.95, "seed " << Seed);
  }
}

BOOST_AUTO_TEST_SUITE_END()
