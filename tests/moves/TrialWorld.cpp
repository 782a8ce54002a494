#include "TrialWorld.h"

#include <algorithm>

namespace lycheethread::trials {

namespace {

double uniform(std::mt19937_64 &Random, double Low, double High) {
  return std::uniform_real_distribution<double>(Low, High)(Random);
}

bool chance(std::mt19937_64 &Random, double Probability) {
  return uniform(Random, 0, 1) < Probability;
}

MovePlan planOf() {
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

void addRoute(World &Made, const std::string &Name, RequestClass Class,
              double PerSecond, double MedianMs) {
  TrialRoute Added;
  Added.Declared.Name = RouteName(Name);
  Added.Declared.Class = Class;
  Added.Declared.Group = GroupName("main");
  Added.PerSecond = PerSecond;
  Added.MedianMs = MedianMs;
  Made.Document.Routes[Added.Declared.Name] = Added.Declared;
  Made.Routes.push_back(Added);
}

Spell spell(std::mt19937_64 &Random, double Probability, double Longest) {
  if (!chance(Random, Probability))
    return {};
  const double From = uniform(Random, 10, 220);
  return {From, From + uniform(Random, 5, Longest)};
}

/// Probability that the badness fails a request, and its slow-down.
double badFailures(const World &Given, const Request &Asked) {
  switch (Given.Kind) {
  case Badness::AtOnce:
  case Badness::Later:
    return 0.3;
  case Badness::UnderLoad:
    return Asked.Share >= 0.25 ? 0.25 : 0;
  case Badness::OneRoute:
    return Asked.Route == Given.BadRoute ? 0.5 : 0;
  case Badness::Failing:
    return 0.08;
  default:
    return 0;
  }
}

bool isBadNow(const World &Given, const Request &Asked) {
  return Asked.New && Given.Kind != Badness::None && Asked.Now >= Given.BadFrom;
}

} // namespace

const char *toString(Badness Kind) {
  constexpr const char *Names[] = {
      "good", "at-once", "later", "under-load", "one-route", "failing", "slow"};
  return Names[static_cast<int>(Kind)];
}

World makeWorld(std::mt19937_64 &Random, bool Zinnwerk, Badness Kind) {
  World Made;
  Made.Kind = Kind;
  Made.Document.Service = ServiceName(Zinnwerk ? "commissions" : "tickets");
  Made.Document.Groups[GroupName("main")] = {
      GroupName("main"), {VersionName("v1"), VersionName("v2")}};
  Made.Document.Moves[GroupName("main")] = planOf();
  const double Load = uniform(Random, 0.4, 2);
  if (Zinnwerk) {
    addRoute(Made, "catalogue", RequestClass::Repeatable, 40 * Load, 8);
    addRoute(Made, "orders", RequestClass::Repeatable, 15 * Load, 15);
    addRoute(Made, "commissions", RequestClass::OnceOnly, 3 * Load, 40);
    addRoute(Made, "scans", RequestClass::Upload, 1 * Load, 400);
  } else {
    addRoute(Made, "tickets", RequestClass::Repeatable, 60 * Load, 6);
    addRoute(Made, "berths", RequestClass::Repeatable, 25 * Load, 12);
    addRoute(Made, "releases", RequestClass::OnceOnly, 6 * Load, 30);
    addRoute(Made, "surveys", RequestClass::Upload, 1.5 * Load, 300);
  }
  const int Hops = Zinnwerk ? std::uniform_int_distribution<int>(4, 7)(Random)
                            : std::uniform_int_distribution<int>(4, 9)(Random);
  Made.NewHops = Hops / 2;
  Made.OldHops = Hops - Made.NewHops;
  Made.FailureRate = uniform(Random, 0.0005, 0.005);
  Made.Spread = uniform(Random, 0.3, 0.7);
  Made.BadFrom = Kind == Badness::Later ? uniform(Random, 20, 150) : 0;
  Made.BadRoute = std::uniform_int_distribution<int>(0, 3)(Random);
  Made.SharedFault = spell(Random, 0.3, 20);
  Made.InstanceFault = spell(Random, 0.3, 15);
  Made.FaultAtNew = chance(Random, 0.5);
  Made.HealthLag = uniform(Random, 1, 4);
  return Made;
}

Answer serve(const World &Given, const Request &Asked,
             std::mt19937_64 &Random) {
  Answer Result;
  const double Median = Given.Routes[Asked.Route].MedianMs;
  std::lognormal_distribution<double> Latency(0, Given.Spread);
  Result.LatencyMs = Median * Latency(Random);
  if (Asked.Age < 10)
    Result.LatencyMs *= 5;
  if (Given.SharedFault.covers(Asked.Now)) {
    Result.LatencyMs *= 6;
    Result.Failed |= chance(Random, 0.2);
  }
  if (Given.InstanceFault.covers(Asked.Now) && Asked.Hop == 0 &&
      Asked.New == Given.FaultAtNew)
    Result.Failed = true;
  Result.Failed |= chance(Random, Given.FailureRate);
  if (!isBadNow(Given, Asked))
    return Result;
  Result.Bad = chance(Random, badFailures(Given, Asked));
  Result.Failed |= Result.Bad;
  if (Given.Kind == Badness::Slow) {
    Result.LatencyMs *= 8;
    Result.Bad = true;
  }
  return Result;
}

int pickHop(const World &Given, bool New, double Now, std::mt19937_64 &Random) {
  const int Hops = New ? Given.NewHops : Given.OldHops;
  const bool Known = New == Given.FaultAtNew &&
                     Given.InstanceFault.covers(Now) &&
                     Now > Given.InstanceFault.From + Given.HealthLag;
  const int First = Known && Hops > 1 ? 1 : 0;
  return std::uniform_int_distribution<int>(First, Hops - 1)(Random);
}

} // namespace lycheethread::trials
