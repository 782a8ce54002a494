#ifndef LYCHEETHREAD_TESTS_MOVES_TRIALSCENARIO_H
#define LYCHEETHREAD_TESTS_MOVES_TRIALSCENARIO_H

#include "moves/Moves.h"

#include <cstdint>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace lycheethread::trials {

/// How the new version is faulty; None for a good version.
enum class VersionFault {
  None,
  AtOnce,
  Later,
  UnderLoad,
  OneRoute,
  Failing,
  Slow
};

/// Number of faults without None.
inline constexpr int VersionFaultCount = 6;

const char *toString(VersionFault Fault);

/// Length of a trial's time step, in seconds.
inline constexpr double TickSeconds = 0.5;

/// The period of a fault, in seconds since the start of the trial; empty when
/// the fault does not occur.
struct FaultPeriod {
  double From = 0;
  double To = 0;

  bool covers(double Now) const { return Now >= From && Now < To; }
};

struct TrialRoute {
  Route Declared;
  double RequestsPerSecond = 0;
  double MedianMs = 0;
};

/// One generated service with its faults and the plan of its move. The moves
/// library and the baseline are tried on the same scenario.
struct TrialScenario {
  ServiceDocument Document;
  std::vector<TrialRoute> Routes;
  int OldInstances = 0;
  int NewInstances = 0;
  double BaseFailureRate = 0;
  /// Standard deviation of the logarithm of the latency.
  double LatencySpread = 0;
  VersionFault Fault = VersionFault::None;
  double FaultFrom = 0;
  int FaultyRoute = 0;
  /// The period in which a dependency of both versions fails.
  FaultPeriod SharedFault;
  /// The period in which one instance fails. Nodes still send requests to it
  /// until HealthDelaySeconds have passed.
  FaultPeriod InstanceFault;
  bool InstanceFaultAtNew = false;
  double HealthDelaySeconds = 0;
};

/// The answer of an instance to one request.
struct Answer {
  bool Failed = false;
  double LatencyMs = 0;
  /// Whether the fault of the version caused the failure or the latency.
  bool CausedByVersion = false;
};

/// One request, with the instance that receives it and the time.
struct Request {
  int Route = 0;
  bool New = false;
  int Instance = 0;
  double Now = 0;
  /// Seconds since the first request to the instance.
  double InstanceAge = 0;
  /// Share of the new version, from 0 to 1.
  double Share = 0;
};

/// Generates a scenario for the Zinnwerk deployment or the Wijesekera one.
TrialScenario makeScenario(std::mt19937_64 &Random, bool IsZinnwerk,
                           VersionFault Fault);

Answer serve(const TrialScenario &Scenario, const Request &Sent,
             std::mt19937_64 &Random);

/// Picks an instance of the version. A failed instance is avoided as soon as
/// its failure is detected.
int pickInstance(const TrialScenario &Scenario, bool New, double Now,
                 std::mt19937_64 &Random);

} // namespace lycheethread::trials

#endif // LYCHEETHREAD_TESTS_MOVES_TRIALSCENARIO_H
