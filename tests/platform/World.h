#ifndef LYCHEETHREAD_TESTS_PLATFORM_WORLD_H
#define LYCHEETHREAD_TESTS_PLATFORM_WORLD_H

#include "ChildProcess.h"
#include "HttpCall.h"
#include "StoreStandIn.h"
#include "UpstreamStandIn.h"

#include <atomic>
#include <functional>
#include <memory>
#include <string>
#include <thread>

namespace lycheethread::platformtest {

/// What distinguishes one instance from the others.
struct InstancePlan {
  std::string Name;
  std::string Service = "desk";
  std::string Version = "v1";
  std::string Zone = "north";
};

/// One instance: a node as a separate process, and its upstream, which checks
/// in every 200 ms.
class Instance {
public:
  Instance(const InstancePlan &Plan, std::uint16_t StorePort);
  ~Instance();

  UpstreamStandIn &upstream() { return *Upstream_; }
  harness::ChildProcess &node() { return *Node_; }
  std::string logFile() const { return LogFile_; }

  void startNode();
  /// A GET of \p Path at the host of the tests, through this node.
  harness::HttpAnswer get(const std::string &Path, const std::string &Id = "");
  harness::HttpAnswer post(const std::string &Path, const std::string &Body,
                           const std::string &Id = "");
  bool isReady();
  /// Status that the node acknowledged a check-in with the state \p State with.
  int checkIn(const std::string &State);
  /// Check-ins carry \p State from now on.
  void setState(const std::string &State) { State_ = State; }
  void stopCheckIns() { CheckingIn_ = false; }

private:
  harness::HttpCall call(const std::string &Path, const std::string &Id) const;
  void checkInAll();

  InstancePlan Plan_;
  std::uint16_t StorePort_;
  std::unique_ptr<UpstreamStandIn> Upstream_;
  std::uint16_t Outbound_;
  std::uint16_t Inbound_;
  std::uint16_t Readiness_;
  std::uint16_t CheckIns_;
  std::uint16_t Gossip_;
  std::string Settings_;
  std::string LogFile_;
  std::unique_ptr<harness::ChildProcess> Node_;
  std::atomic<bool> CheckingIn_{true};
  std::atomic<bool> Ending_{false};
  std::string State_ = "ready";
  std::atomic<std::int64_t> Sequence_{0};
  std::int64_t Born_;
  std::thread Checker_;
};

/// A configuration as the operator writes it: /read/, /write/, /upload/ to
/// "desk" and /other/ to "store".
std::string configuration(int Version, const std::string &MoreRules = "");

/// Whether \p Condition holds within \p Limit.
bool becomes(const std::function<bool()> &Condition,
             std::chrono::milliseconds Limit);

/// Starts with one configuration in the store.
struct World {
  StoreStandIn Store;
  std::vector<std::unique_ptr<Instance>> Instances;

  explicit World(const std::vector<InstancePlan> &Plans, int Version = 1);
  Instance &at(std::size_t Index) { return *Instances.at(Index); }
};

} // namespace lycheethread::platformtest

#endif // LYCHEETHREAD_TESTS_PLATFORM_WORLD_H
