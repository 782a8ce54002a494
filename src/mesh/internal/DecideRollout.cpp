#include "mesh/Mesh.h"

#include <algorithm>
#include <array>

namespace lycheethread::mesh {

namespace {

/// One step of a rollout. The shares times their lengths add up to less than a
/// tenth of the service's requests before the last step, which is what a bad
/// version may get in all.
struct Step {
  /// End of the step in permille of the duration.
  std::int32_t Until;
  Permille Repeatable;
  Permille Guarded;
  bool UseSingleUpstream;
};

constexpr std::array<Step, 5> Steps{{
    {420, Permille(40), Permille(0), false},
    {520, Permille(150), Permille(100), true},
    {590, Permille(300), Permille(300), false},
    {660, Permille(500), Permille(500), false},
    {1000, Permille(1000), Permille(1000), false},
}};

/// Answers of the new version before its share grows beyond the first step.
constexpr std::int64_t AnswersToGrow = 25;
/// Failures without which a version is not condemned, so that a single error
/// of a sound version does not end its rollout.
constexpr std::int64_t FailuresToCondemn = 4;
/// Failure rate of the new version above twice that of the old one.
constexpr double FailureMargin = 0.12;
constexpr double FailureFactor = 2;
/// Answers on one route before its times are compared.
constexpr std::int64_t AnswersToCompare = 10;
/// The users state that a slow version takes several times as long; a cold
/// upstream takes twice as long.
constexpr double SlowFactor = 2.4;
constexpr double SlowMarginMs = 20;
/// The old version is let go from this part of the duration on.
constexpr std::int32_t CompletePermille = 740;
/// Undecided at this part of the duration counts as not finished in time.
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
  return Totals.New.Bad >= FailuresToCondemn &&
         failureRate(Totals.New) >
             failureRate(Totals.Old) * FailureFactor + FailureMargin;
}

bool isSlow(const RouteTotals &Totals) {
  return Totals.New.Good >= AnswersToCompare &&
         Totals.Old.Good >= AnswersToCompare &&
         meanTime(Totals.New) >
             meanTime(Totals.Old) * SlowFactor + SlowMarginMs;
}

void add(VersionTotals &To, const VersionTotals &From) {
  To.Good += From.Good;
  To.Bad += From.Bad;
  To.TotalTime += From.TotalTime;
}

std::string findFault(const RolloutView &View) {
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

std::int64_t answersOfNew(const RolloutView &View) {
  std::int64_t Sum = 0;
  for (const auto &[Route, Totals] : View.Routes)
    Sum += Totals.New.Good + Totals.New.Bad;
  return Sum;
}

const Step &stepAt(const RolloutView &View, std::int64_t Progress) {
  if (answersOfNew(View) < AnswersToGrow)
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
  Decided.Reason = findFault(View);
  if (View.FoundBad || !Decided.Reason.empty()) {
    if (Decided.Reason.empty())
      Decided.Reason = "another node found it bad";
    Decided.FoundBad = true;
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
  Decided.Guarded = Now.Guarded;
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
