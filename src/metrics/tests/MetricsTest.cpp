#define BOOST_TEST_MODULE Metrics
#include "MetricsServices.h"
#include "metrics/internal/Histogram.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <chrono>
#include <random>
#include <string>
#include <thread>

using namespace lycheethread;
using namespace lycheethread::metrics;

namespace {

RequestSample sampleOf(const std::string &Caller, std::int64_t Latency) {
  RequestSample Sample;
  Sample.Caller = CallerId(Caller);
  Sample.Latency = std::chrono::microseconds(Latency);
  Sample.ResponseBytes = ByteCount(1024);
  return Sample;
}

} // namespace

// Guards against gaps and overlaps between buckets, which shift quantiles.
BOOST_AUTO_TEST_CASE(EveryValueLiesInItsBucket) {
  for (std::int64_t Value = 0; Value < 100000; ++Value) {
    const std::size_t Bucket = bucketIndex(Value);
    BOOST_REQUIRE(Value <= upperBound(Bucket));
    BOOST_REQUIRE(Bucket == 0 || Value > upperBound(Bucket - 1));
  }
  BOOST_TEST(bucketIndex(INT64_MAX) == BucketCount - 1);
  BOOST_TEST(bucketIndex(std::int64_t(1) << 20) + 1 ==
             bucketIndex((std::int64_t(1) << 20) + 1));
}

// Guards against quantiles that deviate by more than 7 % from the exact ones.
BOOST_AUTO_TEST_CASE(QuantilesFollowSortedSamples) {
  for (unsigned Seed = 1; Seed <= 20; ++Seed) {
    std::mt19937 Random(Seed);
    std::lognormal_distribution<double> Shape(7, 1.5);
    Histogram Tested;
    std::vector<std::int64_t> Sorted;
    for (int I = 0; I < 5000; ++I) {
      Sorted.push_back(static_cast<std::int64_t>(Shape(Random)));
      Tested.add(Sorted.back());
    }
    std::sort(Sorted.begin(), Sorted.end());
    const Distribution Seen = Tested.distribution();
    BOOST_TEST_CONTEXT("seed " << Seed) {
      BOOST_TEST(Seen.Median == static_cast<double>(Sorted[2499]),
                 boost::test_tools::tolerance(0.07));
      BOOST_TEST(Seen.P99 == static_cast<double>(Sorted[4949]),
                 boost::test_tools::tolerance(0.07));
      BOOST_TEST(Seen.Max == static_cast<double>(Sorted.back()));
    }
  }
}

// Guards against unbounded memory for invented caller names, and against
// samples that are lost when callers are merged.
BOOST_AUTO_TEST_CASE(CallersAreBoundedAndNoSampleIsLost) {
  Services Tested;
  std::vector<std::thread> Threads;
  for (int Thread = 0; Thread < 4; ++Thread)
    Threads.emplace_back([&Tested, Thread] {
      for (int I = 0; I < 1000; ++I)
        Tested.Requests->Record(
            sampleOf(std::to_string(Thread) + "-" + std::to_string(I), I));
    });
  for (std::thread &Each : Threads)
    Each.join();
  const std::vector<QuantileRow> Rows = Tested.Reader->Quantiles();
  std::int64_t Sum = 0;
  for (const QuantileRow &Row : Rows)
    Sum += Row.Latency.Count;
  BOOST_TEST(Rows.size() == MaxCallers + 1);
  BOOST_TEST(Sum == 4000);
}

// Guards against an exposition that a Prometheus server rejects or
// misinterprets.
BOOST_AUTO_TEST_CASE(ExpositionHasExactBucketsAndEscapedLabels) {
  Services Tested;
  for (const std::int64_t Latency : {256, 257, 512, 99999999})
    Tested.Requests->Record(sampleOf("a\"b\\c\nd", Latency));
  Tested.Traffic->Record(
      {TrafficKind::Feed, Direction::Sent, true, ByteCount(77)});
  const std::string Text = Tested.Reader->Exposition();
  const std::string Start = "lycheethread_request_latency_seconds_bucket{"
                            "caller=\"a\\\"b\\\\c\\nd\",class=\"repeatable\","
                            "hop=\"entry\",le=";
  for (const char *Line : {"\"0.000256\"} 1\n", "\"0.000512\"} 3\n",
                           "\"16.777216\"} 3\n", "\"+Inf\"} 4\n"})
    BOOST_TEST(Text.find(Start + Line) != std::string::npos);
  BOOST_TEST(Text.find("lycheethread_traffic_bytes_total{kind=\"feed\","
                       "direction=\"sent\",cross_region=\"yes\"} 77\n") !=
             std::string::npos);
}

// Guards against a recorder that takes more than 5 us per sample on the request
// path; prints the measured time.
BOOST_AUTO_TEST_CASE(RecordingIsCheap) {
  Services Tested;
  constexpr int Samples = 200000;
  const RequestSample Sample = sampleOf("council-eichstaett", 1234);
  const auto Start = std::chrono::steady_clock::now();
  for (int I = 0; I < Samples; ++I)
    Tested.Requests->Record(Sample);
  const std::chrono::duration<double, std::micro> Took =
      std::chrono::steady_clock::now() - Start;
  BOOST_TEST_MESSAGE("one sample: " << Took.count() / Samples << " us");
  BOOST_TEST(Took.count() / Samples < 5);
}
