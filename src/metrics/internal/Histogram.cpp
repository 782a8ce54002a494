#include "metrics/internal/Histogram.h"

#include <algorithm>

namespace lycheethread::metrics {

namespace {

namespace acc = boost::accumulators;

const acc::extractor<BucketsTag> ExtractBuckets = {};

/// Returns the index of the highest set bit; \p Value must not be 0.
std::size_t highestBit(std::uint64_t Value) {
  return 63U - static_cast<std::size_t>(__builtin_clzll(Value));
}

double quantile(const Histogram &Of, double Share) {
  const auto Wanted =
      static_cast<std::int64_t>(Share * static_cast<double>(Of.count() - 1));
  std::int64_t Seen = 0;
  for (std::size_t I = 0; I < BucketCount; ++I) {
    Seen += Of.buckets()[I];
    if (Seen <= Wanted)
      continue;
    const std::int64_t Low = I == 0 ? 0 : upperBound(I - 1) + 1;
    const std::int64_t High = std::min(upperBound(I), Of.max());
    return static_cast<double>(Low + std::max(Low, High)) / 2;
  }
  return static_cast<double>(Of.max());
}

} // namespace

// Each value up to 8 has its own bucket (0 shares the first one). Above, the
// bucket bounds are (8 + sub) * 2^shift. Computing the index from Value - 1
// makes every power of two an inclusive upper bound, as the text exposition
// needs.
std::size_t bucketIndex(std::int64_t Value) {
  const std::uint64_t Shifted =
      Value > 0 ? static_cast<std::uint64_t>(Value) - 1 : 0;
  if (Shifted < BucketsPerOctave)
    return static_cast<std::size_t>(Shifted);
  const std::size_t Shift = highestBit(Shifted) - 3;
  const std::size_t Bucket =
      BucketsPerOctave * Shift + static_cast<std::size_t>(Shifted >> Shift);
  return std::min(Bucket, BucketCount - 1);
}

std::int64_t upperBound(std::size_t Bucket) {
  if (Bucket < BucketsPerOctave)
    return static_cast<std::int64_t>(Bucket) + 1;
  const std::size_t Shift = Bucket / BucketsPerOctave - 1;
  const std::size_t Lead = BucketsPerOctave + Bucket % BucketsPerOctave + 1;
  return static_cast<std::int64_t>(Lead << Shift);
}

std::int64_t Histogram::count() const {
  return static_cast<std::int64_t>(acc::count(Set_));
}

std::int64_t Histogram::sum() const { return acc::sum(Set_); }

std::int64_t Histogram::max() const {
  return count() == 0 ? 0 : (acc::max)(Set_);
}

const BucketCounts &Histogram::buckets() const { return ExtractBuckets(Set_); }

Distribution Histogram::distribution() const {
  Distribution Result;
  Result.Count = count();
  if (Result.Count == 0)
    return Result;
  Result.Mean = static_cast<double>(sum()) / static_cast<double>(Result.Count);
  Result.Median = quantile(*this, 0.5);
  Result.P90 = quantile(*this, 0.9);
  Result.P99 = quantile(*this, 0.99);
  Result.Max = static_cast<double>(max());
  return Result;
}

} // namespace lycheethread::metrics
