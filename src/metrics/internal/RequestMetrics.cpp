#include "metrics/internal/RequestMetrics.h"

#include <algorithm>
#include <array>
#include <atomic>
#include <mutex>
#include <unordered_map>

namespace lycheethread::metrics {

namespace {

constexpr std::size_t ShardCount = 16;
constexpr std::size_t ClassCount = 3;
constexpr std::size_t HopCount = 2;
constexpr std::size_t MaxCallerBytes = 64;

using CallerSeries = std::array<std::unique_ptr<Series>, ClassCount * HopCount>;

struct alignas(64) Shard {
  mutable std::mutex Lock;
  std::unordered_map<CallerId, CallerSeries> Callers;
};

std::size_t seriesIndex(RequestClass Class, Hop At) {
  return static_cast<std::size_t>(Class) * HopCount +
         static_cast<std::size_t>(At);
}

void addSample(CallerSeries &Of, const RequestSample &Sample) {
  std::unique_ptr<Series> &Slot = Of[seriesIndex(Sample.Class, Sample.At)];
  if (!Slot)
    Slot = std::make_unique<Series>();
  Slot->Latency.add(Sample.Latency.count());
  Slot->QueueTime.add(Sample.QueueTime.count());
  Slot->RequestSize.add(Sample.RequestBytes.value());
  Slot->ResponseSize.add(Sample.ResponseBytes.value());
}

} // namespace

struct RequestMetrics::Impl {
  std::array<Shard, ShardCount> Shards;
  std::atomic<std::size_t> Callers{0};

  Shard &shardOf(const CallerId &Caller) {
    return Shards[std::hash<CallerId>()(Caller) % ShardCount];
  }
  bool reserveCaller();
  bool recordForCaller(const RequestSample &Sample);
  void recordForOtherCallers(const RequestSample &Sample);
};

bool RequestMetrics::Impl::reserveCaller() {
  std::size_t Known = Callers.load(std::memory_order_relaxed);
  while (Known < MaxCallers)
    if (Callers.compare_exchange_weak(Known, Known + 1))
      return true;
  return false;
}

bool RequestMetrics::Impl::recordForCaller(const RequestSample &Sample) {
  if (Sample.Caller.str().size() > MaxCallerBytes)
    return false;
  Shard &OwnShard = shardOf(Sample.Caller);
  const std::lock_guard<std::mutex> Guard(OwnShard.Lock);
  auto It = OwnShard.Callers.find(Sample.Caller);
  if (It == OwnShard.Callers.end()) {
    if (!reserveCaller())
      return false;
    It = OwnShard.Callers.try_emplace(Sample.Caller).first;
  }
  addSample(It->second, Sample);
  return true;
}

void RequestMetrics::Impl::recordForOtherCallers(const RequestSample &Sample) {
  static const CallerId Other(OtherCaller);
  Shard &OwnShard = shardOf(Other);
  const std::lock_guard<std::mutex> Guard(OwnShard.Lock);
  addSample(OwnShard.Callers[Other], Sample);
}

RequestMetrics::RequestMetrics() : Impl_(std::make_unique<Impl>()) {}

RequestMetrics::~RequestMetrics() = default;

void RequestMetrics::record(const RequestSample &Sample) {
  if (!Impl_->recordForCaller(Sample))
    Impl_->recordForOtherCallers(Sample);
}

void RequestMetrics::forEach(
    const std::function<void(const SeriesKey &Key, const Series &Values)>
        &Visit) const {
  std::vector<CallerId> Names;
  for (const Shard &Each : Impl_->Shards) {
    const std::lock_guard<std::mutex> Guard(Each.Lock);
    for (const auto &Entry : Each.Callers)
      Names.push_back(Entry.first);
  }
  std::sort(Names.begin(), Names.end());
  for (const CallerId &Name : Names) {
    CallerSeries Copy;
    {
      // Copies the histograms so that the lock, which requests need, is not
      // held while Visit formats them.
      const Shard &OwnShard = Impl_->shardOf(Name);
      const std::lock_guard<std::mutex> Guard(OwnShard.Lock);
      const CallerSeries &Kept = OwnShard.Callers.at(Name);
      for (std::size_t I = 0; I < Kept.size(); ++I)
        if (Kept[I])
          Copy[I] = std::make_unique<Series>(*Kept[I]);
    }
    for (std::size_t I = 0; I < Copy.size(); ++I)
      if (Copy[I])
        Visit({Name, static_cast<RequestClass>(I / HopCount),
               static_cast<Hop>(I % HopCount)},
              *Copy[I]);
  }
}

} // namespace lycheethread::metrics
