#include "moves/Moves.h"
#include "moves/internal/MoveLookup.h"

namespace lycheethread::moves {

namespace {

/// Time for a takeover of the lease and for the first outcome reports.
constexpr Milliseconds StartAllowance{15'000};
/// Time to append the record of one step and read it back.
constexpr Milliseconds StepAllowance{1'000};
/// Margin for clock differences: `finished` must take effect before the
/// deadline.
constexpr Milliseconds FinishAllowance{3'000};

/// Returns the time from the start of step \p Index to `finished`. The last
/// step lasts one step length longer.
Milliseconds remainingDuration(const MovePlan &Plan, std::size_t Index) {
  const auto Left = static_cast<std::int64_t>(Plan.Steps.size() - Index);
  return Plan.StepDuration * (Left + 1) + StepAllowance * Left;
}

Finding findingOf(const MovePlan &Plan, const std::string &Key,
                  std::string Problem, std::string Allowed) {
  Finding Result;
  Result.Key = "move." + Plan.Group.str() + "." + Key;
  Result.Problem = std::move(Problem);
  Result.Allowed = std::move(Allowed);
  return Result;
}

bool stepsRise(const std::vector<Permille> &Steps) {
  Permille Last;
  for (const Permille Step : Steps) {
    if (Step <= Last)
      return false;
    Last = Step;
  }
  return Last == Permille(1000);
}

} // namespace

WallTime latestStart(const MovePlan &Plan, std::size_t Index) {
  return after(Plan.FinishBy,
               -(remainingDuration(Plan, Index) + FinishAllowance));
}

Findings checkPlan(const MovePlan &Plan, WallTime LogTime) {
  Findings Result;
  if (Plan.From == Plan.To)
    Result.push_back(findingOf(Plan, "to", "equals the version in \"from\"",
                               "another listed version"));
  if (!stepsRise(Plan.Steps))
    Result.push_back(findingOf(Plan, "steps_percent",
                               "the steps are not in ascending order",
                               "rising shares that end with 100"));
  if (Plan.StepDuration <= Milliseconds(0))
    Result.push_back(
        findingOf(Plan, "step_seconds", "is not positive", "at least 1"));
  if (!Result.empty())
    return Result;
  const WallTime Earliest = after(LogTime, StartAllowance);
  if (Earliest > latestStart(Plan, 0)) {
    const Milliseconds Needed = elapsed(LogTime, Plan.FinishBy) +
                                elapsed(latestStart(Plan, 0), Earliest);
    const std::string Seconds =
        std::to_string((Needed.count() + 999) / 1000) + " s";
    Result.push_back(findingOf(
        Plan, "finish_by", "the steps need " + Seconds + " and do not fit",
        "a time at least " + Seconds + " after the publication"));
  }
  return Result;
}

Findings checkMoves(const MoveTable &Table, const ServiceDocument &Document,
                    WallTime LogTime) {
  Findings Result;
  for (const auto &[Group, Plan] : Document.Moves) {
    if (isKnownPlan(Table, Document.Service, Plan))
      continue;
    for (Finding &Item : checkPlan(Plan, LogTime))
      Result.push_back(std::move(Item));
    const TrafficSplit Split = trafficSplitOf(Table, Document, Group);
    if (Split.Stable != Plan.From)
      Result.push_back(findingOf(Plan, "from",
                                 "version \"" + Plan.From.str() +
                                     "\" does not serve the group now",
                                 Split.Stable.str()));
  }
  return Result;
}

} // namespace lycheethread::moves
