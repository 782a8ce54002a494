#include "convergence/Processes.h"

#include "Mesh.h"
#include "convergence/Phase.h"

#include <unistd.h>

#include <cstdio>
#include <fstream>
#include <map>
#include <sstream>
#include <thread>
#include <vector>

namespace lycheethread::convergence {

namespace {

using Clock = std::chrono::steady_clock;
using harness::Mesh;
using harness::NodeProcess;

constexpr std::chrono::seconds StartLimit{60};
constexpr std::chrono::seconds ChangeLimit{30};

/// Resource usage of all nodes since their start, read at the time At.
struct UsageTotals {
  std::map<std::string, double> Bytes;
  double ProcessorSeconds = 0;
  double ResidentBytes = 0;
  Clock::time_point At;
};

double processorSeconds(int Id) {
  std::ifstream In("/proc/" + std::to_string(Id) + "/stat");
  const std::string Text{std::istreambuf_iterator<char>(In), {}};
  // Skips the process name, which may contain spaces; user and system time are
  // the 12th and 13th fields after it.
  std::istringstream Fields(Text.substr(Text.rfind(')') + 1));
  std::string Ignored;
  for (int Count = 0; Count < 11; ++Count)
    Fields >> Ignored;
  double User = 0;
  double System = 0;
  Fields >> User >> System;
  return (User + System) / static_cast<double>(sysconf(_SC_CLK_TCK));
}

double residentBytes(int Id) {
  std::ifstream In("/proc/" + std::to_string(Id) + "/statm");
  double Total = 0;
  double Resident = 0;
  In >> Total >> Resident;
  return Resident * static_cast<double>(sysconf(_SC_PAGESIZE));
}

void addBytes(const NodeProcess &Node, UsageTotals &To) {
  harness::HttpCall Call;
  Call.Port = Node.AdminPort;
  Call.Path = "/metrics";
  std::istringstream Lines(harness::send(Call).Body);
  const std::string Name = "lycheethread_traffic_bytes_total";
  for (std::string Line; std::getline(Lines, Line);) {
    const std::size_t Separator = Line.rfind(' ');
    if (Line.compare(0, Name.size(), Name) == 0 &&
        Separator != std::string::npos)
      To.Bytes[Line.substr(Name.size(), Separator - Name.size())] +=
          std::stod(Line.substr(Separator + 1));
  }
}

UsageTotals readTotals(const std::vector<NodeProcess *> &Nodes) {
  UsageTotals Totals;
  for (const NodeProcess *Node : Nodes) {
    addBytes(*Node, Totals);
    Totals.ProcessorSeconds += processorSeconds(Node->Process->id());
    Totals.ResidentBytes += residentBytes(Node->Process->id());
  }
  Totals.At = Clock::now();
  return Totals;
}

void printTotals(const char *Title, const UsageTotals &From,
                 const UsageTotals &To, std::size_t Nodes) {
  const double Seconds = std::chrono::duration<double>(To.At - From.At).count();
  const double NodeSeconds = Seconds * static_cast<double>(Nodes);
  std::printf("%s (%.1f s):\n", Title, Seconds);
  for (const auto &Item : To.Bytes) {
    const auto Before = From.Bytes.find(Item.first);
    const double Bytes =
        Item.second - (Before == From.Bytes.end() ? 0 : Before->second);
    if (Bytes > 0)
      std::printf("  %-60s %8.1f B/s per node\n", Item.first.c_str(),
                  Bytes / NodeSeconds);
  }
  std::printf("  processor %.3f %% of a core per node, memory %.2f MB per "
              "node\n",
              100 * (To.ProcessorSeconds - From.ProcessorSeconds) / NodeSeconds,
              To.ResidentBytes / 1e6 / static_cast<double>(Nodes));
}

bool hasReached(const NodeProcess &Node, long Position) {
  const std::string Status = Mesh::status(Node);
  const std::size_t Key = Status.find("\"position\"");
  if (Key == std::string::npos)
    return false;
  const std::size_t FirstDigit = Status.find_first_of("0123456789", Key);
  return FirstDigit != std::string::npos &&
         std::stol(Status.substr(FirstDigit)) >= Position;
}

/// Appends a record and returns the position after it. The content is not a
/// valid record, but nodes advance their position past it as well.
long append(std::uint16_t LogPort, std::size_t Bytes) {
  harness::HttpCall Call;
  Call.Port = LogPort;
  Call.Method = "POST";
  Call.Path = "/streams/control";
  Call.Body = std::string(Bytes, 'x');
  const std::string Answer = harness::send(Call).Body;
  const std::size_t FirstDigit = Answer.find_first_of("0123456789");
  return FirstDigit == std::string::npos
             ? -1
             : std::stol(Answer.substr(FirstDigit)) + 1;
}

std::vector<double> makeChanges(std::uint16_t LogPort,
                                const std::vector<NodeProcess *> &Nodes,
                                int Changes, std::size_t Bytes) {
  std::vector<double> Durations;
  for (int Change = 0; Change < Changes; ++Change) {
    const auto At = Clock::now();
    const long Position = append(LogPort, Bytes);
    bool Converged = true;
    for (const NodeProcess *Node : Nodes)
      while (Converged && !hasReached(*Node, Position)) {
        Converged = Clock::now() - At < ChangeLimit;
        std::this_thread::sleep_for(std::chrono::milliseconds(2));
      }
    if (Converged)
      Durations.push_back(
          std::chrono::duration<double, std::milli>(Clock::now() - At).count());
    else
      std::printf("change %d did NOT converge within 30 s\n", Change);
    std::this_thread::sleep_until(At + std::chrono::seconds(1));
  }
  return Durations;
}

void awaitReady(const char *Title, const std::vector<NodeProcess *> &Nodes) {
  const auto Start = Clock::now();
  std::size_t Ready = 0;
  for (const NodeProcess *Node : Nodes)
    Ready += Mesh::waitReady(*Node, StartLimit) ? 1 : 0;
  std::printf(
      "%s: %zu of %zu ready after %.0f ms\n", Title, Ready, Nodes.size(),
      std::chrono::duration<double, std::milli>(Clock::now() - Start).count());
}

} // namespace

void runProcesses(std::size_t Nodes, std::size_t Zones, int Changes,
                  std::size_t ChangeBytes, int SettleSeconds, int IdleSeconds) {
  Mesh Cluster("convergence");
  const std::uint16_t LogPort = Cluster.startLog().Port;
  std::vector<NodeProcess *> All;
  for (std::size_t Number = 0; Number < Nodes; ++Number) {
    harness::NodeSpec Spec;
    Spec.Id = "node-" + std::to_string(Number);
    Spec.Region = "region-" + std::to_string(Number % 2);
    Spec.Zone = Spec.Region + "-zone-" + std::to_string(Number / 2 % Zones);
    Spec.LogUrl = "http://127.0.0.1:" + std::to_string(LogPort);
    All.push_back(&Cluster.startNode(Spec));
  }
  std::printf("%zu node processes, 2 regions of %zu zones, %d changes of %zu "
              "bytes\n",
              Nodes, Zones, Changes, ChangeBytes);
  awaitReady("start", All);
  std::this_thread::sleep_for(std::chrono::seconds(SettleSeconds));
  const UsageTotals Start = readTotals(All);
  std::this_thread::sleep_for(std::chrono::seconds(IdleSeconds));
  const UsageTotals AfterIdle = readTotals(All);
  printTotals("idle", Start, AfterIdle, Nodes);
  const auto Healthy = makeChanges(LogPort, All, Changes, ChangeBytes);
  printTotals("1 change a second", AfterIdle, readTotals(All), Nodes);
  printTimes("healthy, convergence", Healthy);
  const std::vector<NodeProcess *> Killed(
      All.begin(), All.begin() + static_cast<std::ptrdiff_t>(Nodes / 3));
  const std::vector<NodeProcess *> Survivors(
      All.begin() + static_cast<std::ptrdiff_t>(Nodes / 3), All.end());
  for (NodeProcess *Node : Killed)
    Node->Process->kill();
  printTimes("a third killed, convergence",
             makeChanges(LogPort, Survivors, Changes, ChangeBytes));
  for (NodeProcess *Node : Killed)
    Cluster.restart(*Node);
  awaitReady("a third restarted", Killed);
  printTimes("after the return, convergence",
             makeChanges(LogPort, All, Changes, ChangeBytes));
}

} // namespace lycheethread::convergence
