#include "convergence/Phase.h"

#include <sys/resource.h>
#include <unistd.h>

#include <algorithm>
#include <cstdio>
#include <fstream>

namespace lycheethread::convergence {

namespace {

const char *trafficKindName(metrics::TrafficKind Kind) {
  switch (Kind) {
  case metrics::TrafficKind::Probe:
    return "probe";
  case metrics::TrafficKind::Feed:
    return "feed";
  case metrics::TrafficKind::Fetch:
    return "fetch";
  case metrics::TrafficKind::Snapshot:
    return "snapshot";
  case metrics::TrafficKind::Call:
    return "call";
  case metrics::TrafficKind::Rumour:
    return "rumour";
  case metrics::TrafficKind::Log:
    return "log";
  case metrics::TrafficKind::Data:
    break;
  }
  return "data";
}

} // namespace

std::chrono::microseconds processorTime() {
  rusage Used{};
  getrusage(RUSAGE_SELF, &Used);
  const auto ToDuration = [](const timeval &Value) {
    return std::chrono::seconds(Value.tv_sec) +
           std::chrono::microseconds(Value.tv_usec);
  };
  return ToDuration(Used.ru_utime) + ToDuration(Used.ru_stime);
}

std::int64_t residentBytes() {
  std::ifstream In("/proc/self/statm");
  std::int64_t Total = 0;
  std::int64_t Resident = 0;
  In >> Total >> Resident;
  return Resident * sysconf(_SC_PAGESIZE);
}

Usage readUsage(const peer::PeerCluster &Cluster) {
  Usage Total;
  for (const auto &Item : Cluster.Nodes) {
    peer::TrafficSums &Sums = Item.second->traffic();
    const std::lock_guard<std::mutex> Guard(Sums.Lock);
    for (const auto &Each : Sums.Bytes)
      Total.Bytes[Each.first] += Each.second;
    Total.CrossRegionSent += Sums.CrossRegionSent;
  }
  Total.ProcessorTime = processorTime();
  Total.At = std::chrono::steady_clock::now();
  return Total;
}

void printUsage(const std::string &Title, const Usage &From, const Usage &To,
                std::size_t Nodes) {
  const double Seconds = std::chrono::duration<double>(To.At - From.At).count();
  const double NodeSeconds = Seconds * static_cast<double>(Nodes);
  std::map<metrics::Direction, double> Totals;
  std::printf("%s (%.1f s):\n", Title.c_str(), Seconds);
  for (const auto &Item : To.Bytes) {
    const auto Before = From.Bytes.find(Item.first);
    const std::int64_t Bytes =
        Item.second - (Before == From.Bytes.end() ? 0 : Before->second);
    Totals[Item.first.second] += static_cast<double>(Bytes) / NodeSeconds;
    std::printf(
        "  %-9s %-8s %8.1f B/s per node\n", trafficKindName(Item.first.first),
        Item.first.second == metrics::Direction::Sent ? "sent" : "received",
        static_cast<double>(Bytes) / NodeSeconds);
  }
  std::printf("  total     sent     %8.1f B/s per node\n",
              Totals[metrics::Direction::Sent]);
  std::printf("  total     received %8.1f B/s per node\n",
              Totals[metrics::Direction::Received]);
  std::printf("  between the regions  %8.1f B/s in all\n",
              static_cast<double>(To.CrossRegionSent - From.CrossRegionSent) /
                  Seconds);
  const double ProcessorTime =
      std::chrono::duration<double>(To.ProcessorTime - From.ProcessorTime)
          .count();
  std::printf("  processor %.3f %% of a core per node, memory %.2f MB per "
              "node\n",
              100 * ProcessorTime / NodeSeconds,
              static_cast<double>(residentBytes()) / 1e6 /
                  static_cast<double>(Nodes));
}

void printTimes(const std::string &Title, std::vector<double> Times) {
  if (Times.empty())
    return;
  std::sort(Times.begin(), Times.end());
  std::printf("%s: %zu changes, median %.1f ms, worst %.1f ms\n", Title.c_str(),
              Times.size(), Times[Times.size() / 2], Times.back());
}

} // namespace lycheethread::convergence
