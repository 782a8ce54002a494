#include "mesh/Mesh.h"

#include <algorithm>
#include <cmath>

namespace lycheethread::mesh {

namespace {

/// The users' long bodies have 0.3 MB; the lower bound still lets one pass
/// every few seconds.
constexpr double MinBytesPerSecond = 40'000;
constexpr double MaxBytesPerSecond = 4'000'000;
/// Increase after each fast transfer.
constexpr double IncreaseBytesPerSecond = 20'000;
/// A transfer slower than the fastest ones by this factor has met a queue.
constexpr double SlowFactor = 1.8;
constexpr double DecreaseFactor = 0.7;
/// All slow transfers within this time count as one congestion signal.
constexpr Milliseconds DecreaseInterval{500};
/// The best time drifts upward slowly, since network routes change.
constexpr double BestTimeDrift = 1.01;
constexpr double MaxBurstSeconds = 1;
constexpr double MillisecondsPerSecond = 1000;
constexpr double BytesPerKiB = 1024;

void refill(LinkBudget &Budget, SteadyTime Now) {
  if (Budget.RefilledAt == SteadyTime())
    Budget.Tokens = Budget.BytesPerSecond * MaxBurstSeconds;
  else
    Budget.Tokens +=
        static_cast<double>(elapsed(Budget.RefilledAt, Now).count()) *
        Budget.BytesPerSecond / MillisecondsPerSecond;
  Budget.Tokens =
      std::min(Budget.Tokens, Budget.BytesPerSecond * MaxBurstSeconds);
  Budget.RefilledAt = Now;
}

} // namespace

Milliseconds sendDelay(LinkBudget &Budget, SteadyTime Now) {
  refill(Budget, Now);
  if (Budget.Tokens >= 0)
    return Milliseconds(0);
  return Milliseconds(std::llround(-Budget.Tokens / Budget.BytesPerSecond *
                                   MillisecondsPerSecond) +
                      1);
}

void consumeTokens(LinkBudget &Budget, std::int64_t Bytes, SteadyTime Now) {
  refill(Budget, Now);
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
      Best == 0 ? MsPerKiB : std::min(Best * BestTimeDrift, MsPerKiB);
  if (!IsSlow) {
    Budget.BytesPerSecond = std::min(
        MaxBytesPerSecond, Budget.BytesPerSecond + IncreaseBytesPerSecond);
    return;
  }
  if (elapsed(Budget.RateReducedAt, Now) < DecreaseInterval)
    return;
  Budget.RateReducedAt = Now;
  Budget.BytesPerSecond =
      std::max(MinBytesPerSecond, Budget.BytesPerSecond * DecreaseFactor);
}

} // namespace lycheethread::mesh
