#ifndef LYCHEETHREAD_TESTS_MOVES_TRIALTRAFFIC_H
#define LYCHEETHREAD_TESTS_MOVES_TRIALTRAFFIC_H

#include "TrialRun.h"

#include <functional>
#include <map>

namespace lycheethread::trials {

/// One request with its answer.
struct Call {
  Request Sent;
  Answer Received;
  int EntryIndex = 0;
};

/// Generates the requests of each time step and counts them for the result.
class Traffic {
public:
  Traffic(const TrialScenario &Scenario, std::mt19937_64 &Random);

  /// Returns the share of the new version in permille, for a route at an entry
  /// node.
  using ShareOf = std::function<std::int64_t(int Route, int EntryIndex)>;

  /// Sends the requests of the time step that begins at \p Now.
  std::vector<Call> tick(double Now, const ShareOf &Share);
  int entryCount() const {
    return Scenario_.OldInstances + Scenario_.NewInstances;
  }
  /// Returns the seconds since the first request to the instance; 0 before it.
  double secondsSinceFirstRequest(bool New, int Instance, double Now) const;
  TrialResult makeResult(bool Finished, double Now, std::string Reason) const;

private:
  void countCall(const Call &Completed);

  const TrialScenario &Scenario_;
  std::mt19937_64 &Random_;
  std::map<std::pair<bool, int>, double> FirstRequestAt_;
  double FirstBad_ = -1;
  double LastCall_ = -1;
  std::int64_t CallsWhileBad_ = 0;
};

} // namespace lycheethread::trials

#endif // LYCHEETHREAD_TESTS_MOVES_TRIALTRAFFIC_H
