#include "mesh/Mesh.h"

#include <algorithm>
#include <array>
#include <iterator>

namespace lycheethread::mesh {

namespace {

/// One step of a rollout. Before the last step the new version gets less than a
/// tenth of the service's requests in total (the sum of the shares times the
/// step lengths), which is the limit for a bad version.
struct Step {
  /// End of the step in permille of the rollout's duration.
  std::int32_t Until;
  Permille Repeatable;
  Permille NonRepeatable;
  bool UseSingleUpstream;
};

constexpr Permille ComparisonShare(950);
constexpr std::array<Step, 6> Steps{{
    {420, Permille(40), Permille(0), false},
    {520, Permille(150), Permille(100), true},
    {590, Permille(300), Permille(300), false},
    {660, Permille(500), Permille(500), false},
    // The rest keeps a comparison possible: a disturbance that hits either
    // version must not be taken for a fault of the new one.
    {760, ComparisonShare, ComparisonShare, false},
    {1000, Permille(1000), Permille(1000), false},
}};
/// The part of the requests that the shares before the last two steps are made
/// for.
constexpr double PlannedExposure = 0.1;

/// Answers that the new version must have given before its share grows beyond
/// the first step.
constexpr std::int64_t MinAnswersToGrow = 25;
/// A version with fewer failures is not judged bad, so that a single error does
/// not end the rollout of a good version.
constexpr std::int64_t MinFailuresToJudge = 4;
/// The new version is bad when its failure rate exceeds FailureFactor times
/// that of the old version plus FailureMargin.
constexpr double FailureMargin = 0.12;
constexpr double FailureFactor = 2;
/// Answers of each version on a route before their latencies are compared.
constexpr std::int64_t MinAnswersToCompare = 10;
/// Answers of the old version that a comparison of failures needs, unless the
/// new one has fewer.
constexpr std::int64_t MinOldAnswers = 5;
/// Answers of the old version after which a comparison has told enough.
constexpr std::int64_t OldAnswersToDecide = 20;
/// A slow version takes several times as long by the users' definition; a cold
/// upstream of a good version takes only twice as long.
constexpr double SlowFactor = 2.4;
constexpr double SlowMarginMs = 20;
/// A rollout may complete, and release the old version, from this part of its
/// duration on.
constexpr std::int32_t CompletePermille = 780;
/// A rollout that is still undecided at this part of its duration is rolled
/// back.
constexpr std::int32_t GiveUpPermille = 930;
/// The same for one that no node can judge. It leaves the judges time to end
/// it.
constexpr std::int32_t UnjudgedPermille = 960;
/// A node that has just begun to judge goes through the steps from the first
/// one on, each for this part of the duration at least: it has not seen how the
/// new version does under them.
constexpr std::int32_t MinStepPermille = 40;

std::int64_t answers(const VersionTotals &Totals) {
  return Totals.Good + Totals.Bad;
}

double failureRate(const VersionTotals &Totals) {
  const auto All = answers(Totals);
  return All == 0 ? 0
                  : static_cast<double>(Totals.Bad) / static_cast<double>(All);
}

double meanTime(const VersionTotals &Totals) {
  return Totals.Timed == 0 ? 0
                           : static_cast<double>(Totals.TotalTime.count()) /
                                 static_cast<double>(Totals.Timed);
}

/// Whether the old version has answered enough under the same share.
bool isComparable(const RouteTotals &Totals) {
  return answers(Totals.Old) >= std::min(MinOldAnswers, answers(Totals.New));
}

/// The outcomes of the new version beside those that the old one would have
/// had. Each share is compared by itself: with sums over all shares, the long
/// calm time of the old version would stand against a disturbance that falls on
/// a time in which the new version has most of the requests.
struct Comparison {
  VersionTotals New;
  double ExpectedBad = 0;
  double ExpectedMs = 0;
  std::int64_t TimedNew = 0;
  std::int64_t TimedOld = 0;
  double TimedMs = 0;
};

void add(Comparison &To, const RouteTotals &Totals) {
  if (!isComparable(Totals))
    return;
  To.New.Good += Totals.New.Good;
  To.New.Bad += Totals.New.Bad;
  To.ExpectedBad +=
      static_cast<double>(answers(Totals.New)) * failureRate(Totals.Old);
  if (Totals.Old.Timed == 0)
    return;
  To.ExpectedMs += static_cast<double>(Totals.New.Timed) * meanTime(Totals.Old);
  To.TimedMs += static_cast<double>(Totals.New.TotalTime.count());
  To.TimedNew += Totals.New.Timed;
  To.TimedOld += Totals.Old.Timed;
}

bool fails(const Comparison &Totals) {
  const auto All =
      static_cast<double>(std::max<std::int64_t>(1, answers(Totals.New)));
  return Totals.New.Bad >= MinFailuresToJudge &&
         static_cast<double>(Totals.New.Bad) / All >
             Totals.ExpectedBad / All * FailureFactor + FailureMargin;
}

bool isSlow(const Comparison &Totals) {
  const auto Count = static_cast<double>(Totals.TimedNew);
  return Totals.TimedNew >= MinAnswersToCompare &&
         Totals.TimedOld >= MinAnswersToCompare &&
         Totals.TimedMs / Count >
             Totals.ExpectedMs / Count * SlowFactor + SlowMarginMs;
}

void add(VersionTotals &To, const VersionTotals &From) {
  To.Good += From.Good;
  To.Bad += From.Bad;
  To.Timed += From.Timed;
  To.TotalTime += From.TotalTime;
}

RouteTotals sumOf(const TotalsByRoute &Routes) {
  const auto Known = Routes.find(RouteName());
  if (Known != Routes.end())
    return Known->second;
  RouteTotals Sum;
  for (const auto &[Route, Totals] : Routes) {
    add(Sum.Old, Totals.Old);
    add(Sum.New, Totals.New);
  }
  return Sum;
}

std::string findDefect(const std::vector<TotalsByRoute> &Shares) {
  std::map<RouteName, Comparison> ByRoute;
  Comparison All;
  for (const TotalsByRoute &Routes : Shares) {
    for (const auto &[Route, Totals] : Routes)
      add(ByRoute[Route], Totals);
    add(All, sumOf(Routes));
  }
  for (const auto &[Route, Totals] : ByRoute) {
    if (Route.empty())
      continue;
    if (fails(Totals))
      return "failures on route " + Route.str();
    if (isSlow(Totals))
      return "slow answers on route " + Route.str();
  }
  return fails(All) ? "failures on all routes together" : "";
}

/// Looks at all shares together, which finds a defect by the fewest requests,
/// and at the present one by itself, which finds one that began late.
std::string findDefect(const RolloutView &View) {
  std::vector<TotalsByRoute> Shares = View.Earlier;
  Shares.push_back(View.Routes);
  const std::string Defect = findDefect(Shares);
  return Defect.empty() ? findDefect({View.Routes}) : Defect;
}

/// Whether the new version fails where the old one has too few answers to tell
/// whether it would fail, too.
bool isSuspicious(const RolloutView &View) {
  return std::any_of(
      View.Routes.begin(), View.Routes.end(), [](const auto &Item) {
        const RouteTotals &Totals = Item.second;
        return Totals.New.Bad >= MinFailuresToJudge &&
               failureRate(Totals.New) > FailureMargin && !isComparable(Totals);
      });
}

std::int64_t countNewAnswers(const RolloutView &View) {
  std::int64_t Sum = answers(sumOf(View.Routes).New);
  for (const TotalsByRoute &Routes : View.Earlier)
    Sum += answers(sumOf(Routes).New);
  return Sum;
}

constexpr auto LastStep = static_cast<std::int32_t>(Steps.size()) - 1;

/// Returns the furthest step that this node has judged long enough to take.
std::int32_t furthestStep(const RolloutView &View) {
  const Milliseconds Each =
      std::max(Milliseconds(1), View.Duration * MinStepPermille / 1000);
  return static_cast<std::int32_t>(
      std::min<std::int64_t>(LastStep, View.JudgedFor / Each));
}

std::int32_t plannedStep(std::int64_t Progress) {
  const auto *const Found =
      std::find_if(Steps.begin(), std::prev(Steps.end()),
                   [&](const Step &Item) { return Progress < Item.Until; });
  return static_cast<std::int32_t>(std::distance(Steps.begin(), Found));
}

/// A node that does not judge keeps within what those that do allow. Where
/// nobody judges, the new version keeps the share of the first step: nobody
/// would notice a fault.
std::int32_t stepLimit(const RolloutView &View) {
  if (View.MayJudge)
    return countNewAnswers(View) < MinAnswersToGrow ? 0 : furthestStep(View);
  if (View.Judged && View.Judged->HasPassed)
    return LastStep;
  return isJudged(View) ? std::clamp(View.Judged->StepLimit, 0, LastStep) : 0;
}

/// Reduces the share of a step where a bad version may get less in total than
/// the steps are made for.
Permille scaled(Permille Share, const RolloutView &View) {
  const double Factor = std::min(1.0, View.ExposureShare / PlannedExposure);
  return Permille(static_cast<std::int32_t>(Share.value() * Factor));
}

bool mustCompare(const RolloutView &View, std::int64_t Progress) {
  if (!View.MayJudge)
    return isJudged(View) && View.Judged->IsComparing;
  if (View.ReadyOld == 0 || Progress >= GiveUpPermille)
    return false;
  const bool Undecided =
      View.IsComparing && answers(sumOf(View.Routes).Old) < OldAnswersToDecide;
  return Undecided || isSuspicious(View);
}

/// Ends a rollout whose last step has passed, or whose time is over.
void decideEnd(const RolloutView &View, std::int64_t Progress,
               RolloutDecision &Decided) {
  const auto End = [&](RolloutState State, const char *Reason) {
    Decided.End = State;
    Decided.Reason = Reason;
  };
  if (View.Judged && View.Judged->HasPassed)
    return End(RolloutState::Completed, "all steps passed");
  // Loads reach the nodes at different times. While a judge sees no defect
  // under the last step, the first node that sees the old version idle
  // completes the rollout.
  const bool HasPassed = Decided.IsLastStep && !Decided.IsComparing &&
                         Progress >= CompletePermille;
  if (HasPassed && View.OldInProgress == 0)
    return End(RolloutState::Completed, "all steps passed");
  if (!View.MayJudge) {
    if (Progress >= UnjudgedPermille)
      End(RolloutState::RolledBack, "no node could judge the new version");
    return;
  }
  // Those that have judged for longer decide before.
  const bool IsNewJudge = furthestStep(View) < LastStep;
  if (HasPassed && Progress >= GiveUpPermille)
    End(RolloutState::Completed, "all steps passed");
  else if (!Decided.IsLastStep &&
           Progress >= (IsNewJudge ? UnjudgedPermille : GiveUpPermille))
    End(RolloutState::RolledBack, "not enough answers to judge by");
}

} // namespace

VersionChoice versionChoice(RolloutState State, bool IsNewVersionBad) {
  if (State == RolloutState::Completed)
    return VersionChoice::NewOnly;
  return State == RolloutState::RolledBack || IsNewVersionBad
             ? VersionChoice::OldOnly
             : VersionChoice::Split;
}

RolloutDecision decideRollout(const RolloutView &View) {
  RolloutDecision Decided;
  const std::int64_t Progress =
      View.Age.count() * 1000 /
      std::max<std::int64_t>(1, View.Duration.count());
  if (View.MayJudge)
    Decided.Reason = findDefect(View);
  if (View.IsNewVersionBad || !Decided.Reason.empty()) {
    if (Decided.Reason.empty())
      Decided.Reason = "another node found it bad";
    Decided.IsNewVersionBad = true;
    Decided.End = RolloutState::RolledBack;
    return Decided;
  }
  if (View.ReadyNew == 0) {
    if (Progress >= GiveUpPermille) {
      Decided.End = RolloutState::RolledBack;
      Decided.Reason = "no upstream of the new version is ready";
    }
    return Decided;
  }
  Decided.StepLimit = stepLimit(View);
  Decided.Step = std::min(plannedStep(Progress), Decided.StepLimit);
  const Step &Now = Steps.at(static_cast<std::size_t>(Decided.Step));
  Decided.IsLastStep = Now.Repeatable >= ComparisonShare;
  Decided.UseSingleUpstream = Now.UseSingleUpstream;
  if (!Decided.IsLastStep) {
    Decided.Repeatable = scaled(Now.Repeatable, View);
    Decided.NonRepeatable = scaled(Now.NonRepeatable, View);
  } else {
    Decided.IsComparing = mustCompare(View, Progress);
    Decided.Repeatable = Decided.IsComparing ? ComparisonShare : Now.Repeatable;
    Decided.NonRepeatable = Decided.Repeatable;
  }
  decideEnd(View, Progress, Decided);
  return Decided;
}

} // namespace lycheethread::mesh
