#ifndef LYCHEETHREAD_MOVEOWNER_INTERNAL_OUTCOMESENDER_H
#define LYCHEETHREAD_MOVEOWNER_INTERNAL_OUTCOMESENDER_H

#include "moveowner/internal/OutcomeCodec.h"
#include "proxy/types/OutcomeAccumulator.h"

#include <map>
#include <optional>
#include <tuple>
#include <vector>

namespace lycheethread::moveowner {

inline constexpr Milliseconds ReportInterval{2'000};

/// Key of one line of a report.
struct OutcomeKey {
  GroupName Group;
  RouteName Route;
  VersionName Version;

  friend bool operator<(const OutcomeKey &L, const OutcomeKey &R) {
    return std::tie(L.Group, L.Route, L.Version) <
           std::tie(R.Group, R.Route, R.Version);
  }
};

/// Outcomes at this last hop that have not been reported yet.
struct OutcomeSums {
  std::map<OutcomeKey, RouteOutcomes> Lines;
  SteadyTime FirstTraffic;
  SteadyTime SentAt;
};

inline constexpr std::size_t MaxOutcomeLines = 1024;

/// Adds the outcomes of \p Service in \p Taken. Clears the sums unless \p
/// Wanted.
void addOutcomeSums(OutcomeSums &Sums, const ServiceName &Service,
                    const std::vector<proxy::ServiceOutcomes> &Taken,
                    bool Wanted, SteadyTime Now);

/// Returns the report that is due, if any, and clears the sums.
std::optional<ServiceReport> takeReport(OutcomeSums &Sums,
                                        const ServiceName &Service,
                                        const NodeId &Self, SteadyTime Now);

} // namespace lycheethread::moveowner

#endif // LYCHEETHREAD_MOVEOWNER_INTERNAL_OUTCOMESENDER_H
