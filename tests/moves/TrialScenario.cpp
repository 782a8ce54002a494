#include "TrialScenario.h"

#include <algorithm>

namespace lycheethread::trials {

namespace {

double uniform(std::mt19937_64 &Random, double Low, double High) {
  return std::uniform_real_distribution<double>(Low, High)(Random);
}

bool chance(std::mt19937_64 &Random, double Probability) {
  return uniform(Random, 0, 1) < Probability;
}

MovePlan makePlan() {
  MovePlan Plan;
  Plan.Group = GroupName("main");
  Plan.From = VersionName("v1");
  Plan.To = VersionName("v2");
  Plan.FinishBy = WallTime(1'000'000 + 300'000);
  Plan.Steps = {Permille(10), Permille(50), Permille(250), Permille(500),
                Permille(1000)};
  Plan.StepDuration = Milliseconds(30'000);
  return Plan;
}

void addRoute(TrialScenario &Scenario, const std::string &Name,
              RequestClass Class, double RequestsPerSecond, double MedianMs) {
  TrialRoute Added;
  Added.Declared.Name = RouteName(Name);
  Added.Declared.Class = Class;
  Added.Declared.Group = GroupName("main");
  Added.RequestsPerSecond = RequestsPerSecond;
  Added.MedianMs = MedianMs;
  Scenario.Document.Routes[Added.Declared.Name] = Added.Declared;
  Scenario.Routes.push_back(Added);
}

FaultPeriod randomPeriod(std::mt19937_64 &Random, double Probability,
                         double Longest) {
  if (!chance(Random, Probability))
    return {};
  const double From = uniform(Random, 10, 220);
  return {From, From + uniform(Random, 5, Longest)};
}

/// Returns the probability that the fault of the version fails a request.
double versionFailureRate(const TrialScenario &Scenario, const Request &Sent) {
  switch (Scenario.Fault) {
  case VersionFault::AtOnce:
  case VersionFault::Later:
    return 0.3;
  case VersionFault::UnderLoad:
    return Sent.Share >= 0.25 ? 0.25 : 0;
  case VersionFault::OneRoute:
    return Sent.Route == Scenario.FaultyRoute ? 0.5 : 0;
  case VersionFault::Failing:
    return 0.08;
  default:
    return 0;
  }
}

bool isVersionFaulty(const TrialScenario &Scenario, const Request &Sent) {
  return Sent.New && Scenario.Fault != VersionFault::None &&
         Sent.Now >= Scenario.FaultFrom;
}

} // namespace

const char *toString(VersionFault Fault) {
  constexpr const char *Names[] = {
      "good", "at-once", "later", "under-load", "one-route", "failing", "slow"};
  return Names[static_cast<int>(Fault)];
}

TrialScenario makeScenario(std::mt19937_64 &Random, bool IsZinnwerk,
                           VersionFault Fault) {
  TrialScenario Scenario;
  Scenario.Fault = Fault;
  Scenario.Document.Service =
      ServiceName(IsZinnwerk ? "commissions" : "tickets");
  Scenario.Document.Groups[GroupName("main")] = {
      GroupName("main"), {VersionName("v1"), VersionName("v2")}};
  Scenario.Document.Moves[GroupName("main")] = makePlan();
  const double Load = uniform(Random, 0.4, 2);
  if (IsZinnwerk) {
    addRoute(Scenario, "catalogue", RequestClass::Repeatable, 40 * Load, 8);
    addRoute(Scenario, "orders", RequestClass::Repeatable, 15 * Load, 15);
    addRoute(Scenario, "commissions", RequestClass::OnceOnly, 3 * Load, 40);
    addRoute(Scenario, "scans", RequestClass::Upload, 1 * Load, 400);
  } else {
    addRoute(Scenario, "tickets", RequestClass::Repeatable, 60 * Load, 6);
    addRoute(Scenario, "berths", RequestClass::Repeatable, 25 * Load, 12);
    addRoute(Scenario, "releases", RequestClass::OnceOnly, 6 * Load, 30);
    addRoute(Scenario, "surveys", RequestClass::Upload, 1.5 * Load, 300);
  }
  const int Instances = IsZinnwerk
                            ? std::uniform_int_distribution<int>(4, 7)(Random)
                            : std::uniform_int_distribution<int>(4, 9)(Random);
  Scenario.NewInstances = Instances / 2;
  Scenario.OldInstances = Instances - Scenario.NewInstances;
  Scenario.BaseFailureRate = uniform(Random, 0.0005, 0.005);
  Scenario.LatencySpread = uniform(Random, 0.3, 0.7);
  Scenario.FaultFrom =
      Fault == VersionFault::Later ? uniform(Random, 20, 150) : 0;
  Scenario.FaultyRoute = std::uniform_int_distribution<int>(0, 3)(Random);
  Scenario.SharedFault = randomPeriod(Random, 0.3, 20);
  Scenario.InstanceFault = randomPeriod(Random, 0.3, 15);
  Scenario.InstanceFaultAtNew = chance(Random, 0.5);
  Scenario.HealthDelaySeconds = uniform(Random, 1, 4);
  return Scenario;
}

Answer serve(const TrialScenario &Scenario, const Request &Sent,
             std::mt19937_64 &Random) {
  Answer Result;
  const double Median = Scenario.Routes[Sent.Route].MedianMs;
  std::lognormal_distribution<double> Latency(0, Scenario.LatencySpread);
  Result.LatencyMs = Median * Latency(Random);
  if (Sent.InstanceAge < 10)
    Result.LatencyMs *= 5;
  if (Scenario.SharedFault.covers(Sent.Now)) {
    Result.LatencyMs *= 6;
    Result.Failed |= chance(Random, 0.2);
  }
  if (Scenario.InstanceFault.covers(Sent.Now) && Sent.Instance == 0 &&
      Sent.New == Scenario.InstanceFaultAtNew)
    Result.Failed = true;
  Result.Failed |= chance(Random, Scenario.BaseFailureRate);
  if (!isVersionFaulty(Scenario, Sent))
    return Result;
  Result.CausedByVersion = chance(Random, versionFailureRate(Scenario, Sent));
  Result.Failed |= Result.CausedByVersion;
  if (Scenario.Fault == VersionFault::Slow) {
    Result.LatencyMs *= 8;
    Result.CausedByVersion = true;
  }
  return Result;
}

int pickInstance(const TrialScenario &Scenario, bool New, double Now,
                 std::mt19937_64 &Random) {
  const int Instances = New ? Scenario.NewInstances : Scenario.OldInstances;
  const bool IsDetected =
      New == Scenario.InstanceFaultAtNew &&
      Scenario.InstanceFault.covers(Now) &&
      Now > Scenario.InstanceFault.From + Scenario.HealthDelaySeconds;
  const int First = IsDetected && Instances > 1 ? 1 : 0;
  return std::uniform_int_distribution<int>(First, Instances - 1)(Random);
}

} // namespace lycheethread::trials
