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

/// A log in memory whose answers can fail.
struct FakeLog {
  std::mutex Lock;
  std::map<StreamName, std::vector<std::string>> Streams;
  bool IsDown = false;
  /// Appends take effect but report an error.
  bool LosesAnswers = false;
  int AppendMs = 0;

  std::shared_ptr<streamlog::LogClient> client();
};

/// A port that was free a moment ago.
std::uint16_t freePort();

/// The stand-in upstream as a process of its own.
class UpstreamProcess {
public:
  explicit UpstreamProcess(std::vector<std::string> Args = {});
  ~UpstreamProcess();

  void start();
  /// Kills the process, if it still runs.
  void kill();
  /// Body of the answer to a GET straight to it.
  std::string get(const std::string &Path) const;
  Endpoint endpoint() const { return {"127.0.0.1", Port_}; }

private:
  std::vector<std::string> Args_;
  std::uint16_t Port_;
  int Pid_ = 0;
};

/// One node's data path in this process.
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

/// Nodes that know each other through fakes.
class TestCluster {
public:
  TestCluster();
  ~TestCluster();

  /// Adds a started node; without an upstream when \p Upstream has port 0.
  TestNode &add(const std::string &Id, const std::string &Service,
                const Endpoint &Upstream);
  /// Sets the view of every node from all nodes with an upstream, as though
  /// all were ready.
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
