#ifndef LYCHEETHREAD_PEER_TESTS_PEERCLUSTER_H
#define LYCHEETHREAD_PEER_TESTS_PEERCLUSTER_H

#include "kernel/Kernel.h"
#include "metrics/types/TrafficSample.h"
#include "peer/Peer.h"
#include "peer/internal/PeerOptions.h"
#include "peer/tests/MemoryLog.h"
#include "settings/types/NodeSettings.h"

#include <atomic>
#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace lycheethread::peer {

/// Fold that keeps the raw text of each record as the document of service
/// "last"; a record "notice:<position>" is a checkpoint notice.
ControlFold makeFakeFold();

/// Cuts connections between groups of nodes.
class FakeNetwork {
public:
  void place(const Endpoint &At, const std::string &Group);
  void cut(const std::string &From, const std::string &To);
  void heal();
  bool allows(const std::string &FromGroup, const Endpoint &To);

private:
  std::mutex Lock_;
  std::map<Endpoint, std::string> Groups_;
  std::set<std::pair<std::string, std::string>> Cuts_;
};

/// Bytes of one node by kind.
struct TrafficSums {
  std::mutex Lock;
  std::map<std::pair<metrics::TrafficKind, metrics::Direction>, std::int64_t>
      Bytes;
  std::int64_t CrossRegionSent = 0;
};

/// One peer module in a kernel of its own.
class TestNode {
public:
  TestNode(settings::NodeSettings Settings, MemoryLog &Log,
           FakeNetwork &Network, const std::string &NetworkGroup);
  ~TestNode();

  /// Ends without a word to the others.
  void kill();
  void leave();

  Offset position() const;
  bool serves() const;
  std::vector<Member> members() const;
  /// Members in \p State as this node sees them.
  std::size_t count(MemberState State) const;
  Member self() const;
  PeerControl &control() { return *Control_; }
  TrafficSums &traffic() { return *Sums_; }
  /// Whether a lower position was ever seen after a higher one.
  bool wentBack() const;

private:
  settings::NodeSettings Settings_;
  FakeNetwork &Network_;
  std::string Group_;
  std::shared_ptr<std::atomic<bool>> Silent_;
  std::shared_ptr<TrafficSums> Sums_;
  kernel::Kernel Kernel_;
  std::shared_ptr<PeerControl> Control_;
  std::shared_ptr<kernel::SnapshotStore<config::ConfigState>> Config_;
  std::shared_ptr<kernel::SnapshotStore<std::vector<Member>>> Members_;
  std::shared_ptr<kernel::SnapshotStore<requests::RoutingView>> View_;
  mutable Offset Highest_;
  mutable bool WentBack_ = false;
};

/// Nodes with a common log and network.
class PeerCluster {
public:
  /// \p Zones availability zones in each of \p Regions regions.
  PeerCluster(std::size_t Zones, std::size_t Regions);

  /// Starts node \p Number; seeds are up to 3 running nodes.
  TestNode &start(std::size_t Number);
  TestNode &start(std::size_t Number, std::vector<Endpoint> Seeds,
                  const Endpoint &Control = {"127.0.0.1", 0});
  enum SeedUse { RunningSeeds, NoSeeds };
  void startAll(std::size_t Count, SeedUse Use = RunningSeeds);
  /// Endpoint on which nothing listens yet.
  static Endpoint freeEndpoint();
  void kill(std::size_t Number);

  Region regionOf(std::size_t Number) const;
  /// Waits until \p Done, at most \p Limit; returns whether it came about.
  static bool await(const std::function<bool()> &Done, Milliseconds Limit);
  bool allAt(Offset Position) const;
  bool allServe() const;
  /// Whether each node sees exactly \p Count ready members.
  bool allSeeReady(std::size_t Count) const;

  MemoryLog Log;
  FakeNetwork Network;
  std::map<std::size_t, std::unique_ptr<TestNode>> Nodes;

private:
  std::size_t Zones_;
  std::size_t Regions_;
};

} // namespace lycheethread::peer

#endif // LYCHEETHREAD_PEER_TESTS_PEERCLUSTER_H
