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

/// Command-line options.
struct MeasurementPlan {
  std::size_t Nodes = 0;
  std::size_t Zones = 0;
  int Changes = 0;
  std::uint64_t Seed = 0;
  std::size_t ChangeBytes = 0;
  int IdleSeconds = 0;
  /// Wait before the first measurement, until the traffic caused by the start
  /// has ended.
  int SettleSeconds = 0;
};

double millisecondsSince(std::chrono::steady_clock::time_point From) {
  return std::chrono::duration<double, std::milli>(
             std::chrono::steady_clock::now() - From)
      .count();
}

bool allKnowAllMembers(const peer::PeerCluster &Cluster, std::size_t Ready) {
  for (const auto &Item : Cluster.Nodes)
    if (!Item.second->serves() ||
        Item.second->count(MemberState::Ready) != Ready)
      return false;
  return true;
}

void awaitMembers(const char *Title, const peer::PeerCluster &Cluster) {
  const auto Start = std::chrono::steady_clock::now();
  const bool AllServe =
      peer::PeerCluster::await([&] { return Cluster.allServe(); }, JoinLimit);
  std::printf("%s: %s after %.0f ms", Title,
              AllServe ? "all serve" : "NOT all serve",
              millisecondsSince(Start));
  const bool AllKnown = peer::PeerCluster::await(
      [&] { return allKnowAllMembers(Cluster, Cluster.Nodes.size()); },
      JoinLimit);
  std::printf(", %s after %.0f ms\n",
              AllKnown ? "all know all members" : "NOT all know all members",
              millisecondsSince(Start));
}

std::vector<double> makeChanges(peer::PeerCluster &Cluster,
                                const MeasurementPlan &Plan) {
  std::vector<double> Durations;
  for (int Change = 0; Change < Plan.Changes; ++Change) {
    const auto ChangeStart = std::chrono::steady_clock::now();
    const Offset NextOffset =
        Cluster.Log.append("control", std::string(Plan.ChangeBytes, 'x'))
            .next();
    if (peer::PeerCluster::await([&] { return Cluster.allAt(NextOffset); },
                                 ChangeLimit))
      Durations.push_back(millisecondsSince(ChangeStart));
    else
      std::printf("change %d did NOT converge within 30 s\n", Change);
    std::this_thread::sleep_until(ChangeStart + std::chrono::seconds(1));
  }
  return Durations;
}

void measure(const std::string &Title, peer::PeerCluster &Cluster,
             const MeasurementPlan &Plan) {
  const std::size_t Nodes = Cluster.Nodes.size();
  const Usage Start = readUsage(Cluster);
  std::this_thread::sleep_for(std::chrono::seconds(Plan.IdleSeconds));
  const Usage AfterIdle = readUsage(Cluster);
  printUsage(Title + ", idle", Start, AfterIdle, Nodes);
  const std::vector<double> Durations = makeChanges(Cluster, Plan);
  printUsage(Title + ", 1 change a second", AfterIdle, readUsage(Cluster),
             Nodes);
  printTimes(Title + ", convergence", Durations);
}

void run(const MeasurementPlan &Plan) {
  peer::PeerCluster Cluster(Plan.Zones, Regions);
  std::printf("%zu nodes, %zu regions of %zu zones, %d changes of %zu bytes, "
              "seed %llu\n",
              Plan.Nodes, Regions, Plan.Zones, Plan.Changes, Plan.ChangeBytes,
              static_cast<unsigned long long>(Plan.Seed));
  Cluster.startAll(Plan.Nodes);
  awaitMembers("start", Cluster);
  std::this_thread::sleep_for(std::chrono::seconds(Plan.SettleSeconds));
  measure("healthy", Cluster, Plan);

  std::vector<std::size_t> KilledNodes;
  std::mt19937_64 Random(Plan.Seed);
  for (std::size_t Number = 0; Number < Plan.Nodes; ++Number)
    KilledNodes.push_back(Number);
  std::shuffle(KilledNodes.begin(), KilledNodes.end(), Random);
  KilledNodes.resize(Plan.Nodes / 3);
  std::vector<std::thread> KillThreads;
  for (const std::size_t Number : KilledNodes)
    KillThreads.emplace_back(
        [&Cluster, Number] { Cluster.Nodes.at(Number)->kill(); });
  for (std::thread &Each : KillThreads)
    Each.join();
  for (const std::size_t Number : KilledNodes)
    Cluster.Nodes.erase(Number);
  printTimes("a third killed, convergence", makeChanges(Cluster, Plan));
  const Usage Before = readUsage(Cluster);
  for (const std::size_t Number : KilledNodes)
    Cluster.start(Number);
  awaitMembers("a third restarted", Cluster);
  printUsage("return of a third", Before, readUsage(Cluster),
             Cluster.Nodes.size());
  measure("after the return", Cluster, Plan);
  std::vector<std::thread> StopThreads;
  for (auto &Item : Cluster.Nodes)
    StopThreads.emplace_back([&Item] { Item.second->kill(); });
  for (std::thread &Each : StopThreads)
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
  const MeasurementPlan Plan{Parsed["nodes"].as<std::size_t>(),
                             Parsed["zones"].as<std::size_t>(),
                             Parsed["changes"].as<int>(),
                             Parsed["seed"].as<std::uint64_t>(),
                             Parsed["change-bytes"].as<std::size_t>(),
                             Parsed["idle-seconds"].as<int>(),
                             Parsed["settle-seconds"].as<int>()};
  if (Parsed.count("processes") != 0) {
    runProcesses(Plan.Nodes, Plan.Zones, Plan.Changes, Plan.ChangeBytes,
                 Plan.SettleSeconds, Plan.IdleSeconds);
    return 0;
  }
  run(Plan);
  runBaseline(Plan.Nodes, Plan.Changes, Plan.ChangeBytes);
  return 0;
}
