#ifndef LYCHEETHREAD_PROXY_TESTS_TESTCLUSTER_H
#define LYCHEETHREAD_PROXY_TESTS_TESTCLUSTER_H

#include "kernel/Kernel.h"
#include "proxy/Proxy.h"
#include "proxy/internal/NodeServices.h"

#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace lycheethread::proxy {

/// In-memory log with simulated failures.
struct FakeLog {
  std::mutex Lock;
  std::map<StreamName, std::vector<std::string>> Streams;
  bool IsDown = false;
  /// Appends store the record but report an error.
  bool LosesResponses = false;
  int AppendMs = 0;

  std::shared_ptr<streamlog::LogClient> client();
};

/// Returns a port that is currently unused.
std::uint16_t freePort();

/// Runs the stand-in upstream as a child process.
class UpstreamProcess {
public:
  explicit UpstreamProcess(std::vector<std::string> Args = {});
  ~UpstreamProcess();

  void start();
  /// Kills the process if it is running.
  void kill();
  /// Sends a GET directly to the upstream and returns the response body.
  std::string get(const std::string &Path) const;
  Endpoint endpoint() const { return {"127.0.0.1", Port_}; }

private:
  std::vector<std::string> Args_;
  std::uint16_t Port_;
  int Pid_ = 0;
};

/// Proxy of a node that runs in the test process.
struct TestNode {
  std::shared_ptr<settings::NodeSettings> Settings;
  kernel::Kernel Kernel;
  std::shared_ptr<kernel::SnapshotStore<requests::RoutingView>> View;
  std::vector<peer::RumourHandler> OnCrash;
  std::mutex Lock;
  std::vector<Refusal> Refusals;
  MemberState State = MemberState::Starting;

  std::shared_ptr<DrainControl> drain();
};

/// Nodes that are connected by fake services.
class TestCluster {
public:
  TestCluster();
  ~TestCluster();

  /// Adds and starts a node. It has no upstream if the port of \p Upstream is
  /// 0.
  TestNode &add(const std::string &Id, const std::string &Service,
                const Endpoint &Upstream);
  /// Gives every node a routing view that contains all nodes with an upstream
  /// as ready members.
  void publish();
  FakeLog &log() { return Log_; }
  ServiceLimits Limits;

private:
  void addServices(TestNode &Node);
  requests::RoutingView makeView() const;

  FakeLog Log_;
  std::vector<std::unique_ptr<TestNode>> Nodes_;
};

} // namespace lycheethread::proxy

#endif // LYCHEETHREAD_PROXY_TESTS_TESTCLUSTER_H
