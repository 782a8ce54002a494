#include "mesh/Mesh.h"

#include <algorithm>
#include <array>

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

constexpr std::array<Step, 5> Steps{{
    {420, Permille(40), Permille(0), false},
    {520, Permille(150), Permille(100), true},
    {590, Permille(300), Permille(300), false},
    {660, Permille(500), Permille(500), false},
    {1000, Permille(1000), Permille(1000), false},
}};

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
/// A slow version takes several times as long by the users' definition; a cold
/// upstream of a good version takes only twice as long.
constexpr double SlowFactor = 2.4;
constexpr double SlowMarginMs = 20;
/// A rollout may complete, and release the old version, from this part of its
/// duration on.
constexpr std::int32_t CompletePermille = 740;
/// A rollout that is still undecided at this part of its duration is rolled
/// back.
constexpr std::int32_t GiveUpPermille = 930;

double failureRate(const VersionTotals &Totals) {
  const auto All = Totals.Good + Totals.Bad;
  return All == 0 ? 0
                  : static_cast<double>(Totals.Bad) / static_cast<double>(All);
}

double meanTime(const VersionTotals &Totals) {
  return Totals.Good == 0 ? 0
                          : static_cast<double>(Totals.TotalTime.count()) /
                                static_cast<double>(Totals.Good);
}

bool fails(const RouteTotals &Totals) {
  return Totals.New.Bad >= MinFailuresToJudge &&
         failureRate(Totals.New) >
             failureRate(Totals.Old) * FailureFactor + FailureMargin;
}

bool isSlow(const RouteTotals &Totals) {
  return Totals.New.Good >= MinAnswersToCompare &&
         Totals.Old.Good >= MinAnswersToCompare &&
         meanTime(Totals.New) >
             meanTime(Totals.Old) * SlowFactor + SlowMarginMs;
}

void add(VersionTotals &To, const VersionTotals &From) {
  To.Good += From.Good;
  To.Bad += From.Bad;
  To.TotalTime += From.TotalTime;
}

std::string findDefect(const RolloutView &View) {
  RouteTotals All;
  for (const auto &[Route, Totals] : View.Routes) {
    if (fails(Totals))
      return "failures on route " + Route.str();
    if (isSlow(Totals))
      return "slow answers on route " + Route.str();
    add(All.Old, Totals.Old);
    add(All.New, Totals.New);
  }
  return fails(All) ? "failures on all routes together" : "";
}

std::int64_t countNewAnswers(const RolloutView &View) {
  std::int64_t Sum = 0;
  for (const auto &[Route, Totals] : View.Routes)
    Sum += Totals.New.Good + Totals.New.Bad;
  return Sum;
}

const Step &stepAt(const RolloutView &View, std::int64_t Progress) {
  if (countNewAnswers(View) < MinAnswersToGrow)
    return Steps.front();
  const auto *const Found =
      std::find_if(Steps.begin(), Steps.end(),
                   [&](const Step &Item) { return Progress < Item.Until; });
  return Found == Steps.end() ? Steps.back() : *Found;
}

} // namespace

RolloutDecision decideRollout(const RolloutView &View) {
  RolloutDecision Decided;
  const std::int64_t Progress =
      View.Age.count() * 1000 /
      std::max<std::int64_t>(1, View.Duration.count());
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
  const Step &Now = stepAt(View, Progress);
  Decided.Repeatable = Now.Repeatable;
  Decided.NonRepeatable = Now.NonRepeatable;
  Decided.UseSingleUpstream = Now.UseSingleUpstream;
  const bool IsLast = Now.Repeatable == Steps.back().Repeatable;
  if (IsLast && Progress >= CompletePermille &&
      (View.OldInProgress == 0 || Progress >= GiveUpPermille)) {
    Decided.End = RolloutState::Completed;
    Decided.Reason = "all steps passed";
  } else if (!IsLast && Progress >= GiveUpPermille) {
    Decided.End = RolloutState::RolledBack;
    Decided.Reason = "not enough answers to judge by";
  }
  return Decided;
}

} // namespace lycheethread::mesh
