#include "refusals/Refusals.h"

#include <algorithm>

namespace lycheethread::refusals {

namespace {

bool overlaps(const ReportFilter &Filter, WallTime From, WallTime To) {
  return (!Filter.From || *Filter.From <= To) &&
         (!Filter.To || From <= *Filter.To);
}

bool extendsBeyondFilter(const ReportFilter &Filter,
                         const RefusalCount &Count) {
  return (Filter.From && Count.First < *Filter.From) ||
         (Filter.To && *Filter.To < Count.Last);
}

/// Collects rows and gaps while it visits the batches in order.
struct ReportBuilder {
  const ReportFilter &Filter;
  RefusalCounts Sums;
  std::map<RefusalKey, std::int64_t> AtEdge;
  std::vector<ReportGap> Gaps;

  void addCounts(const RefusalBatch &Batch);
  void addGap(ReportGap Gap);
  void checkSequence(const RefusalBatch *Previous, const RefusalBatch &Batch);
  void checkFinalBatch(const RefusalBatch &Last,
                       const RefusalBatch *NextIncarnation, WallTime Now);
};

void ReportBuilder::addCounts(const RefusalBatch &Batch) {
  for (const auto &[Key, Count] : Batch.Counts) {
    // Refusals counted under "(other)" may belong to any service.
    const bool Wanted = !Filter.Service || Key.Service == *Filter.Service ||
                        Key.Service.str() == OverflowName;
    if (!Wanted || !overlaps(Filter, Count.First, Count.Last))
      continue;
    mergeCounts(Sums, {{Key, Count}});
    if (extendsBeyondFilter(Filter, Count))
      AtEdge[Key] += Count.Count;
  }
}

void ReportBuilder::addGap(ReportGap Gap) {
  if (overlaps(Filter, Gap.From, Gap.To))
    Gaps.push_back(std::move(Gap));
}

void ReportBuilder::checkSequence(const RefusalBatch *Previous,
                                  const RefusalBatch &Batch) {
  const Sequence Expected = Previous ? Previous->Id.Number.next() : Sequence(1);
  if (Batch.Id.Number == Expected)
    return;
  ReportGap Gap;
  Gap.Node = Batch.Id.Node;
  Gap.IncarnationNumber = Batch.Id.IncarnationNumber;
  Gap.Cause = GapCause::MissingBatches;
  // Without an earlier batch the start of the incarnation is not known; the gap
  // then starts at the Unix epoch.
  Gap.From = Previous ? Previous->To : WallTime();
  Gap.To = Batch.From;
  Gap.Missing = Batch.TotalBefore -
                (Previous ? Previous->TotalBefore + Previous->Total : 0);
  addGap(std::move(Gap));
}

void ReportBuilder::checkFinalBatch(const RefusalBatch &Last,
                                    const RefusalBatch *NextIncarnation,
                                    WallTime Now) {
  if (Last.Final ||
      (!NextIncarnation && elapsed(Last.To, Now) <= BatchOverdueAfter))
    return;
  ReportGap Gap;
  Gap.Node = Last.Id.Node;
  Gap.IncarnationNumber = Last.Id.IncarnationNumber;
  Gap.Cause = GapCause::NoFinalBatch;
  Gap.From = Last.To;
  // An incarnation of a node starts only after the previous one has ended.
  Gap.To = std::max(Last.To, NextIncarnation ? NextIncarnation->From : Now);
  addGap(std::move(Gap));
}

bool isSameIncarnation(const RefusalBatch &L, const RefusalBatch &R) {
  return L.Id.Node == R.Id.Node &&
         L.Id.IncarnationNumber == R.Id.IncarnationNumber;
}

RefusalReport finish(ReportBuilder &&Builder) {
  RefusalReport Report;
  Report.Gaps = std::move(Builder.Gaps);
  for (auto &[Key, Count] : Builder.Sums) {
    Report.Total += Count.Count;
    const auto Edge = Builder.AtEdge.find(Key);
    Report.Rows.push_back({Key, std::move(Count),
                           Edge == Builder.AtEdge.end() ? 0 : Edge->second});
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
  ReportBuilder Builder{Filter, {}, {}, {}};
  for (std::size_t I = 0; I < Ordered.size(); ++I) {
    const RefusalBatch &Batch = Ordered[I];
    const bool First = I == 0 || !isSameIncarnation(Ordered[I - 1], Batch);
    Builder.checkSequence(First ? nullptr : &Ordered[I - 1], Batch);
    Builder.addCounts(Batch);
    if (I + 1 < Ordered.size() && isSameIncarnation(Batch, Ordered[I + 1]))
      continue;
    const bool Replaced =
        I + 1 < Ordered.size() && Ordered[I + 1].Id.Node == Batch.Id.Node;
    Builder.checkFinalBatch(Batch, Replaced ? &Ordered[I + 1] : nullptr, Now);
  }
  return finish(std::move(Builder));
}

} // namespace lycheethread::refusals
