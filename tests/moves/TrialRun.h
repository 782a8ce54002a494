#ifndef LYCHEETHREAD_TESTS_MOVES_TRIALRUN_H
#define LYCHEETHREAD_TESTS_MOVES_TRIALRUN_H

#include "TrialWorld.h"

namespace lycheethread::trials {

/// How a trial ended.
struct TrialResult {
  bool Finished = false;
  double EndedAt = 0;
  /// Calls that the new version received from its first bad answer on.
  std::int64_t CallsWhileBad = 0;
  /// Seconds from the first bad answer to the last call; 0 without one.
  double BadSeconds = 0;
  std::string Reason;
};

/// Runs the pure functions of the moves library, with one owner, an entry node
/// beside each instance and the delays of the control plane.
TrialResult runMoves(const World &Given, std::mt19937_64 &Random);

/// The baseline: a fixed schedule, and an undo when more than 5% of all the
/// service's requests failed in the last 10 s.
TrialResult runBaseline(const World &Given, std::mt19937_64 &Random);

} // namespace lycheethread::trials

#endif // LYCHEETHREAD_TESTS_MOVES_TRIALRUN_H
