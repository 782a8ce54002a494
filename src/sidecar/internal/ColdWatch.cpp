#include "sidecar/internal/ColdWatch.h"
#include "sidecar/internal/UpstreamStatement.h"

namespace lycheethread::sidecar {

void ColdWatch::onConfig() {
  std::optional<double> PerSecond;
  if (Context_.Config) {
    const auto &Services = Context_.Config->Services;
    const auto Found = Services.find(Context_.Registered.Current.Service);
    if (Found != Services.end())
      PerSecond = Found->second.ColdPerSecond;
  }
  mesh::setColdRate(Limit_, PerSecond, Context_.Bounds, Context_.now());
  log();
}

void ColdWatch::onCheckIn(bool IsNewProcess) {
  mesh::recordColdCheckIn(Limit_, Context_.Registered.Current.ColdRemaining,
                          IsNewProcess, Context_.now());
  log();
}

void ColdWatch::onLoss(mesh::ConnectionLoss Kind) {
  mesh::recordConnectionLoss(Limit_, Kind, Context_.now());
  log();
}

bool ColdWatch::isCold() const {
  return mesh::coldRemaining(Context_.Registered, Context_.now()) >
         Milliseconds(0);
}

void ColdWatch::log() {
  const SteadyTime Now = Context_.now();
  const bool IsLimited = mesh::isLimited(Limit_, Now);
  if (IsLimited == IsLogged_)
    return;
  IsLogged_ = IsLimited;
  Context_.Log.write(
      LogClass::State, Now, IsLimited ? "upstream-cold" : "upstream-warm",
      {{"upstream", Context_.Registered.Current.Id.str()},
       {"limit_per_s", rateText(Limit_.PerSecond)},
       {"reason", Limit_.IsUnsure ? "it may have been restarted" : "check-in"},
       {"remaining_ms",
        std::to_string(
            mesh::coldRemaining(Context_.Registered, Now).count())}});
}

} // namespace lycheethread::sidecar
