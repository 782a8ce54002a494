// Compares the goodput of the nodes with that of the plain proxy at 0.5, 1 and
// 2 times the capacity of two upstreams. Three callers stay below their share,
// and one caller sends the rest of the load.

#include "LoadRun.h"

#include <Poco/Process.h>
#include <Poco/Thread.h>

#include <cxxopts.hpp>

#include <csignal>
#include <cstdio>
#include <iostream>
#include <string>
#include <sys/wait.h>
#include <thread>
#include <vector>

namespace {

using namespace lycheethread::load;

constexpr int Workers = 8;
constexpr int ServiceTimeMs = 20;
constexpr int Upstreams = 2;
constexpr double Capacity = Workers * Upstreams * 1000.0 / ServiceTimeMs;
constexpr int DeadlineMs = 200;
/// Load of each modest caller, as a fraction of the capacity.
constexpr double ModestShare = 0.15;
constexpr int ModestCallers = 3;
constexpr int ModestConnections = 30;
constexpr int GreedyConnections = 250;

class Processes {
public:
  ~Processes() {
    for (const int Pid : Pids_)
      ::kill(Pid, SIGTERM);
    for (const int Pid : Pids_)
      ::waitpid(Pid, nullptr, 0);
  }
  void start(const std::string &Program, const std::vector<std::string> &Args) {
    Pids_.push_back(Poco::Process::launch(Program, Args).id());
  }

private:
  std::vector<int> Pids_;
};

const std::vector<std::string> UpstreamEndpoints{"127.0.0.1:7301",
                                                 "127.0.0.1:7302"};
const std::vector<std::string> HopEndpoints{"127.0.0.1:7321", "127.0.0.1:7322"};
const std::vector<std::string> ListenEndpoints{"127.0.0.1:7311",
                                               "127.0.0.1:7312"};
const std::string EntryEndpoint = "127.0.0.1:7310";

void startUpstreams(Processes &Children) {
  for (const std::string &Endpoint : UpstreamEndpoints)
    Children.start(UPSTREAM_PROGRAM,
                   {"--listen", Endpoint, "--workers", std::to_string(Workers),
                    "--slots", "100000", "--service-time-ms",
                    std::to_string(ServiceTimeMs)});
}

void startNodes(Processes &Children) {
  std::vector<std::string> Common{"--slots", std::to_string(Workers)};
  for (std::size_t I = 0; I < HopEndpoints.size(); ++I)
    Common.insert(Common.end(),
                  {"--node", "n" + std::to_string(I) + "=" + HopEndpoints[I]});
  for (std::size_t I = 0; I < HopEndpoints.size(); ++I) {
    std::vector<std::string> Args = Common;
    Args.insert(Args.end(), {"--id", "n" + std::to_string(I), "--listen",
                             ListenEndpoints[I], "--hop", HopEndpoints[I],
                             "--upstream", UpstreamEndpoints[I]});
    Children.start(NODE_PROGRAM, Args);
  }
  Common.insert(Common.end(), {"--id", "entry", "--listen", EntryEndpoint});
  Children.start(NODE_PROGRAM, Common);
}

void startPlain(Processes &Children) {
  std::vector<std::string> Args{"--listen", EntryEndpoint};
  for (const std::string &Endpoint : UpstreamEndpoints)
    Args.insert(Args.end(), {"--upstream", Endpoint});
  Children.start(PLAIN_PROGRAM, Args);
}

LoadPlan makePlan(const std::string &Caller, double Rate, int Connections,
                  int Seconds) {
  LoadPlan Plan;
  Plan.Target = EntryEndpoint;
  Plan.Caller = Caller;
  Plan.Rate = Rate;
  Plan.Connections = Connections;
  Plan.Seconds = Seconds;
  Plan.Warmup = 0;
  Plan.DeadlineMs = DeadlineMs;
  Plan.TimeoutMs = DeadlineMs;
  return Plan;
}

std::vector<LoadPlan> makePlans(double Load, int Seconds) {
  std::vector<LoadPlan> Plans;
  for (int I = 0; I < ModestCallers; ++I)
    Plans.push_back(makePlan("modest-" + std::to_string(I),
                             ModestShare * Capacity, ModestConnections,
                             Seconds));
  const double Excess = Load - ModestShare * ModestCallers;
  Plans.push_back(
      makePlan("greedy", Excess * Capacity, GreedyConnections, Seconds));
  return Plans;
}

std::vector<LoadResults> runAll(const std::vector<LoadPlan> &Plans) {
  std::vector<LoadResults> Results(Plans.size());
  std::vector<std::thread> Threads;
  for (std::size_t I = 0; I < Plans.size(); ++I)
    Threads.emplace_back(
        [&Plans, &Results, I] { Results[I] = runLoad(Plans[I]); });
  for (std::thread &Each : Threads)
    Each.join();
  return Results;
}

void measure(const char *Mode, bool Plain, double Load, int Seconds) {
  Processes Children;
  startUpstreams(Children);
  if (Plain)
    startPlain(Children);
  else
    startNodes(Children);
  Poco::Thread::sleep(1000);
  const std::vector<LoadResults> Results = runAll(makePlans(Load, Seconds));
  std::int64_t Modest = 0;
  std::int64_t ModestSent = 0;
  for (int I = 0; I < ModestCallers; ++I) {
    Modest += Results[static_cast<std::size_t>(I)].Target.Good;
    ModestSent += Results[static_cast<std::size_t>(I)].Target.Sent;
  }
  const LoadResult &Greedy = Results.back().Target;
  std::printf(
      "%s load %.1f: goodput %.0f/s of %.0f/s; modest callers %.1f %% "
      "served; greedy %lld of %lld\n",
      Mode, Load, static_cast<double>(Modest + Greedy.Good) / Seconds, Capacity,
      100.0 * static_cast<double>(Modest) / static_cast<double>(ModestSent),
      static_cast<long long>(Greedy.Good), static_cast<long long>(Greedy.Sent));
  for (const auto &[Reason, Count] : Greedy.Errors)
    std::printf("  greedy %s: %lld\n", Reason.c_str(),
                static_cast<long long>(Count));
  for (const auto &[Reason, Count] : Results.front().Target.Errors)
    std::printf("  modest-0 %s: %lld\n", Reason.c_str(),
                static_cast<long long>(Count));
  std::fflush(stdout);
}

} // namespace

int main(int Argc, char **Argv) {
  try {
    int Seconds = 5;
    double SingleLoad = 0;
    cxxopts::Options Parser("lychee-goodput", "Goodput under overload");
    Parser.add_options()("seconds", "of each of six runs",
                         cxxopts::value(Seconds))(
        "load", "only this multiple of the capacity",
        cxxopts::value(SingleLoad));
    Parser.parse(Argc, Argv);
    std::vector<double> Loads{0.5, 1.0, 2.0};
    if (SingleLoad > 0)
      Loads = {SingleLoad};
    for (const double Load : Loads) {
      measure("nodes", false, Load, Seconds);
      measure("plain", true, Load, Seconds);
    }
    return 0;
  } catch (const std::exception &Error) {
    std::cerr << "goodput: " << Error.what() << "\n";
    return 1;
  }
}
