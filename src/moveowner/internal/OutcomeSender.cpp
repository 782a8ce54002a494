#include "moveowner/internal/OutcomeSender.h"

namespace lycheethread::moveowner {

namespace {

void addLine(OutcomeSums &Sums, const RouteOutcomes &Seen) {
  const OutcomeKey Key{Seen.Group, Seen.Route, Seen.Version};
  const auto Found = Sums.Lines.find(Key);
  if (Found == Sums.Lines.end()) {
    if (Sums.Lines.size() < MaxOutcomeLines)
      Sums.Lines.emplace(Key, Seen);
    return;
  }
  RouteOutcomes &Sum = Found->second;
  Sum.Requests += Seen.Requests;
  Sum.Failures += Seen.Failures;
  for (std::size_t I = 0; I < LatencyBuckets; ++I)
    Sum.Latency[I] += Seen.Latency[I];
}

} // namespace

void addOutcomeSums(OutcomeSums &Sums, const ServiceName &Service,
                    const std::vector<proxy::ServiceOutcomes> &Taken,
                    bool Wanted, SteadyTime Now) {
  for (const proxy::ServiceOutcomes &Each : Taken) {
    if (Each.Service != Service)
      continue;
    for (const RouteOutcomes &Seen : Each.Routes) {
      if (Seen.Requests > 0 && Sums.FirstTraffic == SteadyTime())
        Sums.FirstTraffic = Now;
      addLine(Sums, Seen);
    }
  }
  if (!Wanted)
    Sums.Lines.clear();
}

std::optional<ServiceReport> takeReport(OutcomeSums &Sums,
                                        const ServiceName &Service,
                                        const NodeId &Self, SteadyTime Now) {
  if (elapsed(Sums.SentAt, Now) < ReportInterval || Sums.Lines.empty())
    return std::nullopt;
  Sums.SentAt = Now;
  ServiceReport Result;
  Result.Service = Service;
  Result.Report.Hop = Self;
  Result.Report.TimeSinceFirstRequest = elapsed(Sums.FirstTraffic, Now);
  for (auto &[Key, Seen] : Sums.Lines)
    Result.Report.Routes.push_back(std::move(Seen));
  Sums.Lines.clear();
  return Result;
}

} // namespace lycheethread::moveowner
