#ifndef LYCHEETHREAD_MOVES_INTERNAL_LIKELIHOOD_H
#define LYCHEETHREAD_MOVES_INTERNAL_LIKELIHOOD_H

#include "moves/types/CanaryAnalysis.h"

namespace lycheethread::moves {

/// Events among samples of one Bernoulli stream.
struct Tally {
  std::int64_t Events = 0;
  std::int64_t Samples = 0;
};

/// The two rates that a test compares.
struct RatePair {
  double Good = 0;
  double Bad = 0;
};

/// Returns the upper threshold of the log-likelihood ratio in a cycle of a
/// test.
double upperThreshold(const CanaryAnalysis &State, std::int64_t Cycle);

/// Returns the lower threshold. Each cycle has a miss rate of 5%.
double lowerThreshold(const CanaryAnalysis &State);

/// Returns a conservative estimate of the old version's rate: the higher of the
/// rates in the baseline and in the recent windows.
double oldRate(const Tally &Baseline, const Tally &Recent);

/// Returns whether the recent rate is clearly above the baseline.
bool isWorse(const Tally &Baseline, const Tally &Recent);

RatePair failedRates(double Old);
RatePair slowRates(double Old);
RatePair severeRates(double Old);

/// Returns the log-likelihood ratio of one tally.
double logLikelihood(const Tally &Seen, const RatePair &Rates);

/// Returns the ratio that counts against the new version. With several nodes,
/// at most half of it may come from the worst node, since one broken instance
/// does not make a bad version.
double ratioAgainst(const StreamTest &Test);

/// Returns the first latency bucket that counts as slow: the one that starts at
/// the bucket limit nearest to 3 x median + 5 ms. Returns LatencyBuckets when
/// \p Old has too few requests for a median.
std::size_t slowBucket(const OutcomeCounts &Old);

std::int64_t timedRequests(const OutcomeCounts &Counts);
Tally failedTally(const OutcomeCounts &Counts);
Tally slowTally(const OutcomeCounts &Counts, std::size_t FirstSlow);

void addCounts(OutcomeCounts &Sum, const OutcomeCounts &More);

} // namespace lycheethread::moves

#endif // LYCHEETHREAD_MOVES_INTERNAL_LIKELIHOOD_H
