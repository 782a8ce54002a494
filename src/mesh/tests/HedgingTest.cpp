#include "mesh/Mesh.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <cmath>
#include <functional>

using namespace lycheethread;
using namespace lycheethread::mesh;

namespace {

constexpr double MaxShare = 0.05;
/// Hedged requests that a window may have beyond the share.
constexpr double MaxBurst = 3;
/// A fleet of the size for which the feature is made.
constexpr std::size_t Nodes = 84;
constexpr int Upstreams = 34;
constexpr std::int32_t Slots = 6;

HedgeRequest ordinaryRequest() {
  HedgeRequest Request;
  Request.MaxAttempts = 2;
  Request.ObjectiveLeft = Milliseconds(1000);
  Request.DeadlineLeft = Milliseconds(1200);
  return Request;
}

const UsualLatency Usual{Milliseconds(160), Milliseconds(210)};

std::vector<Candidate> candidates(int Count, std::int32_t Outstanding) {
  std::vector<Candidate> Found;
  for (int At = 0; At < Count; ++At) {
    Candidate Item;
    Item.Node = NodeId("n" + std::to_string(At));
    Item.At.Zone = AvailabilityZone(At % 2 == 0 ? "a" : "b");
    Item.Distance = At % 2 == 0 ? Proximity::SameZone : Proximity::SameRegion;
    Item.Capacity = Slots;
    Item.Outstanding = Outstanding;
    Item.ServiceTime = Milliseconds(160);
    Found.push_back(Item);
  }
  return Found;
}

/// Calls mayHedge() with enough tokens for a first attempt at the first
/// candidate.
std::optional<std::size_t> chooseAmong(const std::vector<Candidate> &From,
                                       HedgeMoment Moment = {}) {
  Moment.First = NodeId("n0");
  Moment.FirstZone = AvailabilityZone("a");
  HedgeShare Share{1};
  MeshRetryBudget Budget;
  std::mt19937_64 Random(1);
  return mayHedge(From, Moment, Share, Budget, Random);
}

/// A list of requests at one entry.
struct Pattern {
  int Requests = 100'000;
  std::int64_t GapMs = 20;
  /// Returns how long the upstream takes for the request.
  std::function<double(int Request, int Upstream, std::mt19937_64 &)> Sample;
  /// Requests at each upstream.
  std::function<std::int32_t(int Request)> Outstanding = [](int) { return 3; };
};

struct Replayed {
  double Slowest1 = 0;
  double Slowest01 = 0;
  double PlainSlowest1 = 0;
  double PlainSlowest01 = 0;
  int Hedged = 0;
  int HedgedWhenFull = 0;
  /// Time of the cancelled attempts in parts of the time of the others.
  double ExtraWork = 0;
  /// Most hedged requests in any window beyond the share of its requests.
  double WorstBurst = 0;
};

double slowest(std::vector<double> Latencies, double Share) {
  std::sort(Latencies.begin(), Latencies.end());
  const auto From = static_cast<double>(Latencies.size()) * (1 - Share);
  return Latencies[static_cast<std::size_t>(From)];
}

Replayed replay(const char *Name, const Pattern &Given) {
  std::mt19937_64 Random(7);
  LatencyEstimate Estimate;
  std::multimap<std::int64_t, std::int64_t> Answers;
  HedgeShare Share;
  MeshRetryBudget Budget;
  const RetryLimits Limits = retryLimits(MeshBounds(), Nodes);
  std::vector<double> Plain;
  std::vector<double> Hedged;
  Replayed Result;
  double Extra = 0;
  double Work = 0;
  double Burst = 0;
  for (int At = 0; At < Given.Requests; ++At) {
    const std::int64_t Ms = 1 + At * Given.GapMs;
    const SteadyTime Now(Ms);
    while (!Answers.empty() && Answers.begin()->first <= Ms) {
      Estimate.record(Milliseconds(Answers.begin()->second),
                      SteadyTime(Answers.begin()->first));
      Answers.erase(Answers.begin());
    }
    addHedgeTokens(Share, MaxShare);
    addRetryTokens(Budget, Limits);
    const int First = At % Upstreams;
    const double Took = Given.Sample(At, First, Random);
    double Answered = Took;
    bool IsHedged = false;
    const auto Delay = hedgeDelay(ordinaryRequest(), Estimate.usual(Now));
    if (Delay && Took > static_cast<double>(Delay->count())) {
      const std::vector<Candidate> From =
          candidates(Upstreams, Given.Outstanding(At));
      const HedgeMoment Moment{
          From[First].Node, From[First].At.Zone, {}, std::nullopt};
      const auto Second = mayHedge(From, Moment, Share, Budget, Random);
      IsHedged = Second.has_value();
      if (Second) {
        ++Result.Hedged;
        Result.HedgedWhenFull += Given.Outstanding(At) > 0.8 * Slots ? 1 : 0;
        const auto Start = static_cast<double>(Delay->count());
        const double Again =
            Given.Sample(At, static_cast<int>(*Second), Random);
        Answered = std::min(Took, Start + Again);
        Extra += std::min(Again, Answered - Start);
        // The first attempt is cancelled; it took at least this long.
        if (Start + Again < Took)
          Answers.emplace(Ms + std::llround(Answered), std::llround(Again));
      }
    }
    Answers.emplace(Ms + std::llround(Answered), std::llround(Answered));
    Work += Took;
    Plain.push_back(Took);
    Hedged.push_back(Answered);
    Burst = std::max(0.0, Burst) + (IsHedged ? 1 : 0) - MaxShare;
    Result.WorstBurst = std::max(Result.WorstBurst, Burst);
  }
  Result.Slowest1 = slowest(Hedged, 0.01);
  Result.Slowest01 = slowest(Hedged, 0.001);
  Result.PlainSlowest1 = slowest(Plain, 0.01);
  Result.PlainSlowest01 = slowest(Plain, 0.001);
  Result.ExtraWork = Extra / Work;
  BOOST_TEST_MESSAGE(
      Name << ": slowest 1% " << Result.PlainSlowest1 << " -> "
           << Result.Slowest1 << " ms, slowest 0.1% " << Result.PlainSlowest01
           << " -> " << Result.Slowest01 << " ms, hedged "
           << 100.0 * Result.Hedged / Given.Requests << "%, extra work "
           << 100 * Result.ExtraWork << "%, burst " << Result.WorstBurst);
  return Result;
}

double usualTime(std::mt19937_64 &Random) {
  return std::lognormal_distribution<double>(std::log(160), 0.15)(Random);
}

bool happens(double Share, std::mt19937_64 &Random) {
  return std::uniform_real_distribution<double>(0, 1)(Random) < Share;
}

constexpr double SlowFactor = 7;

} // namespace

BOOST_AUTO_TEST_SUITE(Hedging)

// Guards against an estimate from a handful of answers.
BOOST_AUTO_TEST_CASE(estimateNeedsTwentySamples) {
  LatencyEstimate Estimate;
  for (int Count = 1; Count < 20; ++Count)
    Estimate.record(Milliseconds(100), SteadyTime(Count));
  BOOST_TEST(!Estimate.usual(SteadyTime(20)));
  Estimate.record(Milliseconds(100), SteadyTime(20));
  BOOST_REQUIRE(Estimate.usual(SteadyTime(20)));
  BOOST_TEST(Estimate.usual(SteadyTime(20))->Slow.count() == 100);
  BOOST_TEST(Estimate.usual(SteadyTime(20))->Mean.count() == 100);
}

// Guards against a quantile that is off, at few samples and across windows.
BOOST_AUTO_TEST_CASE(estimateIsTheQuantileOfRecentAnswers) {
  for (const int Samples : {100, 700, 1300, 5000}) {
    LatencyEstimate Estimate;
    for (int Count = 0; Count < Samples; ++Count)
      Estimate.record(Milliseconds(1 + Count % 100), SteadyTime(1 + Count));
    const auto Known = Estimate.usual(SteadyTime(Samples));
    BOOST_REQUIRE(Known);
    BOOST_TEST(std::abs(Known->Slow.count() - 95) <= 2);
    BOOST_TEST(std::abs(Known->Mean.count() - 50) <= 2);
  }
}

// Guards against a hedging delay of times when the load was different.
BOOST_AUTO_TEST_CASE(estimateFollowsAChangeWithinSeconds) {
  LatencyEstimate Estimate;
  std::int64_t Now = 1;
  for (; Now < 60'000; Now += 50)
    Estimate.record(Milliseconds(100), SteadyTime(Now));
  for (; Now < 68'000; Now += 50)
    Estimate.record(Milliseconds(400), SteadyTime(Now));
  BOOST_TEST(Estimate.usual(SteadyTime(Now))->Mean.count() == 400);
  for (; Now < 76'000; Now += 50)
    Estimate.record(Milliseconds(100), SteadyTime(Now));
  BOOST_TEST(Estimate.usual(SteadyTime(Now))->Slow.count() == 100);
  // Nothing is known after a long time without requests.
  BOOST_TEST(!Estimate.usual(SteadyTime(Now + 31'000)));
}

// Guards against a second run of a request that may run only once, and against
// more runs than the route allows.
BOOST_AUTO_TEST_CASE(onlyRepeatableRequestsWithAttemptsLeftAreHedged) {
  BOOST_TEST(hedgeDelay(ordinaryRequest(), Usual)->count() == 210);
  BOOST_TEST(!hedgeDelay(ordinaryRequest(), std::nullopt));
  HedgeRequest Request = ordinaryRequest();
  Request.Class = RequestClass::OnceOnly;
  BOOST_TEST(!hedgeDelay(Request, Usual));
  Request.Class = RequestClass::Upload;
  BOOST_TEST(!hedgeDelay(Request, Usual));
  Request = ordinaryRequest();
  Request.HasWholeBody = false;
  BOOST_TEST(!hedgeDelay(Request, Usual));
  Request = ordinaryRequest();
  Request.MaxAttempts = 1;
  BOOST_TEST(!hedgeDelay(Request, Usual));
  Request.MaxAttempts = 5;
  Request.Sent = 2;
  BOOST_TEST(!hedgeDelay(Request, Usual));
}

// Guards against extra work that can no longer help the caller.
BOOST_AUTO_TEST_CASE(nothingIsHedgedWithoutTimeLeft) {
  HedgeRequest Request = ordinaryRequest();
  Request.ObjectiveLeft = Milliseconds(210);
  BOOST_TEST(!hedgeDelay(Request, Usual));
  Request.ObjectiveLeft = Milliseconds(211);
  BOOST_TEST(hedgeDelay(Request, Usual).has_value());
  Request.DeadlineLeft = Milliseconds(369);
  BOOST_TEST(!hedgeDelay(Request, Usual));
  Request.DeadlineLeft = Milliseconds(370);
  BOOST_TEST(hedgeDelay(Request, Usual).has_value());
}

// Guards against a second upstream that cannot start at once, is slow itself or
// lies behind a region link.
BOOST_AUTO_TEST_CASE(secondUpstreamHasAFreeSlotInTheOwnRegion) {
  BOOST_TEST(!chooseAmong(candidates(1, 0)));
  BOOST_TEST(chooseAmong(candidates(2, 0)).value_or(0) == 1U);
  const auto With = [](const std::function<void(Candidate &)> &Change) {
    std::vector<Candidate> Given = candidates(4, 0);
    Change(Given[1]);
    Change(Given[2]);
    Change(Given[3]);
    return chooseAmong(Given);
  };
  BOOST_TEST(With([](Candidate &) {}).has_value());
  BOOST_TEST(!With([](Candidate &Item) { Item.IsCold = true; }));
  BOOST_TEST(!With([](Candidate &Item) { Item.IsBeyondShare = true; }));
  BOOST_TEST(!With([](Candidate &Item) { Item.PermitWait = Milliseconds(1); }));
  BOOST_TEST(!With([](Candidate &Item) { Item.FailureRate = 0.3; }));
  BOOST_TEST(
      !With([](Candidate &Item) { Item.Distance = Proximity::OtherRegion; }));
  // Full upstreams beside a large empty one: the service is not short.
  std::vector<Candidate> Full = candidates(4, Slots);
  Full[0].Capacity = 100;
  Full[0].Outstanding = 1;
  BOOST_TEST(!isShortOfCapacity(Full, std::nullopt));
  BOOST_TEST(!chooseAmong(Full));
  HedgeMoment Moment;
  Moment.Excluded = {NodeId("n1"), NodeId("n3")};
  BOOST_TEST(chooseAmong(candidates(4, 0), Moment).value_or(0) == 2U);
}

// Guards against a second upstream that is slow for the same reason, where one
// in another zone of the region is as fast.
BOOST_AUTO_TEST_CASE(anotherZoneIsPreferredUnlessItIsSlower) {
  std::vector<Candidate> Given = candidates(3, 0);
  BOOST_TEST(chooseAmong(Given).value_or(0) == 1U);
  Given[1].ServiceTime = Milliseconds(300);
  BOOST_TEST(chooseAmong(Given).value_or(0) == 2U);
}

// Guards against hedged requests that displace first attempts.
BOOST_AUTO_TEST_CASE(nothingIsHedgedWhenShortOfCapacity) {
  BOOST_TEST(chooseAmong(candidates(10, 4)).has_value());
  BOOST_TEST(!chooseAmong(candidates(10, 5)));
  HedgeMoment Moment;
  Moment.SinceRefusal = Milliseconds(999);
  BOOST_TEST(!chooseAmong(candidates(10, 0), Moment));
  Moment.SinceRefusal = Milliseconds(1000);
  BOOST_TEST(chooseAmong(candidates(10, 0), Moment).has_value());
  // An idle region behind a link does not help.
  std::vector<Candidate> Given = candidates(20, 5);
  for (std::size_t At = 10; At < 20; ++At) {
    Given[At].Distance = Proximity::OtherRegion;
    Given[At].Outstanding = 0;
  }
  BOOST_TEST(!chooseAmong(Given));
}

// Guards against repeats of a service beyond the retry budget, and against
// tokens that are lost for a request that is not hedged.
BOOST_AUTO_TEST_CASE(hedgedRequestsDrawOnTheRetryBudget) {
  const RetryLimits Limits = retryLimits(MeshBounds(), Nodes);
  MeshRetryBudget Budget;
  int Repeats = 0;
  for (int Count = 0; Count < 1000; ++Count) {
    addRetryTokens(Budget, Limits);
    for (const RetryKind Kind :
         {RetryKind::Hedge, RetryKind::Rejected, RetryKind::Rerun})
      Repeats += takeRetryToken(Budget, Kind) ? 1 : 0;
  }
  BOOST_TEST(Repeats <= 200);
  HedgeShare Share{1};
  std::mt19937_64 Random(1);
  Budget = {0.5, 1};
  const HedgeMoment Moment{NodeId("n0"), AvailabilityZone("a"), {}, {}};
  BOOST_TEST(!mayHedge(candidates(4, 0), Moment, Share, Budget, Random));
  BOOST_TEST(Share.Tokens == 1);
  Budget.Rejected = 1;
  BOOST_TEST(!mayHedge(candidates(1, 0), Moment, Share, Budget, Random));
  BOOST_TEST(Budget.Rejected == 1);
  BOOST_TEST(
      mayHedge(candidates(4, 0), Moment, Share, Budget, Random).has_value());
  BOOST_TEST(Budget.Rejected == 0);
  BOOST_TEST(Share.Tokens == 0);
}

// Guards against tokens that are kept while hedging is off.
BOOST_AUTO_TEST_CASE(withoutAShareNothingIsHedged) {
  HedgeShare Share{2};
  addHedgeTokens(Share, 0);
  MeshRetryBudget Budget;
  std::mt19937_64 Random(1);
  const HedgeMoment Moment{NodeId("n0"), AvailabilityZone("a"), {}, {}};
  BOOST_TEST(!mayHedge(candidates(4, 0), Moment, Share, Budget, Random));
}

// Load pattern: any upstream is slow at times, as with pauses of its runtime.
BOOST_AUTO_TEST_CASE(someSlowAnswersDoNotReachTheCaller) {
  Pattern Given;
  Given.Sample = [](int, int, std::mt19937_64 &Random) {
    const double Time = usualTime(Random);
    return happens(0.03, Random) ? Time * SlowFactor : Time;
  };
  const Replayed Result = replay("3% of answers 7 times slower", Given);
  BOOST_TEST(Result.WorstBurst <= MaxBurst);
  BOOST_TEST(Result.Slowest1 < Result.PlainSlowest1 / 2);
  BOOST_TEST(Result.Slowest01 < Result.PlainSlowest01);
  BOOST_TEST(Result.ExtraWork < MaxShare);
}

// Load pattern: one upstream of 34 is slow.
BOOST_AUTO_TEST_CASE(oneSlowUpstreamDoesNotReachTheCaller) {
  Pattern Given;
  Given.Sample = [](int, int Upstream, std::mt19937_64 &Random) {
    return usualTime(Random) * (Upstream == 5 ? SlowFactor : 1);
  };
  const Replayed Result = replay("one upstream of 34 slow", Given);
  BOOST_TEST(Result.WorstBurst <= MaxBurst);
  BOOST_TEST(Result.Slowest1 < Result.PlainSlowest1 / 2);
  BOOST_TEST(Result.Slowest01 < Result.PlainSlowest01);
  BOOST_TEST(Result.ExtraWork < MaxShare);
}

// Load pattern: all upstreams become slow together, so that for seconds every
// request is due for hedging.
BOOST_AUTO_TEST_CASE(limitHoldsWhenAllBecomeSlow) {
  Pattern Given;
  Given.Sample = [](int At, int, std::mt19937_64 &Random) {
    return usualTime(Random) * (At / 10'000 % 2 == 1 ? 4 : 1);
  };
  const Replayed Result = replay("all slow in turn", Given);
  BOOST_TEST(Result.Hedged > 0);
  BOOST_TEST(Result.WorstBurst <= MaxBurst);
  BOOST_TEST(Result.ExtraWork < MaxShare);
}

// Load pattern: overload in waves. Hedged requests would add to it.
BOOST_AUTO_TEST_CASE(nothingIsHedgedInOverload) {
  Pattern Given;
  Given.Outstanding = [](int At) { return At / 5'000 % 2 == 1 ? 5 : 3; };
  Given.Sample = [](int At, int, std::mt19937_64 &Random) {
    const double Time = usualTime(Random) * (At / 5'000 % 2 == 1 ? 2 : 1);
    return happens(0.03, Random) ? Time * SlowFactor : Time;
  };
  const Replayed Result = replay("overload in waves", Given);
  BOOST_TEST(Result.Hedged > 0);
  BOOST_TEST(Result.HedgedWhenFull == 0);
  BOOST_TEST(Result.WorstBurst <= MaxBurst);
}

// Load pattern: two requests a second. The windows must span enough of them.
BOOST_AUTO_TEST_CASE(fewRequestsAreHedgedToo) {
  Pattern Given;
  Given.Requests = 20'000;
  Given.GapMs = 500;
  Given.Sample = [](int, int, std::mt19937_64 &Random) {
    const double Time = usualTime(Random);
    return happens(0.03, Random) ? Time * SlowFactor : Time;
  };
  const Replayed Result = replay("two requests a second", Given);
  BOOST_TEST(Result.Hedged > 0);
  BOOST_TEST(Result.WorstBurst <= MaxBurst);
  BOOST_TEST(Result.Slowest1 <= Result.PlainSlowest1);
}

BOOST_AUTO_TEST_SUITE_END()
