#include "TrialTraffic.h"

namespace lycheethread::trials {

Traffic::Traffic(const World &Given, std::mt19937_64 &Random)
    : Given_(Given), Random_(Random) {}

std::vector<Call> Traffic::tick(double Now, const ShareOf &Share) {
  std::vector<Call> Result;
  for (int Route = 0; Route < static_cast<int>(Given_.Routes.size()); ++Route) {
    std::poisson_distribution<int> Count(Given_.Routes[Route].PerSecond *
                                         TickSeconds);
    const int Requests = Count(Random_);
    for (int I = 0; I < Requests; ++I) {
      Call Made;
      Made.Entry =
          std::uniform_int_distribution<int>(0, entries() - 1)(Random_);
      const std::int64_t Permille = Share(Route, Made.Entry);
      Request &Asked = Made.Asked;
      Asked.Route = Route;
      Asked.New =
          std::uniform_int_distribution<int>(0, 999)(Random_) < Permille;
      Asked.Hop = pickHop(Given_, Asked.New, Now, Random_);
      Asked.Now = Now;
      // Old instances have been up for long.
      Asked.Age = Asked.New ? ageOf(true, Asked.Hop, Now) : 3600;
      Asked.Share = static_cast<double>(Permille) / 1000;
      Made.Given = serve(Given_, Asked, Random_);
      FirstAt_.emplace(std::make_pair(Asked.New, Asked.Hop), Now);
      note(Made);
      Result.push_back(Made);
    }
  }
  return Result;
}

double Traffic::ageOf(bool New, int Hop, double Now) const {
  const auto Found = FirstAt_.find({New, Hop});
  return Found == FirstAt_.end() ? 0 : Now - Found->second;
}

void Traffic::note(const Call &Made) {
  if (!Made.Asked.New)
    return;
  if (Made.Given.Bad && FirstBad_ < 0)
    FirstBad_ = Made.Asked.Now;
  if (FirstBad_ >= 0)
    ++CallsWhileBad_;
  LastCall_ = Made.Asked.Now;
}

TrialResult Traffic::finish(bool Finished, double Now,
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
