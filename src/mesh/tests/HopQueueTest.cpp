#include "mesh/Mesh.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <map>
#include <random>
#include <vector>

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

/// Requests of one route that arrive at an upstream.
struct LoadClass {
  std::int32_t Rank = 0;
  Milliseconds Objective{400};
  double MeanWorkMs = 100;
};

/// Arrivals of several classes: each request is of the next class in Pattern.
struct Load {
  std::vector<LoadClass> Classes;
  std::vector<std::size_t> Pattern;
  double PerSecond = 0;
};

/// Outcomes of the requests by the position of their class.
struct SimulationResult {
  std::map<std::size_t, int> Offered;
  std::map<std::size_t, int> InTime;
  std::map<std::size_t, int> Late;
  std::int64_t LongestRefusalMs = 0;
};

/// Simulates \p Offered at an upstream with \p Slots for \p LengthMs in steps
/// of 1 ms. The entries know how many requests the upstream holds.
SimulationResult simulate(const Load &Offered, std::int32_t Slots,
                          std::int64_t LengthMs, unsigned Seed) {
  const std::vector<LoadClass> &Classes = Offered.Classes;
  std::mt19937_64 Random(Seed);
  std::bernoulli_distribution Arrives(Offered.PerSecond / 1000);
  MeshConfig Config;
  Config.Services[ServiceName("s")] = {};
  std::vector<MeshRoute> Routes;
  for (std::size_t Class = 0; Class < Classes.size(); ++Class) {
    MeshRoute Route;
    Route.Rank = Classes[Class].Rank;
    Route.LatencyObjective = Classes[Class].Objective;
    Route.Parts = {{ServiceName("s"), 1}};
    Routes.push_back(Route);
    Config.Hosts["h"][std::to_string(Class)] = Route;
  }
  updateLeastUrgent(Config);
  HopQueue Queue;
  Queue.Slots = Slots;
  SimulationResult Result;
  std::map<JobId, std::pair<std::size_t, QueuedJob>> Jobs;
  std::multimap<std::int64_t, JobId> Ends;
  double MeanWorkMs = 0;
  for (const std::size_t Class : Offered.Pattern)
    MeanWorkMs +=
        Classes[Class].MeanWorkMs / static_cast<double>(Offered.Pattern.size());
  const Milliseconds MeanService(static_cast<std::int64_t>(MeanWorkMs));
  const auto Start = [&](JobId Id, std::int64_t Now) {
    std::exponential_distribution<double> Work(
        1.0 / Classes[Jobs[Id].first].MeanWorkMs);
    Ends.emplace(Now + 1 + static_cast<std::int64_t>(Work(Random)), Id);
  };
  const auto Refused = [&](JobId Id, std::int64_t Now) {
    Result.LongestRefusalMs = std::max(Result.LongestRefusalMs,
                                       Now - Jobs[Id].second.Arrived.value());
  };
  const auto Arrive = [&](std::int64_t Now) {
    const std::size_t Class =
        Offered.Pattern[Jobs.size() % Offered.Pattern.size()];
    const JobId Id(static_cast<std::int64_t>(Jobs.size()) + 1);
    QueuedJob Item = job(Id.value(), Classes[Class].Rank,
                         Now + Classes[Class].Objective.count());
    Item.Objective = Classes[Class].Objective;
    Item.ServiceTime =
        Milliseconds(static_cast<std::int64_t>(Classes[Class].MeanWorkMs));
    Item.Arrived = SteadyTime(Now);
    Jobs[Id] = {Class, Item};
    ++Result.Offered[Class];
    const EntryRequest AtEntry{isServedLast(Config, ServiceName("s"),
                                            Routes[Class], Routes[Class].Rank),
                               Milliseconds(0), Item.Objective, Item.Objective,
                               Item.ServiceTime};
    const auto Held =
        Queue.Running + static_cast<std::int32_t>(Queue.Waiting.size());
    if (excessWaitAtEntry(AtEntry, expectedWait(Held, Slots, MeanService)) >
        Milliseconds(0)) {
      Refused(Id, Now);
      return;
    }
    const QueueDecision Admission =
        admitJob(Queue, Item, MeanService, SteadyTime(Now));
    if (Admission.Choice == QueueDecision::Action::Run) {
      ++Queue.Running;
      Start(Id, Now);
    } else if (Admission.Choice == QueueDecision::Action::Wait) {
      Queue.Waiting.push_back(Item);
    } else {
      Refused(Id, Now);
    }
  };
  for (std::int64_t Now = 1; Now < LengthMs; ++Now) {
    while (!Ends.empty() && Ends.begin()->first <= Now) {
      const auto &[Class, Done] = Jobs[Ends.begin()->second];
      const bool InTime = Done.ObjectiveAt >= SteadyTime(Now);
      ++(InTime ? Result.InTime : Result.Late)[Class];
      Ends.erase(Ends.begin());
      --Queue.Running;
    }
    for (const JobId Id : removeOverdue(Queue, SteadyTime(Now)))
      Refused(Id, Now);
    while (const auto Next = startNext(Queue, SteadyTime(Now)))
      Start(*Next, Now);
    if (Arrives(Random))
      Arrive(Now);
  }
  return Result;
}

/// Three requests of rank 2 for each request of rank 1, at an upstream that
/// completes 130 requests a second.
SimulationResult simulateRanks(double PerSecond, unsigned Seed) {
  constexpr std::int32_t Slots = 13;
  constexpr std::int64_t LengthMs = 10'000;
  return simulate({{{1}, {2}}, {1, 1, 1, 0}, PerSecond}, Slots, LengthMs, Seed);
}

double share(const SimulationResult &Of, std::size_t Class) {
  return static_cast<double>(Of.InTime.at(Class)) / Of.Offered.at(Class);
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
    const SimulationResult Burst = simulateRanks(1.7 * 130, Seed);
    BOOST_TEST(share(Burst, 0) > 0.8, "seed " << Seed);
    BOOST_TEST(share(Burst, 0) > share(Burst, 1), "seed " << Seed);
    const double All =
        static_cast<double>(Burst.InTime.at(0) + Burst.InTime.at(1)) /
        (Burst.Offered.at(0) + Burst.Offered.at(1));
    // The slots allow at most 1 / 1.7.
    BOOST_TEST(All > 0.75 / 1.7, "seed " << Seed);
    BOOST_TEST(Burst.LongestRefusalMs < 400, "seed " << Seed);
    // Most admitted requests are in time; a longer queue would make them late.
    const int Late = Burst.Late.at(0) + Burst.Late.at(1);
    BOOST_TEST(Late < 0.15 * (Burst.InTime.at(0) + Burst.InTime.at(1)),
               "seed " << Seed << ": " << Late << " late");
  }
}

// Load pattern: twice the capacity, of long requests and of short calls with
// the same rank that other upstreams make while they run a request. Guards
// against an entry that refuses the calls for a queue in which they would not
// wait: each refusal costs the work of the upstream that has called.
BOOST_AUTO_TEST_CASE(shortCallsAreServedAmongLongRequests) {
  constexpr std::int32_t Slots = 12;
  constexpr std::int64_t LengthMs = 10'000;
  /// What the users tolerate between a request and a less urgent one.
  constexpr double MaxLessServed = 0.05;
  const LoadClass Call{1, Milliseconds(120), 30};
  const LoadClass Lookup{1, Milliseconds(600), 250};
  for (unsigned Seed = 1; Seed <= 5; ++Seed) {
    const SimulationResult Overload =
        simulate({{Call, Lookup}, {0, 1, 0, 0, 1}, 210}, Slots, LengthMs, Seed);
    BOOST_TEST_MESSAGE("calls in time " << share(Overload, 0) << ", lookups "
                                        << share(Overload, 1));
    BOOST_TEST(share(Overload, 0) > share(Overload, 1) - MaxLessServed,
               "seed " << Seed);
  }
}

// Load pattern: 0.7 of the capacity. Guards against unnecessary refusals.
BOOST_AUTO_TEST_CASE(usualLoadIsServed) {
  for (unsigned Seed = 1; Seed <= 5; ++Seed) {
    const SimulationResult Usual = simulateRanks(0.7 * 130, Seed);
    BOOST_TEST(share(Usual, 0) > 0.95, "seed " << Seed);
    BOOST_TEST(share(Usual, 1) > 0.95, "seed " << Seed);
  }
}

// Guards against short urgent requests that wait behind long ones of a low rank
// which hold every slot: index reads of 640 ms beside calls of 40 ms.
BOOST_AUTO_TEST_CASE(longRequestsLeaveASlotForUrgentOnes) {
  HopQueue Queue;
  Queue.Slots = 6;
  QueuedJob Long = job(1, 2, 4000);
  Long.Objective = Milliseconds(4000);
  Long.ServiceTime = Milliseconds(640);
  QueuedJob Call = job(2, NestedCallRank, 500);
  Call.Objective = Milliseconds(500);
  Call.ServiceTime = Milliseconds(40);
  recordArrival(Queue, Long, SteadyTime(0));
  BOOST_TEST(slotsFor(Queue, Long, SteadyTime(0)) == 6);
  recordArrival(Queue, Call, SteadyTime(0));
  BOOST_TEST(slotsFor(Queue, Long, SteadyTime(100)) == 5);
  BOOST_TEST(slotsFor(Queue, Call, SteadyTime(100)) == 6);
  // Without urgent requests the slot is used again.
  BOOST_TEST(slotsFor(Queue, Long, SteadyTime(2100)) == 6);

  Queue.Running = 5;
  BOOST_TEST(
      (admitJob(Queue, Long, Milliseconds(640), SteadyTime(100)).Choice ==
       QueueDecision::Action::Wait));
  Queue.Waiting.push_back(Long);
  BOOST_TEST(!startNext(Queue, SteadyTime(100)).has_value());
  BOOST_TEST(
      (admitJob(Queue, Call, Milliseconds(640), SteadyTime(100)).Choice ==
       QueueDecision::Action::Run));
  Queue.Running = 4;
  BOOST_TEST(startNext(Queue, SteadyTime(100)).has_value());
}

// Guards against a slot that stays free for requests which can wait.
BOOST_AUTO_TEST_CASE(requestsOfSimilarLengthUseEverySlot) {
  HopQueue Queue;
  Queue.Slots = 6;
  QueuedJob Lookup = job(1, 2, 600);
  Lookup.Objective = Milliseconds(600);
  Lookup.ServiceTime = Milliseconds(140);
  QueuedJob Filing = job(2, 1, 800);
  Filing.Objective = Milliseconds(800);
  Filing.ServiceTime = Milliseconds(190);
  recordArrival(Queue, Filing, SteadyTime(0));
  BOOST_TEST(slotsFor(Queue, Lookup, SteadyTime(0)) == 6);
}

// Guards against an upstream that looks fast because it has answered short
// requests while long ones hold its slots.
BOOST_AUTO_TEST_CASE(meanServiceFollowsTheRequestsThatRun) {
  const Milliseconds Usual(100);
  BOOST_TEST(meanExpectedService(6, 0, Milliseconds(0), Usual).count() == 100);
  BOOST_TEST(meanExpectedService(6, 6, Milliseconds(3840), Usual).count() ==
             640);
  BOOST_TEST(meanExpectedService(6, 1, Milliseconds(640), Usual).count() ==
             190);
  BOOST_TEST(meanExpectedService(6, 12, Milliseconds(1200), Usual).count() ==
             100);
}

BOOST_AUTO_TEST_SUITE_END()
