#include "sidecar/internal/Hedger.h"

namespace lycheethread::sidecar {

Hedger::Hedger(NodeContext &Context, UpstreamDirectory &Directory,
               Rollouts &ActiveRollouts)
    : Context_(Context), Directory_(Directory), Rollouts_(ActiveRollouts) {}

bool Hedger::isOn() const { return Context_.Settings.MaxHedgeShare > 0; }

void Hedger::onRequest() {
  mesh::addHedgeTokens(Share_, Context_.Settings.MaxHedgeShare);
}

void Hedger::onLatency(const RouteName &Route, Milliseconds Took) {
  if (isOn())
    Latencies_[Route].record(Took, Context_.now());
}

void Hedger::onRefusal(const ServiceName &Service) {
  if (isOn())
    RefusedAt_[Service] = Context_.now();
}

std::optional<Milliseconds> Hedger::delay(const HopInfo &Info,
                                          mesh::HedgeRequest Request) {
  if (!isOn())
    return std::nullopt;
  const SteadyTime Now = Context_.now();
  Request.Class = Info.Class;
  Request.ObjectiveLeft = elapsed(Now, Info.ObjectiveAt);
  Request.DeadlineLeft = elapsed(Now, Info.DeadlineAt);
  return mesh::hedgeDelay(Request, Latencies_[Info.Route].usual(Now));
}

std::optional<mesh::Candidate>
Hedger::choose(const HopInfo &Info,
               const organisations::ServingRegions &Allowed,
               mesh::HedgeMoment Moment, mesh::MeshRetryBudget &Budget) {
  const SteadyTime Now = Context_.now();
  // A cancelled attempt leaves no evidence, so hedging would hide that the new
  // version of a rollout is slow.
  if (!isOn() || Context_.Stopping || Rollouts_.activeOrder(Info.Service) ||
      requests::isQuarantined(Context_.Suspects, Info.RequestFingerprint, Now))
    return std::nullopt;
  // The loop may be late.
  if (Now >= Info.ObjectiveAt)
    return std::nullopt;
  const auto RefusedAt = RefusedAt_.find(Info.Service);
  if (RefusedAt != RefusedAt_.end())
    Moment.SinceRefusal = elapsed(RefusedAt->second, Now);
  const std::vector<mesh::Candidate> Candidates =
      Rollouts_.select(Info.Service, Info.Class,
                       Directory_.candidates(Info.Service, {}, Allowed));
  const auto Chosen =
      mesh::mayHedge(Candidates, Moment, Share_, Budget, Context_.Random);
  if (!Chosen)
    return std::nullopt;
  return Candidates[*Chosen];
}

void Hedger::onEnd(bool IsWon) { ++(IsWon ? Won_ : Lost_); }

std::string Hedger::exposition() const {
  return "# HELP lycheethread_hedged_requests_total Requests sent to a second "
         "upstream, by whether its answer was used.\n"
         "# TYPE lycheethread_hedged_requests_total counter\n"
         "lycheethread_hedged_requests_total{result=\"won\"} " +
         std::to_string(Won_) +
         "\nlycheethread_hedged_requests_total{result=\"lost\"} " +
         std::to_string(Lost_) + "\n";
}

} // namespace lycheethread::sidecar
