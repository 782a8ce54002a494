#include "metrics/internal/TrafficMetrics.h"

namespace lycheethread::metrics {

void TrafficMetrics::record(const TrafficSample &Sample) {
  const std::size_t Index = static_cast<std::size_t>(Sample.Kind) * 4 +
                            static_cast<std::size_t>(Sample.Way) * 2 +
                            (Sample.CrossRegion ? 1 : 0);
  if (Index >= Counters_.size())
    return;
  Counter &To = Counters_[Index];
  To.Messages.fetch_add(1, std::memory_order_relaxed);
  To.Bytes.fetch_add(Sample.Bytes.value(), std::memory_order_relaxed);
}

std::vector<TrafficTotal> TrafficMetrics::totals() const {
  std::vector<TrafficTotal> Result;
  for (std::size_t I = 0; I < Counters_.size(); ++I) {
    const std::int64_t Messages = Counters_[I].Messages.load();
    if (Messages == 0)
      continue;
    Result.push_back({static_cast<TrafficKind>(I / 4),
                      static_cast<Direction>(I / 2 % 2), I % 2 == 1, Messages,
                      ByteCount(Counters_[I].Bytes.load())});
  }
  return Result;
}

} // namespace lycheethread::metrics
