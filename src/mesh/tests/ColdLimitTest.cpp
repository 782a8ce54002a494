#include "mesh/Mesh.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <random>
#include <vector>

using namespace lycheethread;
using namespace lycheethread::mesh;

namespace {

constexpr double Rate = 10;
/// What the platform allows in any second, and what the node keeps to.
constexpr std::int64_t Bound = 23;
constexpr std::int64_t Used = 16;

ColdLimit limited(double PerSecond = Rate, const MeshBounds &Bounds = {}) {
  ColdLimit Limit;
  setColdRate(Limit, PerSecond, Bounds, SteadyTime(0));
  return Limit;
}

/// An upstream with a queue, to which \p PerMs requests a millisecond come.
struct ColdQueue {
  HopQueue Queue;
  std::vector<std::int64_t> Sent;
  std::int64_t LastId = 0;
  int Refused = 0;
  std::int64_t LongestRetryDelayMs = 0;

  ColdQueue() {
    Queue.Slots = 100'000;
    Queue.Cold = limited();
  }
  void send(SteadyTime Now) {
    BOOST_REQUIRE(coldSendDelay(Queue.Cold, Now) == Milliseconds(0));
    recordColdSend(Queue.Cold, Now);
    Sent.push_back(Now.value());
    --Queue.Running;
  }
  void offer(SteadyTime Now) {
    QueuedJob Job;
    Job.Id = JobId(++LastId);
    Job.Arrived = Now;
    Job.Objective = Milliseconds(400);
    Job.ObjectiveAt = after(Now, Milliseconds(400));
    Job.DeadlineAt = after(Now, Milliseconds(1200));
    Job.ServiceTime = Milliseconds(5);
    const QueueDecision Choice = admitJob(Queue, Job, Milliseconds(5), Now);
    if (Choice.Choice == QueueDecision::Action::Run) {
      startNow(Queue, Now);
      send(Now);
    } else if (Choice.Choice == QueueDecision::Action::Wait) {
      Queue.Waiting.push_back(Job);
    } else {
      ++Refused;
      LongestRetryDelayMs =
          std::max(LongestRetryDelayMs, Choice.RetryDelay.count());
    }
  }
  void tick(SteadyTime Now) {
    removeOverdue(Queue, Now);
    while (startNext(Queue, Now))
      send(Now);
  }
  /// The most requests in any second that begins at \p From or later; each
  /// arrives up to \p DelayMs after it was sent.
  std::int64_t mostInASecond(std::int64_t From, std::int64_t DelayMs = 0) {
    std::mt19937_64 Random(7);
    std::uniform_int_distribution<std::int64_t> Delay(0, DelayMs);
    std::vector<std::int64_t> Arrived;
    for (const std::int64_t At : Sent)
      Arrived.push_back(At + Delay(Random));
    std::sort(Arrived.begin(), Arrived.end());
    std::int64_t Most = 0;
    for (auto First = std::lower_bound(Arrived.begin(), Arrived.end(), From);
         First != Arrived.end(); ++First)
      Most = std::max<std::int64_t>(
          Most, std::upper_bound(First, Arrived.end(), *First + 1000) - First);
    return Most;
  }
  std::int64_t sentBetween(std::int64_t From, std::int64_t To) const {
    return std::count_if(Sent.begin(), Sent.end(), [&](std::int64_t At) {
      return At >= From && At < To;
    });
  }
};

} // namespace

BOOST_AUTO_TEST_SUITE(ColdUpstreams)

// Guards against a cold upstream that gets more than the bound in some second,
// or hardly anything, under even load and under bursts.
BOOST_AUTO_TEST_CASE(boundHoldsInAnySlidingSecond) {
  for (const int Burst : {1, 40, 300}) {
    ColdQueue Item;
    recordColdCheckIn(Item.Queue.Cold, Milliseconds(60'000), true,
                      SteadyTime(0));
    for (std::int64_t Ms = 1; Ms < 20'000; ++Ms) {
      Item.tick(SteadyTime(Ms));
      if (Ms % (5 * Burst) == 0)
        for (int Count = 0; Count < Burst; ++Count)
          Item.offer(SteadyTime(Ms));
    }
    BOOST_TEST(Item.mostInASecond(0) <= Used);
    BOOST_TEST(Item.mostInASecond(0, 300) <= Bound);
    // With a burst every 1.5 s, most of the rate comes to nobody.
    if (Burst < 100)
      BOOST_TEST(Item.Sent.size() >= 180U);
  }
}

// Guards against requests sent before the upstream turned cold that add to
// those that it gets while it is cold, and against a burst at the start.
BOOST_AUTO_TEST_CASE(requestsSentBeforeTurningColdCount) {
  ColdQueue Item;
  for (std::int64_t Ms = 1; Ms < 6000; ++Ms) {
    Item.tick(SteadyTime(Ms));
    if (Ms == 2000)
      recordColdCheckIn(Item.Queue.Cold, Milliseconds(10'000), false,
                        SteadyTime(Ms));
    if (Ms % 5 == 0)
      Item.offer(SteadyTime(Ms));
  }
  BOOST_TEST(Item.sentBetween(900, 1900) == 200);
  // The second before holds more than the limit, so nothing may follow until
  // it has passed.
  BOOST_TEST(Item.sentBetween(2000, 2900) == 0);
  BOOST_TEST(Item.mostInASecond(2000) <= Used);
  BOOST_TEST(Item.sentBetween(3000, 6000) >= 27);
}

// Guards against requests that were given a slot while the upstream was warm
// and are sent in a burst once their connections are there.
BOOST_AUTO_TEST_CASE(startedRequestIsNotSentToAFullWindow) {
  ColdLimit Limit = limited();
  for (int Count = 0; Count < 30; ++Count)
    recordColdSend(Limit, SteadyTime(1000 + Count));
  BOOST_TEST(coldSendDelay(Limit, SteadyTime(1050)).count() == 0);
  recordConnectionLoss(Limit, ConnectionLoss::Broken, SteadyTime(1050));
  const Milliseconds Delay = coldSendDelay(Limit, SteadyTime(1050));
  BOOST_TEST(Delay.count() > 900);
  BOOST_TEST(coldSendDelay(Limit, after(SteadyTime(1050), Delay)).count() == 0);
}

// Guards against an upstream that is held to the cold rate for longer than it
// is cold.
BOOST_AUTO_TEST_CASE(warmUpstreamGetsAllRequestsAgain) {
  ColdQueue Item;
  recordColdCheckIn(Item.Queue.Cold, Milliseconds(3000), true, SteadyTime(0));
  for (std::int64_t Ms = 1; Ms < 6000; ++Ms) {
    Item.tick(SteadyTime(Ms));
    if (Ms % 5 == 0)
      Item.offer(SteadyTime(Ms));
  }
  BOOST_TEST(Item.sentBetween(0, 3000) <= 34);
  BOOST_TEST(Item.sentBetween(3000, 6000) >= 598);
}

// Guards against requests that wait until their deadline, or are told a wrong
// time, where the upstream cannot take them.
BOOST_AUTO_TEST_CASE(whatCannotBeTakenIsRefusedAtOnce) {
  ColdQueue Item;
  recordColdCheckIn(Item.Queue.Cold, Milliseconds(60'000), true, SteadyTime(0));
  for (std::int64_t Ms = 1; Ms < 10'000; ++Ms) {
    Item.tick(SteadyTime(Ms));
    if (Ms % 5 == 0)
      Item.offer(SteadyTime(Ms));
    BOOST_TEST(Item.Queue.Waiting.size() <= 1U);
  }
  BOOST_TEST(Item.Refused > 1800);
  // The next permit is at most 100 ms away.
  BOOST_TEST(Item.LongestRetryDelayMs <= 100);
  const HopQueue &Queue = Item.Queue;
  BOOST_TEST(*limitOf(Queue, SteadyTime(10'000)) == Rate);
}

// Guards against a restart that no check-in tells of yet: the upstream would
// get the requests of a warm one.
BOOST_AUTO_TEST_CASE(possiblyRestartedUpstreamIsLimited) {
  ColdLimit Limit = limited();
  recordColdCheckIn(Limit, Milliseconds(0), true, SteadyTime(1000));
  BOOST_TEST(!isLimited(Limit, SteadyTime(1000)));
  recordConnectionLoss(Limit, ConnectionLoss::Broken, SteadyTime(2000));
  BOOST_TEST(isLimited(Limit, SteadyTime(9000)));
  recordColdCheckIn(Limit, Milliseconds(0), false, SteadyTime(9000));
  BOOST_TEST(!isLimited(Limit, SteadyTime(9000)));
}

// Guards against a late check-in from before a restart that ends the limit.
BOOST_AUTO_TEST_CASE(lateCheckInDoesNotEndTheLimit) {
  ColdLimit Limit = limited();
  recordConnectionLoss(Limit, ConnectionLoss::Refused, SteadyTime(2000));
  recordColdCheckIn(Limit, Milliseconds(0), false, SteadyTime(3500));
  BOOST_TEST(isLimited(Limit, SteadyTime(3500)));
  // That of the new process does, or says how long it lasts.
  ColdLimit Same = Limit;
  recordColdCheckIn(Limit, Milliseconds(700), true, SteadyTime(3600));
  BOOST_TEST(isLimited(Limit, SteadyTime(4299)));
  BOOST_TEST(!isLimited(Limit, SteadyTime(4300)));
  recordColdCheckIn(Same, Milliseconds(0), false, SteadyTime(5000));
  BOOST_TEST(!isLimited(Same, SteadyTime(5000)));
}

// Guards against a change for services without a stated rate.
BOOST_AUTO_TEST_CASE(withoutARateThereIsNoLimit) {
  HopQueue Queue;
  Queue.Slots = 5;
  recordColdCheckIn(Queue.Cold, Milliseconds(5000), true, SteadyTime(0));
  recordConnectionLoss(Queue.Cold, ConnectionLoss::Refused, SteadyTime(10));
  for (int Count = 0; Count < 1000; ++Count)
    recordColdSend(Queue.Cold, SteadyTime(20));
  BOOST_TEST(!isLimited(Queue.Cold, SteadyTime(20)));
  BOOST_TEST(Queue.Cold.Sent.empty());
  BOOST_TEST(permitDelay(Queue, 7, SteadyTime(20)).count() == 0);
  BOOST_TEST(coldSendDelay(Queue.Cold, SteadyTime(20)).count() == 0);
  BOOST_TEST(!limitOf(Queue, SteadyTime(20)).has_value());
}

// Guards against a bound without tolerance that is exceeded, and against an
// upstream with a small rate that gets nothing.
BOOST_AUTO_TEST_CASE(tightBoundsHold) {
  MeshBounds Bounds;
  Bounds.ColdOverage = 1;
  Bounds.ColdSlack = 0;
  for (const double PerSecond : {0.5, 1.0, 4.0}) {
    ColdQueue Item;
    Item.Queue.Cold = limited(PerSecond, Bounds);
    recordColdCheckIn(Item.Queue.Cold, Milliseconds(60'000), true,
                      SteadyTime(0));
    for (std::int64_t Ms = 1; Ms < 20'000; ++Ms) {
      Item.tick(SteadyTime(Ms));
      if (Ms % 20 == 0)
        Item.offer(SteadyTime(Ms));
    }
    BOOST_TEST(Item.mostInASecond(0) <= std::max(1.0, PerSecond));
    BOOST_TEST(static_cast<double>(Item.Sent.size()) >= PerSecond * 18);
  }
}

// Guards against a stated limit that is forgotten while the upstream is cold.
BOOST_AUTO_TEST_CASE(tighterOfBothLimitsHolds) {
  HopQueue Queue;
  Queue.Slots = 100;
  Queue.Cold = limited();
  recordColdCheckIn(Queue.Cold, Milliseconds(5000), true, SteadyTime(0));
  requests::recordStatedLimit(Queue.Limit, 2.0, SteadyTime(0), SteadyTime(0));
  BOOST_TEST(*limitOf(Queue, SteadyTime(1)) == 2.0);
  startNow(Queue, SteadyTime(1));
  BOOST_TEST(permitDelay(Queue, 0, SteadyTime(1)).count() > 400);
  requests::recordStatedLimit(Queue.Limit, 200.0, SteadyTime(2), SteadyTime(2));
  BOOST_TEST(*limitOf(Queue, SteadyTime(3)) == Rate);
  // After the cold time the stated one alone.
  BOOST_TEST(*limitOf(Queue, SteadyTime(5000)) == 200.0);
}

// Guards against a delay that overflows and leaves the upstream unlimited.
BOOST_AUTO_TEST_CASE(rateOfAnySizeIsKept) {
  constexpr std::int64_t Ahead = 10'000;
  for (const double PerSecond : {5e-324, 1e-300, 1e-20, 1e-9, 1e9}) {
    ColdLimit Limit = limited(PerSecond);
    recordColdCheckIn(Limit, Milliseconds(60'000), true, SteadyTime(0));
    const Milliseconds UntilWarm(59'990);
    const Milliseconds Wanted = PerSecond < 1 ? UntilWarm : Milliseconds(1);
    BOOST_TEST(coldDelay(Limit, Ahead, SteadyTime(10)).count() ==
                   Wanted.count(),
               PerSecond);
    // It is not known how long the limit lasts.
    recordConnectionLoss(Limit, ConnectionLoss::Refused, SteadyTime(20));
    BOOST_TEST((coldDelay(Limit, Ahead, SteadyTime(20)) >= Wanted), PerSecond);
  }
}

BOOST_AUTO_TEST_SUITE_END()
