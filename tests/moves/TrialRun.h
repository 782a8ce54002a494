#ifndef LYCHEETHREAD_TESTS_MOVES_TRIALRUN_H
#define LYCHEETHREAD_TESTS_MOVES_TRIALRUN_H

#include "TrialScenario.h"

namespace lycheethread::trials {

/// The outcome of a trial.
struct TrialResult {
  bool Finished = false;
  double EndedAt = 0;
  /// Calls to the new version, starting with its first bad answer.
  std::int64_t CallsWhileBad = 0;
  /// Seconds from the first bad answer to the last call to the new version; 0
  /// without a bad answer.
  double BadSeconds = 0;
  std::string Reason;
};

/// Runs a move with the functions of the moves library: one owner, an entry
/// node beside each instance and simulated delays of the control plane.
TrialResult runMoves(const TrialScenario &Scenario, std::mt19937_64 &Random);

/// Runs the baseline: a fixed schedule, and an undo when more than 5% of all
/// requests of the service failed in the last 10 s.
TrialResult runBaseline(const TrialScenario &Scenario, std::mt19937_64 &Random);

} // namespace lycheethread::trials

#endif // LYCHEETHREAD_TESTS_MOVES_TRIALRUN_H
