#ifndef LYCHEETHREAD_METRICS_INTERNAL_HISTOGRAM_H
#define LYCHEETHREAD_METRICS_INTERNAL_HISTOGRAM_H

#include "metrics/types/MetricsRegistry.h"

#include <boost/accumulators/framework/accumulator_base.hpp>
#include <boost/accumulators/framework/accumulator_set.hpp>
#include <boost/accumulators/framework/depends_on.hpp>
#include <boost/accumulators/framework/extractor.hpp>
#include <boost/accumulators/framework/parameters/sample.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/max.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>

#include <array>
#include <cstddef>
#include <cstdint>

namespace lycheethread::metrics {

/// Buckets of equal width between two powers of two. Limits the relative error
/// of a quantile to half a bucket, 1/16.
inline constexpr std::size_t BucketsPerOctave = 8;
/// Values above 2^Octaves (12 days in microseconds, or 1 TiB) are counted in
/// the last bucket.
inline constexpr std::size_t Octaves = 40;
inline constexpr std::size_t BucketCount = BucketsPerOctave * (Octaves - 2);

using BucketCounts = std::array<std::uint32_t, BucketCount>;

/// Returns the bucket of a value. Each power of two is the inclusive upper
/// bound of a bucket.
std::size_t bucketIndex(std::int64_t Value);
/// Returns the highest value of a bucket.
std::int64_t upperBound(std::size_t Bucket);

/// Accumulator for the Boost.Accumulators framework that counts samples in
/// logarithmic buckets.
template <typename Sample>
struct BucketAccumulator : boost::accumulators::accumulator_base {
  using result_type = const BucketCounts &; // NOLINT: name of the framework

  explicit BucketAccumulator(boost::accumulators::dont_care) {}

  template <typename Args> void operator()(const Args &Given) {
    ++Counts_[bucketIndex(Given[boost::accumulators::sample])];
  }

  result_type result(boost::accumulators::dont_care) const { return Counts_; }

private:
  BucketCounts Counts_{};
};

/// Feature tag of BucketAccumulator for Boost.Accumulators.
struct BucketsTag : boost::accumulators::depends_on<> {
  struct impl { // NOLINT: name of the framework
    template <typename Sample, typename Weight> struct apply { // NOLINT
      using type = BucketAccumulator<Sample>;                  // NOLINT
    };
  };
};

/// Histogram of one quantity with count, sum and maximum. Not thread-safe.
class Histogram {
public:
  void add(std::int64_t Value) { Set_(Value < 0 ? 0 : Value); }

  std::int64_t count() const;
  std::int64_t sum() const;
  std::int64_t max() const;
  const BucketCounts &buckets() const;
  Distribution distribution() const;

private:
  boost::accumulators::accumulator_set<
      std::int64_t,
      boost::accumulators::stats<boost::accumulators::tag::count,
                                 boost::accumulators::tag::sum,
                                 boost::accumulators::tag::max, BucketsTag>>
      Set_;
};

} // namespace lycheethread::metrics

#endif // LYCHEETHREAD_METRICS_INTERNAL_HISTOGRAM_H
