#include "proxy/internal/OutcomeSums.h"

#include <map>
#include <mutex>
#include <tuple>
#include <utility>

namespace lycheethread::proxy {

namespace {

/// Maximum number of sums; outcomes of further routes are dropped until the
/// sums are taken.
constexpr std::size_t MaxSums = 4096;
constexpr std::int64_t FirstBucketMicroseconds = 250;

using SumKey = std::tuple<ServiceName, GroupName, RouteName, VersionName>;

struct Sums {
  std::mutex Lock;
  std::map<SumKey, RouteOutcomes> Routes;
};

std::size_t bucketOf(std::chrono::microseconds Latency) {
  std::size_t Bucket = 0;
  std::int64_t Limit = FirstBucketMicroseconds;
  while (Bucket + 1 < LatencyBuckets && Latency.count() >= Limit) {
    ++Bucket;
    Limit *= 2;
  }
  return Bucket;
}

void add(Sums &To, const Outcome &Item) {
  const std::lock_guard<std::mutex> Guard(To.Lock);
  const SumKey Key(Item.Service, Item.Group, Item.Route, Item.Version);
  auto It = To.Routes.find(Key);
  if (It == To.Routes.end()) {
    if (To.Routes.size() >= MaxSums)
      return;
    RouteOutcomes Empty;
    Empty.Group = Item.Group;
    Empty.Route = Item.Route;
    Empty.Version = Item.Version;
    It = To.Routes.emplace(Key, Empty).first;
  }
  ++It->second.Requests;
  It->second.Failures += Item.Failed ? 1 : 0;
  ++It->second.Latency[bucketOf(Item.Latency)];
}

std::vector<ServiceOutcomes> take(Sums &From) {
  std::map<SumKey, RouteOutcomes> Taken;
  {
    const std::lock_guard<std::mutex> Guard(From.Lock);
    Taken.swap(From.Routes);
  }
  std::vector<ServiceOutcomes> Result;
  for (auto &[Key, Routes] : Taken) {
    const ServiceName &Service = std::get<ServiceName>(Key);
    if (Result.empty() || Result.back().Service != Service)
      Result.push_back({Service, {}});
    Result.back().Routes.push_back(std::move(Routes));
  }
  return Result;
}

} // namespace

std::shared_ptr<OutcomeAccumulator> makeOutcomeAccumulator() {
  auto Shared = std::make_shared<Sums>();
  auto Accumulator = std::make_shared<OutcomeAccumulator>();
  Accumulator->Add = [Shared](const Outcome &Item) { add(*Shared, Item); };
  Accumulator->Take = [Shared] { return take(*Shared); };
  return Accumulator;
}

} // namespace lycheethread::proxy
