#include "TrialTraffic.h"

namespace lycheethread::trials {

Traffic::Traffic(const TrialScenario &Scenario, std::mt19937_64 &Random)
    : Scenario_(Scenario), Random_(Random) {}

std::vector<Call> Traffic::tick(double Now, const ShareOf &Share) {
  std::vector<Call> Result;
  for (int Route = 0; Route < static_cast<int>(Scenario_.Routes.size());
       ++Route) {
    std::poisson_distribution<int> Count(
        Scenario_.Routes[Route].RequestsPerSecond * TickSeconds);
    const int Requests = Count(Random_);
    for (int I = 0; I < Requests; ++I) {
      Call Completed;
      Completed.EntryIndex =
          std::uniform_int_distribution<int>(0, entryCount() - 1)(Random_);
      const std::int64_t Permille = Share(Route, Completed.EntryIndex);
      Request &Sent = Completed.Sent;
      Sent.Route = Route;
      Sent.New = std::uniform_int_distribution<int>(0, 999)(Random_) < Permille;
      Sent.Instance = pickInstance(Scenario_, Sent.New, Now, Random_);
      Sent.Now = Now;
      // Old instances started long before the trial.
      Sent.InstanceAge =
          Sent.New ? secondsSinceFirstRequest(true, Sent.Instance, Now) : 3600;
      Sent.Share = static_cast<double>(Permille) / 1000;
      Completed.Received = serve(Scenario_, Sent, Random_);
      FirstRequestAt_.emplace(std::make_pair(Sent.New, Sent.Instance), Now);
      countCall(Completed);
      Result.push_back(Completed);
    }
  }
  return Result;
}

double Traffic::secondsSinceFirstRequest(bool New, int Instance,
                                         double Now) const {
  const auto Found = FirstRequestAt_.find({New, Instance});
  return Found == FirstRequestAt_.end() ? 0 : Now - Found->second;
}

void Traffic::countCall(const Call &Completed) {
  if (!Completed.Sent.New)
    return;
  if (Completed.Received.CausedByVersion && FirstBad_ < 0)
    FirstBad_ = Completed.Sent.Now;
  if (FirstBad_ >= 0)
    ++CallsWhileBad_;
  LastCall_ = Completed.Sent.Now;
}

TrialResult Traffic::makeResult(bool Finished, double Now,
                                std::string Reason) const {
  TrialResult Result;
  Result.Finished = Finished;
  Result.EndedAt = Now;
  Result.CallsWhileBad = CallsWhileBad_;
  Result.BadSeconds = FirstBad_ < 0 ? 0 : LastCall_ - FirstBad_;
  Result.Reason = std::move(Reason);
  return Result;
}

} // namespace lycheethread::trials
