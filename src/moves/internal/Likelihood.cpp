#include "moves/internal/Likelihood.h"

#include <algorithm>
#include <cmath>

namespace lycheethread::moves {

namespace {

constexpr double MissRate = 0.05;
/// Samples and events of the prior of a rate: a version with hardly any
/// requests is assumed to fail in 2% of them rather than in none.
constexpr double PriorSamples = 50;
constexpr double PriorEvents = 1;
/// Weight of the baseline in the estimate from a few recent windows.
constexpr double BaselineSamples = 20;
constexpr std::int64_t MinMedianSamples = 20;
constexpr std::int64_t MinWorseSamples = 10;
constexpr double FirstBucketMs = 0.25;

double upperEstimate(double Events, double Samples) {
  const double Rate = Events / Samples;
  return Rate + std::sqrt(Rate * (1 - Rate) / Samples);
}

double baselineRate(const Tally &Baseline) {
  return upperEstimate(static_cast<double>(Baseline.Events) + PriorEvents,
                       static_cast<double>(Baseline.Samples) + PriorSamples);
}

RatePair rates(double Old, double Margin) {
  RatePair Result;
  Result.Good = std::min(Old, 0.95);
  Result.Bad = std::min(2 * Result.Good + Margin, 0.99);
  return Result;
}

double medianMs(const OutcomeCounts &Counts) {
  const double Half = static_cast<double>(timedRequests(Counts)) / 2;
  double Below = 0;
  double Limit = FirstBucketMs;
  for (const std::int64_t InBucket : Counts.Latency) {
    const auto Count = static_cast<double>(InBucket);
    if (Below + Count >= Half && Count > 0)
      return Limit / 2 * (1 + (Half - Below) / Count);
    Below += Count;
    Limit *= 2;
  }
  return Limit;
}

} // namespace

double upperThreshold(const CanaryAnalysis &State, std::int64_t Cycle) {
  // The false alarm rate of a test is divided among its cycles by the weights
  // 6 / (pi^2 n^2). They add up to 1, so that any number of cycles keeps the
  // rate of the whole move.
  constexpr double PiSquared = 9.869604401089358;
  const auto N = static_cast<double>(Cycle);
  const double Rate =
      State.FalseAlarmRate / State.Tests * 6 / (PiSquared * N * N);
  return std::log((1 - MissRate) / Rate);
}

double lowerThreshold(const CanaryAnalysis &State) {
  return std::log(MissRate / (1 - State.FalseAlarmRate / State.Tests));
}

double oldRate(const Tally &Baseline, const Tally &Recent) {
  const double Base = baselineRate(Baseline);
  const double Samples = static_cast<double>(Recent.Samples) + BaselineSamples;
  const double Events =
      static_cast<double>(Recent.Events) + BaselineSamples * Base;
  if (Recent.Samples == 0)
    return Base;
  return std::max(Base, upperEstimate(Events, Samples));
}

bool isWorse(const Tally &Baseline, const Tally &Recent) {
  if (Recent.Samples < MinWorseSamples)
    return false;
  const double Rate =
      static_cast<double>(Recent.Events) / static_cast<double>(Recent.Samples);
  const double StandardError =
      std::sqrt(Rate * (1 - Rate) / static_cast<double>(Recent.Samples));
  return Rate - 2 * StandardError > 2 * baselineRate(Baseline) + 0.02;
}

RatePair failedRates(double Old) { return rates(Old, 0.02); }

RatePair slowRates(double Old) { return rates(Old, 0.1); }

RatePair severeRates(double Old) { return rates(Old, 0.25); }

double logLikelihood(const Tally &Seen, const RatePair &Rates) {
  const auto Events = static_cast<double>(Seen.Events);
  const auto NonEvents = static_cast<double>(Seen.Samples - Seen.Events);
  return Events * std::log(Rates.Bad / Rates.Good) +
         NonEvents * std::log((1 - Rates.Bad) / (1 - Rates.Good));
}

double ratioAgainst(const StreamTest &Test) {
  if (Test.Hops < 2)
    return Test.Total;
  double Worst = 0;
  for (const auto &[Hop, Part] : Test.ByHop)
    Worst = std::max(Worst, Part);
  return std::min(Test.Total, 2 * (Test.Total - Worst));
}

std::size_t slowBucket(const OutcomeCounts &Old) {
  if (timedRequests(Old) < MinMedianSamples)
    return LatencyBuckets;
  const double Threshold = 3 * medianMs(Old) + 5;
  const double Doublings = std::log2(Threshold / FirstBucketMs);
  const auto Nearest = static_cast<std::int64_t>(std::lround(Doublings));
  const std::int64_t First = std::max<std::int64_t>(Nearest + 1, 0);
  return std::min(static_cast<std::size_t>(First), LatencyBuckets - 1);
}

std::int64_t timedRequests(const OutcomeCounts &Counts) {
  std::int64_t Sum = 0;
  for (const std::int64_t InBucket : Counts.Latency)
    Sum += InBucket;
  return Sum;
}

Tally failedTally(const OutcomeCounts &Counts) {
  return {Counts.Failures, Counts.Requests};
}

Tally slowTally(const OutcomeCounts &Counts, std::size_t FirstSlow) {
  Tally Result;
  Result.Samples = timedRequests(Counts);
  for (std::size_t I = FirstSlow; I < LatencyBuckets; ++I)
    Result.Events += Counts.Latency[I];
  return Result;
}

void addCounts(OutcomeCounts &Sum, const OutcomeCounts &More) {
  Sum.Requests += More.Requests;
  Sum.Failures += More.Failures;
  for (std::size_t I = 0; I < LatencyBuckets; ++I)
    Sum.Latency[I] += More.Latency[I];
}

} // namespace lycheethread::moves
