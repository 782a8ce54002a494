#include "proxy/internal/OutcomeSums.h"

#include <map>
#include <mutex>
#include <tuple>
#include <utility>

namespace lycheethread::proxy {

namespace {

/// Sums between two takes; beyond this, outcomes of further routes are lost
/// until the next take.
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

void add(Sums &To, const Outcome &Seen) {
  const std::lock_guard<std::mutex> Guard(To.Lock);
  const SumKey Key(Seen.Service, Seen.Group, Seen.Route, Seen.Version);
  auto It = To.Routes.find(Key);
  if (It == To.Routes.end()) {
    if (To.Routes.size() >= MaxSums)
      return;
    RouteOutcomes Empty;
    Empty.Group = Seen.Group;
    Empty.Route = Seen.Route;
    Empty.Version = Seen.Version;
    It = To.Routes.emplace(Key, Empty).first;
  }
  ++It->second.Requests;
  It->second.Failures += Seen.Failed ? 1 : 0;
  ++It->second.Latency[bucketOf(Seen.Latency)];
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
  auto Log = std::make_shared<OutcomeAccumulator>();
  Log->Add = [Shared](const Outcome &Seen) { add(*Shared, Seen); };
  Log->Take = [Shared] { return take(*Shared); };
  return Log;
}

} // namespace lycheethread::proxy
