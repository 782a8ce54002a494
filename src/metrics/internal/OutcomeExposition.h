#ifndef LYCHEETHREAD_METRICS_INTERNAL_OUTCOMEEXPOSITION_H
#define LYCHEETHREAD_METRICS_INTERNAL_OUTCOMEEXPOSITION_H

#include "metrics/internal/OutcomeMetrics.h"

#include <string>

namespace lycheethread::metrics {

/// Returns the Prometheus text exposition of the requests at the entry.
std::string writeOutcomes(const std::vector<OrganisationSeries> &Organisations,
                          const EntryTotals &Totals);

} // namespace lycheethread::metrics

#endif // LYCHEETHREAD_METRICS_INTERNAL_OUTCOMEEXPOSITION_H
