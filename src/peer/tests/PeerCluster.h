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

/// Returns operations that store the raw text of each record as the document of
/// the service "last". A record "notice:<position>" is a checkpoint notice.
ControlFold makeFakeOperations();

/// Simulates partitions between groups of nodes.
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

/// Counts the bytes of one node by kind and direction.
struct TrafficSums {
  std::mutex Lock;
  std::map<std::pair<metrics::TrafficKind, metrics::Direction>, std::int64_t>
      Bytes;
  std::int64_t CrossRegionSent = 0;
};

/// Runs one peer module in its own kernel.
class TestNode {
public:
  TestNode(settings::NodeSettings Settings, MemoryLog &Log,
           FakeNetwork &Network, const std::string &NetworkGroup);
  ~TestNode();

  /// Stops the node without sending anything to the others.
  void kill();
  void leave();

  Offset position() const;
  bool serves() const;
  std::vector<Member> members() const;
  /// Returns the number of members that have \p State according to this node.
  std::size_t count(MemberState State) const;
  Member self() const;
  PeerControl &control() { return *Control_; }
  TrafficSums &traffic() { return *Sums_; }
  /// Returns whether the position ever decreased.
  bool hasPositionDecreased() const;

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
  mutable bool PositionDecreased_ = false;
};

/// Nodes that share a log and a network.
class PeerCluster {
public:
  /// Creates \p Zones availability zones in each of \p Regions regions.
  PeerCluster(std::size_t Zones, std::size_t Regions);

  /// Starts node \p Number with up to 3 running nodes as seeds.
  TestNode &start(std::size_t Number);
  TestNode &start(std::size_t Number, std::vector<Endpoint> Seeds,
                  const Endpoint &Control = {"127.0.0.1", 0});
  enum SeedUse { RunningSeeds, NoSeeds };
  void startAll(std::size_t Count, SeedUse Use = RunningSeeds);
  /// Returns an endpoint on which nothing listens yet.
  static Endpoint freeEndpoint();
  void kill(std::size_t Number);

  Region regionOf(std::size_t Number) const;
  /// Waits for \p Done for at most \p Limit. Returns whether it became true.
  static bool await(const std::function<bool()> &Done, Milliseconds Limit);
  bool allAt(Offset Position) const;
  bool allServe() const;
  /// Returns whether each node sees exactly \p Count ready members.
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
