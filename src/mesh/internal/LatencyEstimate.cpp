#include "mesh/types/LatencyEstimate.h"

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/mean.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/tail_quantile.hpp>

#include <cmath>
#include <utility>

namespace lycheethread::mesh {

namespace {

namespace acc = boost::accumulators;

constexpr double SlowQuantile = 0.95;
/// Below this the largest sample alone would decide the quantile.
constexpr std::size_t MinSamples = 20;
/// Load changes within seconds.
constexpr Milliseconds WindowTime{4000};
constexpr std::size_t MaxWindowSamples = 1000;
/// Age at which samples no longer count, however few there are.
constexpr Milliseconds MaxWindowTime{30000};
/// Largest samples that a window keeps: enough for an exact quantile of
/// MaxWindowSamples.
constexpr std::size_t TailSize = 64;
static_assert(TailSize > MaxWindowSamples * (1 - SlowQuantile));

using Accumulator =
    acc::accumulator_set<double,
                         acc::stats<acc::tag::count, acc::tag::mean,
                                    acc::tag::tail_quantile<acc::right>>>;

struct Window {
  SteadyTime StartedAt;
  Accumulator Samples{acc::tag::tail<acc::right>::cache_size = TailSize};

  explicit Window(SteadyTime Now) : StartedAt(Now) {}

  std::size_t count() const { return acc::count(Samples); }

  bool isFilled(SteadyTime Now, int Divisor) const {
    return elapsed(StartedAt, Now) >= WindowTime / Divisor ||
           count() >= MaxWindowSamples / static_cast<std::size_t>(Divisor);
  }
};

} // namespace

/// Two overlapping windows: the older one is read, and the younger one replaces
/// it when it is full. Boost.Accumulators has no quantile with decay.
struct LatencyEstimate::Impl {
  std::optional<Window> Older;
  std::optional<Window> Younger;

  void rotate(SteadyTime Now) {
    while (Older && mustReplace(Now)) {
      Older = std::move(Younger);
      Younger.reset();
    }
  }

  bool mustReplace(SteadyTime Now) const {
    return elapsed(Older->StartedAt, Now) >= MaxWindowTime ||
           (Older->isFilled(Now, 1) && Younger &&
            Younger->count() >= MinSamples);
  }
};

LatencyEstimate::LatencyEstimate() : Impl_(std::make_unique<Impl>()) {}

LatencyEstimate::~LatencyEstimate() = default;

LatencyEstimate::LatencyEstimate(LatencyEstimate &&) noexcept = default;

LatencyEstimate &
LatencyEstimate::operator=(LatencyEstimate &&) noexcept = default;

void LatencyEstimate::record(Milliseconds Took, SteadyTime Now) {
  Impl_->rotate(Now);
  if (!Impl_->Older)
    Impl_->Older.emplace(Now);
  else if (!Impl_->Younger && Impl_->Older->isFilled(Now, 2))
    Impl_->Younger.emplace(Now);
  const auto Sample = static_cast<double>(Took.count());
  Impl_->Older->Samples(Sample);
  if (Impl_->Younger)
    Impl_->Younger->Samples(Sample);
}

std::optional<UsualLatency> LatencyEstimate::usual(SteadyTime Now) {
  Impl_->rotate(Now);
  if (!Impl_->Older || Impl_->Older->count() < MinSamples)
    return std::nullopt;
  const Accumulator &Samples = Impl_->Older->Samples;
  const double Slow =
      acc::quantile(Samples, acc::quantile_probability = SlowQuantile);
  return UsualLatency{Milliseconds(std::llround(acc::mean(Samples))),
                      Milliseconds(std::llround(Slow))};
}

} // namespace lycheethread::mesh
