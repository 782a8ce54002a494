#include "sidecar/internal/UpstreamHopRequest.h"

namespace lycheethread::sidecar {

mesh::LoadReport UpstreamHop::load() const {
  const auto Waiting = static_cast<std::int32_t>(Queue_.Waiting.size());
  return {Queue_.Running,
          Waiting + UploadBacklog_.Receiving,
          mesh::meanExpectedService(Queue_.Slots, Queue_.Running + Waiting,
                                    ExpectedWork_,
                                    mesh::meanServiceTime(Service_)),
          mesh::uploadBacklogTime(UploadBacklog_),
          mesh::limitOf(Queue_, Context_.now()),
          mesh::permitDelay(Queue_,
                            static_cast<std::int64_t>(Queue_.Waiting.size()),
                            Context_.now())};
}

mesh::EvidenceByRoute UpstreamHop::evidence() const {
  const auto Order =
      Callbacks_.ActiveOrder(Context_.Registered.Current.Service);
  return Order ? Outcomes_.evidence(*Order) : mesh::EvidenceByRoute();
}

void UpstreamHop::recordEvidence(const Running &Job, bool Good,
                                 Milliseconds Took) {
  Callees_.onRunEnd(Job.Job.Info, Job.SentAt, Good);
  const auto Order =
      Callbacks_.ActiveOrder(Context_.Registered.Current.Service);
  if (!Order)
    Outcomes_.clear();
  else if (Good)
    Outcomes_.recordGood(*Order, Job.Job.Info.Route, Took, !Cold_.isCold());
  else
    Outcomes_.recordBad(*Order, Job.Job.Info.Route);
}

Milliseconds UpstreamHop::expectedService(const HopInfo &Info) {
  const bool IsCold = Cold_.isCold();
  mesh::initServiceTime(Service_, Info.Objective, IsCold);
  mesh::ServiceTime &OfRoute = ServiceByRoute_[Info.Route];
  mesh::initServiceTime(OfRoute, Info.Objective, IsCold);
  return mesh::meanServiceTime(OfRoute);
}

} // namespace lycheethread::sidecar
