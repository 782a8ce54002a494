#ifndef LYCHEETHREAD_MOVES_INTERNAL_LIKELIHOOD_H
#define LYCHEETHREAD_MOVES_INTERNAL_LIKELIHOOD_H

#include "moves/types/CanaryAnalysis.h"

namespace lycheethread::moves {

/// Events among samples of one Bernoulli stream.
struct Tally {
  std::int64_t Events = 0;
  std::int64_t Samples = 0;
};

/// Rates that a test compares.
struct RatePair {
  double Good = 0;
  double Bad = 0;
};

/// Upper threshold of the log-likelihood ratio in a cycle of a test.
double upperThreshold(const CanaryAnalysis &State, std::int64_t Cycle);

/// Lower threshold: the miss rate of a single cycle is 5%.
double lowerThreshold(const CanaryAnalysis &State);

/// Cautious estimate of the old version's rate: the higher of the baseline and
/// of the windows around the tested one.
double oldRate(const Tally &Baseline, const Tally &Recent);

/// Whether the recent rate is clearly above the baseline.
bool isWorse(const Tally &Baseline, const Tally &Recent);

RatePair failedRates(double Old);
RatePair slowRates(double Old);
RatePair severeRates(double Old);

/// Log-likelihood ratio of one tally.
double logLikelihood(const Tally &Seen, const RatePair &Rates);

/// Ratio that counts against the new version: the total, of which at least half
/// must come from other nodes than the worst one when there are several, since
/// one broken instance does not make a bad version.
double ratioAgainst(const StreamTest &Test);

/// First latency bucket that counts as slow: the bucket limit nearest to
/// 3 x median + 5 ms. LatencyBuckets when \p Old is too small for a median.
std::size_t slowBucket(const OutcomeCounts &Old);

std::int64_t timedRequests(const OutcomeCounts &Counts);
Tally failedTally(const OutcomeCounts &Counts);
Tally slowTally(const OutcomeCounts &Counts, std::size_t FirstSlow);

void addCounts(OutcomeCounts &Sum, const OutcomeCounts &More);

} // namespace lycheethread::moves

#endif // LYCHEETHREAD_MOVES_INTERNAL_LIKELIHOOD_H
