#ifndef LYCHEETHREAD_METRICS_INTERNAL_OUTCOMEMETRICS_H
#define LYCHEETHREAD_METRICS_INTERNAL_OUTCOMEMETRICS_H

#include "metrics/internal/Histogram.h"

#include <array>
#include <memory>
#include <vector>

namespace lycheethread::metrics {

struct OutcomeCount {
  RequestOutcome Outcome;
  std::uint64_t Count = 0;
};

/// The outcomes that have occurred, in the order of their first occurrence.
using OutcomeCounts = std::vector<OutcomeCount>;

/// Requests of one organisation and class.
struct OutcomeSeries {
  /// Of the requests with the outcome Answered or Failed, in microseconds.
  /// Unused for requests without an organisation.
  Histogram Latency;
  OutcomeCounts Outcomes;
};

/// Requests of one organisation, by class; null before the first one.
struct OrganisationSeries {
  static constexpr std::size_t ClassCount = 3;

  organisations::OrganisationId Organisation;
  std::array<std::unique_ptr<OutcomeSeries>, ClassCount> Classes;
};

/// Counts that are not split by organisation.
struct EntryTotals {
  OutcomeCounts NestedCalls;
  OutcomeCounts Pipelined;
  std::uint64_t UnknownKeys = 0;
  std::uint64_t UnconfirmedKeys = 0;
};

/// Outcomes of the requests at the entry. Thread-safe.
class OutcomeMetrics {
public:
  OutcomeMetrics();
  ~OutcomeMetrics();

  /// Ignores samples without an outcome.
  void record(const RequestSample &Sample);
  /// Returns copies, ordered by organisation.
  std::vector<OrganisationSeries> organisations() const;
  EntryTotals totals() const;

private:
  struct Impl;
  std::unique_ptr<Impl> Impl_;
};

} // namespace lycheethread::metrics

#endif // LYCHEETHREAD_METRICS_INTERNAL_OUTCOMEMETRICS_H
