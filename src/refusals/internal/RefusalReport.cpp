#include "refusals/Refusals.h"

#include <algorithm>

namespace lycheethread::refusals {

namespace {

bool reaches(const ReportFilter &Filter, WallTime From, WallTime To) {
  return (!Filter.From || *Filter.From <= To) &&
         (!Filter.To || From <= *Filter.To);
}

bool crossesEdge(const ReportFilter &Filter, const RefusalCount &Count) {
  return (Filter.From && Count.First < *Filter.From) ||
         (Filter.To && *Filter.To < Count.Last);
}

/// Rows by key and the gaps, while the batches are gone through in order.
struct Builder {
  const ReportFilter &Filter;
  RefusalCounts Sums;
  std::map<RefusalKey, std::int64_t> AtEdge;
  std::vector<ReportGap> Gaps;

  void addCounts(const RefusalBatch &Batch);
  void addGap(ReportGap Gap);
  void checkOrder(const RefusalBatch *Before, const RefusalBatch &Batch);
  void checkEnd(const RefusalBatch &Last, const RefusalBatch *NextLife,
                WallTime Now);
};

void Builder::addCounts(const RefusalBatch &Batch) {
  for (const auto &[Key, Count] : Batch.Counts) {
    // Refusals counted under "(other)" may concern any service.
    const bool Wanted = !Filter.Service || Key.Service == *Filter.Service ||
                        Key.Service.str() == OverflowName;
    if (!Wanted || !reaches(Filter, Count.First, Count.Last))
      continue;
    mergeCounts(Sums, {{Key, Count}});
    if (crossesEdge(Filter, Count))
      AtEdge[Key] += Count.Count;
  }
}

void Builder::addGap(ReportGap Gap) {
  if (reaches(Filter, Gap.From, Gap.To))
    Gaps.push_back(std::move(Gap));
}

void Builder::checkOrder(const RefusalBatch *Before,
                         const RefusalBatch &Batch) {
  const Sequence Expected = Before ? Before->Id.Number.next() : Sequence(1);
  if (Batch.Id.Number == Expected)
    return;
  ReportGap Gap;
  Gap.Node = Batch.Id.Node;
  Gap.IncarnationNumber = Batch.Id.IncarnationNumber;
  Gap.Cause = GapCause::MissingBatches;
  // Without an earlier batch the start of this life is not known; the gap then
  // reaches back to the epoch.
  Gap.From = Before ? Before->To : WallTime();
  Gap.To = Batch.From;
  Gap.Missing =
      Batch.TotalBefore - (Before ? Before->TotalBefore + Before->Total : 0);
  addGap(std::move(Gap));
}

void Builder::checkEnd(const RefusalBatch &Last, const RefusalBatch *NextLife,
                       WallTime Now) {
  if (Last.Final || (!NextLife && elapsed(Last.To, Now) <= BatchOverdueAfter))
    return;
  ReportGap Gap;
  Gap.Node = Last.Id.Node;
  Gap.IncarnationNumber = Last.Id.IncarnationNumber;
  Gap.Cause = GapCause::NoFinalBatch;
  Gap.From = Last.To;
  // The next life of an id starts after the one before has ended.
  Gap.To = std::max(Last.To, NextLife ? NextLife->From : Now);
  addGap(std::move(Gap));
}

bool sameLife(const RefusalBatch &L, const RefusalBatch &R) {
  return L.Id.Node == R.Id.Node &&
         L.Id.IncarnationNumber == R.Id.IncarnationNumber;
}

RefusalReport finish(Builder &&Built) {
  RefusalReport Report;
  Report.Gaps = std::move(Built.Gaps);
  for (auto &[Key, Count] : Built.Sums) {
    Report.Total += Count.Count;
    const auto Edge = Built.AtEdge.find(Key);
    Report.Rows.push_back(
        {Key, std::move(Count), Edge == Built.AtEdge.end() ? 0 : Edge->second});
  }
  return Report;
}

} // namespace

std::string_view toString(GapCause Cause) {
  return Cause == GapCause::MissingBatches ? "missing-batches"
                                           : "no-final-batch";
}

RefusalReport buildReport(std::vector<RefusalBatch> Batches,
                          const ReportFilter &Filter, WallTime Now) {
  const std::vector<RefusalBatch> Ordered = mergeBatches(std::move(Batches));
  Builder Built{Filter, {}, {}, {}};
  for (std::size_t I = 0; I < Ordered.size(); ++I) {
    const RefusalBatch &Batch = Ordered[I];
    const bool First = I == 0 || !sameLife(Ordered[I - 1], Batch);
    Built.checkOrder(First ? nullptr : &Ordered[I - 1], Batch);
    Built.addCounts(Batch);
    if (I + 1 < Ordered.size() && sameLife(Batch, Ordered[I + 1]))
      continue;
    const bool Replaced =
        I + 1 < Ordered.size() && Ordered[I + 1].Id.Node == Batch.Id.Node;
    Built.checkEnd(Batch, Replaced ? &Ordered[I + 1] : nullptr, Now);
  }
  return finish(std::move(Built));
}

} // namespace lycheethread::refusals
