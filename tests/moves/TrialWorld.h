#ifndef LYCHEETHREAD_TESTS_MOVES_TRIALWORLD_H
#define LYCHEETHREAD_TESTS_MOVES_TRIALWORLD_H

#include "moves/Moves.h"

#include <cstdint>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace lycheethread::trials {

enum class Badness { None, AtOnce, Later, UnderLoad, OneRoute, Failing, Slow };

inline constexpr int BadKinds = 6;

const char *toString(Badness Kind);

/// Length of a trial's time step, in seconds.
inline constexpr double TickSeconds = 0.5;

/// A time during which something is wrong, in seconds; empty when never.
struct Spell {
  double From = 0;
  double To = 0;

  bool covers(double Now) const { return Now >= From && Now < To; }
};

struct TrialRoute {
  Route Declared;
  double PerSecond = 0;
  double MedianMs = 0;
};

/// One generated service, its faults and its plan; the same for both methods.
struct World {
  ServiceDocument Document;
  std::vector<TrialRoute> Routes;
  int OldHops = 0;
  int NewHops = 0;
  double FailureRate = 0;
  double Spread = 0;
  Badness Kind = Badness::None;
  double BadFrom = 0;
  int BadRoute = 0;
  /// A dependency of both versions fails.
  Spell SharedFault;
  /// One instance fails; nodes go on sending to it until HealthLag has passed.
  Spell InstanceFault;
  bool FaultAtNew = false;
  double HealthLag = 0;
};

/// What one instance did with one request.
struct Answer {
  bool Failed = false;
  double LatencyMs = 0;
  /// Caused by the badness of the version.
  bool Bad = false;
};

/// Where and when a request runs.
struct Request {
  int Route = 0;
  bool New = false;
  int Hop = 0;
  double Now = 0;
  /// Time since the first request to the instance.
  double Age = 0;
  double Share = 0;
};

World makeWorld(std::mt19937_64 &Random, bool Zinnwerk, Badness Kind);

Answer serve(const World &Given, const Request &Asked, std::mt19937_64 &Random);

/// Picks the instance; a failed one is avoided once health has caught up.
int pickHop(const World &Given, bool New, double Now, std::mt19937_64 &Random);

} // namespace lycheethread::trials

#endif // LYCHEETHREAD_TESTS_MOVES_TRIALWORLD_H
