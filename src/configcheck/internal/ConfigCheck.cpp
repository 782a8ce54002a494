#include "configcheck/internal/FindingSink.h"

#include <algorithm>

namespace lycheethread::configcheck {

namespace {

void arrange(Findings &Items) {
  for (Finding &Item : Items)
    Item.Problem = inOneLine(Item.Problem);
  std::stable_sort(
      Items.begin(), Items.end(),
      [](const Finding &L, const Finding &R) { return L.Line < R.Line; });
}

} // namespace

CheckResult check(const ParsedConfig &Parsed, const KnownRegions &Regions) {
  CheckResult Result;
  Result.Errors = Parsed.Problems;
  Result.Warnings = Parsed.Adjusted;
  for (Findings *List : {&Result.Errors, &Result.Warnings})
    for (Finding &Item : *List)
      if (Item.Line == 0)
        Item.Line = lineOf(Parsed, Item.Key);
  const FindingSink Sink{Parsed, Result};
  checkEntries(Parsed.Config, Sink);
  checkLimits(Parsed.Config, Sink);
  checkRegions(Parsed.Config, Regions, Sink);
  arrange(Result.Errors);
  arrange(Result.Warnings);
  return Result;
}

} // namespace lycheethread::configcheck
