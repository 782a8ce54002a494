#include "convergence/Baseline.h"
#include "convergence/Phase.h"
#include "convergence/Processes.h"

#include <boost/log/core.hpp>
#include <boost/log/expressions.hpp>
#include <boost/log/trivial.hpp>
#include <cxxopts.hpp>

#include <cstdio>
#include <random>
#include <string>
#include <thread>
#include <vector>

namespace lycheethread::convergence {

namespace {

constexpr std::size_t Regions = 2;
constexpr Milliseconds JoinLimit{120000};
constexpr Milliseconds ChangeLimit{30000};

/// What the command line asks for.
struct Plan {
  std::size_t Nodes = 0;
  std::size_t Zones = 0;
  int Changes = 0;
  std::uint64_t Seed = 0;
  std::size_t ChangeBytes = 0;
  int IdleSeconds = 0;
  /// Wait before the first measurement, for the news of the start to die down.
  int SettleSeconds = 0;
};

double since(std::chrono::steady_clock::time_point From) {
  return std::chrono::duration<double, std::milli>(
             std::chrono::steady_clock::now() - From)
      .count();
}

bool everyoneKnows(const peer::PeerCluster &Cluster, std::size_t Ready) {
  for (const auto &Item : Cluster.Nodes)
    if (!Item.second->serves() ||
        Item.second->count(MemberState::Ready) != Ready)
      return false;
  return true;
}

void awaitMembers(const char *Title, const peer::PeerCluster &Cluster) {
  const auto Begin = std::chrono::steady_clock::now();
  const bool Served =
      peer::PeerCluster::await([&] { return Cluster.allServe(); }, JoinLimit);
  std::printf("%s: %s after %.0f ms", Title,
              Served ? "all serve" : "NOT all serve", since(Begin));
  const bool Known = peer::PeerCluster::await(
      [&] { return everyoneKnows(Cluster, Cluster.Nodes.size()); }, JoinLimit);
  std::printf(", %s after %.0f ms\n",
              Known ? "all know all members" : "NOT all know all members",
              since(Begin));
}

std::vector<double> makeChanges(peer::PeerCluster &Cluster, const Plan &Asked) {
  std::vector<double> Times;
  for (int Change = 0; Change < Asked.Changes; ++Change) {
    const auto At = std::chrono::steady_clock::now();
    const Offset Next =
        Cluster.Log.append("control", std::string(Asked.ChangeBytes, 'x'))
            .next();
    if (peer::PeerCluster::await([&] { return Cluster.allAt(Next); },
                                 ChangeLimit))
      Times.push_back(since(At));
    else
      std::printf("change %d did NOT converge within 30 s\n", Change);
    std::this_thread::sleep_until(At + std::chrono::seconds(1));
  }
  return Times;
}

void measure(const std::string &Title, peer::PeerCluster &Cluster,
             const Plan &Asked) {
  const std::size_t Nodes = Cluster.Nodes.size();
  const Usage Begin = takeUsage(Cluster);
  std::this_thread::sleep_for(std::chrono::seconds(Asked.IdleSeconds));
  const Usage Idle = takeUsage(Cluster);
  printUsage(Title + ", idle", Begin, Idle, Nodes);
  const std::vector<double> Times = makeChanges(Cluster, Asked);
  printUsage(Title + ", 1 change a second", Idle, takeUsage(Cluster), Nodes);
  printTimes(Title + ", convergence", Times);
}

void run(const Plan &Asked) {
  peer::PeerCluster Cluster(Asked.Zones, Regions);
  std::printf("%zu nodes, %zu regions of %zu zones, %d changes of %zu bytes, "
              "seed %llu\n",
              Asked.Nodes, Regions, Asked.Zones, Asked.Changes,
              Asked.ChangeBytes, static_cast<unsigned long long>(Asked.Seed));
  Cluster.startAll(Asked.Nodes);
  awaitMembers("start", Cluster);
  std::this_thread::sleep_for(std::chrono::seconds(Asked.SettleSeconds));
  measure("healthy", Cluster, Asked);

  std::vector<std::size_t> Victims;
  std::mt19937_64 Random(Asked.Seed);
  for (std::size_t Number = 0; Number < Asked.Nodes; ++Number)
    Victims.push_back(Number);
  std::shuffle(Victims.begin(), Victims.end(), Random);
  Victims.resize(Asked.Nodes / 3);
  std::vector<std::thread> Killers;
  for (const std::size_t Number : Victims)
    Killers.emplace_back(
        [&Cluster, Number] { Cluster.Nodes.at(Number)->kill(); });
  for (std::thread &Each : Killers)
    Each.join();
  for (const std::size_t Number : Victims)
    Cluster.Nodes.erase(Number);
  printTimes("a third killed, convergence", makeChanges(Cluster, Asked));
  const Usage Before = takeUsage(Cluster);
  for (const std::size_t Number : Victims)
    Cluster.start(Number);
  awaitMembers("a third restarted", Cluster);
  printUsage("return of a third", Before, takeUsage(Cluster),
             Cluster.Nodes.size());
  measure("after the return", Cluster, Asked);
  std::vector<std::thread> Leavers;
  for (auto &Item : Cluster.Nodes)
    Leavers.emplace_back([&Item] { Item.second->kill(); });
  for (std::thread &Each : Leavers)
    Each.join();
}

} // namespace

} // namespace lycheethread::convergence

int main(int Argc, char **Argv) {
  std::setvbuf(stdout, nullptr, _IOLBF, 0);
  using namespace lycheethread::convergence;
  cxxopts::Options Options("lychee-convergence",
                           "Measures convergence and control traffic");
  Options.add_options()("processes", "run the binary instead of modules")(
      "nodes", "nodes", cxxopts::value<std::size_t>()->default_value("12"))(
      "zones", "availability zones of each region",
      cxxopts::value<std::size_t>()->default_value("2"))(
      "changes", "changes, one a second",
      cxxopts::value<int>()->default_value("10"))(
      "seed", "picks the nodes that are killed",
      cxxopts::value<std::uint64_t>()->default_value("1"))(
      "change-bytes", "bytes of one change",
      cxxopts::value<std::size_t>()->default_value("2000"))(
      "idle-seconds", "length of an idle phase",
      cxxopts::value<int>()->default_value("20"))(
      "settle-seconds", "wait before the first measurement",
      cxxopts::value<int>()->default_value("0"));
  const auto Parsed = Options.parse(Argc, Argv);
  boost::log::core::get()->set_filter(boost::log::trivial::severity >=
                                      boost::log::trivial::error);
  const Plan Asked{Parsed["nodes"].as<std::size_t>(),
                   Parsed["zones"].as<std::size_t>(),
                   Parsed["changes"].as<int>(),
                   Parsed["seed"].as<std::uint64_t>(),
                   Parsed["change-bytes"].as<std::size_t>(),
                   Parsed["idle-seconds"].as<int>(),
                   Parsed["settle-seconds"].as<int>()};
  if (Parsed.count("processes") != 0) {
    runProcesses(Asked.Nodes, Asked.Zones, Asked.Changes, Asked.ChangeBytes,
                 Asked.SettleSeconds, Asked.IdleSeconds);
    return 0;
  }
  run(Asked);
  runBaseline(Asked.Nodes, Asked.Changes, Asked.ChangeBytes);
  return 0;
}
