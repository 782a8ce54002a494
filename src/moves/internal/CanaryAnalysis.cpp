#include "moves/Moves.h"
#include "moves/internal/Likelihood.h"

#include <algorithm>
#include <sstream>

namespace lycheethread::moves {

namespace {

constexpr Milliseconds AnalysisWindow{1'000};
/// Reports arrive every 2 s and not at the same time at all nodes. A window is
/// tested when this many later ones are complete, so that a fault of both
/// versions shows in the old version's counts too.
constexpr std::size_t LaterWindows = 2;
constexpr std::size_t EarlierWindows = 3;
constexpr std::size_t MaxAnalysisWindows = LaterWindows + EarlierWindows + 2;
constexpr std::size_t MaxRoutes = 256;
constexpr std::size_t MaxHops = 64;
constexpr std::int64_t HopMemoryWindows = 30;
/// The first requests of an upstream fill caches and pools. A report also
/// covers the 2 s before it.
constexpr Milliseconds ColdStart{12'500};
/// A version is not rejected for fewer events, whatever their ratio says: a
/// clean baseline makes two of them look impossible.
constexpr std::int64_t MinEvents = 4;
/// The chance of no request where this many are expected is below 0.1%.
constexpr double MinExpected = 7;

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

/// Old version in the complete windows from \p First on.
OutcomeCounts oldSince(const RouteAnalysis &Route, std::size_t First) {
  OutcomeCounts Result;
  for (std::size_t I = First; I + 1 < Route.Windows.size(); ++I)
    addCounts(Result, Route.Windows[I].Old);
  return Result;
}

OutcomeCounts recentNew(const RouteAnalysis &Route) {
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

/// Adds one node's tally of the tested window.
void addTally(StreamTest &Test, const NodeId &Hop, const Tally &Seen,
              const RatePair &Rates) {
  const double Ratio = logLikelihood(Seen, Rates);
  Test.Total += Ratio;
  Test.ByHop[Hop] += Ratio;
  Test.Events += Seen.Events;
  Test.EventsInCycle += Seen.Events;
  Test.Samples += Seen.Samples;
}

void settle(const CanaryAnalysis &State, StreamTest &Test) {
  const double Against = ratioAgainst(Test);
  if (Against >= upperThreshold(State, Test.Cycle) &&
      Test.EventsInCycle >= MinEvents) {
    Test.FoundBad = true;
    return;
  }
  if (Test.Total <= lowerThreshold(State))
    Test.Accepted = true;
  // Without a new cycle a long good past would outweigh a later fault.
  if (Against <= lowerThreshold(State))
    restartCycle(Test);
}

void addTally(StreamTests &Tests, const NodeId &Hop, const Tally &Seen,
              const RatePair &Mild) {
  addTally(Tests.Mild, Hop, Seen, Mild);
  addTally(Tests.Severe, Hop, Seen, severeRates(Mild.Good));
}

void settle(const CanaryAnalysis &State, StreamTests &Tests, std::size_t Hops) {
  Tests.Mild.Hops = Hops;
  Tests.Severe.Hops = Hops;
  settle(State, Tests.Mild);
  settle(State, Tests.Severe);
}

/// What one stream is compared with in the tested window.
struct Comparison {
  RatePair Rates;
  /// The old version is worse than its baseline.
  bool OldWorse = false;
  /// The new version is worse too, or has no samples.
  bool NewWorse = false;
  /// The new version is no worse than a fault of both versions explains.
  bool Explained = false;
};

/// Around is the old version in all windows, Lately in the tested and the later
/// ones: at the start of a fault the earlier windows would hide it.
struct StreamTallies {
  Tally Baseline;
  Tally Around;
  Tally Lately;
  Tally New;
};

/// The old version in all routes together: few routes have enough of its
/// requests for a test of their own while it has a small share.
struct GeneralFault {
  bool Present = false;
  Tally Failed;
  Tally Slow;
};

/// Likelihood ratio 100:1 that the old version is much worse than before.
constexpr double GeneralFaultRatio = 4.6;
/// Requests of the old version from which a route is compared on its own.
constexpr std::int64_t MinOwnSamples = 20;

/// A tally of a few requests understates a rate that it happened to miss.
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
    const OutcomeCounts Lately =
        oldSince(Route, Route.Windows.size() - LaterWindows - 2);
    const Tally Failed = failedTally(Lately);
    add(Result.Failed, Failed);
    FailedRatio += logLikelihood(
        Failed, severeRates(oldRate(failedTally(Route.Baseline), Tally())));
    const std::size_t FirstSlow = slowBucket(Route.Baseline);
    if (!State.TestsLatency || FirstSlow >= LatencyBuckets)
      continue;
    const Tally Slow = slowTally(Lately, FirstSlow);
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
  Result.Rates =
      Mild(std::max({oldRate(Seen.Baseline, Seen.Around),
                     oldRate(Seen.Baseline, Seen.Lately), Tolerated}));
  Result.OldWorse = isWorse(Seen.Baseline, Seen.Around) ||
                    isWorse(Seen.Baseline, Seen.Lately);
  Result.NewWorse = Seen.New.Samples == 0 || isWorse(Seen.Baseline, Seen.New);
  Result.Explained = Result.OldWorse && (isExplained(Seen.New, Seen.Lately) ||
                                         isExplained(Seen.New, Seen.Around));
  return Result;
}

/// Applies what the old version went through in all routes, where this route
/// has too few of its requests to tell.
void explain(Comparison &Result, const Tally &New, const Tally &OldOfRoute,
             const Tally &OldOfAll) {
  if (OldOfRoute.Samples >= MinOwnSamples)
    return;
  Result.OldWorse = true;
  Result.Explained = Result.Explained || isExplained(New, withPrior(OldOfAll));
}

void testWindow(const CanaryAnalysis &State, RouteAnalysis &Route,
                const RouteWindow &Tested, const GeneralFault &General) {
  const OutcomeCounts Around = oldSince(Route, 0);
  const OutcomeCounts Lately =
      oldSince(Route, Route.Windows.size() - LaterWindows - 2);
  const OutcomeCounts New = recentNew(Route);
  const std::size_t FirstSlow = slowBucket(Route.Baseline);
  const bool TestsSlow = State.TestsLatency && FirstSlow < LatencyBuckets;
  Comparison Failed = compare({failedTally(Route.Baseline), failedTally(Around),
                               failedTally(Lately), failedTally(New)},
                              State.ToleratedFailures, failedRates);
  Comparison Slow = compare(
      {slowTally(Route.Baseline, FirstSlow), slowTally(Around, FirstSlow),
       slowTally(Lately, FirstSlow), slowTally(New, FirstSlow)},
      0, slowRates);
  if (General.Present) {
    explain(Failed, failedTally(New), failedTally(Lately), General.Failed);
    explain(Slow, slowTally(New, FirstSlow), slowTally(Lately, FirstSlow),
            General.Slow);
  }
  for (const auto &[Hop, Counts] : Tested.New) {
    if (!Failed.Explained)
      addTally(Route.Failed, Hop, failedTally(Counts), Failed.Rates);
    if (TestsSlow && !Slow.Explained)
      addTally(Route.Slow, Hop, slowTally(Counts, FirstSlow), Slow.Rates);
  }
  settle(State, Route.Failed, Route.LastSeen.size());
  settle(State, Route.Slow, Route.LastSeen.size());
  const bool SlowWorse = TestsSlow && Slow.OldWorse;
  Route.BothWorse =
      (Failed.OldWorse && Failed.NewWorse) || (SlowWorse && Slow.NewWorse);
  // A general fault must not become the baseline that hides a worse version.
  if (!Failed.OldWorse && !SlowWorse)
    addCounts(Route.Baseline, Tested.Old);
}

/// A node with little traffic does not report in each window.
void forgetSilentHops(RouteAnalysis &Route) {
  for (auto It = Route.LastSeen.begin(); It != Route.LastSeen.end();)
    It = Route.WindowNumber - It->second > HopMemoryWindows
             ? Route.LastSeen.erase(It)
             : std::next(It);
}

void closeWindow(RouteAnalysis &Route) {
  Route.Windows.emplace_back();
  ++Route.WindowNumber;
  forgetSilentHops(Route);
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
    // After a long pause, all windows with counts have passed by.
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
               const TrafficSplit &Share) {
  State.Share = Share.CandidateShare;
  State.NonRetryableShare = Share.NonRetryableShare;
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

bool isCondemned(const StreamTests &Tests) {
  return Tests.Mild.FoundBad || Tests.Severe.FoundBad;
}

bool isUnreached(const CanaryAnalysis &State, const RouteName &Name,
                 const RouteAnalysis &Route) {
  const bool Guarded = State.Guarded.count(Name) != 0;
  const Permille Share = Guarded ? State.NonRetryableShare : State.Share;
  const auto Seen =
      static_cast<double>(Route.OldSinceStep + Route.NewSinceStep);
  const double Expected = Seen * static_cast<double>(Share.value()) / 1000;
  return Route.NewSinceStep == 0 && Expected >= MinExpected;
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
  Out << (isCondemned(Tests)    ? " bad"
          : Tests.Mild.Accepted ? " good"
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

bool isCondemned(const RouteAnalysis &Route) {
  return isCondemned(Route.Failed) || isCondemned(Route.Slow);
}

/// Condemned routes come first, since the text is cut at a fixed length.
std::string evidenceOf(const CanaryAnalysis &State) {
  std::ostringstream Out;
  Out.precision(3);
  for (const bool FoundBad : {true, false})
    for (const auto &[Name, Route] : State.Routes)
      if (isCondemned(Route) == FoundBad)
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
  // Every entry node runs this test; a false alarm stops its traffic only.
  constexpr double EntryFalseAlarmRate = 0.001;
  Result.FalseAlarmRate = EntryFalseAlarmRate;
  // An entry node cannot tell one broken instance from a bad version, and
  // meets it a few times before it is ejected. Lower rates are the owner's.
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
                       const TrafficSplit &Share, SteadyTime Now) {
  if (State.WindowStart == SteadyTime())
    State.WindowStart = Now;
  closeWindows(State, Now);
  startStep(State, Item, Share);
  Verdict Result;
  bool AllPassed = true;
  bool AnyPassed = false;
  for (const auto &[Name, Route] : State.Routes) {
    Result.FoundBad |= isCondemned(Route);
    Result.BothWorse |= Route.BothWorse;
    Result.Doubtful |=
        isDoubtful(State, Route.Failed) || isDoubtful(State, Route.Slow);
    Result.GetsNoRequests |= isUnreached(State, Name, Route);
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
