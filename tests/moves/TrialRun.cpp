#include "TrialRun.h"
#include "TrialTraffic.h"

#include <algorithm>
#include <cmath>
#include <deque>

namespace lycheethread::trials {

namespace {

constexpr std::int64_t StartWallMs = 1'000'000;
constexpr double TrialEndSeconds = 310;
/// Seconds until a record or a brake notice has reached all nodes.
constexpr double RecordDelaySeconds = 1;
constexpr double GossipDelaySeconds = 0.5;
constexpr double ReportIntervalSeconds = 2;

const NodeId OwnerId("n1/moves");

/// Outcomes that a node has not reported yet, by route and whether the version
/// is the new one.
using OutcomeSums = std::map<std::pair<int, bool>, RouteOutcomes>;

void addCall(OutcomeSums &To, const TrialScenario &Scenario,
             const Call &Completed) {
  RouteOutcomes &Sum = To[{Completed.Sent.Route, Completed.Sent.New}];
  Sum.Group = GroupName("main");
  Sum.Route = Scenario.Routes[Completed.Sent.Route].Declared.Name;
  Sum.Version = VersionName(Completed.Sent.New ? "v2" : "v1");
  ++Sum.Requests;
  Sum.Failures += Completed.Received.Failed ? 1 : 0;
  const double Doublings = std::log2(Completed.Received.LatencyMs / 0.25);
  const auto Bucket = static_cast<std::int64_t>(std::ceil(Doublings));
  ++Sum.Latency[std::clamp<std::int64_t>(Bucket, 0, LatencyBuckets - 1)];
}

std::vector<RouteOutcomes> takeOutcomes(OutcomeSums &From) {
  std::vector<RouteOutcomes> Result;
  for (const auto &[Key, Sum] : From)
    Result.push_back(Sum);
  From.clear();
  return Result;
}

/// An entry node, with its own analysis of the outcomes of its calls.
struct EntryNode {
  OutcomeSums Outcomes;
  moves::LocalStop Stop;
  moves::CanaryAnalysis Analysis;
  bool Stopped = false;
};

/// An instance of the service, whose node reports outcomes to the owner.
struct UpstreamInstance {
  bool New = false;
  int Index = 0;
  OutcomeSums Outcomes;
  double NextReport = 0;
};

/// A record that was appended and is folded when At is reached.
struct PendingRecord {
  double At = 0;
  Record Item;
};

struct MovesRun {
  const TrialScenario &Scenario;
  Traffic Calls;
  moves::MoveTable Table;
  MoveId Id;
  moves::CanaryAnalysis Analysis;
  moves::OwnClaims Claims;
  std::vector<EntryNode> EntryNodes;
  std::vector<UpstreamInstance> Instances;
  std::deque<PendingRecord> Records;
  double BrakeAt = TrialEndSeconds + 1;
  std::int32_t StepsWritten = 0;
  bool EndWritten = false;

  MovesRun(const TrialScenario &Scenario, std::mt19937_64 &Random)
      : Scenario(Scenario), Calls(Scenario, Random) {
    moves::applyDocument(Table, Scenario.Document, Revision(1),
                         WallTime(StartWallMs));
    const moves::Move &Item = Table.Running.begin()->second;
    Id = Item.Id;
    Analysis = moves::makeCanaryAnalysis(Item, Scenario.Document);
    EntryNodes.resize(static_cast<std::size_t>(Calls.entryCount()));
    for (EntryNode &Each : EntryNodes)
      Each.Analysis = moves::makeEntryAnalysis(Item, Scenario.Document);
    std::uniform_real_distribution<double> Phase(0, ReportIntervalSeconds);
    for (int I = 0; I < Scenario.OldInstances; ++I)
      Instances.push_back({false, I, {}, Phase(Random)});
    for (int I = 0; I < Scenario.NewInstances; ++I)
      Instances.push_back({true, I, {}, Phase(Random)});
  }

  static WallTime wallTime(double Now) {
    return WallTime(StartWallMs + std::llround(Now * 1000));
  }
  static SteadyTime steadyTime(double Now) {
    return SteadyTime(5'000 + std::llround(Now * 1000));
  }

  void fold(double Now) {
    while (!Records.empty() && Records.front().At <= Now) {
      moves::foldMoveRecord(Table, Records.front().Item, wallTime(Now));
      Records.pop_front();
    }
    moves::expireMoves(Table, wallTime(Now));
  }

  void send(double Now) {
    const auto Share =
        moves::trafficSplitOf(Table, Scenario.Document, GroupName("main"));
    const auto NewCalls = Calls.tick(Now, [&](int Route, int At) {
      if (Now >= BrakeAt || EntryNodes[static_cast<std::size_t>(At)].Stopped)
        return std::int64_t(0);
      return moves::candidateShare(Scenario.Routes[Route].Declared.Class, Share)
          .value();
    });
    for (const Call &Each : NewCalls) {
      addCall(EntryNodes[static_cast<std::size_t>(Each.EntryIndex)].Outcomes,
              Scenario, Each);
      const int First = Each.Sent.New ? Scenario.OldInstances : 0;
      addCall(Instances[static_cast<std::size_t>(First + Each.Sent.Instance)]
                  .Outcomes,
              Scenario, Each);
    }
  }

  void evaluateEntries(const moves::Move &Item,
                       const moves::TrafficSplit &Share, double Now) {
    for (EntryNode &Each : EntryNodes) {
      moves::OutcomeReport Report;
      Report.Routes = takeOutcomes(Each.Outcomes);
      moves::addOutcomes(Each.Analysis, Report, steadyTime(Now));
      Each.Stopped |= moves::addEntryOutcomes(Each.Stop, Item, Report.Routes);
      Each.Stopped |=
          moves::evaluateCanary(Each.Analysis, Item, Share, steadyTime(Now))
              .IsNewVersionBad;
    }
  }

  void reportInstances(double Now) {
    for (UpstreamInstance &Each : Instances) {
      if (Now < Each.NextReport)
        continue;
      Each.NextReport += ReportIntervalSeconds;
      moves::OutcomeReport Report;
      Report.Hop =
          NodeId((Each.New ? "new" : "old") + std::to_string(Each.Index));
      Report.TimeSinceFirstRequest = Milliseconds(std::llround(
          Calls.secondsSinceFirstRequest(Each.New, Each.Index, Now) * 1000));
      if (!Each.New)
        Report.TimeSinceFirstRequest += std::chrono::hours(1);
      Report.Routes = takeOutcomes(Each.Outcomes);
      moves::addOutcomes(Analysis, Report, steadyTime(Now));
    }
  }

  void appendRecord(double Now, RecordBody Body) {
    PendingRecord Added;
    Added.At = Now + RecordDelaySeconds;
    Added.Item.Header.Writer = OwnerId;
    Added.Item.Header.WrittenAt = wallTime(Now);
    Added.Item.Body = std::move(Body);
    Records.push_back(std::move(Added));
  }

  void applyAction(const moves::Move &Item, const moves::MoveDecision &Decision,
                   double Now) {
    switch (Decision.Action) {
    case moves::MoveAction::Renew:
      if (moves::beginClaim(Claims, Decision.Generation, steadyTime(Now)))
        appendRecord(Now,
                     LeaseRecord{moves::leaseSubject(Item.Service), OwnerId,
                                 Decision.Generation, moves::LeaseDuration});
      return;
    case moves::MoveAction::Step:
      if (StepsWritten > Item.StepsTaken)
        return;
      StepsWritten = Item.StepsTaken + 1;
      appendRecord(Now, MoveStepRecord{Item.Id, Decision.Generation,
                                       Decision.Share, Decision.Evidence});
      return;
    case moves::MoveAction::Finish:
    case moves::MoveAction::Undo:
      if (std::exchange(EndWritten, true))
        return;
      appendRecord(Now,
                   MoveEndRecord{Item.Id, Decision.Generation,
                                 Decision.Action == moves::MoveAction::Finish
                                     ? MoveOutcome::Finished
                                     : MoveOutcome::Undone,
                                 Decision.Reason, Decision.Evidence});
      return;
    default:
      return;
    }
  }

  void decide(const moves::Move &Item, const moves::TrafficSplit &Share,
              double Now) {
    const auto Verdict =
        moves::evaluateCanary(Analysis, Item, Share, steadyTime(Now));
    if (Verdict.IsNewVersionBad)
      BrakeAt = std::min(BrakeAt, Now + GossipDelaySeconds);
    moves::confirmClaim(Claims, Table, Item.Service, OwnerId);
    moves::OwnerState State;
    State.Self = OwnerId;
    State.FirstCandidate = true;
    State.Claim = Claims.Confirmed;
    State.SteadyNow = steadyTime(Now);
    applyAction(Item,
                moves::decideMove(Item, Verdict, Table, State, wallTime(Now)),
                Now);
  }

  TrialResult run() {
    double Now = 0;
    for (; Now < TrialEndSeconds; Now += TickSeconds) {
      fold(Now);
      const auto Found = Table.Running.find(Id);
      if (Found == Table.Running.end())
        break;
      send(Now);
      reportInstances(Now);
      const auto Share =
          moves::trafficSplitOf(Table, Scenario.Document, GroupName("main"));
      evaluateEntries(Found->second, Share, Now);
      decide(Found->second, Share, Now);
    }
    const moves::Move &Ended = Table.Ended.back();
    return Calls.makeResult(Ended.Status == moves::MoveStatus::Finished, Now,
                            Ended.Reason + "; " + Ended.Evidence);
  }
};

/// Requests and failures of one time step.
struct TickCount {
  std::int64_t Requests = 0;
  std::int64_t Failures = 0;
};

bool isAboveLimit(const std::deque<TickCount> &Window) {
  constexpr double MaxFailures = 0.05;
  TickCount Sum;
  for (const TickCount &Each : Window) {
    Sum.Requests += Each.Requests;
    Sum.Failures += Each.Failures;
  }
  return static_cast<double>(Sum.Failures) >
         MaxFailures * static_cast<double>(Sum.Requests);
}

} // namespace

TrialResult runMoves(const TrialScenario &Scenario, std::mt19937_64 &Random) {
  return MovesRun(Scenario, Random).run();
}

TrialResult runBaseline(const TrialScenario &Scenario,
                        std::mt19937_64 &Random) {
  constexpr std::size_t WindowTicks = 20;
  const MovePlan &Plan = Scenario.Document.Moves.begin()->second;
  const double StepSeconds =
      static_cast<double>(Plan.StepDuration.count()) / 1000;
  Traffic Calls(Scenario, Random);
  std::deque<TickCount> Window;
  double UndoAt = TrialEndSeconds;
  double Now = 0;
  for (; Now < TrialEndSeconds; Now += TickSeconds) {
    const auto Step = static_cast<std::size_t>(Now / StepSeconds);
    // The last step lasts twice as long, as in the moves library.
    if (Step > Plan.Steps.size())
      return Calls.makeResult(true, Now, "schedule");
    if (Now >= UndoAt)
      return Calls.makeResult(false, Now, "more than 5% failed");
    const Permille Share = Plan.Steps[std::min(Step, Plan.Steps.size() - 1)];
    TickCount Counted;
    for (const Call &Each :
         Calls.tick(Now, [&](int, int) { return Share.value(); })) {
      ++Counted.Requests;
      Counted.Failures += Each.Received.Failed ? 1 : 0;
    }
    Window.push_back(Counted);
    if (Window.size() > WindowTicks)
      Window.pop_front();
    if (isAboveLimit(Window))
      UndoAt = std::min(UndoAt, Now + RecordDelaySeconds);
  }
  return Calls.makeResult(false, Now, "not ended");
}

} // namespace lycheethread::trials
