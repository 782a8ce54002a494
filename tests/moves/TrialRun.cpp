#include "TrialRun.h"
#include "TrialTraffic.h"

#include <algorithm>
#include <cmath>
#include <deque>

namespace lycheethread::trials {

namespace {

constexpr std::int64_t StartMs = 1'000'000;
constexpr double LastSecond = 310;
/// Time until a record or a rumour has reached all nodes.
constexpr double RecordDelay = 1;
constexpr double RumourDelay = 0.5;
constexpr double ReportSeconds = 2;

const NodeId Owner("n1/moves");

/// Outcomes that a node has not reported yet.
using Sums = std::map<std::pair<int, bool>, RouteOutcomes>;

void addCall(Sums &To, const World &Given, const Call &Made) {
  RouteOutcomes &Sum = To[{Made.Asked.Route, Made.Asked.New}];
  Sum.Group = GroupName("main");
  Sum.Route = Given.Routes[Made.Asked.Route].Declared.Name;
  Sum.Version = VersionName(Made.Asked.New ? "v2" : "v1");
  ++Sum.Requests;
  Sum.Failures += Made.Given.Failed ? 1 : 0;
  const double Doublings = std::log2(Made.Given.LatencyMs / 0.25);
  const auto Bucket = static_cast<std::int64_t>(std::ceil(Doublings));
  ++Sum.Latency[std::clamp<std::int64_t>(Bucket, 0, LatencyBuckets - 1)];
}

std::vector<RouteOutcomes> take(Sums &From) {
  std::vector<RouteOutcomes> Result;
  for (const auto &[Key, Sum] : From)
    Result.push_back(Sum);
  From.clear();
  return Result;
}

struct Entry {
  Sums Seen;
  moves::LocalStop Run;
  moves::CanaryAnalysis Tested;
  bool Stopped = false;
};

struct Hop {
  bool New = false;
  int Index = 0;
  Sums Seen;
  double NextReport = 0;
};

/// A record that has been appended and is folded later.
struct Pending {
  double At = 0;
  Record Item;
};

struct MovesRun {
  const World &Given;
  Traffic Calls;
  moves::MoveTable Table;
  MoveId Id;
  moves::CanaryAnalysis Tested;
  moves::OwnClaims Claims;
  std::vector<Entry> Entries;
  std::vector<Hop> Hops;
  std::deque<Pending> Records;
  double BrakedAt = LastSecond + 1;
  std::int32_t StepsWritten = 0;
  bool EndWritten = false;

  MovesRun(const World &Given, std::mt19937_64 &Random)
      : Given(Given), Calls(Given, Random) {
    moves::applyDocument(Table, Given.Document, Revision(1), WallTime(StartMs));
    const moves::Move &Item = Table.Running.begin()->second;
    Id = Item.Id;
    Tested = moves::makeCanaryAnalysis(Item, Given.Document);
    Entries.resize(static_cast<std::size_t>(Calls.entries()));
    for (Entry &One : Entries)
      One.Tested = moves::makeEntryAnalysis(Item, Given.Document);
    std::uniform_real_distribution<double> Phase(0, ReportSeconds);
    for (int I = 0; I < Given.OldHops; ++I)
      Hops.push_back({false, I, {}, Phase(Random)});
    for (int I = 0; I < Given.NewHops; ++I)
      Hops.push_back({true, I, {}, Phase(Random)});
  }

  static WallTime wall(double Now) {
    return WallTime(StartMs + std::llround(Now * 1000));
  }
  static SteadyTime steady(double Now) {
    return SteadyTime(5'000 + std::llround(Now * 1000));
  }

  void fold(double Now) {
    while (!Records.empty() && Records.front().At <= Now) {
      moves::foldMoveRecord(Table, Records.front().Item, wall(Now));
      Records.pop_front();
    }
    moves::expireMoves(Table, wall(Now));
  }

  void send(double Now) {
    const auto Share =
        moves::trafficSplitOf(Table, Given.Document, GroupName("main"));
    const auto Made = Calls.tick(Now, [&](int Route, int At) {
      if (Now >= BrakedAt || Entries[static_cast<std::size_t>(At)].Stopped)
        return std::int64_t(0);
      return moves::candidateShare(Given.Routes[Route].Declared.Class, Share)
          .value();
    });
    for (const Call &One : Made) {
      addCall(Entries[static_cast<std::size_t>(One.Entry)].Seen, Given, One);
      const int First = One.Asked.New ? Given.OldHops : 0;
      addCall(Hops[static_cast<std::size_t>(First + One.Asked.Hop)].Seen, Given,
              One);
    }
  }

  void stopEntries(const moves::Move &Item, const moves::TrafficSplit &Share,
                   double Now) {
    for (Entry &One : Entries) {
      moves::OutcomeReport Report;
      Report.Routes = take(One.Seen);
      moves::addOutcomes(One.Tested, Report, steady(Now));
      One.Stopped |= moves::addEntryOutcomes(One.Run, Item, Report.Routes);
      One.Stopped |=
          moves::evaluateCanary(One.Tested, Item, Share, steady(Now)).FoundBad;
    }
  }

  void reportHops(double Now) {
    for (Hop &One : Hops) {
      if (Now < One.NextReport)
        continue;
      One.NextReport += ReportSeconds;
      moves::OutcomeReport Report;
      Report.Hop =
          NodeId((One.New ? "new" : "old") + std::to_string(One.Index));
      Report.TimeSinceFirstRequest = Milliseconds(
          std::llround(Calls.ageOf(One.New, One.Index, Now) * 1000));
      if (!One.New)
        Report.TimeSinceFirstRequest += std::chrono::hours(1);
      Report.Routes = take(One.Seen);
      moves::addOutcomes(Tested, Report, steady(Now));
    }
  }

  void append(double Now, RecordBody Body) {
    Pending Added;
    Added.At = Now + RecordDelay;
    Added.Item.Header.Writer = Owner;
    Added.Item.Header.WrittenAt = wall(Now);
    Added.Item.Body = std::move(Body);
    Records.push_back(std::move(Added));
  }

  void act(const moves::Move &Item, const moves::MoveDecision &Next,
           double Now) {
    switch (Next.Action) {
    case moves::MoveAction::Renew:
      if (moves::beginClaim(Claims, Next.Generation, steady(Now)))
        append(Now, LeaseRecord{moves::leaseSubject(Item.Service), Owner,
                                Next.Generation, moves::LeaseDuration});
      return;
    case moves::MoveAction::Step:
      if (StepsWritten > Item.StepsTaken)
        return;
      StepsWritten = Item.StepsTaken + 1;
      append(Now, MoveStepRecord{Item.Id, Next.Generation, Next.Share,
                                 Next.Evidence});
      return;
    case moves::MoveAction::Finish:
    case moves::MoveAction::Undo:
      if (std::exchange(EndWritten, true))
        return;
      append(Now, MoveEndRecord{Item.Id, Next.Generation,
                                Next.Action == moves::MoveAction::Finish
                                    ? MoveOutcome::Finished
                                    : MoveOutcome::Undone,
                                Next.Reason, Next.Evidence});
      return;
    default:
      return;
    }
  }

  void decide(const moves::Move &Item, const moves::TrafficSplit &Share,
              double Now) {
    const auto Verdict =
        moves::evaluateCanary(Tested, Item, Share, steady(Now));
    if (Verdict.FoundBad)
      BrakedAt = std::min(BrakedAt, Now + RumourDelay);
    moves::confirmClaim(Claims, Table, Item.Service, Owner);
    moves::OwnerState State;
    State.Self = Owner;
    State.FirstCandidate = true;
    State.Claim = Claims.Confirmed;
    State.SteadyNow = steady(Now);
    act(Item, moves::decideMove(Item, Verdict, Table, State, wall(Now)), Now);
  }

  TrialResult run() {
    double Now = 0;
    for (; Now < LastSecond; Now += TickSeconds) {
      fold(Now);
      const auto Found = Table.Running.find(Id);
      if (Found == Table.Running.end())
        break;
      send(Now);
      reportHops(Now);
      const auto Share =
          moves::trafficSplitOf(Table, Given.Document, GroupName("main"));
      stopEntries(Found->second, Share, Now);
      decide(Found->second, Share, Now);
    }
    const moves::Move &Ended = Table.Ended.back();
    return Calls.finish(Ended.Status == moves::MoveStatus::Finished, Now,
                        Ended.Reason + "; " + Ended.Evidence);
  }
};

/// Requests and failures of one tick.
struct TickCount {
  std::int64_t Requests = 0;
  std::int64_t Failures = 0;
};

bool isAboveLimit(const std::deque<TickCount> &Window) {
  constexpr double MaxFailures = 0.05;
  TickCount Sum;
  for (const TickCount &One : Window) {
    Sum.Requests += One.Requests;
    Sum.Failures += One.Failures;
  }
  return static_cast<double>(Sum.Failures) >
         MaxFailures * static_cast<double>(Sum.Requests);
}

} // namespace

TrialResult runMoves(const World &Given, std::mt19937_64 &Random) {
  return MovesRun(Given, Random).run();
}

TrialResult runBaseline(const World &Given, std::mt19937_64 &Random) {
  constexpr std::size_t WindowTicks = 20;
  const MovePlan &Plan = Given.Document.Moves.begin()->second;
  const double StepSeconds =
      static_cast<double>(Plan.StepDuration.count()) / 1000;
  Traffic Calls(Given, Random);
  std::deque<TickCount> Window;
  double UndoAt = LastSecond;
  double Now = 0;
  for (; Now < LastSecond; Now += TickSeconds) {
    const auto Step = static_cast<std::size_t>(Now / StepSeconds);
    // The last step lasts twice as long, as in the library.
    if (Step > Plan.Steps.size())
      return Calls.finish(true, Now, "schedule");
    if (Now >= UndoAt)
      return Calls.finish(false, Now, "more than 5% failed");
    const Permille Share = Plan.Steps[std::min(Step, Plan.Steps.size() - 1)];
    TickCount Counted;
    for (const Call &One :
         Calls.tick(Now, [&](int, int) { return Share.value(); })) {
      ++Counted.Requests;
      Counted.Failures += One.Given.Failed ? 1 : 0;
    }
    Window.push_back(Counted);
    if (Window.size() > WindowTicks)
      Window.pop_front();
    if (isAboveLimit(Window))
      UndoAt = std::min(UndoAt, Now + RecordDelay);
  }
  return Calls.finish(false, Now, "not ended");
}

} // namespace lycheethread::trials
