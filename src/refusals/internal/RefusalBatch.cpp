#include "refusals/Refusals.h"

#include <algorithm>
#include <tuple>

namespace lycheethread::refusals {

namespace {

auto asTuple(const RefusalKey &Key) {
  return std::tie(Key.Service, Key.Caller, Key.Route, Key.Reason,
                  Key.ExecutionStatus);
}

auto asTuple(const BatchId &Id) {
  return std::tie(Id.Node, Id.IncarnationNumber, Id.Number);
}

void mergeCount(RefusalCount &Into, const RefusalCount &More) {
  if (Into.Count == 0) {
    Into = More;
    return;
  }
  Into.Count += More.Count;
  Into.First = std::min(Into.First, More.First);
  if (Into.Last <= More.Last) {
    Into.Last = More.Last;
    Into.Class = More.Class;
  }
  Into.ConfigPosition = std::max(Into.ConfigPosition, More.ConfigPosition);
  for (const RefusalId &Sample : More.Samples) {
    if (Into.Samples.size() >= MaxSamples)
      break;
    Into.Samples.push_back(Sample);
  }
}

} // namespace

bool operator==(const RefusalKey &L, const RefusalKey &R) {
  return asTuple(L) == asTuple(R);
}

bool operator<(const RefusalKey &L, const RefusalKey &R) {
  return asTuple(L) < asTuple(R);
}

bool operator==(const BatchId &L, const BatchId &R) {
  return asTuple(L) == asTuple(R);
}

bool operator<(const BatchId &L, const BatchId &R) {
  return asTuple(L) < asTuple(R);
}

void mergeCounts(RefusalCounts &Into, const RefusalCounts &More) {
  for (const auto &[Key, Count] : More)
    mergeCount(Into[Key], Count);
}

std::vector<RefusalBatch> mergeBatches(std::vector<RefusalBatch> Batches) {
  std::stable_sort(
      Batches.begin(), Batches.end(),
      [](const RefusalBatch &L, const RefusalBatch &R) { return L.Id < R.Id; });
  const auto Last =
      std::unique(Batches.begin(), Batches.end(),
                  [](const RefusalBatch &L, const RefusalBatch &R) {
                    return L.Id == R.Id;
                  });
  Batches.erase(Last, Batches.end());
  return Batches;
}

} // namespace lycheethread::refusals
