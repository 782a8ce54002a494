#include "mesh/Mesh.h"

#include <algorithm>
#include <cmath>

namespace lycheethread::mesh {

namespace {

/// Long bodies of the users have 0.3 MB; one may always be sent now and then.
constexpr double MinBytesPerSecond = 40'000;
constexpr double MaxBytesPerSecond = 4'000'000;
/// Growth for each quick transfer.
constexpr double GrowthBytesPerSecond = 20'000;
/// A transfer this many times slower than the quickest ones has met a queue.
constexpr double SlowFactor = 1.8;
constexpr double CutFactor = 0.7;
/// All transfers of one queue count as one sign.
constexpr Milliseconds CutInterval{500};
/// The quickest time is forgotten slowly, since routes change.
constexpr double BestDrift = 1.01;
constexpr double MaxSavedSeconds = 1;
constexpr double MillisecondsPerSecond = 1000;
constexpr double BytesPerKiB = 1024;

void fill(LinkBudget &Budget, SteadyTime Now) {
  if (Budget.RefilledAt == SteadyTime())
    Budget.Tokens = Budget.BytesPerSecond * MaxSavedSeconds;
  else
    Budget.Tokens +=
        static_cast<double>(elapsed(Budget.RefilledAt, Now).count()) *
        Budget.BytesPerSecond / MillisecondsPerSecond;
  Budget.Tokens =
      std::min(Budget.Tokens, Budget.BytesPerSecond * MaxSavedSeconds);
  Budget.RefilledAt = Now;
}

} // namespace

Milliseconds sendDelay(LinkBudget &Budget, SteadyTime Now) {
  fill(Budget, Now);
  if (Budget.Tokens >= 0)
    return Milliseconds(0);
  return Milliseconds(std::llround(-Budget.Tokens / Budget.BytesPerSecond *
                                   MillisecondsPerSecond) +
                      1);
}

void consumeTokens(LinkBudget &Budget, std::int64_t Bytes, SteadyTime Now) {
  fill(Budget, Now);
  Budget.Tokens -= static_cast<double>(Bytes);
}

void recordTransfer(LinkBudget &Budget, std::int64_t Bytes, Milliseconds Took,
                    SteadyTime Now) {
  if (Bytes <= 0)
    return;
  const double MsPerKiB =
      static_cast<double>(std::max<std::int64_t>(1, Took.count())) *
      BytesPerKiB / static_cast<double>(Bytes);
  const double Best = Budget.BestMsPerKiB;
  const bool IsSlow = Best > 0 && MsPerKiB > Best * SlowFactor;
  Budget.BestMsPerKiB =
      Best == 0 ? MsPerKiB : std::min(Best * BestDrift, MsPerKiB);
  if (!IsSlow) {
    Budget.BytesPerSecond = std::min(
        MaxBytesPerSecond, Budget.BytesPerSecond + GrowthBytesPerSecond);
    return;
  }
  if (elapsed(Budget.RateReducedAt, Now) < CutInterval)
    return;
  Budget.RateReducedAt = Now;
  Budget.BytesPerSecond =
      std::max(MinBytesPerSecond, Budget.BytesPerSecond * CutFactor);
}

} // namespace lycheethread::mesh
