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

/// What the nodes used in sum up to a moment.
struct Sums {
  std::map<std::string, double> Bytes;
  double ProcessorSeconds = 0;
  double ResidentBytes = 0;
  Clock::time_point At;
};

double processorSeconds(int Id) {
  std::ifstream In("/proc/" + std::to_string(Id) + "/stat");
  const std::string Text{std::istreambuf_iterator<char>(In), {}};
  // The fields after the name, which may hold spaces; user and system time are
  // the 12th and 13th of them.
  std::istringstream Fields(Text.substr(Text.rfind(')') + 1));
  std::string Skipped;
  for (int Count = 0; Count < 11; ++Count)
    Fields >> Skipped;
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

void addBytes(const NodeProcess &Node, Sums &To) {
  harness::HttpCall Call;
  Call.Port = Node.AdminPort;
  Call.Path = "/metrics";
  std::istringstream Lines(harness::send(Call).Body);
  const std::string Name = "lycheethread_traffic_bytes_total";
  for (std::string Line; std::getline(Lines, Line);) {
    const std::size_t Split = Line.rfind(' ');
    if (Line.compare(0, Name.size(), Name) == 0 && Split != std::string::npos)
      To.Bytes[Line.substr(Name.size(), Split - Name.size())] +=
          std::stod(Line.substr(Split + 1));
  }
}

Sums take(const std::vector<NodeProcess *> &Nodes) {
  Sums Taken;
  for (const NodeProcess *Node : Nodes) {
    addBytes(*Node, Taken);
    Taken.ProcessorSeconds += processorSeconds(Node->Process->id());
    Taken.ResidentBytes += residentBytes(Node->Process->id());
  }
  Taken.At = Clock::now();
  return Taken;
}

void print(const char *Title, const Sums &From, const Sums &To,
           std::size_t Nodes) {
  const double Seconds = std::chrono::duration<double>(To.At - From.At).count();
  const double Share = Seconds * static_cast<double>(Nodes);
  std::printf("%s (%.1f s):\n", Title, Seconds);
  for (const auto &Item : To.Bytes) {
    const auto Before = From.Bytes.find(Item.first);
    const double Bytes =
        Item.second - (Before == From.Bytes.end() ? 0 : Before->second);
    if (Bytes > 0)
      std::printf("  %-60s %8.1f B/s per node\n", Item.first.c_str(),
                  Bytes / Share);
  }
  std::printf("  processor %.3f %% of a core per node, memory %.2f MB per "
              "node\n",
              100 * (To.ProcessorSeconds - From.ProcessorSeconds) / Share,
              To.ResidentBytes / 1e6 / static_cast<double>(Nodes));
}

bool isAt(const NodeProcess &Node, long Position) {
  const std::string Status = Mesh::status(Node);
  const std::size_t Key = Status.find("\"position\"");
  if (Key == std::string::npos)
    return false;
  const std::size_t Digit = Status.find_first_of("0123456789", Key);
  return Digit != std::string::npos &&
         std::stol(Status.substr(Digit)) >= Position;
}

/// Appends a record; one that does not decode moves the position like any.
long append(std::uint16_t LogPort, std::size_t Bytes) {
  harness::HttpCall Call;
  Call.Port = LogPort;
  Call.Method = "POST";
  Call.Path = "/streams/control";
  Call.Body = std::string(Bytes, 'x');
  const std::string Answer = harness::send(Call).Body;
  const std::size_t Digit = Answer.find_first_of("0123456789");
  return Digit == std::string::npos ? -1 : std::stol(Answer.substr(Digit)) + 1;
}

std::vector<double> makeChanges(std::uint16_t LogPort,
                                const std::vector<NodeProcess *> &Nodes,
                                int Changes, std::size_t Bytes) {
  std::vector<double> Times;
  for (int Change = 0; Change < Changes; ++Change) {
    const auto At = Clock::now();
    const long Position = append(LogPort, Bytes);
    bool Everywhere = true;
    for (const NodeProcess *Node : Nodes)
      while (Everywhere && !isAt(*Node, Position)) {
        Everywhere = Clock::now() - At < ChangeLimit;
        std::this_thread::sleep_for(std::chrono::milliseconds(2));
      }
    if (Everywhere)
      Times.push_back(
          std::chrono::duration<double, std::milli>(Clock::now() - At).count());
    else
      std::printf("change %d did NOT converge within 30 s\n", Change);
    std::this_thread::sleep_until(At + std::chrono::seconds(1));
  }
  return Times;
}

void awaitReady(const char *Title, const std::vector<NodeProcess *> &Nodes) {
  const auto Begin = Clock::now();
  std::size_t Ready = 0;
  for (const NodeProcess *Node : Nodes)
    Ready += Mesh::waitReady(*Node, StartLimit) ? 1 : 0;
  std::printf(
      "%s: %zu of %zu ready after %.0f ms\n", Title, Ready, Nodes.size(),
      std::chrono::duration<double, std::milli>(Clock::now() - Begin).count());
}

} // namespace

void runProcesses(std::size_t Nodes, std::size_t Zones, int Changes,
                  std::size_t ChangeBytes, int SettleSeconds, int IdleSeconds) {
  Mesh Running("convergence");
  const std::uint16_t LogPort = Running.startLog().Port;
  std::vector<NodeProcess *> All;
  for (std::size_t Number = 0; Number < Nodes; ++Number) {
    harness::NodeSpec Spec;
    Spec.Id = "node-" + std::to_string(Number);
    Spec.Region = "region-" + std::to_string(Number % 2);
    Spec.Zone = Spec.Region + "-zone-" + std::to_string(Number / 2 % Zones);
    Spec.LogUrl = "http://127.0.0.1:" + std::to_string(LogPort);
    All.push_back(&Running.startNode(Spec));
  }
  std::printf("%zu node processes, 2 regions of %zu zones, %d changes of %zu "
              "bytes\n",
              Nodes, Zones, Changes, ChangeBytes);
  awaitReady("start", All);
  std::this_thread::sleep_for(std::chrono::seconds(SettleSeconds));
  const Sums Begin = take(All);
  std::this_thread::sleep_for(std::chrono::seconds(IdleSeconds));
  const Sums Idle = take(All);
  print("idle", Begin, Idle, Nodes);
  const auto Healthy = makeChanges(LogPort, All, Changes, ChangeBytes);
  print("1 change a second", Idle, take(All), Nodes);
  printTimes("healthy, convergence", Healthy);
  const std::vector<NodeProcess *> Killed(
      All.begin(), All.begin() + static_cast<std::ptrdiff_t>(Nodes / 3));
  const std::vector<NodeProcess *> Left(
      All.begin() + static_cast<std::ptrdiff_t>(Nodes / 3), All.end());
  for (NodeProcess *Node : Killed)
    Node->Process->kill();
  printTimes("a third killed, convergence",
             makeChanges(LogPort, Left, Changes, ChangeBytes));
  for (NodeProcess *Node : Killed)
    Running.restart(*Node);
  awaitReady("a third restarted", Killed);
  printTimes("after the return, convergence",
             makeChanges(LogPort, All, Changes, ChangeBytes));
}

} // namespace lycheethread::convergence
