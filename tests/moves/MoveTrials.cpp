#include "TrialRun.h"

#include <cxxopts.hpp>

#include <algorithm>
#include <iomanip>
#include <iostream>

using namespace lycheethread::trials;

namespace {

/// The results of the moves library and of the baseline on one scenario.
struct TrialPair {
  TrialScenario Scenario;
  TrialResult Canary;
  TrialResult Baseline;
};

double percentile(std::vector<double> Values, double Fraction) {
  if (Values.empty())
    return 0;
  std::sort(Values.begin(), Values.end());
  const auto Last = static_cast<double>(Values.size() - 1);
  return Values[static_cast<std::size_t>(Last * Fraction + 0.5)];
}

struct Summary {
  std::string Name;
  int GoodFinished = 0;
  int Good = 0;
  int BadUndone = 0;
  int Bad = 0;
  std::vector<double> GoodSeconds;
  std::vector<double> Calls;
  std::vector<double> BadSeconds;
};

void addResult(Summary &To, const TrialScenario &Scenario,
               const TrialResult &Result) {
  if (Scenario.Fault == VersionFault::None) {
    ++To.Good;
    To.GoodFinished += Result.Finished ? 1 : 0;
    if (Result.Finished)
      To.GoodSeconds.push_back(Result.EndedAt);
    return;
  }
  ++To.Bad;
  To.BadUndone += Result.Finished ? 0 : 1;
  To.Calls.push_back(static_cast<double>(Result.CallsWhileBad));
  To.BadSeconds.push_back(Result.BadSeconds);
}

void printSummary(const Summary &From) {
  std::cout << std::left << std::setw(12) << From.Name
            << " good finished in time " << From.GoodFinished << "/"
            << From.Good << " (false alarms " << From.Good - From.GoodFinished
            << ", median " << percentile(From.GoodSeconds, 0.5)
            << " s), bad undone " << From.BadUndone << "/" << From.Bad
            << " (misses " << From.Bad - From.BadUndone
            << "), calls to bad median " << percentile(From.Calls, 0.5)
            << " p90 " << percentile(From.Calls, 0.9)
            << ", first bad answer to last call median "
            << percentile(From.BadSeconds, 0.5) << " s p90 "
            << percentile(From.BadSeconds, 0.9) << " s\n";
}

bool isCorrect(const TrialScenario &Scenario, const TrialResult &Result) {
  return Result.Finished == (Scenario.Fault == VersionFault::None);
}

/// Prints in how many trials the baseline did better.
void printBaselineWins(const std::vector<TrialPair> &Pairs) {
  int FinishedEarlier = 0;
  int OnlyBaselineCorrect = 0;
  int FewerCalls = 0;
  for (const TrialPair &Each : Pairs) {
    const bool Canary = isCorrect(Each.Scenario, Each.Canary);
    const bool Baseline = isCorrect(Each.Scenario, Each.Baseline);
    OnlyBaselineCorrect += Baseline && !Canary ? 1 : 0;
    if (!Baseline || !Canary)
      continue;
    if (Each.Scenario.Fault == VersionFault::None)
      FinishedEarlier += Each.Baseline.EndedAt < Each.Canary.EndedAt ? 1 : 0;
    else
      FewerCalls +=
          Each.Baseline.CallsWhileBad < Each.Canary.CallsWhileBad ? 1 : 0;
  }
  std::cout << "baseline wins: right where lycheethread is wrong "
            << OnlyBaselineCorrect << ", good version finished earlier "
            << FinishedEarlier << ", bad version got fewer calls " << FewerCalls
            << " (of " << Pairs.size() << " trials)\n";
}

void printPeriod(const char *Name, const FaultPeriod &Item) {
  if (Item.To > Item.From)
    std::cout << Name << " " << Item.From << ".." << Item.To << " s, ";
}

/// Prints the trials in which the moves library was wrong, with the faults that
/// were not caused by the version.
void printWrongOutcomes(const std::vector<TrialPair> &Pairs) {
  for (const TrialPair &Each : Pairs) {
    if (isCorrect(Each.Scenario, Each.Canary))
      continue;
    std::cout << "wrong: " << toString(Each.Scenario.Fault) << " at "
              << Each.Canary.EndedAt << " s (";
    printPeriod("shared fault", Each.Scenario.SharedFault);
    printPeriod(Each.Scenario.InstanceFaultAtNew ? "new instance down"
                                                 : "old instance down",
                Each.Scenario.InstanceFault);
    std::cout << Each.Scenario.NewInstances
              << " new instances): " << Each.Canary.Reason << "\n";
  }
}

void printByFault(const std::vector<TrialPair> &Pairs) {
  for (int Fault = 1; Fault <= VersionFaultCount; ++Fault) {
    Summary Canary;
    Summary Baseline;
    for (const TrialPair &Each : Pairs) {
      if (static_cast<int>(Each.Scenario.Fault) != Fault)
        continue;
      addResult(Canary, Each.Scenario, Each.Canary);
      addResult(Baseline, Each.Scenario, Each.Baseline);
    }
    if (Canary.Bad == 0)
      continue;
    std::cout << "  " << std::left << std::setw(11)
              << toString(static_cast<VersionFault>(Fault)) << " undone "
              << Canary.BadUndone << "/" << Canary.Bad << " calls median "
              << percentile(Canary.Calls, 0.5) << " seconds median "
              << percentile(Canary.BadSeconds, 0.5) << " | baseline undone "
              << Baseline.BadUndone << "/" << Baseline.Bad << " calls median "
              << percentile(Baseline.Calls, 0.5) << " seconds median "
              << percentile(Baseline.BadSeconds, 0.5) << "\n";
  }
}

std::vector<TrialPair> runTrials(std::uint64_t Seed, int Good, int Bad,
                                 bool IsZinnwerk) {
  std::vector<TrialPair> Result;
  for (int I = 0; I < Good + Bad; ++I) {
    std::mt19937_64 Random(Seed * 1'000'003 + static_cast<std::uint64_t>(I));
    const auto Fault =
        I < Good
            ? VersionFault::None
            : static_cast<VersionFault>(1 + (I - Good) % VersionFaultCount);
    TrialPair NewPair;
    NewPair.Scenario = makeScenario(Random, IsZinnwerk, Fault);
    std::mt19937_64 CanaryRandom(Random());
    std::mt19937_64 BaselineRandom(Random());
    NewPair.Canary = runMoves(NewPair.Scenario, CanaryRandom);
    NewPair.Baseline = runBaseline(NewPair.Scenario, BaselineRandom);
    Result.push_back(std::move(NewPair));
  }
  return Result;
}

} // namespace

int main(int Argc, char **Argv) {
  cxxopts::Options Options("lychee-move-trials",
                           "Seeded trials of version moves");
  auto Add = Options.add_options();
  Add("seed", "first seed",
      cxxopts::value<std::uint64_t>()->default_value("1"));
  Add("seeds", "number of seeds", cxxopts::value<int>()->default_value("1"));
  Add("good", "good versions for each seed",
      cxxopts::value<int>()->default_value("20"));
  Add("bad", "bad versions for each seed",
      cxxopts::value<int>()->default_value("20"));
  Add("deployment", "zinnwerk or wijesekera",
      cxxopts::value<std::string>()->default_value("zinnwerk"));
  const auto Parsed = Options.parse(Argc, Argv);
  const auto Deployment = Parsed["deployment"].as<std::string>();
  if (Deployment != "zinnwerk" && Deployment != "wijesekera") {
    std::cerr << "--deployment: \"" << Deployment
              << "\" is not zinnwerk or wijesekera\n";
    return 2;
  }
  std::vector<TrialPair> Pairs;
  const auto First = Parsed["seed"].as<std::uint64_t>();
  const auto Seeds = static_cast<std::uint64_t>(Parsed["seeds"].as<int>());
  for (std::uint64_t Seed = First; Seed < First + Seeds; ++Seed)
    for (TrialPair &Each :
         runTrials(Seed, Parsed["good"].as<int>(), Parsed["bad"].as<int>(),
                   Deployment == "zinnwerk"))
      Pairs.push_back(std::move(Each));
  Summary Canary;
  Canary.Name = "lycheethread";
  Summary Baseline;
  Baseline.Name = "baseline";
  for (const TrialPair &Each : Pairs) {
    addResult(Canary, Each.Scenario, Each.Canary);
    addResult(Baseline, Each.Scenario, Each.Baseline);
  }
  printSummary(Canary);
  printSummary(Baseline);
  printByFault(Pairs);
  printBaselineWins(Pairs);
  printWrongOutcomes(Pairs);
  return 0;
}
