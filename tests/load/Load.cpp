#include "LoadRun.h"

#include <cxxopts.hpp>

#include <cstdio>
#include <iostream>

namespace {

using namespace lycheethread::load;

constexpr int MaxConnections = 500;
constexpr int MaxSeconds = 600;

LoadPlan parsePlan(int Argc, char **Argv) {
  LoadPlan Plan;
  cxxopts::Options Parser("lychee-load", "Bounded HTTP load on 127.0.0.0/8");
  Parser.add_options()("target", "ip:port", cxxopts::value(Plan.Target))(
      "compare", "ip:port; alternates between both",
      cxxopts::value(Plan.Compare))("host", "Host header",
                                    cxxopts::value(Plan.Host))(
      "path", "path", cxxopts::value(Plan.Path))("caller", "lt-caller",
                                                 cxxopts::value(Plan.Caller))(
      "connections", "connections", cxxopts::value(Plan.Connections))(
      "rate", "requests a second, 0 for a closed loop",
      cxxopts::value(Plan.Rate))("seconds", "duration",
                                 cxxopts::value(Plan.Seconds))(
      "deadline-ms", "lt-deadline-ms", cxxopts::value(Plan.DeadlineMs))(
      "seed", "seed", cxxopts::value(Plan.Seed));
  Parser.parse(Argc, Argv);
  return Plan;
}

bool isLocal(const std::string &Target) {
  return Target.empty() || Target.rfind("127.", 0) == 0;
}

void print(const char *Name, const LoadResult &Result) {
  std::printf(
      "%s: sent %lld good %lld median %.3f ms p99 %.3f ms max %.3f ms\n", Name,
      static_cast<long long>(Result.Sent), static_cast<long long>(Result.Good),
      quantile(Result, 0.5), quantile(Result, 0.99), quantile(Result, 1));
  for (const auto &[Reason, Count] : Result.Errors)
    std::printf("  %s: %lld\n", Reason.c_str(), static_cast<long long>(Count));
}

} // namespace

int main(int Argc, char **Argv) {
  try {
    const LoadPlan Plan = parsePlan(Argc, Argv);
    if (!isLocal(Plan.Target) || !isLocal(Plan.Compare) ||
        Plan.Target.empty() || Plan.Connections > MaxConnections ||
        Plan.Seconds > MaxSeconds) {
      std::cerr << "load: targets must be in 127.0.0.0/8, at most "
                << MaxConnections << " connections and " << MaxSeconds
                << " s\n";
      return 2;
    }
    const LoadResults Results = runLoad(Plan);
    print("target", Results.Target);
    if (Plan.Compare.empty())
      return 0;
    print("compare", Results.Compare);
    std::printf("added: median %.3f ms p99 %.3f ms\n",
                quantile(Results.Target, 0.5) - quantile(Results.Compare, 0.5),
                quantile(Results.Target, 0.99) -
                    quantile(Results.Compare, 0.99));
    return 0;
  } catch (const std::exception &Error) {
    std::cerr << "load: " << Error.what() << "\n";
    return 1;
  }
}
