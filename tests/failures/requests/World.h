#ifndef LYCHEETHREAD_TESTS_FAILURES_REQUESTS_WORLD_H
#define LYCHEETHREAD_TESTS_FAILURES_REQUESTS_WORLD_H

#include "Mesh.h"

#include <atomic>
#include <cstdint>
#include <functional>
#include <map>
#include <random>
#include <string>
#include <thread>
#include <vector>

namespace lycheethread::failures {

/// The number after "--seed" on the command line; 1 without one.
unsigned seed();

/// Prints the line of a check: "point | injected | observed".
void report(const std::string &Point, const std::string &Injected,
            const std::string &Observed);

/// One run that an upstream recorded.
struct RunRecord {
  /// Wall clock in ms since the epoch.
  std::int64_t AtMs = 0;
  std::string Id;
};

/// Wall clock in ms since the epoch.
std::int64_t nowMs();

/// A log with a fault proxy before it and nodes of the service "desk", whose
/// upstreams append each run to a file.
class World {
public:
  explicit World(const std::string &TestName);

  /// Starts a node with an upstream of "desk". \p Faulty puts a fault proxy
  /// before the upstream.
  harness::NodeProcess &add(const std::string &Id, const std::string &Region,
                            const std::string &Zone, bool Faulty = false);
  /// Publishes a document like that of "desk" for another service.
  void publish(const std::string &Service, int LookupTimeoutMs);
  /// Starts a node with an upstream of any service.
  harness::NodeProcess &addOf(const std::string &Service, const std::string &Id,
                              const std::vector<std::string> &UpstreamArgs,
                              bool Faulty = false);
  /// Starts a node without an upstream.
  harness::NodeProcess &addGate(const std::string &Id,
                                const std::string &Region,
                                const std::string &Zone);
  /// Two nodes in each of two regions: west-1, west-2, east-1, east-2. The
  /// first of each region has a fault proxy when \p Faulty.
  void addFour(bool Faulty);
  /// Waits until every node serves and sees the others. Throws
  /// std::runtime_error when that takes too long.
  void waitUntilReady();

  void restart(harness::NodeProcess &Node);
  void restartUpstream(harness::NodeProcess &Node);

  harness::HttpCall call(const harness::NodeProcess &Entry,
                         const std::string &Method,
                         const std::string &Path) const;
  std::vector<RunRecord> runsAt(const harness::NodeProcess &Node) const;
  /// Runs of each id at all upstreams together.
  std::map<std::string, int> runs() const;

  int random(int Low, int High);

  harness::Mesh Mesh;
  harness::PortProcess *Log = nullptr;
  harness::FaultProcess *LogFault = nullptr;
  std::vector<harness::NodeProcess *> Nodes;

private:
  harness::NodeProcess &start(harness::NodeSpec Spec);
  std::string runsFile(const std::string &Id) const;
  bool seesAll(const harness::NodeProcess &Node) const;

  std::mt19937 Random_;
};

/// Runs \p Body on \p Count threads until stopped.
class Callers {
public:
  /// \p Body gets the number of the thread and a counter, and is called until
  /// the end.
  Callers(int Count, std::function<void(int, int)> Body);
  ~Callers();
  void stop();

private:
  std::atomic<bool> Stopped_{false};
  std::vector<std::thread> Threads_;
};

void pause(int Milliseconds);

} // namespace lycheethread::failures

#endif // LYCHEETHREAD_TESTS_FAILURES_REQUESTS_WORLD_H
