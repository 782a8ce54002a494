#include "proxy/internal/Balancer.h"
#include "proxy/internal/Clock.h"

#include <map>
#include <mutex>
#include <random>

namespace lycheethread::proxy {

struct Balancer::Impl {
  std::shared_ptr<kernel::SnapshotStore<moves::StoppedMoveSet>> StoppedMoves;
  std::mutex Lock;
  requests::EjectionTable Ejections;
  requests::LoadTable Load;
  std::map<ServiceName, requests::RetryBudget> Budgets;
  std::uint64_t Seed = std::random_device()();
};

Balancer::Balancer(
    std::shared_ptr<kernel::SnapshotStore<moves::StoppedMoveSet>> StoppedMoves)
    : Impl_(std::make_unique<Impl>()) {
  Impl_->StoppedMoves = std::move(StoppedMoves);
}

Balancer::~Balancer() = default;

std::optional<requests::Selection>
Balancer::select(const CallContext &Call, const std::set<NodeId> &Excluded) {
  const auto Group = Call.Match.Service->Groups.find(Call.Match.Found->Group);
  if (Group == Call.Match.Service->Groups.end())
    return std::nullopt;
  static const moves::StoppedMoveSet NoBrakes;
  const auto StoppedMoves = Impl_->StoppedMoves->load();
  const std::lock_guard<std::mutex> Guard(Impl_->Lock);
  auto Found = requests::selectUpstream(
      Group->second, {Call.Id, Call.Match.Found->Class,
                      StoppedMoves ? *StoppedMoves : NoBrakes, Impl_->Ejections,
                      Impl_->Load, Excluded, steadyNow(), Impl_->Seed});
  if (Found)
    ++Impl_->Load.InProgress[Found->Target.Id];
  return Found;
}

void Balancer::attemptEnded(const NodeId &Target, const AttemptResult &Result) {
  const std::lock_guard<std::mutex> Guard(Impl_->Lock);
  const auto It = Impl_->Load.InProgress.find(Target);
  if (It != Impl_->Load.InProgress.end() && --It->second <= 0)
    Impl_->Load.InProgress.erase(It);
  if (Result.Fault == UpstreamFailure::Crashed)
    requests::ejectAfterCrash(Impl_->Ejections, Target, steadyNow());
  else if (Result.Fault == UpstreamFailure::NoConnection)
    requests::recordConnectFailure(Impl_->Ejections, Target, steadyNow());
  else if (Result.End == AttemptEnd::Refused &&
           Result.Reason == RefusalReason::Shed)
    requests::recordShedRequest(Impl_->Ejections, Target, steadyNow());
  else if (Result.End == AttemptEnd::Delivered)
    requests::resetEjection(Impl_->Ejections, Target);
}

void Balancer::recordOriginal(const CallContext &Call) {
  const std::lock_guard<std::mutex> Guard(Impl_->Lock);
  requests::recordOriginal(Impl_->Budgets[*Call.Match.Name],
                           Call.Match.Service->Limits);
}

bool Balancer::mayRetry(const CallContext &Call,
                        const requests::FailedAttempt &Failed) {
  const std::lock_guard<std::mutex> Guard(Impl_->Lock);
  return requests::decideRetry(Impl_->Budgets[*Call.Match.Name], Failed);
}

} // namespace lycheethread::proxy
