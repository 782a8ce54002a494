#include "sidecar/internal/ColdWatch.h"
#include "sidecar/internal/EvacuatedZones.h"
#include "sidecar/internal/UpstreamStatement.h"

#include <algorithm>
#include <utility>

namespace lycheethread::sidecar {

namespace {

using mesh::HealthAnswer;
using mesh::HealthCheckReason;

const char *textOf(HealthCheckReason Reason) {
  return Reason == HealthCheckReason::SlowAnswers ? "slow answers"
                                                  : "zone returned";
}

const char *resultText(const HealthAnswer &Answer) {
  switch (Answer.Result) {
  case HealthAnswer::Kind::Answered:
    return Answer.ColdFor > Milliseconds(0) ? "cold" : "warm";
  case HealthAnswer::Kind::Unanswered:
    return "unanswered";
  case HealthAnswer::Kind::ConnectionRefused:
    break;
  }
  return "refused";
}

} // namespace

ColdWatch::ColdWatch(NodeContext &Context, ConnectionPool &Pool,
                     mesh::HopQueue &Queue, Callbacks Handlers)
    : Context_(Context), Queue_(Queue), Limit_(Queue.Cold),
      Callbacks_(std::move(Handlers)), Check_(Context, Pool) {}

const mesh::MeshService *ColdWatch::service() const {
  if (!Context_.Config)
    return nullptr;
  const auto &Services = Context_.Config->Services;
  const auto Found = Services.find(Context_.Registered.Current.Service);
  return Found == Services.end() ? nullptr : &Found->second;
}

void ColdWatch::onConfig() {
  const mesh::MeshService *const Service = service();
  mesh::setColdRate(Limit_, Service ? Service->ColdPerSecond : std::nullopt,
                    Context_.Bounds, Context_.now());
  const bool IsEvacuated = isOwnZoneEvacuated(Context_);
  if (std::exchange(WasEvacuated_, IsEvacuated) && !IsEvacuated) {
    mesh::recordZoneReturn(Limit_, Context_.now());
    log(textOf(HealthCheckReason::ZoneReturned));
    // With all slots taken, the next check-ins tell.
    if (Queue_.Running < Queue_.Slots)
      check(HealthCheckReason::ZoneReturned);
  }
  log("configuration");
}

void ColdWatch::onCheckIn(bool IsNewProcess) {
  const mesh::Upstream &Current = Context_.Registered.Current;
  if (IsNewProcess)
    endCheck();
  if (Version_ != Current.Version)
    Suspicion_ = {};
  Version_ = Current.Version;
  mesh::recordColdCheckIn(Limit_, Current.ColdRemaining, IsNewProcess,
                          Context_.now());
  mesh::recordKnownState(Suspicion_, isCold());
  log("check-in");
}

void ColdWatch::onLoss(mesh::ConnectionLoss Kind) {
  mesh::recordConnectionLoss(Limit_, Kind, Context_.now());
  log("it may have been restarted");
}

void ColdWatch::onAnswer(const RouteName &Route, SteadyTime SentAt) {
  const SteadyTime Now = Context_.now();
  // The times of a cold upstream are not the usual ones, and after a suspension
  // of this node they are not those of the upstream.
  if (!Limit_.PerSecond || mesh::isColdLimited(Limit_, Now) ||
      SentAt < Limit_.ColdUntil || SentAt < Context_.ResumedAt)
    return;
  mesh::recordWatchedAnswer(Suspicion_, Route, elapsed(SentAt, Now));
  if (mesh::needsHealthCheck(Suspicion_, Now))
    check(HealthCheckReason::SlowAnswers);
}

void ColdWatch::check(HealthCheckReason Reason) {
  const mesh::MeshService *const Service = service();
  if (IsChecking_ || Service == nullptr || !Service->ColdPerSecond ||
      Service->HealthPath.empty() || !Callbacks_.MaySend() ||
      !mesh::mayCheckHealth(Suspicion_, Context_.now()))
    return;
  IsChecking_ = true;
  mesh::recordHealthCheck(Suspicion_, Context_.now());
  mesh::startHealthCheck(Limit_, Context_.now());
  // The upstream answers the check in one of its slots. After an answer, that
  // is the slot of the answered request.
  ++Queue_.Running;
  // That request still uses the connection that the check can take.
  Context_.Loop.defer([this, Reason, Path = Service->HealthPath] {
    if (IsChecking_)
      Check_.start(Path, [this, Reason](HealthAnswer Answer) {
        onChecked(Reason, Answer);
      });
  });
}

void ColdWatch::onChecked(HealthCheckReason Reason, HealthAnswer Answer) {
  mesh::recordHealthAnswer(Limit_, Answer, Context_.now());
  if (Answer.Result != HealthAnswer::Kind::Answered)
    ++UnansweredChecks_;
  else
    ++(Answer.ColdFor > Milliseconds(0) ? ColdChecks_ : WarmChecks_);
  if (Answer.Result == HealthAnswer::Kind::Answered)
    mesh::recordKnownState(Suspicion_, Answer.ColdFor > Milliseconds(0));
  Context_.Log.write(
      LogClass::State, Context_.now(), "upstream-checked",
      {{"upstream", Context_.Registered.Current.Id.str()},
       {"reason", textOf(Reason)},
       {"result", resultText(Answer)},
       {"remaining_ms", std::to_string(Answer.ColdFor.count())}});
  log("health check");
  endCheck();
}

void ColdWatch::endCheck() {
  Check_.cancel();
  if (!std::exchange(IsChecking_, false))
    return;
  --Queue_.Running;
  Callbacks_.OnChecked();
}

Milliseconds ColdWatch::remaining() const {
  return std::max(Milliseconds(0), elapsed(Context_.now(), Limit_.ColdUntil));
}

void ColdWatch::log(const char *Reason) {
  const SteadyTime Now = Context_.now();
  const bool IsLimited = mesh::isColdLimited(Limit_, Now);
  if (IsLimited == IsLogged_)
    return;
  IsLogged_ = IsLimited;
  Context_.Log.write(LogClass::State, Now,
                     IsLimited ? "upstream-cold" : "upstream-warm",
                     {{"upstream", Context_.Registered.Current.Id.str()},
                      {"limit_per_s", rateText(Limit_.PerSecond)},
                      {"reason", Reason},
                      {"remaining_ms", std::to_string(remaining().count())}});
}

std::string ColdWatch::metrics() const {
  const std::pair<const char *, std::uint64_t> Counts[] = {
      {"cold", ColdChecks_},
      {"warm", WarmChecks_},
      {"unanswered", UnansweredChecks_}};
  if (ColdChecks_ + WarmChecks_ + UnansweredChecks_ == 0)
    return "";
  std::string Text = "# HELP lycheethread_health_checks_total Health checks of "
                     "the upstream of this node, by result.\n"
                     "# TYPE lycheethread_health_checks_total counter\n";
  for (const auto &[Result, Count] : Counts)
    Text += "lycheethread_health_checks_total{result=\"" + std::string(Result) +
            "\"} " + std::to_string(Count) + "\n";
  return Text;
}

} // namespace lycheethread::sidecar
