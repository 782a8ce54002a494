#ifndef LYCHEETHREAD_TESTS_MOVES_TRIALTRAFFIC_H
#define LYCHEETHREAD_TESTS_MOVES_TRIALTRAFFIC_H

#include "TrialRun.h"

#include <functional>
#include <map>

namespace lycheethread::trials {

/// One request with its answer.
struct Call {
  Request Asked;
  Answer Given;
  int Entry = 0;
};

/// Generates the requests of one tick and keeps the figures of the result.
class Traffic {
public:
  Traffic(const World &Given, std::mt19937_64 &Random);

  /// Share of the new version in permille for a route at an entry node.
  using ShareOf = std::function<std::int64_t(int Route, int Entry)>;

  std::vector<Call> tick(double Now, const ShareOf &Share);
  int entries() const { return Given_.OldHops + Given_.NewHops; }
  /// Time since the first request to an instance.
  double ageOf(bool New, int Hop, double Now) const;
  TrialResult finish(bool Finished, double Now, std::string Reason) const;

private:
  void note(const Call &Made);

  const World &Given_;
  std::mt19937_64 &Random_;
  std::map<std::pair<bool, int>, double> FirstAt_;
  double FirstBad_ = -1;
  double LastCall_ = -1;
  std::int64_t CallsWhileBad_ = 0;
};

} // namespace lycheethread::trials

#endif // LYCHEETHREAD_TESTS_MOVES_TRIALTRAFFIC_H
