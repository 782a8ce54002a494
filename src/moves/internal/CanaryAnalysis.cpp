#include "moves/Moves.h"
#include "moves/internal/Likelihood.h"

#include <algorithm>
#include <sstream>

namespace lycheethread::moves {

namespace {

constexpr Milliseconds AnalysisWindow{1'000};
/// Nodes send reports every 2 s, at different times. A window is tested when
/// this many later windows are complete, so that a fault of both versions also
/// shows in the counts of the old version.
constexpr std::size_t LaterWindows = 2;
constexpr std::size_t EarlierWindows = 3;
constexpr std::size_t MaxAnalysisWindows = LaterWindows + EarlierWindows + 2;
constexpr std::size_t MaxRoutes = 256;
constexpr std::size_t MaxHops = 64;
constexpr std::int64_t HopRetentionWindows = 30;
/// Latencies are ignored this long after the first request to an upstream,
/// which still fills caches and pools. Includes the 2 s that a report covers.
constexpr Milliseconds ColdStart{12'500};
/// Minimum events to reject a version, whatever the likelihood ratio: with a
/// clean baseline, two events already look impossible for a good version.
constexpr std::int64_t MinEvents = 4;
/// With this many expected requests, the probability of none is below 0.1%.
constexpr double MinExpectedRequests = 7;

OutcomeCounts countsOf(const RouteOutcomes &Seen, bool Timed) {
  OutcomeCounts Result;
  Result.Requests = std::max<std::int64_t>(Seen.Requests, 0);
  Result.Failures = std::clamp<std::int64_t>(Seen.Failures, 0, Result.Requests);
  if (!Timed)
    return Result;
  for (std::size_t I = 0; I < LatencyBuckets; ++I)
    Result.Latency[I] = std::max<std::int64_t>(Seen.Latency[I], 0);
  return Result;
}

/// Counts of the old version in the complete windows from \p First on.
OutcomeCounts oldVersionCounts(const RouteAnalysis &Route, std::size_t First) {
  OutcomeCounts Result;
  for (std::size_t I = First; I + 1 < Route.Windows.size(); ++I)
    addCounts(Result, Route.Windows[I].Old);
  return Result;
}

OutcomeCounts newVersionCounts(const RouteAnalysis &Route) {
  OutcomeCounts Result;
  for (std::size_t I = 0; I + 1 < Route.Windows.size(); ++I)
    for (const auto &[Hop, Counts] : Route.Windows[I].New)
      addCounts(Result, Counts);
  return Result;
}

void restartCycle(StreamTest &Test) {
  Test.Total = 0;
  Test.ByHop.clear();
  Test.EventsInCycle = 0;
  ++Test.Cycle;
}

/// Adds the tally of one node in the tested window.
void addTally(StreamTest &Test, const NodeId &Hop, const Tally &Seen,
              const RatePair &Rates) {
  const double Ratio = logLikelihood(Seen, Rates);
  Test.Total += Ratio;
  Test.ByHop[Hop] += Ratio;
  Test.Events += Seen.Events;
  Test.EventsInCycle += Seen.Events;
  Test.Samples += Seen.Samples;
}

void checkThresholds(const CanaryAnalysis &State, StreamTest &Test) {
  const double Against = ratioAgainst(Test);
  if (Against >= upperThreshold(State, Test.Cycle) &&
      Test.EventsInCycle >= MinEvents) {
    Test.IsNewVersionBad = true;
    return;
  }
  if (Test.Total <= lowerThreshold(State))
    Test.Accepted = true;
  // Without a new cycle, a long period without events would outweigh a later
  // fault.
  if (Against <= lowerThreshold(State))
    restartCycle(Test);
}

void addTally(StreamTests &Tests, const NodeId &Hop, const Tally &Seen,
              const RatePair &Mild) {
  addTally(Tests.Mild, Hop, Seen, Mild);
  addTally(Tests.Severe, Hop, Seen, severeRates(Mild.Good));
}

void checkThresholds(const CanaryAnalysis &State, StreamTests &Tests,
                     std::size_t Hops) {
  Tests.Mild.Hops = Hops;
  Tests.Severe.Hops = Hops;
  checkThresholds(State, Tests.Mild);
  checkThresholds(State, Tests.Severe);
}

/// Comparison of one stream with the old version in the tested window.
struct Comparison {
  RatePair Rates;
  /// The old version is worse than its baseline.
  bool OldWorse = false;
  /// The new version is worse too, or has no samples.
  bool NewWorse = false;
  /// A fault of both versions explains the state of the new version.
  bool Explained = false;
};

/// Tallies that are compared. The old version is tallied over all windows, and
/// again over the tested and later windows only, since the earlier windows
/// would hide the start of a fault.
struct StreamTallies {
  Tally Baseline;
  Tally OldInAllWindows;
  Tally OldInLateWindows;
  Tally New;
};

/// State of the old version over all routes together. While its share is small,
/// few routes have enough of its requests for a test of their own.
struct GeneralFault {
  bool Present = false;
  Tally Failed;
  Tally Slow;
};

/// Log-likelihood ratio at which a degradation of the old version counts as a
/// general fault; a likelihood ratio of 100:1.
constexpr double GeneralFaultRatio = 4.6;
/// Minimum requests of the old version for a comparison by route.
constexpr std::int64_t MinRouteSamples = 20;

/// Adds one event and one non-event, because a small tally can understate the
/// rate.
Tally withPrior(const Tally &Seen) {
  return {Seen.Events + 1, Seen.Samples + 2};
}

void add(Tally &Sum, const Tally &More) {
  Sum.Events += More.Events;
  Sum.Samples += More.Samples;
}

GeneralFault generalFault(const CanaryAnalysis &State) {
  GeneralFault Result;
  double FailedRatio = 0;
  double SlowRatio = 0;
  for (const auto &[Name, Route] : State.Routes) {
    if (Route.Windows.size() < LaterWindows + 2)
      continue;
    const OutcomeCounts OldInLateWindows =
        oldVersionCounts(Route, Route.Windows.size() - LaterWindows - 2);
    const Tally Failed = failedTally(OldInLateWindows);
    add(Result.Failed, Failed);
    FailedRatio += logLikelihood(
        Failed, severeRates(oldRate(failedTally(Route.Baseline), Tally())));
    const std::size_t FirstSlow = slowBucket(Route.Baseline);
    if (!State.TestsLatency || FirstSlow >= LatencyBuckets)
      continue;
    const Tally Slow = slowTally(OldInLateWindows, FirstSlow);
    add(Result.Slow, Slow);
    SlowRatio += logLikelihood(
        Slow,
        severeRates(oldRate(slowTally(Route.Baseline, FirstSlow), Tally())));
  }
  Result.Present = std::max(FailedRatio, SlowRatio) >= GeneralFaultRatio;
  return Result;
}

bool isExplained(const Tally &New, const Tally &Old) {
  if (New.Samples == 0 || Old.Samples == 0)
    return true;
  const double NewRate =
      static_cast<double>(New.Events) / static_cast<double>(New.Samples);
  const double OldRate =
      static_cast<double>(Old.Events) / static_cast<double>(Old.Samples);
  return NewRate <= 2 * OldRate + 0.1;
}

Comparison compare(const StreamTallies &Seen, double Tolerated,
                   RatePair (*Mild)(double)) {
  Comparison Result;
  Result.Rates = Mild(
      std::max({oldRate(Seen.Baseline, Seen.OldInAllWindows),
                oldRate(Seen.Baseline, Seen.OldInLateWindows), Tolerated}));
  Result.OldWorse = isWorse(Seen.Baseline, Seen.OldInAllWindows) ||
                    isWorse(Seen.Baseline, Seen.OldInLateWindows);
  Result.NewWorse = Seen.New.Samples == 0 || isWorse(Seen.Baseline, Seen.New);
  Result.Explained =
      Result.OldWorse && (isExplained(Seen.New, Seen.OldInLateWindows) ||
                          isExplained(Seen.New, Seen.OldInAllWindows));
  return Result;
}

/// Applies a general fault to a route with too few requests of the old version
/// to show it.
void applyGeneralFault(Comparison &Result, const Tally &New,
                       const Tally &OldOfRoute, const Tally &OldOfAll) {
  if (OldOfRoute.Samples >= MinRouteSamples)
    return;
  Result.OldWorse = true;
  Result.Explained = Result.Explained || isExplained(New, withPrior(OldOfAll));
}

void testWindow(const CanaryAnalysis &State, RouteAnalysis &Route,
                const RouteWindow &Tested, const GeneralFault &General) {
  const OutcomeCounts OldInAllWindows = oldVersionCounts(Route, 0);
  const OutcomeCounts OldInLateWindows =
      oldVersionCounts(Route, Route.Windows.size() - LaterWindows - 2);
  const OutcomeCounts New = newVersionCounts(Route);
  const std::size_t FirstSlow = slowBucket(Route.Baseline);
  const bool TestsSlow = State.TestsLatency && FirstSlow < LatencyBuckets;
  Comparison Failed =
      compare({failedTally(Route.Baseline), failedTally(OldInAllWindows),
               failedTally(OldInLateWindows), failedTally(New)},
              State.ToleratedFailures, failedRates);
  Comparison Slow = compare({slowTally(Route.Baseline, FirstSlow),
                             slowTally(OldInAllWindows, FirstSlow),
                             slowTally(OldInLateWindows, FirstSlow),
                             slowTally(New, FirstSlow)},
                            0, slowRates);
  if (General.Present) {
    applyGeneralFault(Failed, failedTally(New), failedTally(OldInLateWindows),
                      General.Failed);
    applyGeneralFault(Slow, slowTally(New, FirstSlow),
                      slowTally(OldInLateWindows, FirstSlow), General.Slow);
  }
  for (const auto &[Hop, Counts] : Tested.New) {
    if (!Failed.Explained)
      addTally(Route.Failed, Hop, failedTally(Counts), Failed.Rates);
    if (TestsSlow && !Slow.Explained)
      addTally(Route.Slow, Hop, slowTally(Counts, FirstSlow), Slow.Rates);
  }
  checkThresholds(State, Route.Failed, Route.LastSeen.size());
  checkThresholds(State, Route.Slow, Route.LastSeen.size());
  const bool SlowWorse = TestsSlow && Slow.OldWorse;
  Route.BothWorse =
      (Failed.OldWorse && Failed.NewWorse) || (SlowWorse && Slow.NewWorse);
  // Counts from a general fault stay out of the baseline, where they would hide
  // a worse version.
  if (!Failed.OldWorse && !SlowWorse)
    addCounts(Route.Baseline, Tested.Old);
}

/// Removes nodes without a report in the last HopRetentionWindows windows. A
/// node with little traffic does not report in each window.
void removeSilentHops(RouteAnalysis &Route) {
  for (auto It = Route.LastSeen.begin(); It != Route.LastSeen.end();)
    It = Route.WindowNumber - It->second > HopRetentionWindows
             ? Route.LastSeen.erase(It)
             : std::next(It);
}

void closeWindow(RouteAnalysis &Route) {
  Route.Windows.emplace_back();
  ++Route.WindowNumber;
  removeSilentHops(Route);
  while (Route.Windows.size() > MaxAnalysisWindows)
    Route.Windows.pop_front();
}

void testClosedWindow(const CanaryAnalysis &State, RouteAnalysis &Route,
                      const GeneralFault &General) {
  if (Route.Windows.size() < LaterWindows + 2)
    return;
  const RouteWindow Tested =
      Route.Windows[Route.Windows.size() - LaterWindows - 2];
  testWindow(State, Route, Tested, General);
}

void closeWindows(CanaryAnalysis &State, SteadyTime Now) {
  std::size_t Closed = 0;
  while (elapsed(State.WindowStart, Now) >= AnalysisWindow) {
    State.WindowStart = after(State.WindowStart, AnalysisWindow);
    // After a long pause, all windows with counts are closed.
    if (++Closed > MaxAnalysisWindows) {
      State.WindowStart = Now;
      return;
    }
    for (auto &[Name, Route] : State.Routes)
      closeWindow(Route);
    const GeneralFault General = generalFault(State);
    for (auto &[Name, Route] : State.Routes)
      testClosedWindow(State, Route, General);
  }
}

void startStep(CanaryAnalysis &State, const Move &Item,
               const TrafficSplit &Split) {
  State.Share = Split.CandidateShare;
  State.NonRetryableShare = Split.NonRetryableShare;
  if (State.StepsTaken == Item.StepsTaken)
    return;
  State.StepsTaken = Item.StepsTaken;
  for (auto &[Name, Route] : State.Routes) {
    Route.Failed.Mild.Accepted = false;
    Route.Slow.Mild.Accepted = false;
    Route.OldSinceStep = 0;
    Route.NewSinceStep = 0;
  }
}

bool isDoubtful(const CanaryAnalysis &State, const StreamTests &Tests) {
  for (const StreamTest *Test : {&Tests.Mild, &Tests.Severe})
    if (ratioAgainst(*Test) > upperThreshold(State, Test->Cycle) / 2)
      return true;
  return false;
}

bool isNewVersionBad(const StreamTests &Tests) {
  return Tests.Mild.IsNewVersionBad || Tests.Severe.IsNewVersionBad;
}

bool getsNoRequests(const CanaryAnalysis &State, const RouteName &Name,
                    const RouteAnalysis &Route) {
  const bool Guarded = State.Guarded.count(Name) != 0;
  const Permille Share = Guarded ? State.NonRetryableShare : State.Share;
  const auto Seen =
      static_cast<double>(Route.OldSinceStep + Route.NewSinceStep);
  const double Expected = Seen * static_cast<double>(Share.value()) / 1000;
  return Route.NewSinceStep == 0 && Expected >= MinExpectedRequests;
}

void describeRatio(std::ostream &Out, const CanaryAnalysis &State,
                   const StreamTest &Test) {
  Out << " llr " << ratioAgainst(Test) << " of "
      << upperThreshold(State, Test.Cycle);
}

void describeTest(std::ostream &Out, const CanaryAnalysis &State,
                  const char *Name, const StreamTests &Tests) {
  Out << " " << Name << " " << Tests.Mild.Events << "/" << Tests.Mild.Samples;
  describeRatio(Out, State, Tests.Mild);
  describeRatio(Out, State, Tests.Severe);
  Out << (isNewVersionBad(Tests) ? " bad"
          : Tests.Mild.Accepted  ? " good"
                                 : " open");
}

void describeRoute(std::ostream &Out, const CanaryAnalysis &State,
                   const RouteName &Name, const RouteAnalysis &Route) {
  Out << Name << ":";
  describeTest(Out, State, "failed", Route.Failed);
  if (State.TestsLatency)
    describeTest(Out, State, "slow", Route.Slow);
  Out << " old failed " << Route.Baseline.Failures << "/"
      << Route.Baseline.Requests;
  if (Route.BothWorse)
    Out << " both versions worse";
  Out << "; ";
}

bool isNewVersionBad(const RouteAnalysis &Route) {
  return isNewVersionBad(Route.Failed) || isNewVersionBad(Route.Slow);
}

/// Bad routes come first, because the text is truncated.
std::string evidenceOf(const CanaryAnalysis &State) {
  std::ostringstream Out;
  Out.precision(3);
  for (const bool IsBad : {true, false})
    for (const auto &[Name, Route] : State.Routes)
      if (isNewVersionBad(Route) == IsBad)
        describeRoute(Out, State, Name, Route);
  return Out.str().substr(0, MaxMoveTextBytes);
}

} // namespace

CanaryAnalysis makeCanaryAnalysis(const Move &Item,
                                  const ServiceDocument &Document) {
  CanaryAnalysis Result;
  Result.Id = Item.Id;
  Result.Group = Item.Plan.Group;
  Result.From = Item.Plan.From;
  Result.To = Item.Plan.To;
  std::int32_t Routes = 0;
  for (const auto &[Name, Route] : Document.Routes) {
    if (Route.Group != Item.Plan.Group)
      continue;
    ++Routes;
    if (Route.Class != RequestClass::Repeatable)
      Result.Guarded.insert(Name);
  }
  Result.Tests = 4 * std::max(Routes, 1);
  Result.StepsTaken = Item.StepsTaken;
  return Result;
}

CanaryAnalysis makeEntryAnalysis(const Move &Item,
                                 const ServiceDocument &Document) {
  CanaryAnalysis Result = makeCanaryAnalysis(Item, Document);
  // Lower than the rate of the owner, because every entry node runs this test.
  // A false alarm stops only the traffic of that node.
  constexpr double EntryFalseAlarmRate = 0.001;
  Result.FalseAlarmRate = EntryFalseAlarmRate;
  // An entry node cannot distinguish one broken instance from a bad version,
  // and sends it a few requests before it is ejected. The owner of the move
  // tests lower rates.
  constexpr double EntryToleratedFailures = 0.05;
  Result.ToleratedFailures = EntryToleratedFailures;
  Result.TestsLatency = false;
  return Result;
}

void addOutcomes(CanaryAnalysis &State, const OutcomeReport &Report,
                 SteadyTime Now) {
  if (State.WindowStart == SteadyTime())
    State.WindowStart = Now;
  closeWindows(State, Now);
  const bool Timed =
      State.TestsLatency && Report.TimeSinceFirstRequest >= ColdStart;
  for (const RouteOutcomes &Seen : Report.Routes) {
    const bool New = Seen.Version == State.To;
    if (Seen.Group != State.Group || (!New && Seen.Version != State.From))
      continue;
    if (State.Routes.count(Seen.Route) == 0 && State.Routes.size() >= MaxRoutes)
      continue;
    RouteAnalysis &Route = State.Routes[Seen.Route];
    RouteWindow &Open = Route.Windows.back();
    const OutcomeCounts Counts = countsOf(Seen, Timed);
    if (!New) {
      addCounts(Open.Old, Counts);
      Route.OldSinceStep += Counts.Requests;
      continue;
    }
    if (Open.New.count(Report.Hop) == 0 && Open.New.size() >= MaxHops)
      continue;
    addCounts(Open.New[Report.Hop], Counts);
    Route.LastSeen[Report.Hop] = Route.WindowNumber;
    Route.NewSinceStep += Counts.Requests;
    Route.NewAnswered += Counts.Requests - Counts.Failures;
  }
}

Verdict evaluateCanary(CanaryAnalysis &State, const Move &Item,
                       const TrafficSplit &Split, SteadyTime Now) {
  if (State.WindowStart == SteadyTime())
    State.WindowStart = Now;
  closeWindows(State, Now);
  startStep(State, Item, Split);
  Verdict Result;
  bool AllPassed = true;
  bool AnyPassed = false;
  for (const auto &[Name, Route] : State.Routes) {
    Result.IsNewVersionBad |= isNewVersionBad(Route);
    Result.BothWorse |= Route.BothWorse;
    Result.Doubtful |=
        isDoubtful(State, Route.Failed) || isDoubtful(State, Route.Slow);
    Result.GetsNoRequests |= getsNoRequests(State, Name, Route);
    Result.Answered |= Route.NewAnswered > 0;
    if (Route.NewSinceStep == 0)
      continue;
    const bool Passed = Route.Failed.Mild.Accepted &&
                        (Route.Slow.Mild.Accepted || !State.TestsLatency);
    AnyPassed |= Passed;
    AllPassed &= Passed;
  }
  Result.Sufficient = AnyPassed && AllPassed;
  Result.Evidence = evidenceOf(State);
  return Result;
}

} // namespace lycheethread::moves
