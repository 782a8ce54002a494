// Simulates the gossip of many nodes in both designs and prints the results as
// tab-separated text. See --help.

#include "GossipSimulation.h"

#include <cxxopts.hpp>
#include <iostream>

using namespace lycheethread::gossiptest;

int main(int Argc, char **Argv) {
  cxxopts::Options Options(
      "lychee-gossip",
      "Simulates the gossip of N nodes, before and after decision 0015.");
  Options.add_options()(
      "nodes", "numbers of nodes, with commas",
      cxxopts::value<std::vector<int>>()->default_value("30,100,300,1000"))(
      "seconds", "simulated time", cxxopts::value<int>()->default_value("20"))(
      "loss", "share of lost datagrams",
      cxxopts::value<double>()->default_value("0.05"))(
      "seed", "seed of all random choices",
      cxxopts::value<std::uint64_t>()->default_value("1"))("h,help",
                                                           "print this help");
  try {
    const auto Parsed = Options.parse(Argc, Argv);
    if (Parsed.count("help") != 0) {
      std::cout << Options.help();
      return 0;
    }
    std::cout << resultHeader() << std::endl;
    for (const int Nodes : Parsed["nodes"].as<std::vector<int>>())
      for (const Design Used : {Design::WholeReports, Design::StatesAndLoads}) {
        SimulationPlan Plan;
        Plan.Used = Used;
        Plan.Nodes = Nodes;
        Plan.Seconds = Parsed["seconds"].as<int>();
        Plan.Loss = Parsed["loss"].as<double>();
        Plan.Seed = Parsed["seed"].as<std::uint64_t>();
        std::cout << toRow(Plan, simulate(Plan)) << std::endl;
      }
  } catch (const std::exception &Error) {
    std::cerr << "lychee-gossip: " << Error.what() << "\n";
    return 2;
  }
  return 0;
}
