#ifndef LYCHEETHREAD_TESTS_FAILURES_REQUESTS_TESTCLUSTER_H
#define LYCHEETHREAD_TESTS_FAILURES_REQUESTS_TESTCLUSTER_H

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

/// Prints one row of the result table: "point | injected | observed".
void report(const std::string &Point, const std::string &Injected,
            const std::string &Observed);

/// One execution of a request, as the upstream recorded it.
struct ExecutionRecord {
  /// Wall clock in ms since the epoch.
  std::int64_t AtMs = 0;
  std::string Id;
};

/// Wall clock in ms since the epoch.
std::int64_t nowMs();

/// A log behind a fault proxy and nodes of the service "desk". Each upstream
/// appends every request that it executes to a file.
class TestCluster {
public:
  explicit TestCluster(const std::string &TestName);

  /// Starts a node with an upstream of "desk". \p WithFaultProxy puts a fault
  /// proxy between the node and the upstream.
  harness::NodeProcess &add(const std::string &Id, const std::string &Region,
                            const std::string &Zone,
                            bool WithFaultProxy = false);
  /// Publishes the document of "desk" under the name of another service, with
  /// another timeout of the lookup route.
  void publish(const std::string &Service, int LookupTimeoutMs);
  /// Starts a node in zone west-a with an upstream of \p Service.
  harness::NodeProcess &
  addForService(const std::string &Service, const std::string &Id,
                const std::vector<std::string> &UpstreamArgs,
                bool WithFaultProxy = false);
  /// Starts a node without an upstream. Without \p DrainTimeout it has the
  /// default of the node.
  harness::NodeProcess &
  addWithoutUpstream(const std::string &Id, const std::string &Region,
                     const std::string &Zone,
                     std::chrono::seconds DrainTimeout = {});
  /// Starts two nodes in each of two regions (west-1, west-2, east-1, east-2)
  /// and waits until they are ready. With \p WithFaultProxy the upstream of the
  /// first node of each region is behind a fault proxy.
  void addFourNodes(bool WithFaultProxy);
  /// Waits until every node is ready, has the documents and sees all nodes as
  /// ready. Throws std::runtime_error after ReadyLimit.
  void waitUntilReady();

  void restart(harness::NodeProcess &Node);
  void restartUpstream(harness::NodeProcess &Node);

  /// Returns a request to "desk" through \p Entry, without sending it.
  harness::HttpCall makeCall(const harness::NodeProcess &Entry,
                             const std::string &Method,
                             const std::string &Path) const;
  /// Reads the executions that the upstream of \p Node recorded.
  std::vector<ExecutionRecord>
  executionsAt(const harness::NodeProcess &Node) const;
  /// Number of executions of each request id at all upstreams together.
  std::map<std::string, int> executionsById() const;

  /// A random number from \p Low to \p High, both included.
  int randomBetween(int Low, int High);

  harness::Mesh Mesh;
  harness::PortProcess *Log = nullptr;
  harness::FaultProcess *LogFault = nullptr;
  std::vector<harness::NodeProcess *> Nodes;

private:
  harness::NodeProcess &start(harness::NodeSpec Spec);
  std::string executionsFile(const std::string &Id) const;
  bool seesAllNodes(const harness::NodeProcess &Node) const;

  std::mt19937 Random_;
};

/// Calls a function repeatedly on several threads until stopped.
class WorkerThreads {
public:
  /// Starts \p Count threads. \p Task receives the number of the thread and of
  /// the iteration, both from 0.
  WorkerThreads(int Count, std::function<void(int, int)> Task);
  ~WorkerThreads();
  /// Waits for the current iteration of each thread.
  void stop();

private:
  std::atomic<bool> Stopped_{false};
  std::vector<std::thread> Threads_;
};

void pause(int Milliseconds);

} // namespace lycheethread::failures

#endif // LYCHEETHREAD_TESTS_FAILURES_REQUESTS_TESTCLUSTER_H
