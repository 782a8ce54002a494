#include "mesh/Mesh.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <functional>
#include <random>
#include <vector>

using namespace lycheethread;
using namespace lycheethread::mesh;

namespace {

constexpr double ColdRate = 13;
/// 13 requests a second, 1.5 times as many, and 8 on top.
constexpr std::int64_t Bound = 27;
constexpr std::int64_t CheckInMs = 1500;
constexpr std::int64_t HealthAnswerMs = 5;

struct Exchange {
  RouteName Route;
  std::int64_t SentAt = 0;
  std::int64_t EndAt = 0;
};

/// A last hop with its upstream, which is asked in steps of 1 ms.
struct WatchedUpstream {
  HopQueue Queue;
  ColdSuspicion Watch;
  std::mt19937_64 Random;
  /// Spread of the logarithm of the service times.
  double Spread = 0.4;
  double UsualMs = 70;
  /// Factor on the service times at a time, and the cold time that a health
  /// check or check-in states.
  std::function<double(std::int64_t)> Slowness = [](std::int64_t) {
    return 1.0;
  };
  std::function<std::int64_t(std::int64_t)> ColdFor = [](std::int64_t) {
    return std::int64_t(0);
  };
  bool AnswersChecks = true;
  bool SendsCheckIns = true;

  std::int64_t LastId = 0;
  std::vector<Exchange> Running;
  std::vector<std::int64_t> Sent;
  std::vector<std::int64_t> Checks;
  int Refused = 0;

  explicit WatchedUpstream(std::uint64_t Seed = 1) : Random(Seed) {
    Queue.Slots = 6;
    setColdRate(Queue.Cold, ColdRate, {}, SteadyTime(0));
    recordColdCheckIn(Queue.Cold, Milliseconds(0), true, SteadyTime(0));
  }

  void send(std::int64_t Ms) {
    BOOST_REQUIRE(coldSendDelay(Queue.Cold, SteadyTime(Ms)).count() == 0);
    recordColdSend(Queue.Cold, SteadyTime(Ms));
    Sent.push_back(Ms);
    // One request of three belongs to a route that takes three times as long.
    const bool IsLong = Random() % 3 == 0;
    std::normal_distribution<double> Log(0, Spread);
    const double Took =
        UsualMs * (IsLong ? 1.8 : 0.6) * std::exp(Log(Random)) * Slowness(Ms);
    Running.push_back({RouteName(IsLong ? "long" : "short"), Ms,
                       Ms + std::max<std::int64_t>(1, std::llround(Took))});
  }

  void offer(std::int64_t Ms) {
    QueuedJob Job;
    Job.Id = JobId(++LastId);
    Job.Arrived = SteadyTime(Ms);
    Job.Objective = Milliseconds(800);
    Job.ObjectiveAt = SteadyTime(Ms + 800);
    Job.DeadlineAt = SteadyTime(Ms + 2000);
    Job.ServiceTime = Milliseconds(70);
    const QueueDecision Choice =
        admitJob(Queue, Job, Milliseconds(70), SteadyTime(Ms));
    if (Choice.Choice == QueueDecision::Action::Run) {
      startNow(Queue, SteadyTime(Ms));
      send(Ms);
    } else if (Choice.Choice == QueueDecision::Action::Wait) {
      Queue.Waiting.push_back(Job);
    } else {
      ++Refused;
    }
  }

  void endCheck(std::int64_t Ms) {
    if (!Queue.Cold.CheckEnd)
      return;
    const std::int64_t Since = Ms - Checks.back();
    if (AnswersChecks ? Since < HealthAnswerMs
                      : Since < HealthCheckTimeout.count())
      return;
    HealthAnswer Answer;
    if (AnswersChecks)
      Answer = {HealthAnswer::Kind::Answered, Milliseconds(ColdFor(Ms))};
    recordHealthAnswer(Queue.Cold, Answer, SteadyTime(Ms));
    if (AnswersChecks)
      recordKnownState(Watch, ColdFor(Ms) > 0);
    --Queue.Running;
  }

  void step(std::int64_t Ms) {
    const SteadyTime Now(Ms);
    if (SendsCheckIns && Ms % CheckInMs == 0) {
      recordColdCheckIn(Queue.Cold, Milliseconds(ColdFor(Ms)), false, Now);
      recordKnownState(Watch, ColdFor(Ms) > 0);
    }
    endCheck(Ms);
    const auto Ended = std::stable_partition(
        Running.begin(), Running.end(),
        [&](const Exchange &Item) { return Item.EndAt > Ms; });
    for (auto Item = Ended; Item != Running.end(); ++Item) {
      --Queue.Running;
      if (!isColdLimited(Queue.Cold, Now) &&
          Item->SentAt >= Queue.Cold.ColdUntil.value())
        recordWatchedAnswer(Watch, Item->Route,
                            Milliseconds(Item->EndAt - Item->SentAt));
    }
    Running.erase(Ended, Running.end());
    if (!isLimited(Queue.Cold, Now) && needsHealthCheck(Watch, Now)) {
      recordHealthCheck(Watch, Now);
      startHealthCheck(Queue.Cold, Now);
      Checks.push_back(Ms);
      ++Queue.Running;
    }
    removeOverdue(Queue, Now);
    while (startNext(Queue, Now))
      send(Ms);
  }

  /// Offers \p PerSecond requests a second, evenly.
  void run(std::int64_t From, std::int64_t To, std::int64_t PerSecond) {
    for (std::int64_t Ms = From; Ms < To; ++Ms) {
      step(Ms);
      if (Ms * PerSecond / 1000 != (Ms - 1) * PerSecond / 1000)
        offer(Ms);
    }
  }

  /// The most requests in any second that begins at \p From or later.
  std::int64_t mostInASecond(std::int64_t From) const {
    std::int64_t Most = 0;
    for (auto First = std::lower_bound(Sent.begin(), Sent.end(), From);
         First != Sent.end(); ++First)
      Most = std::max<std::int64_t>(
          Most, std::upper_bound(First, Sent.end(), *First + 1000) - First);
    return Most;
  }
  std::int64_t countFrom(const std::vector<std::int64_t> &Times,
                         std::int64_t From, std::int64_t To) const {
    return std::count_if(Times.begin(), Times.end(), [&](std::int64_t At) {
      return At >= From && At < To;
    });
  }
  std::int64_t mostChecksInASecond() const {
    std::int64_t Most = 0;
    for (const std::int64_t At : Checks)
      Most = std::max(Most, countFrom(Checks, At, At + 1000));
    return Most;
  }
};

constexpr std::int64_t Warmup = 30'000;

} // namespace

BOOST_AUTO_TEST_SUITE(ColdSuspicions)

// Guards against an upstream that turns cold 0.2 s after a check-in, without a
// restart, and gets the requests of a warm one until the next check-in.
BOOST_AUTO_TEST_CASE(coldPhaseWithoutARestartKeepsTheBound) {
  const std::int64_t Start = Warmup + 200;
  const std::int64_t End = Start + 4000;
  for (std::uint64_t Seed = 1; Seed <= 200; ++Seed) {
    WatchedUpstream Item(Seed);
    Item.Slowness = [=](std::int64_t Ms) {
      return Ms >= Start && Ms < End ? 2.0 : 1.0;
    };
    Item.ColdFor = [=](std::int64_t Ms) {
      return Ms >= Start ? std::max<std::int64_t>(0, End - Ms) : 0;
    };
    Item.run(0, End + 4000, 40);
    BOOST_TEST_INFO("seed " << Seed);
    BOOST_TEST(Item.mostInASecond(Start - 1000) >= 39);
    const auto IsInPhase = [=](std::int64_t At) { return At < End; };
    WatchedUpstream Phase(Seed);
    std::copy_if(Item.Sent.begin(), Item.Sent.end(),
                 std::back_inserter(Phase.Sent), IsInPhase);
    BOOST_TEST(Phase.mostInASecond(Start) <= Bound);
    BOOST_TEST(Item.mostChecksInASecond() <= 1);
    // It is used fully again once it is warm.
    BOOST_TEST(Item.countFrom(Item.Sent, End + 2000, End + 4000) >= 76);
  }
}

// Guards against health checks, which are billed, of an upstream whose service
// times are as usual, also where they vary widely.
BOOST_AUTO_TEST_CASE(usualTimesCauseHardlyAnyChecks) {
  for (const double Spread : {0.05, 0.3, 0.6, 0.9}) {
    WatchedUpstream Item;
    Item.Spread = Spread;
    Item.run(0, 600'000, 40);
    BOOST_TEST_INFO("spread " << Spread);
    // In ten minutes and 24,000 answers.
    BOOST_TEST(Item.Checks.size() <= 10U);
  }
}

// Guards against single long requests that are taken for a cold upstream.
BOOST_AUTO_TEST_CASE(longRequestsCauseNoCheck) {
  WatchedUpstream Item;
  Item.run(0, Warmup, 40);
  const std::size_t Before = Item.Checks.size();
  for (int Count = 0; Count < 20; ++Count) {
    const std::int64_t At = Warmup + Count * 1000;
    Item.Slowness = [=](std::int64_t Ms) {
      return Ms >= At + 100 && Ms < At + 150 ? 20.0 : 1.0;
    };
    Item.run(At, At + 1000, 40);
  }
  BOOST_TEST(Item.Checks.size() == Before);
}

// Guards against a slow upstream that is not cold and is limited, that loses
// requests to health checks, or that is checked more than once a second.
BOOST_AUTO_TEST_CASE(slowUpstreamIsNotLimited) {
  WatchedUpstream Item;
  Item.UsualMs = 50;
  Item.run(0, Warmup, 40);
  const std::int64_t Before = Item.countFrom(Item.Sent, Warmup - 5000, Warmup);
  Item.Slowness = [](std::int64_t) { return 2.5; };
  Item.run(Warmup, Warmup + 10'000, 40);
  BOOST_TEST(Item.countFrom(Item.Checks, Warmup, Warmup + 10'000) >= 1);
  // The slow times become the usual ones.
  BOOST_TEST(Item.countFrom(Item.Checks, Warmup, Warmup + 10'000) <= 5);
  BOOST_TEST(Item.mostChecksInASecond() <= 1);
  BOOST_TEST(!isColdLimited(Item.Queue.Cold, SteadyTime(Warmup + 10'000)));
  BOOST_TEST(Item.countFrom(Item.Sent, Warmup + 5000, Warmup + 10'000) >=
             Before - 5);
  BOOST_TEST(Item.Refused <= 2);
}

// Guards against a limit that ends with an unanswered health check, and against
// one that outlasts the next check-in.
BOOST_AUTO_TEST_CASE(uncheckedUpstreamIsLimitedUntilACheckIn) {
  WatchedUpstream Item;
  Item.AnswersChecks = false;
  Item.run(0, Warmup, 40);
  Item.SendsCheckIns = false;
  Item.Checks.clear();
  Item.Slowness = [](std::int64_t) { return 2.0; };
  Item.run(Warmup, Warmup + 6000, 40);
  BOOST_TEST(Item.Checks.size() == 1U);
  BOOST_TEST(Item.mostInASecond(Warmup) <= Bound);
  BOOST_TEST(isColdLimited(Item.Queue.Cold, SteadyTime(Warmup + 6000)));
  recordColdCheckIn(Item.Queue.Cold, Milliseconds(0), false,
                    SteadyTime(Warmup + 6000));
  BOOST_TEST(!isLimited(Item.Queue.Cold, SteadyTime(Warmup + 6000)));
}

// Guards against a late check-in from before a cold phase that ends the limit
// set by a health check, and against an upstream that states a long cold time
// there and that its later check-ins cannot correct.
BOOST_AUTO_TEST_CASE(newerCheckInWins) {
  ColdLimit Limit;
  setColdRate(Limit, ColdRate, {}, SteadyTime(0));
  startHealthCheck(Limit, SteadyTime(1000));
  BOOST_TEST(isLimited(Limit, SteadyTime(1100)));
  BOOST_TEST(!isColdLimited(Limit, SteadyTime(1100)));
  recordHealthAnswer(Limit,
                     {HealthAnswer::Kind::Answered, Milliseconds(60'000)},
                     SteadyTime(1010));
  recordColdCheckIn(Limit, Milliseconds(0), false, SteadyTime(1500));
  BOOST_TEST(isColdLimited(Limit, SteadyTime(1500)));
  recordColdCheckIn(Limit, Milliseconds(0), false, SteadyTime(4100));
  BOOST_TEST(!isLimited(Limit, SteadyTime(4100)));
}

// Guards against answers to requests that were sent before a check-in of a warm
// upstream and that count as those of a cold one: mostly long ones.
BOOST_AUTO_TEST_CASE(warmCheckInKeepsTheEndOfTheColdTime) {
  ColdLimit Limit;
  setColdRate(Limit, ColdRate, {}, SteadyTime(0));
  recordColdCheckIn(Limit, Milliseconds(2000), true, SteadyTime(1000));
  recordColdCheckIn(Limit, Milliseconds(0), false, SteadyTime(5000));
  BOOST_TEST(Limit.ColdUntil.value() == 3000);
  startHealthCheck(Limit, SteadyTime(6000));
  recordHealthAnswer(Limit, {HealthAnswer::Kind::Answered, Milliseconds(0)},
                     SteadyTime(6005));
  BOOST_TEST(Limit.ColdUntil.value() == 3000);
  // A cold time that ends early ends now.
  recordColdCheckIn(Limit, Milliseconds(2000), false, SteadyTime(7000));
  recordColdCheckIn(Limit, Milliseconds(0), false, SteadyTime(8000));
  BOOST_TEST(Limit.ColdUntil.value() == 8000);
}

// Guards against the answer of a process that has been replaced meanwhile.
BOOST_AUTO_TEST_CASE(answerFromBeforeALossDoesNotEndTheLimit) {
  ColdLimit Limit;
  setColdRate(Limit, ColdRate, {}, SteadyTime(0));
  startHealthCheck(Limit, SteadyTime(1000));
  recordConnectionLoss(Limit, ConnectionLoss::Broken, SteadyTime(1005));
  recordHealthAnswer(Limit, {HealthAnswer::Kind::Answered, Milliseconds(0)},
                     SteadyTime(1010));
  BOOST_TEST(isColdLimited(Limit, SteadyTime(1010)));
}

// Guards against the requests of a warm upstream to one that turned cold while
// its zone was evacuated: check-ins that were sent before the lift may be late.
BOOST_AUTO_TEST_CASE(returnedZoneIsLimitedUntilItIsKnownToBeWarm) {
  ColdLimit Limit;
  setColdRate(Limit, ColdRate, {}, SteadyTime(0));
  recordZoneReturn(Limit, SteadyTime(10'000));
  BOOST_TEST(isColdLimited(Limit, SteadyTime(10'000)));
  ColdLimit Checked = Limit;
  ColdLimit Cold = Limit;
  recordColdCheckIn(Limit, Milliseconds(0), false, SteadyTime(11'500));
  BOOST_TEST(isColdLimited(Limit, SteadyTime(11'500)));
  recordColdCheckIn(Limit, Milliseconds(0), false, SteadyTime(13'000));
  BOOST_TEST(!isLimited(Limit, SteadyTime(13'000)));
  // A health check tells at once.
  startHealthCheck(Checked, SteadyTime(10'000));
  recordHealthAnswer(Checked, {HealthAnswer::Kind::Answered, Milliseconds(0)},
                     SteadyTime(10'004));
  BOOST_TEST(!isLimited(Checked, SteadyTime(10'004)));
  startHealthCheck(Cold, SteadyTime(10'000));
  recordHealthAnswer(Cold, {HealthAnswer::Kind::Answered, Milliseconds(2000)},
                     SteadyTime(10'004));
  recordColdCheckIn(Cold, Milliseconds(0), false, SteadyTime(11'500));
  BOOST_TEST(isColdLimited(Cold, SteadyTime(12'003)));
  BOOST_TEST(!isLimited(Cold, SteadyTime(12'004)));
}

// Guards against a change for services without a stated rate.
BOOST_AUTO_TEST_CASE(withoutARateNothingIsLimited) {
  ColdLimit Limit;
  startHealthCheck(Limit, SteadyTime(1000));
  recordHealthAnswer(Limit, {}, SteadyTime(1250));
  recordZoneReturn(Limit, SteadyTime(2000));
  BOOST_TEST(!isLimited(Limit, SteadyTime(2000)));
  BOOST_TEST(coldDelay(Limit, 9, SteadyTime(2000)).count() == 0);
}

BOOST_AUTO_TEST_SUITE_END()
