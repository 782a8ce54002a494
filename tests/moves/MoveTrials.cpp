#include "TrialRun.h"

#include <cxxopts.hpp>

#include <algorithm>
#include <iomanip>
#include <iostream>

using namespace lycheethread::trials;

namespace {

struct Pair {
  World Given;
  TrialResult Ours;
  TrialResult Naive;
};

double percentile(std::vector<double> Values, double Part) {
  if (Values.empty())
    return 0;
  std::sort(Values.begin(), Values.end());
  const auto Last = static_cast<double>(Values.size() - 1);
  return Values[static_cast<std::size_t>(Last * Part + 0.5)];
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

void add(Summary &To, const World &Given, const TrialResult &Result) {
  if (Given.Kind == Badness::None) {
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

void print(const Summary &From) {
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

bool isRight(const World &Given, const TrialResult &Result) {
  return Result.Finished == (Given.Kind == Badness::None);
}

/// What the baseline did better, trial by trial.
void printBaselineWins(const std::vector<Pair> &All) {
  int Faster = 0;
  int Outcome = 0;
  int Stopped = 0;
  for (const Pair &One : All) {
    const bool Ours = isRight(One.Given, One.Ours);
    const bool Naive = isRight(One.Given, One.Naive);
    Outcome += Naive && !Ours ? 1 : 0;
    if (!Naive || !Ours)
      continue;
    if (One.Given.Kind == Badness::None)
      Faster += One.Naive.EndedAt < One.Ours.EndedAt ? 1 : 0;
    else
      Stopped += One.Naive.CallsWhileBad < One.Ours.CallsWhileBad ? 1 : 0;
  }
  std::cout << "baseline wins: right where lycheethread is wrong " << Outcome
            << ", good version finished earlier " << Faster
            << ", bad version got fewer calls " << Stopped << " (of "
            << All.size() << " trials)\n";
}

void printSpell(const char *Name, const Spell &Item) {
  if (Item.To > Item.From)
    std::cout << Name << " " << Item.From << ".." << Item.To << " s, ";
}

/// With the faults that were no fault of the version.
void printMistakes(const std::vector<Pair> &All) {
  for (const Pair &One : All) {
    if (isRight(One.Given, One.Ours))
      continue;
    std::cout << "wrong: " << toString(One.Given.Kind) << " at "
              << One.Ours.EndedAt << " s (";
    printSpell("shared fault", One.Given.SharedFault);
    printSpell(One.Given.FaultAtNew ? "new instance down" : "old instance down",
               One.Given.InstanceFault);
    std::cout << One.Given.NewHops << " new instances): " << One.Ours.Reason
              << "\n";
  }
}

void printKinds(const std::vector<Pair> &All) {
  for (int Kind = 1; Kind <= BadKinds; ++Kind) {
    Summary Ours;
    Summary Naive;
    for (const Pair &One : All) {
      if (static_cast<int>(One.Given.Kind) != Kind)
        continue;
      add(Ours, One.Given, One.Ours);
      add(Naive, One.Given, One.Naive);
    }
    if (Ours.Bad == 0)
      continue;
    std::cout << "  " << std::left << std::setw(11)
              << toString(static_cast<Badness>(Kind)) << " undone "
              << Ours.BadUndone << "/" << Ours.Bad << " calls median "
              << percentile(Ours.Calls, 0.5) << " seconds median "
              << percentile(Ours.BadSeconds, 0.5) << " | baseline undone "
              << Naive.BadUndone << "/" << Naive.Bad << " calls median "
              << percentile(Naive.Calls, 0.5) << " seconds median "
              << percentile(Naive.BadSeconds, 0.5) << "\n";
  }
}

std::vector<Pair> runAll(std::uint64_t Seed, int Good, int Bad, bool Zinnwerk) {
  std::vector<Pair> Result;
  for (int I = 0; I < Good + Bad; ++I) {
    std::mt19937_64 Random(Seed * 1'000'003 + static_cast<std::uint64_t>(I));
    const auto Kind = I < Good
                          ? Badness::None
                          : static_cast<Badness>(1 + (I - Good) % BadKinds);
    Pair Made;
    Made.Given = makeWorld(Random, Zinnwerk, Kind);
    std::mt19937_64 ForOurs(Random());
    std::mt19937_64 ForNaive(Random());
    Made.Ours = runMoves(Made.Given, ForOurs);
    Made.Naive = runBaseline(Made.Given, ForNaive);
    Result.push_back(std::move(Made));
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
  std::vector<Pair> All;
  const auto First = Parsed["seed"].as<std::uint64_t>();
  const auto Seeds = static_cast<std::uint64_t>(Parsed["seeds"].as<int>());
  for (std::uint64_t Seed = First; Seed < First + Seeds; ++Seed)
    for (Pair &One : runAll(Seed, Parsed["good"].as<int>(),
                            Parsed["bad"].as<int>(), Deployment == "zinnwerk"))
      All.push_back(std::move(One));
  Summary Ours;
  Ours.Name = "lycheethread";
  Summary Naive;
  Naive.Name = "baseline";
  for (const Pair &One : All) {
    add(Ours, One.Given, One.Ours);
    add(Naive, One.Given, One.Naive);
  }
  print(Ours);
  print(Naive);
  printKinds(All);
  printBaselineWins(All);
  printMistakes(All);
  return 0;
}
