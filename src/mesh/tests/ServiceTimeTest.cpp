#include "mesh/Mesh.h"

#include <boost/test/unit_test.hpp>

#include <queue>

using namespace lycheethread;
using namespace lycheethread::mesh;

BOOST_AUTO_TEST_SUITE(ServiceTimes)

BOOST_AUTO_TEST_CASE(measuredTimesReplaceTheAssumption) {
  ServiceTime Time;
  initServiceTime(Time, Milliseconds(800), true);
  BOOST_TEST(meanServiceTime(Time).count() == 533);
  initServiceTime(Time, Milliseconds(2000), true);
  BOOST_TEST(meanServiceTime(Time).count() == 533);
  for (int Count = 0; Count < 60; ++Count)
    recordServiceTime(Time, Milliseconds(100));
  BOOST_TEST(meanServiceTime(Time).count() < 110);
}

// Load pattern: all upstreams have just started cold under high load. The first
// answers come from the shortest requests; their mean of 29 ms admitted 31
// waiting requests for 13 slots that took 700 ms each, and most answers were
// late.
BOOST_AUTO_TEST_CASE(queueOfAColdUpstreamStaysShort) {
  constexpr Milliseconds Objective{800};
  constexpr std::int64_t ShortWork = 30;
  constexpr std::int64_t Work = 600;
  constexpr std::int64_t ArrivalEveryMs = 10;
  constexpr std::int64_t Until = 1500;
  HopQueue Queue;
  Queue.Slots = 13;
  ServiceTime Time;
  using End = std::pair<std::int64_t, std::int64_t>;
  std::priority_queue<End, std::vector<End>, std::greater<>> Ends;
  std::map<std::int64_t, std::int64_t> ArrivedAt;
  std::int64_t Id = 0;
  std::size_t Late = 0;
  std::size_t Served = 0;
  const auto Start = [&](std::int64_t Job, std::int64_t Now) {
    const std::int64_t Needs = Job % 13 == 0 ? ShortWork : Work;
    Ends.emplace(Now + Needs, Job);
  };
  for (std::int64_t Now = 1; Now < Until; ++Now) {
    while (!Ends.empty() && Ends.top().first <= Now) {
      const std::int64_t Job = Ends.top().second;
      Ends.pop();
      recordServiceTime(Time, Milliseconds(Job % 13 == 0 ? ShortWork : Work));
      --Queue.Running;
      ++Served;
      Late += Now - ArrivedAt[Job] > Objective.count() ? 1 : 0;
    }
    removeOverdue(Queue, SteadyTime(Now));
    while (const auto Next = startNext(Queue, SteadyTime(Now)))
      Start(Next->value(), Now);
    if (Now % ArrivalEveryMs != 0)
      continue;
    QueuedJob Job;
    Job.Id = JobId(++Id);
    Job.Arrived = SteadyTime(Now);
    Job.Objective = Objective;
    Job.ObjectiveAt = SteadyTime(Now + Objective.count());
    Job.DeadlineAt = SteadyTime(Now + 1500);
    ArrivedAt[Id] = Now;
    initServiceTime(Time, Objective, true);
    Job.ServiceTime = meanServiceTime(Time);
    const QueueDecision Admission =
        admitJob(Queue, Job, meanServiceTime(Time), SteadyTime(Now));
    if (Admission.Choice == QueueDecision::Action::Run) {
      ++Queue.Running;
      Start(Id, Now);
    } else if (Admission.Choice == QueueDecision::Action::Wait) {
      Queue.Waiting.push_back(Job);
    }
    BOOST_TEST(Queue.Waiting.size() <= 5U);
  }
  BOOST_TEST(Served > 25U);
  BOOST_TEST(Late * 10 <= Served);
}

BOOST_AUTO_TEST_SUITE_END()
