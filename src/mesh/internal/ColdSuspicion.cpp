#include "mesh/Mesh.h"

#include <algorithm>
#include <cmath>

namespace lycheethread::mesh {

namespace {

/// Weight of the newest sample; the first samples weigh more, so that a mean is
/// known after few of them.
constexpr double SampleWeight = 0.03;
/// Answers of a route before its usual time counts as known.
constexpr std::int64_t MinSamples = 20;
/// The variance of few samples may be far too low, and times have a resolution
/// of 1 ms.
constexpr double MinVariance = 0.06;
constexpr double MaxVariance = 1.5;
/// Evidence at which a health check is sent. Service times as usual reach it by
/// chance less than once in 3,000 answers; with 8, a phase of a service whose
/// times vary widely is noticed too late more often.
constexpr double CheckEvidence = 7;
/// No two answers are sufficient: single requests may be long.
constexpr double MaxEvidencePerAnswer = CheckEvidence / 2.5;
/// Health checks are billed.
constexpr Milliseconds CheckInterval{1000};

void add(LogServiceTime &Into, double Sample) {
  const double Weight =
      std::max(SampleWeight, 1.0 / static_cast<double>(++Into.Samples));
  const double Difference = Sample - Into.Mean;
  Into.Mean += Weight * Difference;
  Into.Variance =
      (1 - Weight) * (Into.Variance + Weight * Difference * Difference);
}

/// Returns the logarithm of the likelihood ratio of one answer, for service
/// times with a log-normal distribution.
double evidenceOf(const LogServiceTime &Usual, double Sample) {
  const double Shift = std::log(static_cast<double>(ColdFactor));
  const double Variance = std::clamp(Usual.Variance, MinVariance, MaxVariance);
  return Shift / Variance * (Sample - Usual.Mean - Shift / 2);
}

} // namespace

void recordWatchedAnswer(ColdSuspicion &Known, const RouteName &Route,
                         Milliseconds Took) {
  const double Sample =
      std::log(static_cast<double>(std::max<std::int64_t>(1, Took.count())));
  RouteServiceTime &Times = Known.ByRoute[Route];
  add(Times.Newest, Sample);
  if (Times.Usual.Samples < MinSamples)
    return;
  Known.Evidence =
      std::max(0.0, Known.Evidence + std::min(evidenceOf(Times.Usual, Sample),
                                              MaxEvidencePerAnswer));
}

bool needsHealthCheck(const ColdSuspicion &Known, SteadyTime Now) {
  return Known.Evidence >= CheckEvidence && mayCheckHealth(Known, Now);
}

bool mayCheckHealth(const ColdSuspicion &Known, SteadyTime Now) {
  return !Known.CheckedAt || elapsed(*Known.CheckedAt, Now) >= CheckInterval;
}

void recordKnownState(ColdSuspicion &Known, bool IsCold) {
  for (auto &[Route, Times] : Known.ByRoute)
    if (IsCold)
      Times.Newest = Times.Usual;
    else
      Times.Usual = Times.Newest;
  // A check-in may be late, so one that says that the upstream is warm leaves
  // the evidence of later answers.
  if (IsCold)
    Known.Evidence = 0;
}

void recordHealthCheck(ColdSuspicion &Known, SteadyTime Now) {
  Known.CheckedAt = Now;
  Known.Evidence = 0;
}

} // namespace lycheethread::mesh
